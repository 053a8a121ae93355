//! Rate limit of one event per interval.

use std::time::{Duration, Instant};

/// Permits one event per interval.
#[derive(Debug)]
pub(crate) struct Throttle {
    interval: Duration,
    last: Option<Instant>,
}

impl Throttle {
    /// Creates a throttle; the first event is permitted at once.
    pub(crate) fn new(interval: Duration) -> Self {
        Throttle {
            interval,
            last: None,
        }
    }

    /// Returns whether an event is permitted now; if so, starts a new interval.
    pub(crate) fn is_due(&mut self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < self.interval;
        let is_due = !self.last.is_some_and(is_recent);
        if is_due {
            self.last = Some(Instant::now());
        }
        is_due
    }
}
