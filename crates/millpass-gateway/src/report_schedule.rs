//! Schedules reports to the leader.

use millpass_proto::{Duration, Timestamp};

/// Minimum time between two reports.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(5);
/// Intervals for which a report that is not urgent waits for the response to the previous one, so that gateways
/// report no faster than a busy leader responds.
const UNACKNOWLEDGED_INTERVALS: u32 = 3;

/// Report schedule of one connection. The first report is due at once, as it registers the gateway with the leader.
pub struct ReportSchedule {
    interval: Duration,
    last: Option<Timestamp>,
}

impl ReportSchedule {
    /// Creates the schedule of a new connection.
    pub fn new(interval: Duration) -> Self {
        ReportSchedule {
            interval,
            last: None,
        }
    }

    /// Returns whether a report is due, given whether the last one was acknowledged and whether one is urgent.
    pub fn is_due(&self, now: Timestamp, acknowledged: bool, urgent: bool) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let elapsed = now.since(last);
        let awaiting_response = !acknowledged && elapsed < self.interval * UNACKNOWLEDGED_INTERVALS;
        let periodic = elapsed >= self.interval && !awaiting_response;
        periodic || (urgent && elapsed >= MINIMUM_INTERVAL)
    }

    /// Records that a report was sent.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last = Some(now);
    }

    /// Returns when to check again, unless a response or an urgent report comes earlier.
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
