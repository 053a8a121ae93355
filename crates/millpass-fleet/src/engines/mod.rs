//! Engines as the leader steers them: one call at a time for each, and what each holds, as far as that is proven.
//!
//! An engine carries out an order only at the count of orders that the order names. So what is believed to fill its memory
//! and its places may never be less than what the engine holds at that count. Anything may add to it. Only these take away:
//! a report of the engine's state that covers all orders which it has surely taken, in answer to the read that is awaited;
//! and the engine's word that an unload, the order that is awaited, is done already. Announcements carry no count and may
//! be seconds old: one that differs makes the state be read.

mod announcements;
mod calls;

use crate::belief::Word;
use crate::pending::Pending;
pub(crate) use calls::Heard;
use millpass_proto::{
    AdapterName, CallId, Duration, HeldModel, InstanceId, InstructionOperation, ModelName,
    Timestamp, WeightsSource,
};
use std::collections::BTreeMap;

/// How old a state may be that an engine reports.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time without an answer after which a call counts as lost inside this process: above the time that it may wait to leave
/// and then to be answered.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a load that was not answered is not carried out any more: engines do so some seconds later at most
/// (docs/PLATFORM.md).
const LATE_LOAD_LIMIT: Duration = Duration::from_secs(15);

/// A read of the state under way.
#[derive(Clone, Copy, Debug)]
struct Reading {
    call: CallId,
    since: Timestamp,
}

/// A load that may be carried out late.
#[derive(Clone, Debug)]
pub(crate) struct LostLoad {
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    at: Timestamp,
}

impl LostLoad {
    /// A load that was not answered by now.
    pub(crate) fn new(now: Timestamp, model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        LostLoad {
            model: model.clone(),
            adapter: adapter.cloned(),
            at: now,
        }
    }
}

/// One engine.
#[derive(Default)]
pub(crate) struct Engine {
    /// Orders it has taken; none while unknown.
    pub(crate) revision: Option<u64>,
    /// Orders it has surely taken: a report of fewer is older than the last of them.
    least_revision: u64,
    /// When it accepted the last of them.
    accepted_at: Timestamp,
    pub(crate) pending: Option<Pending>,
    pub(crate) held: Vec<HeldModel>,
    pub(crate) in_memory: Vec<ModelName>,
    pub(crate) on_disk: Vec<ModelName>,
    /// Adapters on their way; no announcement lists them.
    coming: Vec<(ModelName, AdapterName)>,
    /// Adapters among those held whose unload was accepted: they go once their runs are done.
    leaving: Vec<(ModelName, AdapterName)>,
    /// Loads that were not answered, and when that was noticed.
    lost: Vec<LostLoad>,
    /// Those of an earlier run of the same instance: they may be carried out by this one, at whatever count it has then.
    may_come: Vec<LostLoad>,
    /// When adapters last came, or began to leave.
    adapters_changed_at: Timestamp,
    /// Since when announcements differ from what is known in adapters.
    differs_since: Option<Timestamp>,
    /// An announcement says that the unload under way is done.
    says_done: bool,
    /// The same unload again, as a question: an engine answers one that is done with 200, at the count that it names, and
    /// a report would show it a few hundred milliseconds later.
    confirming: Option<CallId>,
    /// When it was last read to be busy with an order that is not known here.
    busy_elsewhere_at: Option<Timestamp>,
    /// Its state could not be read: it serves nothing until it is heard of again.
    pub(crate) unreachable: bool,
    /// Model to load once what is under way makes room.
    pub(crate) reserved: Option<ModelName>,
    pub(crate) reserved_at: Timestamp,
    loaded_at: BTreeMap<ModelName, Timestamp>,
    reading: Option<Reading>,
    read_after: Timestamp,
    /// Reads that were not answered since it was last heard of.
    silent_reads: u32,
    /// Word that last set what it is believed to hold, and when that came.
    basis: Option<(Word, Timestamp)>,
}

impl Engine {
    /// The word that what it is believed to hold rests on, and when that came; none before its state was first read.
    pub(crate) fn basis(&self) -> Option<(Word, Timestamp)> {
        self.basis
    }

    /// Notes the word that set what it is believed to hold.
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

    /// Adapters of a model that is gone are neither on their way nor leaving.
    fn forget_moving(&mut self, model: &ModelName) {
        self.coming.retain(|(of, _)| of != model);
        self.leaving.retain(|(of, _)| of != model);
    }

    /// The load from the weight store that it carries out, as far as it is known to have begun.
    pub(crate) fn store_load(&self) -> Option<&Pending> {
        self.pending
            .as_ref()
            .filter(|pending| pending.from_store && pending.accepted)
    }

    /// Whether it may carry out a load from the weight store: one that was sent, is about to follow
    /// the room made for it, or is of an earlier leader.
    pub(crate) fn may_load_from_store(&self, now: Timestamp) -> bool {
        let sent = self.pending.as_ref().is_some_and(|it| it.from_store);
        let follows = self.reserved.as_ref();
        let follows = follows.is_some_and(|model| self.source_of(model) == WeightsSource::Store);
        sent || follows || self.is_busy_elsewhere(now)
    }

