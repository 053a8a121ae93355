//! The clocks of a process: monotonic for decisions, wall clock for idempotency keys.

use millpass_proto::Timestamp;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of one process, counted from its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that begins at zero now.
    pub fn start() -> Self {
        ProcessClock {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        let elapsed = self.start.elapsed();
        Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Time left until a point; zero once it passed.
    pub fn left_until(&self, point: Timestamp) -> Duration {
        point.since(self.now())
    }
}

/// Milliseconds of the wall clock since 1970.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
