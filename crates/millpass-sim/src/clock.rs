//! Clocks of simulated processes, with random start and drift.

use crate::random::Random;
use millpass_proto::Timestamp;

/// Wall clock at the start of a run, in Unix milliseconds.
pub const START_UNIX_MILLIS: u64 = 1_900_000_000_000;
const PARTS: i128 = 1_000_000;
const MAXIMUM_START_MICROS: u64 = 3_600_000_000;
const MAXIMUM_DRIFT_PARTS: u64 = 200;
const MAXIMUM_WALL_OFFSET_MILLIS: u64 = 100;

/// One process's monotonic clock and wall clock.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start_micros: u64,
    drift_parts_per_million: i64,
    wall_offset_millis: u64,
}

impl NodeClock {
    /// Creates a clock with random start, drift and wall-clock offset.
    pub fn new(random: &mut Random) -> Self {
        let drift = random.below(2 * MAXIMUM_DRIFT_PARTS + 1) as i64;
        NodeClock {
            start_micros: random.below(MAXIMUM_START_MICROS),
            drift_parts_per_million: drift - MAXIMUM_DRIFT_PARTS as i64,
            wall_offset_millis: random.below(MAXIMUM_WALL_OFFSET_MILLIS),
        }
    }

    /// Returns the monotonic time at a time of the run.
    pub fn local(&self, at_micros: u64) -> Timestamp {
        let elapsed = i128::from(at_micros);
        let drifted = elapsed + elapsed * i128::from(self.drift_parts_per_million) / PARTS;
        Timestamp::from_micros(self.start_micros + drifted as u64)
    }

    /// Returns the wall-clock time at a time of the run, in Unix milliseconds.
    pub fn unix_millis(&self, at_micros: u64) -> u64 {
        START_UNIX_MILLIS + self.wall_offset_millis + at_micros / 1_000
    }
}
