//! Tells when the core's thread is late: with a tick, or with an input that has waited.

use crate::priority::Priority;
use std::time::{Duration, Instant};

/// Age of an input, or lateness of a tick, from which on it is worth a line: a quarter of the default lease
/// of 600 ms, so that a line comes before a lease is lost.
pub const LATENESS_THRESHOLD: Duration = Duration::from_millis(150);
/// Shortest time between two lines: a member that is late for long says so once a second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The worst lateness of a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lateness {
    /// Class of the input; none for a tick.
    pub class: Option<Priority>,
    /// How long it waited, or how much later than due it came.
    pub age: Duration,
    /// Inputs and ticks that were later than [`LATENESS_THRESHOLD`] in that span.
    pub count: u64,
}

/// Collects what was late since the last line.
#[derive(Debug, Default)]
pub struct LatenessWatch {
    worst: Option<Lateness>,
    logged_at: Option<Instant>,
}

impl LatenessWatch {
    /// Takes the lateness of one input (with its class) or tick. Returns what to log now, if anything.
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
