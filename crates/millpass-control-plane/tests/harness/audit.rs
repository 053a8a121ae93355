//! What must hold of the replicated state at every applied index.

use millpass_proto::*;
use millpass_state::{State, replica_bytes_each};
use std::collections::BTreeMap;

/// The committed log as any member saw it, applied entry by entry and checked after each.
#[derive(Default)]
pub struct Audit {
    pub state: State,
    entries: BTreeMap<u64, LogEntry>,
    applied: u64,
}

impl Audit {
    /// Takes an entry that a member counts as committed.
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

    /// Committed memberships, in order.
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

/// The ledger adds up on every accelerator, and no model has more replicas than its maximum.
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
            assert_eq!(sum, *capacity, "ledger of {backend:?}");
        }
    }
    for (name, model) in state.models() {
        let decided = state.replicas_of(&name).len();
        assert!(decided <= model.maximum_replicas as usize, "{name}");
    }
}
