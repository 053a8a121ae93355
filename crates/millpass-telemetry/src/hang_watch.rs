//! Detects that a critical thread no longer makes progress.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive checks without progress after which a thread counts as hung. Checks are counted
/// instead of time, so that a stopped or starved process is not taken for a hung one.
const HANG_CHECKS: u32 = 15;

/// Counts the loop iterations of a thread.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat(Arc<AtomicU64>);

impl Heartbeat {
    /// Records an iteration.
    pub fn beat(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts consecutive checks without progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct HangDetector {
    last: Option<u64>,
    without_progress: u32,
}

impl HangDetector {
    /// Takes the current number of iterations and returns whether the thread is hung.
    pub fn check(&mut self, iterations: u64) -> bool {
        if self.last == Some(iterations) {
            self.without_progress += 1;
        } else {
            self.last = Some(iterations);
            self.without_progress = 0;
        }
        self.without_progress >= HANG_CHECKS
    }
}

/// Starts a thread that calls `on_hang` once if the thread behind `heartbeat` hangs. The callback must
/// not wait for that thread.
pub fn watch_for_hang(
    heartbeat: Heartbeat,
    on_hang: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    let watch = move || {
        let mut detector = HangDetector::default();
        loop {
            thread::sleep(CHECK_INTERVAL);
            if detector.check(heartbeat.count()) {
                return on_hang();
            }
        }
    };
    thread::Builder::new()
        .name("hang-watch".to_owned())
        .spawn(watch)
        .map(drop)
}
