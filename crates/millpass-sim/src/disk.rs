//! A control member's disk: what was synced survives a kill, what was not may or may not.

use crate::random::Random;
use millpass_consensus::{PersistRequest, RestoredLog};
use millpass_proto::{HardState, LogEntry, Snapshot};
use std::collections::VecDeque;

/// What a disk holds.
#[derive(Clone)]
pub struct Disk {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
    unsynced: VecDeque<PersistRequest>,
}

impl Disk {
    /// A disk with a snapshot and nothing else.
    pub fn new(hard_state: HardState, snapshot: Snapshot) -> Self {
        Disk {
            hard_state,
            snapshot,
            entries: Vec::new(),
            unsynced: VecDeque::new(),
        }
    }

    /// Takes a write that is not synced yet.
    pub fn write(&mut self, request: PersistRequest) {
        self.unsynced.push_back(request);
    }

    /// Syncs every write up to this number.
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

    /// Saves a snapshot of the applied state and drops the log before it.
    pub fn save_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.meta.last.index <= self.snapshot.meta.last.index {
            return;
        }
        let covered = snapshot.meta.last.index;
        self.entries.retain(|entry| entry.position.index > covered);
        self.snapshot = snapshot;
    }

    /// The process dies: of the writes not synced, a random number from the first on survive.
    pub fn crash(&mut self, random: &mut Random) {
        let survivors = random.index(self.unsynced.len() + 1);
        let unsynced = std::mem::take(&mut self.unsynced);
        for request in unsynced.into_iter().take(survivors) {
            self.apply(request);
        }
    }

    /// Drops the newest synced entries, which no honest disk does.
    pub fn lose_synced(&mut self, count: usize) {
        let kept = self.entries.len().saturating_sub(count);
        self.entries.truncate(kept);
        self.hard_state.voted_for = None;
    }

    /// What a process that starts reads.
    pub fn restore(&self) -> (RestoredLog, &[u8]) {
        let restored = RestoredLog {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.meta.clone(),
            entries: self.entries.clone(),
        };
        (restored, &self.snapshot.data)
    }

    /// Entries after the snapshot.
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
