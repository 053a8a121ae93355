//! Pending proposals: commands that are not yet visible in the state and must not be proposed
//! again.

use millpass_proto::{
    AdapterDecision, AdapterName, Command, ModelName, PlaceReplica, SlotId, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Subject of a proposal; at most one proposal per key is pending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProposalKey {
    /// Another replica of a model.
    Place(ModelName),
    /// The unload of a slot.
    Retire(SlotId),
    /// Attaching or detaching an adapter at a slot.
    Adapter(SlotId, AdapterName),
}

#[derive(Clone, Debug)]
struct Proposal {
    command: Command,
    expires: Timestamp,
}

#[derive(Clone, Debug, Default)]
pub struct Proposals {
    pending: BTreeMap<ProposalKey, Proposal>,
}

impl Proposals {
    /// Removes proposals that were applied, became invalid or expired.
    pub fn refresh(&mut self, now: Timestamp, state: &State) {
        self.pending.retain(|_, proposal| {
            proposal.expires > now && is_applicable(state, &proposal.command)
        });
    }

    pub fn insert(&mut self, key: ProposalKey, command: Command, expires: Timestamp) {
        self.pending.insert(key, Proposal { command, expires });
    }

    pub fn contains(&self, key: &ProposalKey) -> bool {
        self.pending.contains_key(key)
    }

    /// Pending placements.
    pub fn placements(&self) -> impl Iterator<Item = &PlaceReplica> {
        let proposals = self.pending.values();
        proposals.filter_map(|proposal| match &proposal.command {
            Command::PlaceReplica(place) => Some(place),
            _ => None,
        })
    }

    /// Slots with a pending unload.
    pub fn retirements(&self) -> impl Iterator<Item = SlotId> {
        let keys = self.pending.keys();
        keys.filter_map(|key| match key {
            ProposalKey::Retire(slot) => Some(*slot),
            _ => None,
        })
    }

    /// Pending adapter loads.
    pub fn attachments(&self) -> impl Iterator<Item = &AdapterDecision> {
        let proposals = self.pending.values();
        proposals.filter_map(|proposal| match &proposal.command {
            Command::AttachAdapter(decision) => Some(decision),
            _ => None,
        })
    }
}

/// Returns true if the command would still take effect on this state.
fn is_applicable(state: &State, command: &Command) -> bool {
    match command {
        Command::PlaceReplica(place) => state.check_place(place).is_ok(),
        Command::RetireReplica(retire) => {
            let replica = state.replica(retire.slot);
            replica.is_some_and(|replica| replica.phase != millpass_proto::ReplicaPhase::Unloading)
        }
        Command::AttachAdapter(decision) => state.check_attach(decision).is_ok(),
        Command::DetachAdapter(decision) => attached(state, decision),
        _ => false,
    }
}

fn attached(state: &State, decision: &AdapterDecision) -> bool {
    let replica = state.replica(decision.slot);
    let mut adapters = replica.into_iter().flat_map(|replica| &replica.adapters);
    adapters.any(|attachment| {
        attachment.adapter == decision.adapter
            && attachment.phase != millpass_proto::AdapterPhase::Unloading
    })
}
