//! Detects suspensions of the machine.

use crate::clock::{boot_time, monotonic_time};
use std::time::Duration;

/// Shortest suspension that is reported, as the two clocks are not read at the same instant.
const MINIMUM_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the clock that includes time in suspension with the one that excludes it.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// Last seen difference of the clocks.
    offset: Duration,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        // Read first, so that its initialization does not count as a suspension.
        let monotonic = monotonic_time();
        SuspensionDetector {
            offset: boot_time().saturating_sub(monotonic),
        }
    }
}

impl SuspensionDetector {
    /// Returns how long the machine was suspended since the last check, or `None` if it was not.
    pub fn check(&mut self) -> Option<Duration> {
        let monotonic = monotonic_time();
        let offset = boot_time().saturating_sub(monotonic);
        let suspended = offset.saturating_sub(self.offset);
        if suspended < MINIMUM_SUSPENSION {
            return None;
        }
        self.offset = offset;
        Some(suspended)
    }
}