    /// Whether it carries out an order that is not known here.
    pub(crate) fn is_busy_elsewhere(&self, now: Timestamp) -> bool {
        self.busy_elsewhere_at
            .is_some_and(|at| now.since(at) < CALL_LIMIT)
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// What it serves new requests with: all that it holds, but for what is on its way out.
    pub(crate) fn serving(&self) -> Vec<HeldModel> {
        let mut serving = self.held.clone();
        serving.retain(|held| !self.unloading(&held.model));
        for HeldModel { model, adapters } in &mut serving {
            adapters.retain(|adapter| !self.sends_away(model, adapter));
        }
        serving
    }

    /// Where a model's weights would come from.
    pub(crate) fn source_of(&self, model: &ModelName) -> WeightsSource {
        if self.in_memory.contains(model) {
            WeightsSource::Memory
        } else if self.on_disk.contains(model) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        }
    }

    /// Places that adapters take, over all models: those loaded, on their way, not proven to have left, and those that
    /// may come.
    pub(crate) fn adapter_count(&self) -> usize {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        let may_come = self.may_come.iter().filter(|lost| lost.adapter.is_some());
        held + self.coming.len() + may_come.count()
    }

    /// Loads of an earlier run that this one may carry out.
    pub(crate) fn may_come(&self) -> &[LostLoad] {
        &self.may_come
    }

    /// Loads that a later run of the instance may carry out: an engine checks the count of orders and its name, not which
    /// run was meant.
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

    /// Takes over what earlier runs leave.
    pub(crate) fn follows(&mut self, left: Vec<LostLoad>) {
        self.may_come.extend(left);
    }

    fn forget_late_loads(&mut self, now: Timestamp) {
        let lately = |lost: &LostLoad| now.since(lost.at) < LATE_LOAD_LIMIT;
        self.lost.retain(lately);
        self.may_come.retain(lately);
    }

    /// Whether an adapter is on its way out.
    pub(crate) fn is_leaving(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        is_among(&self.leaving, model, adapter)
    }

    /// Adapters on their way.
    pub(crate) fn coming(&self) -> &[(ModelName, AdapterName)] {
        &self.coming
    }

    /// Whether nothing is under way at it, and nothing may come late.
    fn is_at_rest(&self) -> bool {
        let under_way = self.pending.is_some()
            || self.reading.is_some()
            || self.confirming.is_some()
            || self.reserved.is_some();
        let may_come = !self.lost.is_empty() || !self.may_come.is_empty();
        let moves = !self.coming.is_empty() || !self.leaving.is_empty();
        !(under_way || may_come || moves)
    }

    /// Whether an instruction may be given now.
    pub(crate) fn is_free(&self) -> bool {
        self.pending.is_none() && self.reading.is_none() && self.revision.is_some()
    }

    /// Models whose load is under way or about to begin.
    pub(crate) fn brought(&self) -> impl Iterator<Item = &ModelName> {
        let load = InstructionOperation::Load;
        let pending = self.pending.as_ref();
        let loading = pending.filter(|it| it.operation == load && it.adapter.is_none());
        let loading = loading.map(|pending| &pending.model);
        loading.into_iter().chain(&self.reserved)
    }

    /// Time until a model that is being brought, whose load takes `load`, is there. What is overdue is
    /// expected to take as long again.
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

    /// Whether the model is on its way out.
    pub(crate) fn unloading(&self, model: &ModelName) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload
                && pending.adapter.is_none()
                && pending.model == *model
        })
    }

    /// Whether the model came in less than `age` ago.
    pub(crate) fn is_fresh(&self, now: Timestamp, model: &ModelName, age: Duration) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|at| now.since(*at) < age)
    }
}

/// Takes announced copies of weights: one that is there no more, and those that loads have left, of models that the engine
/// holds. A copy that an older word names would count for a load that the weight store counts as well.
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

/// Adapters of these models.
fn adapters(held: &[HeldModel]) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(move |adapter| (&held.model, adapter))
    })
}

/// Whether an adapter is listed among these models.
fn lists(held: &[HeldModel], model: &ModelName, adapter: &AdapterName) -> bool {
    let mut held = held.iter();
    held.any(|held| held.model == *model && held.adapters.contains(adapter))
}

fn is_among(list: &[(ModelName, AdapterName)], model: &ModelName, adapter: &AdapterName) -> bool {
    list.iter().any(|(of, name)| of == model && name == adapter)
}

/// Whether all models of `held`, but for one, are among `others`.
fn all_within(but: Option<&ModelName>, held: &[HeldModel], others: &[HeldModel]) -> bool {
    held.iter()
        .map(|held| &held.model)
        .filter(|model| Some(*model) != but)
        .all(|model| others.iter().any(|other| other.model == *model))
}

/// Engines by run.
#[derive(Default)]
pub(crate) struct Engines {
    pub(crate) engines: BTreeMap<InstanceId, Engine>,
}

impl Engines {
    /// Whether nothing is under way at an engine, and nothing may come late. What is no engine, is.
    pub(crate) fn is_at_rest(&self, instance: &InstanceId) -> bool {
        self.engines.get(instance).is_none_or(Engine::is_at_rest)
    }
}
