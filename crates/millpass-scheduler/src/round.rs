//! One scheduling round: its inputs and the commands it collects.

use crate::loads::LoadsInProgress;
use crate::memory::MemoryTable;
use crate::proposals::{ProposalKey, Proposals};
use millpass_proto::{
    AdapterDecision, Command, Duration, PlaceReplica, Replica, RetireReplica, SlotId, Timestamp,
};
use millpass_state::{State, adapter_bytes_each, replica_bytes_each, version_bytes_each};
use std::collections::{BTreeMap, BTreeSet};

/// A round in progress.
pub struct Round<'a> {
    pub now: Timestamp,
    pub state: &'a State,
    /// Free memory, less proposed loads.
    pub memory: MemoryTable<'a>,
    /// Loads in progress, including proposed ones.
    pub loads: LoadsInProgress,
    /// Size of the largest adapter in the catalog.
    pub adapter_headroom: u64,
    /// True once demand is known well enough to retire replicas.
    pub may_retire: bool,
    /// Slots retired or proposed for retirement.
    pub retiring: BTreeSet<SlotId>,
    /// Idle replicas that may be evicted, per engine index; computed on first use.
    pub eviction_candidates: Option<BTreeMap<usize, Vec<crate::eviction::EvictionCandidate<'a>>>>,
    /// Commands to propose, in order.
    commands: Vec<(ProposalKey, Command)>,
}

impl<'a> Round<'a> {
    /// Starts a round and reserves memory for pending proposals.
    pub fn new(
        now: Timestamp,
        state: &'a State,
        loads: LoadsInProgress,
        proposals: &Proposals,
        may_retire: bool,
    ) -> Self {
        let mut round = Round {
            now,
            state,
            memory: MemoryTable::new(state),
            loads,
            adapter_headroom: state.largest_adapter_bytes(),
            may_retire,
            retiring: BTreeSet::new(),
            eviction_candidates: None,
            commands: Vec::new(),
        };
        for place in proposals.placements() {
            round.reserve_placement(place);
        }
        for decision in proposals.attachments() {
            round.reserve_adapter(decision);
        }
        for slot in proposals.retirements() {
            if let Some(replica) = state.replica(slot) {
                round.mark_retiring(replica);
            }
        }
        round
    }

    /// Proposes a placement.
    pub fn place(&mut self, place: PlaceReplica) {
        self.reserve_placement(&place);
        let key = ProposalKey::Place(place.model.clone());
        self.commands.push((key, Command::PlaceReplica(place)));
    }

    /// Proposes an unload, unless one is already proposed.
    pub fn retire(&mut self, replica: &Replica) {
        let slot = replica.slot;
        if self.retiring.contains(&slot) {
            return;
        }
        self.mark_retiring(replica);
        let command = Command::RetireReplica(RetireReplica { slot });
        self.commands.push((ProposalKey::Retire(slot), command));
    }

    /// Proposes to attach an adapter to a replica.
    pub fn attach(&mut self, decision: AdapterDecision) {
        self.reserve_adapter(&decision);
        let key = ProposalKey::Adapter(decision.slot, decision.adapter.clone());
        self.commands.push((key, Command::AttachAdapter(decision)));
    }

    /// Proposes to detach an adapter.
    pub fn detach(&mut self, decision: AdapterDecision) {
        let key = ProposalKey::Adapter(decision.slot, decision.adapter.clone());
        self.commands.push((key, Command::DetachAdapter(decision)));
    }

    /// Records the proposals and returns their commands.
    pub fn finish(self, proposals: &mut Proposals, expiry: Duration) -> Vec<Command> {
        let expires = self.now + expiry;
        let mut commands = Vec::with_capacity(self.commands.len());
        for (key, command) in self.commands {
            proposals.insert(key, command.clone(), expires);
            commands.push(command);
        }
        commands
    }

    fn mark_retiring(&mut self, replica: &Replica) {
        self.retiring.insert(replica.slot);
        if let Some(index) = self.memory.index_of(&replica.backend) {
            let bytes = replica_bytes_each(replica);
            let engine = self.memory.engine_mut(index);
            engine.add_pending_free(&replica.accelerators, bytes);
        }
    }

    fn reserve_placement(&mut self, place: &PlaceReplica) {
        let version = self.state.version(&place.model, &place.version);
        let index = self.memory.index_of(&place.backend);
        if let (Some(version), Some(index)) = (version, index) {
            let bytes = version_bytes_each(version, place.accelerators.len() as u32);
            let engine = self.memory.engine_mut(index);
            engine.reserve(&place.accelerators, bytes);
        }
    }

    fn reserve_adapter(&mut self, decision: &AdapterDecision) {
        let replica = self.state.replica(decision.slot);
        let adapter = self.state.adapter(&decision.adapter);
        let (Some(replica), Some(adapter)) = (replica, adapter) else {
            return;
        };
        if let Some(index) = self.memory.index_of(&replica.backend) {
            let bytes = adapter_bytes_each(adapter.bytes, replica.accelerators.len());
            let engine = self.memory.engine_mut(index);
            engine.reserve(&replica.accelerators, bytes);
        }
    }
}
