//! Instructions of earlier leaders, from the replicated log. Engines must not receive instructions
//! from two leaders within a handover period, so each instruction is recorded in the log before it
//! is sent: a new leader finds there which engines it may instruct at once.

use millpass_proto::{Duration, InstanceId, InstructionIntent, Timestamp};
use std::collections::BTreeMap;

/// Instructions recorded in the replicated log, by the clock of this member. A record is applied
/// after it was committed, so an instruction may be older than assumed, never newer.
#[derive(Clone, Debug)]
pub struct InstructionHistory {
    /// Instructions recorded before this time may be missing.
    complete_since: Timestamp,
    /// By instance name, because the handover period applies to all incarnations.
    last_instructions: BTreeMap<String, Timestamp>,
    store_loads: Vec<Timestamp>,
    /// Loads from the weight store at full speed at once, in hundredths, as last recorded.
    store_capacity: Option<u32>,
    retention: Duration,
}

impl InstructionHistory {
    /// Creates an empty history; earlier records are unknown. Records are kept for at least
    /// `retention`.
    pub fn new(now: Timestamp, retention: Duration) -> Self {
        InstructionHistory {
            complete_since: now,
            last_instructions: BTreeMap::new(),
            store_loads: Vec::new(),
            store_capacity: None,
            retention,
        }
    }

    /// Applies a committed instruction record.
    pub fn record(&mut self, now: Timestamp, intent: &InstructionIntent) {
        let retention = self.retention;
        self.last_instructions
            .retain(|_, at| now.since(*at) < retention);
        self.store_loads.retain(|at| now.since(*at) < retention);
        for instance in &intent.instances {
            self.last_instructions
                .insert(instance.name().to_owned(), now);
        }
        self.store_loads
            .extend((0..intent.store_loads).map(|_| now));
    }

    /// Applies a committed store capacity, in hundredths of a load.
    pub fn record_store_capacity(&mut self, hundredths: u32) {
        self.store_capacity = Some(hundredths);
    }

    /// Returns the store capacity recorded by earlier leaders, in hundredths of a load; none if
    /// unknown.
    pub(crate) fn store_capacity(&self) -> Option<u32> {
        self.store_capacity
    }

    /// Returns when another leader may instruct the engine, if `pause` must pass after its last
    /// instruction.
    pub(crate) fn instructable_from(&self, instance: &InstanceId, pause: Duration) -> Timestamp {
        let last_instruction = self.last_instructions.get(instance.name()).copied();
        last_instruction.unwrap_or(self.complete_since) + pause
    }

    /// Returns the time since which all records are known.
    pub(crate) fn complete_since(&self) -> Timestamp {
        self.complete_since
    }

    /// Returns when loads from the weight store were recorded, the oldest first.
    pub(crate) fn store_loads(&self) -> &[Timestamp] {
        &self.store_loads
    }
}
