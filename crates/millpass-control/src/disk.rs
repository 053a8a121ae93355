//! The disk thread: batches the core's writes under one sync, and reports each as persisted only after
//! the sync. A failed write ends the member, as the content of the disk is then unknown.

use crate::disk_watch::{DiskWatch, SpaceWatch};
use crate::inputs::Inputs;
use crate::metrics::Metrics;
use crate::throttle::Throttle;
use crossbeam::channel::Receiver;
use millpass_consensus::PersistRequest;
use millpass_control_plane::ControlInput;
use millpass_proto::Snapshot;
use millpass_storage::{Storage, StorageError, StorageWrite};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of writes under one sync.
const MAXIMUM_BATCH_WRITES: usize = 256;
/// Time after which a pending snapshot is requested again.
pub(crate) const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Work for the disk.
pub(crate) enum DiskWork {
    /// Write and sync.
    Persist(PersistRequest),
    /// Save a snapshot and drop the log before it.
    Snapshot(Snapshot),
}

/// State of the disk thread.
pub(crate) struct Disk {
    pub(crate) storage: Storage,
    pub(crate) work: Receiver<DiskWork>,
    pub(crate) inputs: Inputs,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) watch: Arc<DiskWatch>,
    pub(crate) space: SpaceWatch,
    /// Throttles snapshot requests.
    pub(crate) snapshot_requests: Throttle,
    /// Size of the state in the newest snapshot.
    pub(crate) state_bytes: u64,
}

impl Disk {
    /// Body of the thread; ends when the core drops its end of the queue, or on a failed write.
    pub(crate) fn run(mut self) {
        while let Ok(first) = self.work.recv() {
            self.watch.begin();
            let result = self.execute(first);
            self.watch.end();
            if let Err(error) = result {
                log::error!("event=disk_failed error={:?}", error.to_string());
                return self.inputs.disk_failed(error);
            }
            self.check_storage();
        }
    }

    fn execute(&mut self, first: DiskWork) -> Result<(), StorageError> {
        let mut writes = Vec::new();
        let mut snapshot = None;
        let mut next = Some(first);
        while let Some(work) = next {
            match work {
                DiskWork::Persist(request) => writes.push(request),
                DiskWork::Snapshot(work) => {
                    snapshot = Some(work);
                    break;
                }
            }
            if writes.len() == MAXIMUM_BATCH_WRITES {
                break;
            }
            next = self.work.try_recv().ok();
        }
        self.persist(&writes)?;
        match snapshot {
            Some(snapshot) => {
                self.state_bytes = snapshot.data.len() as u64;
                self.storage.save_snapshot(&snapshot)
            }
            None => Ok(()),
        }
    }

    /// Logs repairs, requests a snapshot if the log is long, and checks disk usage.
    fn check_storage(&mut self) {
        for note in self.storage.take_notes() {
            log::warn!("event=disk_repaired {note}");
        }
        if self.storage.wants_snapshot() && self.snapshot_requests.is_due() {
            self.inputs.request_snapshot();
        }
        self.space
            .check(&self.storage, self.state_bytes, &self.metrics);
    }

    fn persist(&mut self, requests: &[PersistRequest]) -> Result<(), StorageError> {
        if requests.is_empty() {
            return Ok(());
        }
        let writes: Vec<StorageWrite<'_>> = requests.iter().map(write_of).collect();
        let started = Instant::now();
        self.storage.write_batch(&writes)?;
        self.metrics.observe_sync(started.elapsed());
        for request in requests {
            let write = request.write;
            self.inputs.send(ControlInput::Persisted { write });
        }
        Ok(())
    }
}

fn write_of(request: &PersistRequest) -> StorageWrite<'_> {
    StorageWrite {
        hard_state: request.hard_state.as_ref(),
        snapshot: request.snapshot.as_ref(),
        entries: &request.entries,
    }
}
