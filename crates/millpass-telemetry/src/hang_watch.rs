//! Notices that a thread which a process cannot do without makes no more progress.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Looks in a row without progress after which a thread counts as hanging. They are counted, not the time: a process that
/// is stopped or gets no processor looks as seldom as it works. The watched threads come round every 5 ms and every second.
const HANG_CHECKS: u32 = 15;

/// Counts the rounds of a thread.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat(Arc<AtomicU64>);

impl Heartbeat {
    /// The thread has come round.
    pub fn beat(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts looks without progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct HangDetector {
    last: Option<u64>,
    without_progress: u32,
}

impl HangDetector {
    /// Takes the count of rounds; whether the thread hangs.
    pub fn check(&mut self, rounds: u64) -> bool {
        if self.last == Some(rounds) {
            self.without_progress += 1;
        } else {
            self.last = Some(rounds);
            self.without_progress = 0;
        }
        self.without_progress >= HANG_CHECKS
    }
}

/// Starts a thread that calls back once, when the other makes no progress. It must not wait for that one.
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
