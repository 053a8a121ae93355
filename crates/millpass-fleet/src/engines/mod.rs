//! Engines as instructed by the leader: one call at a time each, and the recorded state of each.
//!
//! An engine carries out an order only at the revision (count of accepted orders) that the order
//! names. The recorded use of memory and adapter slots must therefore never be below the actual use
//! at that revision. Any source may add to it. Only two may subtract: a state report that covers
//! all orders known to be accepted, in response to the pending read; and the response that the
//! pending unload is already done. Announcements carry no revision and may be seconds old: a
//! difference triggers a read.

mod announcements;
mod calls;

use crate::observed_state::Word;
use crate::pending::Pending;
pub(crate) use calls::Heard;
use millpass_proto::{
    AdapterName, CallId, Duration, HeldModel, InstanceId, InstructionOperation, ModelName,
    Timestamp, WeightsSource,
};
use std::collections::BTreeMap;

/// Expected maximum age of a reported state.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time after which an unanswered call counts as lost within this process. Exceeds the longest
/// queueing time plus the request timeout.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which an unanswered load can no longer be carried out: engines delay orders by at
/// most a few seconds.
const LATE_LOAD_LIMIT: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
struct Reading {
    call: CallId,
    since: Timestamp,
}

/// An unanswered load that the engine may still carry out.
#[derive(Clone, Debug)]
pub(crate) struct LostLoad {
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    at: Timestamp,
}

impl LostLoad {
    /// Creates a load that is unanswered as of `now`.
    pub(crate) fn new(now: Timestamp, model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        LostLoad {
            model: model.clone(),
            adapter: adapter.cloned(),
            at: now,
        }
    }
}

#[derive(Default)]
pub(crate) struct Engine {
    /// Number of accepted orders; none if unknown.
    pub(crate) revision: Option<u64>,
    /// Number of orders known to be accepted: a report of fewer is stale.
    least_revision: u64,
    /// When the last of them was accepted.
    accepted_at: Timestamp,
    pub(crate) pending: Option<Pending>,
    pub(crate) held: Vec<HeldModel>,
    pub(crate) in_memory: Vec<ModelName>,
    pub(crate) on_disk: Vec<ModelName>,
    /// Adapters being loaded; announcements do not list them.
    coming: Vec<(ModelName, AdapterName)>,
    /// Held adapters with an accepted unload: removed once their requests have completed.
    leaving: Vec<(ModelName, AdapterName)>,
    /// Unanswered loads of this incarnation.
    lost: Vec<LostLoad>,
    /// Unanswered loads of earlier incarnations, which this one may carry out at any revision.
    may_come: Vec<LostLoad>,
    /// When the set of held adapters last changed.
    adapters_changed_at: Timestamp,
    /// Start of the period in which announced adapters differ from the recorded ones.
    differs_since: Option<Timestamp>,
    /// An announcement shows that the pending unload is done.
    says_done: bool,
    /// Repetition of the pending unload, which confirms it faster than a state report: the engine
    /// responds that it is already done, at the revision named.
    confirming: Option<CallId>,
    /// When a read last showed the engine busy with an unknown order.
    busy_elsewhere_at: Option<Timestamp>,
    /// Its state could not be read: serves no requests until its next announcement.
    pub(crate) unreachable: bool,
    /// Model to load once the pending unload has freed memory.
    pub(crate) reserved: Option<ModelName>,
    pub(crate) reserved_at: Timestamp,
    loaded_at: BTreeMap<ModelName, Timestamp>,
    reading: Option<Reading>,
    read_after: Timestamp,
    /// Unanswered reads since the last announcement or response.
    silent_reads: u32,
    /// Source of the recorded state, and when it arrived.
    basis: Option<(Word, Timestamp)>,
}

impl Engine {
    /// Returns the source of the recorded state and when it arrived; none before the first read.
    pub(crate) fn basis(&self) -> Option<(Word, Timestamp)> {
        self.basis
    }

    pub(crate) fn rests_on(&mut self, now: Timestamp, word: Word) {
        self.basis = Some((word, now));
    }

