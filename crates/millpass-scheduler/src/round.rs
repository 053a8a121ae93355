//! One scheduling round: what it reads once, and the commands that it collects.

use crate::loads::LoadsUnderWay;
use crate::memory::MemoryTable;
use crate::proposals::{Proposals, Subject};
use millpass_proto::{
    AdapterDecision, Command, Duration, PlaceReplica, Replica, RetireReplica, SlotId, Timestamp,
};
use millpass_state::{State, adapter_bytes_each, replica_bytes_each, version_bytes_each};
use std::collections::{BTreeMap, BTreeSet};

/// A round in progress.
pub struct Round<'a> {
    /// Time.
    pub now: Timestamp,
    /// State that the round reads.
    pub state: &'a State,
    /// Free memory, less what is proposed.
    pub memory: MemoryTable<'a>,
    /// Loads under way, with those proposed.
    pub loads: LoadsUnderWay,
    /// Bytes of the largest adapter of the catalog.
    pub headroom: u64,
    /// Whether demand has been heard for long enough to retire anything.
    pub may_retire: bool,
    /// Slots that are, or are proposed to be, retired.
    pub retiring: BTreeSet<SlotId>,
    /// Idle replicas per engine that may be evicted; built when first needed.
    pub evictable: Option<BTreeMap<usize, Vec<crate::evicting::Evictable<'a>>>>,
    /// Commands to propose, in order, each with its subject.
    commands: Vec<(Subject, Command)>,
}

impl<'a> Round<'a> {
    /// Starts a round; memory of placements under way is reserved.
    pub fn new(
        now: Timestamp,
        state: &'a State,
        loads: LoadsUnderWay,
        proposals: &Proposals,
        may_retire: bool,
    ) -> Self {
        let mut round = Round {
            now,
            state,
            memory: MemoryTable::new(state),
            loads,
            headroom: state.largest_adapter_bytes(),
            may_retire,
            retiring: BTreeSet::new(),
            evictable: None,
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
        let subject = Subject::Place(place.model.clone());
        self.commands.push((subject, Command::PlaceReplica(place)));
    }

    /// Proposes an unload.
    pub fn retire(&mut self, replica: &Replica) {
        let slot = replica.slot;
        if self.retiring.contains(&slot) {
            return;
        }
        self.mark_retiring(replica);
        let command = Command::RetireReplica(RetireReplica { slot });
        self.commands.push((Subject::Retire(slot), command));
    }

    /// Proposes an adapter beside a replica.
    pub fn attach(&mut self, decision: AdapterDecision) {
        self.reserve_adapter(&decision);
        let subject = Subject::Adapter(decision.slot, decision.adapter.clone());
        self.commands
            .push((subject, Command::AttachAdapter(decision)));
    }

    /// Proposes to unload an adapter.
    pub fn detach(&mut self, decision: AdapterDecision) {
        let subject = Subject::Adapter(decision.slot, decision.adapter.clone());
        self.commands
            .push((subject, Command::DetachAdapter(decision)));
    }

    /// Ends the round: notes the proposals and gives the commands.
    pub fn finish(self, proposals: &mut Proposals, expiry: Duration) -> Vec<Command> {
        let expires = self.now + expiry;
        let mut commands = Vec::with_capacity(self.commands.len());
        for (subject, command) in self.commands {
            proposals.insert(subject, command.clone(), expires);
            commands.push(command);
        }
        commands
    }

    fn mark_retiring(&mut self, replica: &Replica) {
        self.retiring.insert(replica.slot);
        if let Some(index) = self.memory.index_of(&replica.backend) {
            let bytes = replica_bytes_each(replica);
            let engine = self.memory.engine_mut(index);
            engine.free_soon(&replica.accelerators, bytes);
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
