//! The clocks of a process: monotonic for decisions, wall clock for idempotency keys.

use millpass_proto::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Gives the time since some fixed point; never goes back.
pub type ClockSource = fn() -> Duration;

/// The monotonic clock of one process, counted from its start. It goes on while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    source: ClockSource,
    start: Duration,
}

impl ProcessClock {
    /// A clock that begins at zero now.
    pub fn start() -> Self {
        ProcessClock::start_on(boot_time)
    }

    /// A clock that begins at zero now and goes by `source`.
    pub fn start_on(source: ClockSource) -> Self {
        ProcessClock {
            source,
            start: source(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        let elapsed = (self.source)().saturating_sub(self.start);
        Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Time left until a point; zero once it passed.
    pub fn left_until(&self, point: Timestamp) -> Duration {
        point.since(self.now())
    }
}

/// Time since the machine started, suspensions included. The steady clock of the standard library stands still
/// meanwhile: a lease that ended during a suspension would look valid after it.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Time since some fixed point, without suspensions. Timers go by it.
pub fn monotonic_time() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Milliseconds of the wall clock since 1970.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
