//! Commands proposed and not yet seen in the state, so that none is proposed twice.

use millpass_proto::{
    AdapterDecision, AdapterName, Command, ModelName, PlaceReplica, SlotId, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// What a proposal is about; there is at most one proposal under way for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// One more replica of a model.
    Place(ModelName),
    /// The unload of a slot.
    Retire(SlotId),
    /// An adapter beside a slot.
    Adapter(SlotId, AdapterName),
}

/// A proposal under way.
#[derive(Clone, Debug)]
struct Proposal {
    command: Command,
    expires: Timestamp,
}

/// The proposals under way.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    under_way: BTreeMap<Subject, Proposal>,
}

impl Proposals {
    /// Drops proposals that the state shows as applied, or that have expired.
    pub fn refresh(&mut self, now: Timestamp, state: &State) {
        self.under_way
            .retain(|_, proposal| proposal.expires > now && is_open(state, &proposal.command));
    }

    /// Notes a proposal.
    pub fn insert(&mut self, subject: Subject, command: Command, expires: Timestamp) {
        self.under_way
            .insert(subject, Proposal { command, expires });
    }

    /// Whether a proposal about this is under way.
    pub fn contains(&self, subject: &Subject) -> bool {
        self.under_way.contains_key(subject)
    }

    /// Placements under way.
    pub fn placements(&self) -> impl Iterator<Item = &PlaceReplica> {
        let proposals = self.under_way.values();
        proposals.filter_map(|proposal| match &proposal.command {
            Command::PlaceReplica(place) => Some(place),
            _ => None,
        })
    }

    /// Slots whose unload is under way.
    pub fn retirements(&self) -> impl Iterator<Item = SlotId> {
        let subjects = self.under_way.keys();
        subjects.filter_map(|subject| match subject {
            Subject::Retire(slot) => Some(*slot),
            _ => None,
        })
    }

    /// Adapter loads under way.
    pub fn attachments(&self) -> impl Iterator<Item = &AdapterDecision> {
        let proposals = self.under_way.values();
        proposals.filter_map(|proposal| match &proposal.command {
            Command::AttachAdapter(decision) => Some(decision),
            _ => None,
        })
    }
}

/// Whether a command could still take effect: the state would not refuse it as it stands.
fn is_open(state: &State, command: &Command) -> bool {
    match command {
        Command::PlaceReplica(place) => state.check_place(place).is_ok(),
        Command::RetireReplica(retire) => {
            let replica = state.replica(retire.slot);
            replica.is_some_and(|one| one.phase != millpass_proto::ReplicaPhase::Unloading)
        }
        Command::AttachAdapter(decision) => state.check_attach(decision).is_ok(),
        Command::DetachAdapter(decision) => attached(state, decision),
        _ => false,
    }
}

fn attached(state: &State, decision: &AdapterDecision) -> bool {
    let replica = state.replica(decision.slot);
    let mut adapters = replica.into_iter().flat_map(|replica| &replica.adapters);
    adapters.any(|one| {
        one.adapter == decision.adapter && one.phase != millpass_proto::AdapterPhase::Unloading
    })
}
