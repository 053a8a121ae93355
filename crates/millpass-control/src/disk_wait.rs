//! Waits at startup until the disk is available.
//!
//! A failed write ends the member, so that the next process reads the disk afresh. That process
//! waits until the data folder can be opened and has space, instead of crash-looping under its
//! supervisor. A first start thereby also keeps its settings for forming the group.

use crate::error::ControlError;
use crate::interface::Extensions;
use crate::process::{ControlHandle, start_extended};
use crate::settings::ControlProcessSettings;
use crate::throttle::Throttle;
use millpass_storage::StorageError;
use millpass_telemetry::event_line;
use std::thread;
use std::time::{Duration, Instant};

/// Delay between two attempts. One on a full disk costs a few failing calls; after it and a start of
/// about 30 ms the member votes.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two log lines while the disk is unavailable.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Like [`start_extended`], but waits while the disk is full or failing, as long as `may_wait`
/// returns true.
pub fn start_when_disk_available(
    settings: &ControlProcessSettings,
    extensions: &Extensions,
    mut may_wait: impl FnMut() -> bool,
) -> Result<ControlHandle, ControlError> {
    let mut wait = DiskWait {
        since: None,
        log_throttle: Throttle::new(LOG_INTERVAL),
    };
    loop {
        match start_extended(settings.clone(), extensions.clone()) {
            Err(ControlError::Storage(error)) if error.is_transient() && may_wait() => {
                wait.record_failure(&error);
                thread::sleep(RETRY_DELAY);
            }
            started => {
                wait.finish();
                return started;
            }
        }
    }
}

/// Start of the wait, and a throttle for its log lines.
struct DiskWait {
    since: Option<Instant>,
    log_throttle: Throttle,
}

impl DiskWait {
    fn record_failure(&mut self, error: &StorageError) {
        let since = *self.since.get_or_insert_with(Instant::now);
        if !self.log_throttle.is_due() {
            return;
        }
        let pairs = [
            ("waited_ms", since.elapsed().as_millis().to_string()),
            ("error", error.to_string()),
        ];
        log::error!("{}", event_line("disk_waited_for", &pairs));
    }

    fn finish(&self) {
        if let Some(since) = self.since {
            let pairs = [("waited_ms", since.elapsed().as_millis().to_string())];
            log::warn!("{}", event_line("disk_wait_over", &pairs));
        }
    }
}
