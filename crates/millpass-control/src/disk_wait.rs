//! A start that waits for the disk.
//!
//! A write that fails ends a member: what its disk holds is read again, by a process that knows nothing else. Its next
//! start waits until the folder can be opened and has room, in place of ending again and again. Then a full disk costs
//! one end however long it lasts, the member is back as soon as there is room, whoever starts ended processes and
//! however long that one pauses, and a first start keeps its part in forming the group, which the settings of a second
//! start no longer give it.

use crate::error::ControlError;
use crate::interface::Extensions;
use crate::process::{ControlHandle, start_extended};
use crate::settings::ControlProcessSettings;
use crate::throttle::Throttle;
use millpass_storage::StorageError;
use millpass_telemetry::event_line;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two tries. A try on a full disk costs a few failing calls; after the pause and a start, which takes
/// some 30 ms, the member votes.
const TRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two log lines about a disk that still has no room.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Like [`start_extended`], but waits for a disk that is full or fails, for as long as `may_wait` allows.
pub fn start_when_disk_available(
    settings: &ControlProcessSettings,
    extensions: &Extensions,
    mut may_wait: impl FnMut() -> bool,
) -> Result<ControlHandle, ControlError> {
    let mut wait = DiskWait {
        since: None,
        reports: Throttle::new(REPORT_INTERVAL),
    };
    loop {
        match start_extended(settings.clone(), extensions.clone()) {
            Err(ControlError::Storage(error)) if error.is_transient() && may_wait() => {
                wait.refused(&error);
                thread::sleep(TRY_PAUSE);
            }
            started => {
                wait.over();
                return started;
            }
        }
    }
}

/// Since when a start waits, and when it last said so.
struct DiskWait {
    since: Option<Instant>,
    reports: Throttle,
}

impl DiskWait {
    fn refused(&mut self, error: &StorageError) {
        let since = *self.since.get_or_insert_with(Instant::now);
        if !self.reports.is_due() {
            return;
        }
        let pairs = [
            ("waited_ms", since.elapsed().as_millis().to_string()),
            ("error", error.to_string()),
        ];
        log::error!("{}", event_line("disk_waited_for", &pairs));
    }

    fn over(&self) {
        if let Some(since) = self.since {
            let pairs = [("waited_ms", since.elapsed().as_millis().to_string())];
            log::warn!("{}", event_line("disk_wait_over", &pairs));
        }
    }
}
