//! Detects when the core's thread is late with a tick or an input.

use crate::priority::Priority;
use std::time::{Duration, Instant};

/// Lateness of an input or tick from which it is logged: a quarter of the default lease, so that it is logged before
/// a lease is lost.
pub const LATENESS_THRESHOLD: Duration = Duration::from_millis(150);
/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The worst lateness since the last log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lateness {
    /// Class of the input; `None` for a tick.
    pub class: Option<Priority>,
    /// How long the input waited, or how late the tick was.
    pub age: Duration,
    /// Number of inputs and ticks later than [`LATENESS_THRESHOLD`].
    pub count: u64,
}

/// Collects late inputs and ticks since the last log line.
#[derive(Debug, Default)]
pub struct LatenessWatch {
    worst: Option<Lateness>,
    logged_at: Option<Instant>,
}

impl LatenessWatch {
    /// Records the lateness of one input (with its class) or tick. Returns what to log now, if anything.
    pub fn record(
        &mut self,
        now: Instant,
        class: Option<Priority>,
        age: Duration,
    ) -> Option<Lateness> {
        if age >= LATENESS_THRESHOLD {
            self.add(class, age);
        }
        let is_too_soon = self
            .logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL);
        if is_too_soon {
            return None;
        }
        let worst = self.worst.take()?;
        self.logged_at = Some(now);
        Some(worst)
    }

    fn add(&mut self, class: Option<Priority>, age: Duration) {
        let worst = self.worst.get_or_insert(Lateness {
            class,
            age,
            count: 0,
        });
        worst.count += 1;
        if age > worst.age {
            worst.class = class;
            worst.age = age;
        }
    }
}
