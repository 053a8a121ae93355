//! The time for which this member could hear instances.
//!
//! An instance counts as gone after some time without a word. Where the member itself was not in charge, had no
//! processor, or refused announcements, the silence is its own: a leader with a third of its processor forgot
//! 387 instances of 144 in a minute, all of which lived.

use millpass_proto::{Duration, Timestamp};

/// Most time that passes, for hearing, between two runs of the fleet. In charge it runs with each input, and with
/// each tick of some milliseconds; a longer gap is a lease that ran out, or a process without processor.
const LONGEST_GAP: Duration = Duration::from_millis(500);
/// Time for which a refused announcement shows that others are refused too: as long as its sender waits for an
/// answer.
const REFUSED_FOR: Duration = Duration::from_millis(1_000);

/// Part of the time that counts while announcements are refused, as its inverse: some are heard, and an instance that has
/// ended must be forgotten some time.
const REFUSING_SHARE: u32 = 4;

/// A clock that stands still while this member does not hear, and goes slowly while it refuses announcements.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HearingClock {
    heard: Timestamp,
    last: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

impl HearingClock {
    /// The fleet runs now.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        let refuses = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSED_FOR);
        let share = if refuses { REFUSING_SHARE } else { 1 };
        self.heard = self.heard + gap.min(LONGEST_GAP) / share;
    }

    /// Announcements were refused here.
    pub(crate) fn refused(&mut self, now: Timestamp) {
        self.refused_at = Some(now);
    }

    /// Time heard so far.
    pub(crate) fn now(&self) -> Timestamp {
        self.heard
    }
}
