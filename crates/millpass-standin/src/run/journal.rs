//! A JSON Lines file of the requests that a stand-in ran, for checkers.

use millpass_proto::{BackendName, Incarnation, TenantName};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Step in the lifecycle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStep {
    /// The run started.
    Started,
    /// The run started after tokens that another run had emitted.
    Resumed,
    /// The run completed.
    Finished,
    /// The caller cancelled the run.
    Cancelled,
    /// The stand-in aborted the run.
    CutOff,
}

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Microseconds since the Unix epoch.
    pub at_micros: u64,
    /// Name of the back end.
    pub backend: BackendName,
    /// Incarnation of the back end.
    pub incarnation: Incarnation,
    /// Request id, as received.
    pub request_id: String,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Step of the run.
    pub step: RunStep,
}

/// A journal of bounded length. Writes each line without buffering, so that a killed process loses none.
#[derive(Debug)]
pub struct RunJournal {
    file: Mutex<File>,
    lines_left: AtomicU64,
}

impl RunJournal {
    /// Opens a journal for appending; drops lines beyond `maximum_lines`.
    pub fn open(path: &Path, maximum_lines: u64) -> io::Result<Arc<Self>> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Arc::new(RunJournal {
            file: Mutex::new(file),
            lines_left: AtomicU64::new(maximum_lines),
        }))
    }

    fn write(&self, record: &RunRecord) {
        let take = |left: u64| left.checked_sub(1);
        let ordering = Ordering::Relaxed;
        if self
            .lines_left
            .fetch_update(ordering, ordering, take)
            .is_err()
        {
            return;
        }
        let Ok(mut line) = serde_json::to_vec(record) else {
            return;
        };
        line.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&line) {
            log::error!("event=journal_failed error={error:?} remedy=\"free space\"");
        }
    }
}

/// Records runs of one back end in a journal, if there is one.
#[derive(Clone, Debug)]
pub(crate) struct RunRecorder {
    pub journal: Option<Arc<RunJournal>>,
    pub backend: BackendName,
    pub incarnation: Incarnation,
}

impl RunRecorder {
    pub fn record(&self, request_id: &str, tenant: &TenantName, key: Option<&str>, step: RunStep) {
        let Some(journal) = &self.journal else {
            return;
        };
        journal.write(&RunRecord {
            at_micros: unix_micros(),
            backend: self.backend.clone(),
            incarnation: self.incarnation,
            request_id: request_id.to_owned(),
            tenant: tenant.clone(),
            key: key.map(str::to_owned),
            step,
        });
    }
}

fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
