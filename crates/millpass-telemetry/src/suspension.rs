//! Notices that the machine was suspended.

use crate::clock::{boot_time, monotonic_time};
use std::time::Duration;

/// Shortest suspension that is told; the two clocks are read one after the other.
const SHORTEST: Duration = Duration::from_millis(50);

/// Compares the clock that counts suspensions with the one that does not.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// How far the one is ahead of the other.
    ahead: Duration,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        // Read first, so that the start of the other does not look like a suspension.
        let awake = monotonic_time();
        SuspensionDetector {
            ahead: boot_time().saturating_sub(awake),
        }
    }
}

impl SuspensionDetector {
    /// How long the machine was suspended since the last look, if it was.
    pub fn check(&mut self) -> Option<Duration> {
        let awake = monotonic_time();
        let ahead = boot_time().saturating_sub(awake);
        let suspended = ahead.saturating_sub(self.ahead);
        if suspended < SHORTEST {
            return None;
        }
        self.ahead = ahead;
        Some(suspended)
    }
}
