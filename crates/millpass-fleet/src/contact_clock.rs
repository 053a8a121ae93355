//! Clock of the time for which this member could receive announcements.
//!
//! Instances expire after a time without announcements. Periods in which this member was not
//! leading, had no CPU time or refused announcements must not count, or live instances would
//! expire.

use millpass_proto::{Duration, Timestamp};

/// Upper bound of counted time between two runs of the core. A longer gap means an expired lease or
/// a stalled process.
const LONGEST_GAP: Duration = Duration::from_millis(500);
/// Time for which a refused announcement implies that others are refused: as long as senders wait.
const REFUSED_FOR: Duration = Duration::from_millis(1_000);

/// Divisor of counted time while announcements are refused: some still arrive, and ended instances
/// must expire eventually.
const REFUSING_SHARE: u32 = 4;

/// A clock that stops while this member receives nothing and slows down while it refuses
/// announcements.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HearingClock {
    heard: Timestamp,
    last: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

impl HearingClock {
    /// Advances the clock at each run of the core.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        let refuses = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSED_FOR);
        let share = if refuses { REFUSING_SHARE } else { 1 };
        self.heard = self.heard + gap.min(LONGEST_GAP) / share;
    }

    /// Records that announcements were refused.
    pub(crate) fn refused(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
    }

    /// Returns the time counted so far.
    pub(crate) fn now(&self) -> Timestamp {
        self.heard
    }
}
