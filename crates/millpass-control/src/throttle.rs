//! Lets something be done once in an interval.

use std::time::{Duration, Instant};

/// When it was last done.
#[derive(Debug)]
pub(crate) struct Throttle {
    interval: Duration,
    last: Option<Instant>,
}

impl Throttle {
    /// Once in this interval; the first time at once.
    pub(crate) fn new(interval: Duration) -> Self {
        Throttle {
            interval,
            last: None,
        }
    }

    /// Whether it is time; if so, it counts as done.
    pub(crate) fn is_due(&mut self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < self.interval;
        let is_due = !self.last.is_some_and(is_recent);
        if is_due {
            self.last = Some(Instant::now());
        }
        is_due
    }
}
