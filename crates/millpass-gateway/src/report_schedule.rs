//! When the next report to the leader leaves.

use millpass_proto::{Duration, Timestamp};

/// Shortest pause between two reports.
const MINIMUM_PAUSE: Duration = Duration::from_millis(5);
/// Intervals for which a report that nothing urges waits for the answer to the one before: a leader of many gateways
/// answers each of them less often, and is told as often as it answers.
const UNANSWERED_INTERVALS: u32 = 3;

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

    /// Whether a report is due, where the last one was answered or not, and something urges one or not.
    pub fn is_due(&self, now: Timestamp, answered: bool, urgent: bool) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let since = now.since(last);
        let awaited = !answered && since < self.interval * UNANSWERED_INTERVALS;
        let periodic = since >= self.interval && !awaited;
        periodic || (urgent && since >= MINIMUM_PAUSE)
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
            return last + MINIMUM_PAUSE;
        }
        let next = last + self.interval;
        match now < next {
            true => next,
            false => last + self.interval * UNANSWERED_INTERVALS,
        }
    }
}
