//! What a leader knows of the instructions of the leaders before it.
//!
//! Engines may hear from one leader only for some time after the last instruction of another. Each
//! instruction is noted in the replicated log before it leaves, so a new leader knows which engines
//! nobody has instructed lately, and steers those at once.

use millpass_proto::{Duration, InstanceId, InstructionIntent, Timestamp};
use std::collections::BTreeMap;

/// Instructions as the replicated log told them, by the clock of this member. A note is applied
/// after its instruction may have left no earlier than the note was committed; a member that applies
/// it late believes it to be younger than it is, never older.
#[derive(Clone, Debug)]
pub struct InstructionHistory {
    /// Instructions noted before this time may be missing.
    complete_since: Timestamp,
    /// By name: engines may not hear from two leaders in turn, whichever of their runs each meant.
    last: BTreeMap<String, Timestamp>,
    store_loads: Vec<Timestamp>,
    /// Loads from the weight store at once that go at full speed, in hundredths, as last noted.
    store_capacity: Option<u32>,
    keep: Duration,
}

impl InstructionHistory {
    /// Begins to listen; what was noted before is not known. Notes are kept for `keep` at least.
    pub fn new(now: Timestamp, keep: Duration) -> Self {
        InstructionHistory {
            complete_since: now,
            last: BTreeMap::new(),
            store_loads: Vec::new(),
            store_capacity: None,
            keep,
        }
    }

    /// Takes a note that was committed.
    pub fn note(&mut self, now: Timestamp, note: &InstructionIntent) {
        let keep = self.keep;
        self.last.retain(|_, at| now.since(*at) < keep);
        self.store_loads.retain(|at| now.since(*at) < keep);
        for instance in &note.instances {
            self.last.insert(instance.name().to_owned(), now);
        }
        self.store_loads.extend((0..note.store_loads).map(|_| now));
    }

    /// Takes what a leader knew of the weight store.
    pub fn note_store_capacity(&mut self, hundredths: u32) {
        self.store_capacity = Some(hundredths);
    }

    /// Loads from the weight store at once that go at full speed, in hundredths, as far as an earlier leader
    /// knew.
    pub(crate) fn store_capacity(&self) -> Option<u32> {
        self.store_capacity
    }

    /// When another leader than the one of the last note may instruct an engine, if engines must
    /// not hear from two of them within `pause`.
    pub(crate) fn open_from(&self, instance: &InstanceId, pause: Duration) -> Timestamp {
        let last = self.last.get(instance.name()).copied();
        last.unwrap_or(self.complete_since) + pause
    }

    /// Since when it holds every note.
    pub(crate) fn complete_since(&self) -> Timestamp {
        self.complete_since
    }

    /// When loads from the weight store were noted, the oldest first.
    pub(crate) fn store_loads(&self) -> &[Timestamp] {
        &self.store_loads
    }
}