    fn add_adapter(&mut self, model: &ModelName, adapter: AdapterName) {
        let held = self.held.iter_mut().find(|held| held.model == *model);
        if let Some(held) = held
            && !held.adapters.contains(&adapter)
        {
            held.adapters.push(adapter);
        }
    }

    fn drop_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        for held in self.held.iter_mut().filter(|held| held.model == *model) {
            held.adapters.retain(|name| name != adapter);
        }
    }

    /// Discards adapter transitions of a model that is gone.
    fn forget_moving(&mut self, model: &ModelName) {
        self.coming.retain(|(of, _)| of != model);
        self.leaving.retain(|(of, _)| of != model);
    }

    /// Returns the load from the weight store that the engine has accepted.
    pub(crate) fn store_load(&self) -> Option<&Pending> {
        self.pending
            .as_ref()
            .filter(|pending| pending.from_store && pending.accepted)
    }

    /// Returns whether it may be loading from the weight store: by a sent instruction, a
    /// reservation or an order of an earlier leader.
    pub(crate) fn may_load_from_store(&self, now: Timestamp) -> bool {
        let sent = self.pending.as_ref().is_some_and(|it| it.from_store);
        let follows = self.reserved.as_ref();
        let follows = follows.is_some_and(|model| self.source_of(model) == WeightsSource::Store);
        sent || follows || self.is_busy_elsewhere(now)
    }

    /// Returns whether it is carrying out an unknown order.
    pub(crate) fn is_busy_elsewhere(&self, now: Timestamp) -> bool {
        self.busy_elsewhere_at
            .is_some_and(|at| now.since(at) < CALL_LIMIT)
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Returns what it serves to new requests: everything held that is not being unloaded.
    pub(crate) fn serving(&self) -> Vec<HeldModel> {
        let mut serving = self.held.clone();
        serving.retain(|held| !self.unloading(&held.model));
        for HeldModel { model, adapters } in &mut serving {
            adapters.retain(|adapter| !self.sends_away(model, adapter));
        }
        serving
    }

    /// Returns where the model's weights would be loaded from.
    pub(crate) fn source_of(&self, model: &ModelName) -> WeightsSource {
        if self.in_memory.contains(model) {
            WeightsSource::Memory
        } else if self.on_disk.contains(model) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        }
    }

    /// Returns the adapter slots in use over all models, including adapters that are loading, not
    /// confirmed as unloaded, or may still be loaded by a late order.
    pub(crate) fn adapter_count(&self) -> usize {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        let may_come = self.may_come.iter().filter(|lost| lost.adapter.is_some());
        held + self.coming.len() + may_come.count()
    }

    /// Returns unanswered loads of earlier incarnations that this one may carry out.
    pub(crate) fn may_come(&self) -> &[LostLoad] {
        &self.may_come
    }

    /// Returns loads that a later incarnation may carry out: an engine checks the revision and its
    /// name, but not the incarnation an order was meant for.
    pub(crate) fn left_to_later_runs(&self, now: Timestamp) -> Vec<LostLoad> {
        let lately = |lost: &&LostLoad| now.since(lost.at) < LATE_LOAD_LIMIT;
        let lost = self
            .lost
            .iter()
            .chain(&self.may_come)
            .filter(lately)
            .cloned();
        let pending = self.pending.iter().filter(|pending| !pending.accepted);
        lost.chain(pending.filter_map(|pending| pending.lost(now)))
            .collect()
    }

    /// Adds unanswered loads of earlier incarnations.
    pub(crate) fn follows(&mut self, left: Vec<LostLoad>) {
        self.may_come.extend(left);
    }

    fn forget_late_loads(&mut self, now: Timestamp) {
        let lately = |lost: &LostLoad| now.since(lost.at) < LATE_LOAD_LIMIT;
        self.lost.retain(lately);
        self.may_come.retain(lately);
    }

    /// Returns whether the unload of the adapter has been accepted.
    pub(crate) fn is_leaving(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        is_among(&self.leaving, model, adapter)
    }

    /// Returns the adapters being loaded.
    pub(crate) fn coming(&self) -> &[(ModelName, AdapterName)] {
        &self.coming
    }

    /// Returns whether nothing is pending and nothing may be carried out late.
    fn is_at_rest(&self) -> bool {
        let under_way = self.pending.is_some()
            || self.reading.is_some()
            || self.confirming.is_some()
            || self.reserved.is_some();
        let may_come = !self.lost.is_empty() || !self.may_come.is_empty();
        let moves = !self.coming.is_empty() || !self.leaving.is_empty();
        !(under_way || may_come || moves)
    }

    /// Returns whether an instruction may be sent now.
    pub(crate) fn is_free(&self) -> bool {
        self.pending.is_none() && self.reading.is_none() && self.revision.is_some()
    }

    /// Returns models being loaded or about to be.
    pub(crate) fn brought(&self) -> impl Iterator<Item = &ModelName> {
        let load = InstructionOperation::Load;
        let pending = self.pending.as_ref();
        let loading = pending.filter(|it| it.operation == load && it.adapter.is_none());
        let loading = loading.map(|pending| &pending.model);
        loading.into_iter().chain(&self.reserved)
    }

    /// Returns the time until an incoming model with load time `load` is ready. Overdue
    /// instructions are expected to take as long again as they are overdue.
    pub(crate) fn ready_in(&self, now: Timestamp, model: &ModelName, load: Duration) -> Duration {
        let Some(pending) = &self.pending else {
            return load;
        };
        let left = if now < pending.done_at {
            pending.done_at.since(now)
        } else {
            now.since(pending.done_at)
        };
        if pending.operation == InstructionOperation::Load && pending.model == *model {
            return left;
        }
        left + load
    }

    pub(crate) fn unloading(&self, model: &ModelName) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload
                && pending.adapter.is_none()
                && pending.model == *model
        })
    }

    /// Returns whether a load of the model was sent less than `age` ago.
    pub(crate) fn is_fresh(&self, now: Timestamp, model: &ModelName, age: Duration) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|at| now.since(*at) < age)
    }
}

