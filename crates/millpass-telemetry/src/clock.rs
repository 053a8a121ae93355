//! Process clocks: monotonic for decisions, wall clock for idempotency keys.

use millpass_proto::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the time since a fixed point; never decreases.
pub type ClockSource = fn() -> Duration;

/// Monotonic clock of a process, counted from its start. Includes time in suspension.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    source: ClockSource,
    start: Duration,
}

impl ProcessClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        ProcessClock::start_on(boot_time)
    }

    /// Starts a clock at zero that reads `source`.
    pub fn start_on(source: ClockSource) -> Self {
        ProcessClock {
            source,
            start: source(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        let elapsed = (self.source)().saturating_sub(self.start);
        Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the time left until `point`; zero once it has passed.
    pub fn left_until(&self, point: Timestamp) -> Duration {
        point.since(self.now())
    }
}

/// Returns the time since the machine booted, including time in suspension. `Instant` excludes that
/// time on Linux, so a lease that expired during a suspension would appear valid after it.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the time since a fixed point, excluding time in suspension. Timers use this clock.
pub fn monotonic_time() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
