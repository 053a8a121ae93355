//! How long the disk's thread has been in one write, and how full the disk is: for the log and the metrics.

use crate::metrics::Metrics;
use crate::throttle::Throttle;
use millpass_storage::{Storage, StorageOptions};
use millpass_telemetry::event_line;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time in one write from which a disk counts as stalled: a sync takes milliseconds, a full batch on a slow disk some
/// tenths of a second.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time between two checks at how full the disk is.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two log lines about one that may become too full.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// When the write under way began, and when the log next says that it elapsed.
#[derive(Clone, Copy)]
struct Writing {
    since: Instant,
    next_report: Duration,
}

/// Shared by the disk's thread and the core's. Its lock is held alone, and for no call.
#[derive(Default)]
pub(crate) struct DiskWatch {
    writing: Mutex<Option<Writing>>,
}

impl DiskWatch {
    fn lock(&self) -> MutexGuard<'_, Option<Writing>> {
        self.writing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The disk's thread begins a write.
    pub(crate) fn begin(&self) {
        *self.lock() = Some(Writing {
            since: Instant::now(),
            next_report: STALL_THRESHOLD,
        });
    }

    /// The write has come to an end.
    pub(crate) fn end(&self) {
        let Some(writing) = self.lock().take() else {
            return;
        };
        let took = writing.since.elapsed();
        if took >= STALL_THRESHOLD {
            log::warn!("event=disk_stall_over took_ms={}", took.as_millis());
        }
    }

    /// How long the write under way has lasted; none where there is none. Said in the log from a second on, each time that
    /// it has doubled.
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

/// Looks now and then at how full the disk is.
pub(crate) struct SpaceWatch {
    maximum_bytes: u64,
    largest_state_bytes: u64,
    checks: Throttle,
    warnings: Throttle,
}

impl SpaceWatch {
    /// For a storage with these options.
    pub(crate) fn new(options: &StorageOptions) -> Self {
        SpaceWatch {
            maximum_bytes: options.most_bytes(),
            largest_state_bytes: options.largest_state_bytes,
            checks: Throttle::new(CHECK_INTERVAL),
            warnings: Throttle::new(WARNING_INTERVAL),
        }
    }

    /// Looks, when it is time to.
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

    /// Why it may become full, if so.
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
