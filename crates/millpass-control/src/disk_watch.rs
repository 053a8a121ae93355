//! How long the disk's thread has been in one write, and how full the disk is: for the log and the metrics.

use crate::metrics::Metrics;
use crate::throttle::Throttle;
use millpass_storage::{Storage, StorageOptions};
use millpass_telemetry::event_line;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time in one write from which a disk counts as stalled: a sync takes milliseconds, a full batch on a slow disk some
/// tenths of a second.
const STALLED: Duration = Duration::from_millis(1_000);
/// Time between two looks at how full the disk is.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two log lines about one that may become too full.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// When the write under way began, and when the log next says that it lasts.
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
    pub(crate) fn begins(&self) {
        *self.lock() = Some(Writing {
            since: Instant::now(),
            next_report: STALLED,
        });
    }

    /// The write has come to an end.
    pub(crate) fn ends(&self) {
        let Some(writing) = self.lock().take() else {
            return;
        };
        let took = writing.since.elapsed();
        if took >= STALLED {
            log::warn!("event=disk_stall_over took_ms={}", took.as_millis());
        }
    }

    /// How long the write under way has lasted; none where there is none. Said in the log from a second on, each time that
    /// it has doubled.
    pub(crate) fn look(&self) -> Option<Duration> {
        let mut state = self.lock();
        let writing = state.as_mut()?;
        let lasts = writing.since.elapsed();
        let is_due = lasts >= writing.next_report;
        if is_due {
            writing.next_report = lasts * 2;
        }
        drop(state);
        if is_due {
            log::warn!("event=disk_stalled for_ms={}", lasts.as_millis());
        }
        Some(lasts)
    }
}

/// Looks now and then at how full the disk is.
pub(crate) struct RoomWatch {
    most_bytes: u64,
    largest_state_bytes: u64,
    looks: Throttle,
    warnings: Throttle,
}

impl RoomWatch {
    /// For a storage with these options.
    pub(crate) fn new(options: &StorageOptions) -> Self {
        RoomWatch {
            most_bytes: options.maximum_bytes(),
            largest_state_bytes: options.largest_state_bytes,
            looks: Throttle::new(LOOK_INTERVAL),
            warnings: Throttle::new(WARNING_INTERVAL),
        }
    }

    /// Looks, when it is time to.
    pub(crate) fn look(&mut self, storage: &Storage, state_bytes: u64, metrics: &Metrics) {
        if !self.looks.is_due() {
            return;
        }
        let bytes = storage.bytes().unwrap_or(0);
        let free = storage.free_bytes();
        metrics.show_disk(bytes, self.most_bytes, free, state_bytes);
        let Some(reason) = self.reason(bytes, free, state_bytes) else {
            return;
        };
        if !self.warnings.is_due() {
            return;
        }
        let free = free.map_or_else(|| "unknown".to_owned(), |free| free.to_string());
        let pairs = [
            ("reason", reason.to_owned()),
            ("bytes", bytes.to_string()),
            ("may_need", self.most_bytes.to_string()),
            ("free", free),
            ("state_bytes", state_bytes.to_string()),
        ];
        log::warn!("{}", event_line("disk_may_become_full", &pairs));
    }

    /// Why it may become full, if so.
    fn reason(&self, bytes: u64, free: Option<u64>, state_bytes: u64) -> Option<&'static str> {
        if state_bytes.saturating_mul(4) > self.largest_state_bytes.saturating_mul(3) {
            return Some("state-large");
        }
        if bytes > self.most_bytes {
            return Some("beyond-bound");
        }
        let has_room = free.is_none_or(|free| free.saturating_add(bytes) >= self.most_bytes);
        (!has_room).then_some("others-take-it")
    }
}
