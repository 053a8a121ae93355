//! The disk's thread: writes what the core asks for, several writes under one sync, and reports
//! each as persisted only after the sync. A failed write ends the member: what the disk holds is
//! then not known any more.

use crate::disk_watch::{DiskWatch, RoomWatch};
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

/// Most writes under one sync.
const BATCH: usize = 256;
/// Time after which the core is asked again for a snapshot that has not come.
pub(crate) const SNAPSHOT_PATIENCE: Duration = Duration::from_secs(1);

/// Work for the disk.
pub(crate) enum DiskWork {
    /// Write and sync.
    Persist(PersistRequest),
    /// Save a snapshot and drop the log before it.
    Snapshot(Snapshot),
}

/// The disk's thread.
pub(crate) struct Disk {
    pub(crate) storage: Storage,
    pub(crate) work: Receiver<DiskWork>,
    pub(crate) inputs: Inputs,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) watch: Arc<DiskWatch>,
    pub(crate) room: RoomWatch,
    /// For asking the core for a snapshot, as the log is long.
    pub(crate) snapshot_requests: Throttle,
    /// Size of the newest snapshot's state, in bytes.
    pub(crate) state_bytes: u64,
}

impl Disk {
    /// Body of the thread; ends when the core drops its end of the queue, or on a failed write.
    pub(crate) fn run(mut self) {
        while let Ok(first) = self.work.recv() {
            self.watch.begins();
            let carried_out = self.carry_out(first);
            self.watch.ends();
            if let Err(error) = carried_out {
                log::error!("event=disk_failed error={:?}", error.to_string());
                return self.inputs.disk_failed(error);
            }
            self.look_around();
        }
    }

    fn carry_out(&mut self, first: DiskWork) -> Result<(), StorageError> {
        let mut writes = Vec::new();
        let mut snapshot = None;
        let mut next = Some(first);
        while let Some(work) = next {
            match work {
                DiskWork::Persist(request) => writes.push(request),
                DiskWork::Snapshot(taken) => {
                    snapshot = Some(taken);
                    break;
                }
            }
            if writes.len() == BATCH {
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

    /// What a write leaves to be said or asked for.
    fn look_around(&mut self) {
        for note in self.storage.take_notes() {
            log::warn!("event=disk_repaired {note}");
        }
        if self.storage.is_snapshot_due() && self.snapshot_requests.is_due() {
            self.inputs.want_snapshot();
        }
        self.room
            .look(&self.storage, self.state_bytes, &self.metrics);
    }

    fn persist(&mut self, requests: &[PersistRequest]) -> Result<(), StorageError> {
        if requests.is_empty() {
            return Ok(());
        }
        let writes: Vec<StorageWrite<'_>> = requests.iter().map(write_of).collect();
        let started = Instant::now();
        self.storage.write_batch(&writes)?;
        self.metrics.sync_took(started.elapsed());
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
