//! Clock of the time during which this member was scheduled.
//!
//! A member that gets no CPU time leaves messages unread in its queues, which must not look like
//! lost contact. Contact timeouts are therefore measured in running time, which does not advance
//! during pauses and is never ahead of the host's clock. The lease and the vote promise use the
//! host's clock.

use millpass_proto::{Duration, Timestamp};

/// Twice the host's tick interval, so that regular ticks count in full at any heartbeat interval.
const MINIMUM_STEP_LIMIT: Duration = Duration::from_millis(10);

/// A clock that excludes pauses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningTime {
    now: Timestamp,
    /// Longest time between two steps that counts in full.
    step_limit: Duration,
}

impl RunningTime {
    /// Creates a clock that counts at most half a heartbeat interval per step (but at least
    /// [`MINIMUM_STEP_LIMIT`]), so that one pause hides at most one heartbeat.
    pub(crate) fn new(heartbeat_interval: Duration) -> Self {
        RunningTime {
            now: Timestamp::default(),
            step_limit: MINIMUM_STEP_LIMIT.max(heartbeat_interval / 2),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    pub(crate) fn advance(&mut self, since_last_step: Duration) {
        self.now = self.now + since_last_step.min(self.step_limit);
    }
}
