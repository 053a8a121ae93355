//! Clock of the time for which this member could receive announcements. Instances expire after a
//! time without announcements; periods in which this member was not leading, had no CPU time or
//! refused announcements must not count, or live instances would expire.

use millpass_proto::{Duration, Timestamp};

/// Upper bound of counted time between two runs of the core. A longer gap means an expired lease or
/// a stalled process.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(500);
/// Time for which a refused announcement implies that others are refused: as long as senders wait.
const REFUSAL_PERIOD: Duration = Duration::from_millis(1_000);

/// Divisor of counted time while announcements are refused: some still arrive, and ended instances
/// must expire eventually.
const REFUSAL_DIVISOR: u32 = 4;

/// A clock that counts at most [`MAX_COUNTED_GAP`] between two runs of the core and slows down while
/// announcements are refused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactClock {
    elapsed: Timestamp,
    advanced_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

impl ContactClock {
    /// Advances the clock at each run of the core.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        let gap = self
            .advanced_at
            .map_or(Duration::ZERO, |last| now.since(last));
        self.advanced_at = Some(now);
        let is_refusing = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSAL_PERIOD);
        let divisor = if is_refusing { REFUSAL_DIVISOR } else { 1 };
        self.elapsed = self.elapsed + gap.min(MAX_COUNTED_GAP) / divisor;
    }

    /// Records that announcements were refused.
    pub(crate) fn record_refusal(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
    }

    /// Returns the time counted so far.
    pub(crate) fn now(&self) -> Timestamp {
        self.elapsed
    }
}
