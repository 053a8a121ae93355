//! Time in which this member ran.
//!
//! A member that gets no processor hears nobody, and nobody is to blame: the messages lie unread in its
//! queues. Silence is therefore counted in running time, which stands still while the member does. It is
//! never ahead of the clock, so what rests on it only comes later. The lease and the promise it rests on
//! count by the clock.

use millpass_proto::{Duration, Timestamp};

/// Twice the time between the host's ticks, so that ordinary ones count in full at any heartbeat interval.
const ORDINARY_STEP: Duration = Duration::from_millis(10);

/// A clock that leaves out pauses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningTime {
    now: Timestamp,
    /// Longest time between two steps that counts in full.
    longest_step: Duration,
}

impl RunningTime {
    /// The host steps the core every few milliseconds. A pause of half a heartbeat interval hides no more than
    /// one heartbeat; of a longer pause only that much counts.
    pub(crate) fn new(heartbeat_interval: Duration) -> Self {
        RunningTime {
            now: Timestamp::default(),
            longest_step: ORDINARY_STEP.max(heartbeat_interval / 2),
        }
    }

    /// Running time now.
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    /// A step comes this long after the one before.
    pub(crate) fn advance(&mut self, since_last_step: Duration) {
        self.now = self.now + since_last_step.min(self.longest_step);
    }
}