/// Applies announced weight copies: removes copies that are gone and adds those of held models.
/// Other copies may be stale, and their loads would be counted as loads from the weight store as
/// well.
fn take_copies(
    known: &mut Vec<ModelName>,
    announced: &[ModelName],
    holds: impl Fn(&ModelName) -> bool,
) {
    known.retain(|model| announced.contains(model));
    let left = announced.iter().filter(|model| holds(model));
    let new: Vec<ModelName> = left
        .filter(|model| !known.contains(model))
        .cloned()
        .collect();
    known.extend(new);
}

fn adapters(held: &[HeldModel]) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(move |adapter| (&held.model, adapter))
    })
}

fn lists(held: &[HeldModel], model: &ModelName, adapter: &AdapterName) -> bool {
    let mut held = held.iter();
    held.any(|held| held.model == *model && held.adapters.contains(adapter))
}

fn is_among(list: &[(ModelName, AdapterName)], model: &ModelName, adapter: &AdapterName) -> bool {
    list.iter().any(|(of, name)| of == model && name == adapter)
}

/// Returns whether all models of `held`, except one, are among `others`.
fn all_within(but: Option<&ModelName>, held: &[HeldModel], others: &[HeldModel]) -> bool {
    held.iter()
        .map(|held| &held.model)
        .filter(|model| Some(*model) != but)
        .all(|model| others.iter().any(|other| other.model == *model))
}

/// Engines by incarnation.
#[derive(Default)]
pub(crate) struct Engines {
    pub(crate) engines: BTreeMap<InstanceId, Engine>,
}

impl Engines {
    /// Returns whether nothing is pending at an engine and nothing may be carried out late. True
    /// for instances that are not engines.
    pub(crate) fn is_at_rest(&self, instance: &InstanceId) -> bool {
        self.engines.get(instance).is_none_or(Engine::is_at_rest)
    }
}
