//! A control member's disk. Synced writes survive a kill; a random prefix of the others does too.

use crate::random::Random;
use millpass_consensus::{PersistRequest, RestoredLog};
use millpass_proto::{HardState, LogEntry, Snapshot};
use std::collections::VecDeque;

/// Content of a disk.
#[derive(Clone)]
pub struct Disk {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
    unsynced: VecDeque<PersistRequest>,
}

impl Disk {
    /// Creates a disk with a snapshot and an empty log.
    pub fn new(hard_state: HardState, snapshot: Snapshot) -> Self {
        Disk {
            hard_state,
            snapshot,
            entries: Vec::new(),
            unsynced: VecDeque::new(),
        }
    }

    /// Adds a write that is not yet synced.
    pub fn write(&mut self, request: PersistRequest) {
        self.unsynced.push_back(request);
    }

    /// Syncs all writes up to this number, inclusive.
    pub fn sync(&mut self, write: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|first| first.write <= write)
        {
            if let Some(request) = self.unsynced.pop_front() {
                self.apply(request);
            }
        }
    }

    /// Stores a newer snapshot and truncates the log it covers.
    pub fn save_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.meta.last.index <= self.snapshot.meta.last.index {
            return;
        }
        let covered = snapshot.meta.last.index;
        self.entries.retain(|entry| entry.position.index > covered);
        self.snapshot = snapshot;
    }

    /// Applies a random prefix of the writes not synced and drops the rest, as a kill may.
    pub fn crash(&mut self, random: &mut Random) {
        let survivors = random.index(self.unsynced.len() + 1);
        let unsynced = std::mem::take(&mut self.unsynced);
        for request in unsynced.into_iter().take(survivors) {
            self.apply(request);
        }
    }

    /// Drops the last synced entries and the vote, as a faulty disk would.
    pub fn lose_synced(&mut self, count: usize) {
        let kept = self.entries.len().saturating_sub(count);
        self.entries.truncate(kept);
        self.hard_state.voted_for = None;
    }

    /// Returns the state that a starting process reads.
    pub fn restore(&self) -> (RestoredLog, &[u8]) {
        let restored = RestoredLog {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.meta.clone(),
            entries: self.entries.clone(),
        };
        (restored, &self.snapshot.data)
    }

    /// Returns the entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    fn apply(&mut self, request: PersistRequest) {
        if let Some(hard_state) = request.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = request.snapshot {
            self.entries.clear();
            self.snapshot = snapshot;
        }
        if let Some(first) = request.entries.first() {
            let cut = first.position.index;
            self.entries.retain(|entry| entry.position.index < cut);
            self.entries.extend(request.entries);
        }
    }
}
