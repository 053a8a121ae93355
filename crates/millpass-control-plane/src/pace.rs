//! How much less processor this member has than it needs, by how late its ticks come.
//!
//! What can wait (planning, updates of gateways) is spaced by it: otherwise a leader with little processor
//! spends it on a thousand updates a second, its lease runs out, and it can neither commit nor read.

use millpass_proto::{Duration, Timestamp};

/// Weight of the newest gap between two ticks in the average, as its inverse: some tenths of a second of ticks.
const WEIGHT: u32 = 16;
/// Average gap up to which nothing is spaced: ticks come every 5 ms, and a usual step takes a few.
const USUAL_GAP: Duration = Duration::from_millis(20);
/// Longest spacing. The fleet bounds what it makes of it where gateways wait for confirmation.
const MAXIMUM_PACE: u32 = 6;

/// The averaged gap between ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceWatch {
    last: Option<Timestamp>,
    average: Duration,
}

impl PaceWatch {
    /// A tick came. Gives the factor by which what can wait is spaced.
    pub(crate) fn tick(&mut self, now: Timestamp) -> u32 {
        let gap = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.last = Some(now);
        self.average = (self.average * (WEIGHT - 1) + gap) / WEIGHT;
        let factor = self.average.as_micros() / USUAL_GAP.as_micros();
        u32::try_from(factor)
            .unwrap_or(MAXIMUM_PACE)
            .clamp(1, MAXIMUM_PACE)
    }
}
