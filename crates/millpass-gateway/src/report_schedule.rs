//! When the next report to the leader leaves.

use millpass_proto::{Duration, Timestamp};

/// Shortest pause between two reports.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(5);
/// Intervals for which a report that nothing urges waits for the answer to the one before: a leader of many gateways
/// answers each of them less often, and is told as often as it answers.
const UNACKNOWLEDGED_INTERVALS: u32 = 3;

/// Reports of one connection. The first leaves at once, whatever became of those on connections before: by it the leader
/// knows the gateway.
pub struct ReportSchedule {
    interval: Duration,
    last: Option<Timestamp>,
}

impl ReportSchedule {
    /// Of a new connection, with reports at this interval.
    pub fn new(interval: Duration) -> Self {
        ReportSchedule {
            interval,
            last: None,
        }
    }

    /// Whether a report is due, where the last one was acknowledged or not, and something urges one or not.
    pub fn is_due(&self, now: Timestamp, acknowledged: bool, urgent: bool) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let elapsed = now.since(last);
        let awaiting_response = !acknowledged && elapsed < self.interval * UNACKNOWLEDGED_INTERVALS;
        let periodic = elapsed >= self.interval && !awaiting_response;
        periodic || (urgent && elapsed >= MINIMUM_INTERVAL)
    }

    /// A report leaves.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last = Some(now);
    }

    /// When to look again, unless an answer or something urgent comes before.
    pub fn next_check(&self, now: Timestamp, urgent: bool) -> Timestamp {
        let Some(last) = self.last else {
            return now;
        };
        if urgent {
            return last + MINIMUM_INTERVAL;
        }
        let next = last + self.interval;
        match now < next {
            true => next,
            false => last + self.interval * UNACKNOWLEDGED_INTERVALS,
        }
    }
}
