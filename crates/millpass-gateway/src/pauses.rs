//! Pauses of this process: what it sees after one may have happened long before.

use crate::shared::Shared;
use async_io::Timer;
use millpass_proto::{Duration, Timestamp};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two ticks that is no pause.
const PAUSE: Duration = Duration::from_millis(250);
/// Time after a pause in which what happened within it is still being read.
const CATCH_UP: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Ticks {
    last: Timestamp,
    pause_ended_at: Option<Timestamp>,
}

/// Detects pauses by ticks that come late.
#[derive(Debug)]
pub(crate) struct PauseDetector(Mutex<Ticks>);

impl PauseDetector {
    pub(crate) fn new(now: Timestamp) -> Self {
        PauseDetector(Mutex::new(Ticks {
            last: now,
            pause_ended_at: None,
        }))
    }

    /// Returns whether an event that is seen now may have happened within a pause.
    pub(crate) fn may_be_old(&self, now: Timestamp) -> bool {
        let mut ticks = self.lock();
        ticks.record(now);
        ticks
            .pause_ended_at
            .is_some_and(|at| now.since(at) < CATCH_UP)
    }

    fn lock(&self) -> MutexGuard<'_, Ticks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ticks {
    fn record(&mut self, now: Timestamp) {
        if now.since(self.last) >= PAUSE {
            self.pause_ended_at = Some(now);
        }
        self.last = now;
    }
}

/// Ticks until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        shared.pauses.lock().record(shared.now());
    }
}
