//! Invariants of the replicated state at every applied index.

use millpass_proto::*;
use millpass_state::{State, replica_bytes_each};
use std::collections::BTreeMap;

/// The committed log as seen by any member, applied and checked entry by entry.
#[derive(Default)]
pub struct Audit {
    pub state: State,
    entries: BTreeMap<u64, LogEntry>,
    applied: u64,
}

impl Audit {
    /// Records an entry that a member considers committed.
    pub fn committed(&mut self, entry: &LogEntry) {
        let index = entry.position.index;
        if let Some(known) = self.entries.get(&index) {
            assert_eq!(known, entry, "two entries committed at {index}");
            return;
        }
        self.entries.insert(index, entry.clone());
        while let Some(next) = self.entries.get(&(self.applied + 1)) {
            self.applied += 1;
            if let EntryPayload::Command(command) = &next.payload {
                self.state.apply(next.position, command);
            }
            check(&self.state);
        }
    }

    /// Returns the committed memberships, in order.
    pub fn memberships(&self) -> Vec<&Membership> {
        let payloads = self.entries.values().map(|entry| &entry.payload);
        payloads
            .filter_map(|payload| match payload {
                EntryPayload::Membership(membership) => Some(membership),
                _ => None,
            })
            .collect()
    }
}

/// Asserts that the ledger is balanced on every accelerator and no model exceeds its maximum
/// replicas.
pub fn check(state: &State) {
    for (backend, free) in state.backends_with_memory() {
        let capacity = &backend.registration.accelerator_bytes;
        let mut reserved = vec![0; capacity.len()];
        for replica in state.replicas_on(&backend.registration.backend) {
            for accelerator in &replica.accelerators {
                reserved[*accelerator as usize] += replica_bytes_each(replica);
            }
        }
        for (place, capacity) in capacity.iter().enumerate() {
            let sum = reserved[place] + free[place];
            assert_eq!(sum, *capacity, "unbalanced ledger of {backend:?}");
        }
    }
    for (name, model) in state.models() {
        let decided = state.replicas_of(&name).len();
        assert!(decided <= model.maximum_replicas as usize, "{name}");
    }
}
