//! Detects stalled writes and a disk that may become full, for logs and metrics.

use crate::metrics::Metrics;
use crate::throttle::Throttle;
use millpass_storage::{Storage, StorageOptions};
use millpass_telemetry::event_line;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Duration of one write from which the disk counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time between two checks of disk usage.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two warnings about disk usage.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// Start of the write in progress, and the duration at which it is logged next.
#[derive(Clone, Copy)]
struct Writing {
    since: Instant,
    next_report: Duration,
}

/// Shared by the disk thread and the core's thread. Its lock is never held together with another or across calls.
#[derive(Default)]
pub(crate) struct DiskWatch {
    writing: Mutex<Option<Writing>>,
}

impl DiskWatch {
    fn lock(&self) -> MutexGuard<'_, Option<Writing>> {
        self.writing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a write.
    pub(crate) fn begin(&self) {
        *self.lock() = Some(Writing {
            since: Instant::now(),
            next_report: STALL_THRESHOLD,
        });
    }

    /// Records the end of the write.
    pub(crate) fn end(&self) {
        let Some(writing) = self.lock().take() else {
            return;
        };
        let took = writing.since.elapsed();
        if took >= STALL_THRESHOLD {
            log::warn!("event=disk_stall_over took_ms={}", took.as_millis());
        }
    }

    /// Returns the duration of the write in progress, if any. Logs a stalled write, again each time its duration doubles.
    pub(crate) fn check(&self) -> Option<Duration> {
        let mut state = self.lock();
        let writing = state.as_mut()?;
        let elapsed = writing.since.elapsed();
        let is_due = elapsed >= writing.next_report;
        if is_due {
            writing.next_report = elapsed * 2;
        }
        drop(state);
        if is_due {
            log::warn!("event=disk_stalled for_ms={}", elapsed.as_millis());
        }
        Some(elapsed)
    }
}

/// Checks disk usage periodically.
pub(crate) struct SpaceWatch {
    maximum_bytes: u64,
    largest_state_bytes: u64,
    checks: Throttle,
    warnings: Throttle,
}

impl SpaceWatch {
    pub(crate) fn new(options: &StorageOptions) -> Self {
        SpaceWatch {
            maximum_bytes: options.most_bytes(),
            largest_state_bytes: options.largest_state_bytes,
            checks: Throttle::new(CHECK_INTERVAL),
            warnings: Throttle::new(WARNING_INTERVAL),
        }
    }

    /// Updates the metrics and logs a warning, at most once per interval each.
    pub(crate) fn check(&mut self, storage: &Storage, state_bytes: u64, metrics: &Metrics) {
        if !self.checks.is_due() {
            return;
        }
        let bytes = storage.bytes().unwrap_or(0);
        let free = storage.free_bytes();
        metrics.record_disk(bytes, self.maximum_bytes, free, state_bytes);
        let Some(reason) = self.warning_reason(bytes, free, state_bytes) else {
            return;
        };
        if !self.warnings.is_due() {
            return;
        }
        let free = free.map_or_else(|| "unknown".to_owned(), |free| free.to_string());
        let pairs = [
            ("reason", reason.to_owned()),
            ("bytes", bytes.to_string()),
            ("may_need", self.maximum_bytes.to_string()),
            ("free", free),
            ("state_bytes", state_bytes.to_string()),
        ];
        log::warn!("{}", event_line("disk_may_become_full", &pairs));
    }

    /// Returns why the disk may become full; `None` if it has enough space.
    fn warning_reason(
        &self,
        bytes: u64,
        free: Option<u64>,
        state_bytes: u64,
    ) -> Option<&'static str> {
        if state_bytes.saturating_mul(4) > self.largest_state_bytes.saturating_mul(3) {
            return Some("state-large");
        }
        if bytes > self.maximum_bytes {
            return Some("beyond-bound");
        }
        let has_space = free.is_none_or(|free| free.saturating_add(bytes) >= self.maximum_bytes);
        (!has_space).then_some("others-take-it")
    }
}
