//! Simulated disk with synced state and pending writes.

use super::values::no_vote;
use millpass_consensus::{PersistRequest, RestoredLog};
use millpass_proto::{HardState, LogEntry, LogPosition, Snapshot, SnapshotMeta};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct Disk {
    pub hard_state: HardState,
    pub meta: SnapshotMeta,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
    pub pending: VecDeque<PersistRequest>,
}

impl Disk {
    pub fn new(meta: SnapshotMeta) -> Self {
        Disk {
            hard_state: no_vote(0),
            meta,
            snapshot: None,
            entries: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    pub fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.meta.last, |entry| entry.position)
    }

    /// Syncs the pending writes up to this number.
    pub fn sync_up_to(&mut self, write: u64) {
        while self.pending.front().is_some_and(|next| next.write <= write) {
            if let Some(request) = self.pending.pop_front() {
                self.apply(request);
            }
        }
    }

    fn apply(&mut self, request: PersistRequest) {
        if let Some(hard_state) = request.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = request.snapshot {
            self.entries.clear();
            self.meta = snapshot.meta.clone();
            self.snapshot = Some(snapshot);
        }
        let covered = self.meta.last.index;
        let mut entries = request.entries;
        entries.retain(|entry| entry.position.index > covered);
        let Some(first) = entries.first() else {
            return;
        };
        let first = first.position.index;
        self.entries.retain(|entry| entry.position.index < first);
        assert_eq!(self.last().index + 1, first, "a write leaves a gap");
        self.entries.extend(entries);
    }

    /// Saves a snapshot of applied entries.
    pub fn save_snapshot(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last.index;
        self.entries.retain(|entry| entry.position.index > last);
        self.meta = snapshot.meta.clone();
        self.snapshot = Some(snapshot);
    }

    /// Crashes; only the first `survive` pending writes reach the disk.
    pub fn crash(&mut self, survive: usize) {
        for request in std::mem::take(&mut self.pending).into_iter().take(survive) {
            self.apply(request);
        }
    }

    pub fn restored(&self) -> RestoredLog {
        RestoredLog {
            hard_state: self.hard_state.clone(),
            snapshot: self.meta.clone(),
            entries: self.entries.clone(),
        }
    }
}
