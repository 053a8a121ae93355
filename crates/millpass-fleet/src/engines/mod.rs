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

use crate::observed_state::Evidence;
use crate::pending::PendingInstruction;
use crate::turns::REQUEST_INTERVAL;
pub(crate) use calls::ResponseMatch;
use millpass_proto::{
    AdapterName, CallId, Duration, HeldModel, InstanceId, InstructionOperation, ModelName,
    Timestamp, WeightsSource,
};
use std::collections::BTreeMap;

/// Expected maximum age of a reported state.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time after which an unanswered call counts as lost within this process. Exceeds the longest
/// queueing time plus the request timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after which an unanswered load can no longer be carried out: engines delay orders by at
/// most a few seconds.
const LATE_LOAD_WINDOW: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    call: CallId,
    sent_at: Timestamp,
}

/// An unanswered load that the engine may still carry out.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredLoad {
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    recorded_at: Timestamp,
}

impl UnansweredLoad {
    /// Creates a load that is unanswered as of `now`.
    pub(crate) fn new(now: Timestamp, model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        UnansweredLoad {
            model: model.clone(),
            adapter: adapter.cloned(),
            recorded_at: now,
        }
    }
}

#[derive(Default)]
pub(crate) struct Engine {
    /// Number of accepted orders; none if unknown.
    pub(crate) revision: Option<u64>,
    /// Number of orders known to be accepted: a report of fewer is stale.
    min_revision: u64,
    /// When the last of them was accepted.
    accepted_at: Timestamp,
    pub(crate) pending: Option<PendingInstruction>,
    pub(crate) held: Vec<HeldModel>,
    pub(crate) in_memory: Vec<ModelName>,
    pub(crate) on_disk: Vec<ModelName>,
    /// Adapters being loaded; announcements do not list them.
    loading_adapters: Vec<(ModelName, AdapterName)>,
    /// Held adapters with an accepted unload: removed once their requests have completed.
    unloading_adapters: Vec<(ModelName, AdapterName)>,
    /// Unanswered loads of this incarnation.
    unanswered_loads: Vec<UnansweredLoad>,
    /// Unanswered loads of earlier incarnations, which this one may carry out at any revision.
    inherited_loads: Vec<UnansweredLoad>,
    /// When the set of held adapters last changed.
    adapters_changed_at: Timestamp,
    /// Start of the period in which announced adapters differ from the recorded ones.
    adapters_differ_since: Option<Timestamp>,
    /// An announcement shows that the pending unload is done.
    unload_announced: bool,
    /// Repetition of the pending unload, which confirms it faster than a state report: the engine
    /// responds that it is already done, at the revision named.
    confirmation: Option<CallId>,
    /// When a read last showed the engine busy with an unknown order.
    unknown_order_seen_at: Option<Timestamp>,
    /// Its state could not be read: serves no requests until its next announcement.
    pub(crate) unreachable: bool,
    /// Model to load once the pending unload has freed memory.
    pub(crate) reserved_model: Option<ModelName>,
    pub(crate) reserved_at: Timestamp,
    /// Model that it prepares a turn for, or has prepared the last one for.
    pub(crate) turn: Option<ModelName>,
    /// Newest load of each model, or of an adapter of it.
    loads: BTreeMap<ModelName, LoadTimes>,
    pending_read: Option<PendingRead>,
    next_read_at: Timestamp,
    /// Unanswered reads since the last announcement or response.
    unanswered_reads: u32,
    /// Source of the recorded state, and when it arrived.
    evidence: Option<(Evidence, Timestamp)>,
}

impl Engine {
    /// Returns the source of the recorded state and when it arrived; none before the first read.
    pub(crate) fn evidence(&self) -> Option<(Evidence, Timestamp)> {
        self.evidence
    }

    pub(crate) fn set_evidence(&mut self, now: Timestamp, evidence: Evidence) {
        self.evidence = Some((evidence, now));
    }

    fn add_adapter(&mut self, model: &ModelName, adapter: AdapterName) {
        let held = self.held.iter_mut().find(|held| held.model == *model);
        if let Some(held) = held
            && !held.adapters.contains(&adapter)
        {
            held.adapters.push(adapter);
        }
    }

    fn remove_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        for held in self.held.iter_mut().filter(|held| held.model == *model) {
            held.adapters.retain(|name| name != adapter);
        }
    }

    /// Discards adapter transitions of a model that is gone.
    fn discard_adapter_transitions(&mut self, model: &ModelName) {
        self.loading_adapters.retain(|(of, _)| of != model);
        self.unloading_adapters.retain(|(of, _)| of != model);
    }

    /// Returns the load from the weight store that the engine has accepted.
    pub(crate) fn store_load(&self) -> Option<&PendingInstruction> {
        self.pending
            .as_ref()
            .filter(|pending| pending.from_store && pending.accepted)
    }

    /// Returns whether it may be loading from the weight store: by a sent instruction, a
    /// reservation or an order of an earlier leader.
    pub(crate) fn may_load_from_store(&self, now: Timestamp) -> bool {
        let is_sent = self.pending.as_ref().is_some_and(|it| it.from_store);
        let reservation = self.reserved_model.as_ref();
        let reservation =
            reservation.is_some_and(|model| self.weights_source(model) == WeightsSource::Store);
        is_sent || reservation || self.has_unknown_order(now)
    }

    /// Returns whether a recent read showed it carrying out an unknown order.
    pub(crate) fn has_unknown_order(&self, now: Timestamp) -> bool {
        self.unknown_order_seen_at
            .is_some_and(|seen_at| now.since(seen_at) < CALL_TIMEOUT)
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Returns what it serves to new requests: everything held that is not being unloaded.
    pub(crate) fn served_models(&self) -> Vec<HeldModel> {
        let mut served = self.held.clone();
        served.retain(|held| !self.is_unloading(&held.model));
        for HeldModel { model, adapters } in &mut served {
            adapters.retain(|adapter| !self.is_unloading_adapter(model, adapter));
        }
        served
    }

    /// Returns where the model's weights would be loaded from.
    pub(crate) fn weights_source(&self, model: &ModelName) -> WeightsSource {
        if self.in_memory.contains(model) {
            WeightsSource::Memory
        } else if self.on_disk.contains(model) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        }
    }

    /// Returns the adapter slots in use over all models, including adapters that are loading, not
    /// confirmed as unloaded, or may still be loaded by a late order for an earlier incarnation.
    pub(crate) fn adapter_count(&self) -> usize {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        let inherited = self
            .inherited_loads
            .iter()
            .filter(|load| load.adapter.is_some());
        held + self.loading_adapters.len() + inherited.count()
    }

    /// Returns unanswered loads of earlier incarnations that this one may carry out.
    pub(crate) fn inherited_loads(&self) -> &[UnansweredLoad] {
        &self.inherited_loads
    }

    /// Returns loads that a later incarnation may carry out: an engine checks the revision and its
    /// name, but not the incarnation an order was meant for.
    pub(crate) fn loads_to_inherit(&self, now: Timestamp) -> Vec<UnansweredLoad> {
        let is_recent = |load: &&UnansweredLoad| now.since(load.recorded_at) < LATE_LOAD_WINDOW;
        let loads = self
            .unanswered_loads
            .iter()
            .chain(&self.inherited_loads)
            .filter(is_recent)
            .cloned();
        let pending = self.pending.iter().filter(|pending| !pending.accepted);
        loads
            .chain(pending.filter_map(|pending| pending.unanswered_load(now)))
            .collect()
    }

    /// Adds unanswered loads of earlier incarnations.
    pub(crate) fn inherit_loads(&mut self, loads: Vec<UnansweredLoad>) {
        self.inherited_loads.extend(loads);
    }

    fn expire_late_loads(&mut self, now: Timestamp) {
        let is_recent = |load: &UnansweredLoad| now.since(load.recorded_at) < LATE_LOAD_WINDOW;
        self.unanswered_loads.retain(is_recent);
        self.inherited_loads.retain(is_recent);
    }

    /// Returns whether the unload of the adapter has been accepted.
    pub(crate) fn is_unload_accepted(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        contains_adapter(&self.unloading_adapters, model, adapter)
    }

    /// Returns the adapters being loaded.
    pub(crate) fn loading_adapters(&self) -> &[(ModelName, AdapterName)] {
        &self.loading_adapters
    }

    /// Returns whether nothing is pending and nothing may be carried out late.
    fn is_quiescent(&self) -> bool {
        let is_call_pending = self.pending.is_some()
            || self.pending_read.is_some()
            || self.confirmation.is_some()
            || self.reserved_model.is_some();
        let has_late_loads = !self.unanswered_loads.is_empty() || !self.inherited_loads.is_empty();
        let has_adapter_transitions =
            !self.loading_adapters.is_empty() || !self.unloading_adapters.is_empty();
        !(is_call_pending || has_late_loads || has_adapter_transitions)
    }

    /// Returns whether an instruction may be sent now.
    pub(crate) fn can_be_instructed(&self) -> bool {
        self.pending.is_none() && self.pending_read.is_none() && self.revision.is_some()
    }

    /// Returns models being loaded or about to be.
    pub(crate) fn incoming_models(&self) -> impl Iterator<Item = &ModelName> {
        let load = InstructionOperation::Load;
        let pending = self.pending.as_ref();
        let loading = pending.filter(|it| it.operation == load && it.adapter.is_none());
        let loading = loading.map(|pending| &pending.model);
        loading.into_iter().chain(&self.reserved_model)
    }

    /// Returns whether a loaded model has not served a request yet, and may still get one.
    pub(crate) fn awaits_request(
        &self,
        now: Timestamp,
        model: &ModelName,
        served_at: Timestamp,
    ) -> bool {
        self.loads.get(model).is_some_and(|load| {
            served_at <= load.sent_at && now.since(load.expected_end) < REQUEST_INTERVAL
        })
    }

    /// Returns whether it prepares a turn from a local copy.
    fn prepares_turn(&self) -> bool {
        let Some(model) = &self.turn else {
            return false;
        };
        let has_copy = self.weights_source(model) != WeightsSource::Store;
        has_copy && self.incoming_models().any(|incoming| incoming == model)
    }

    /// Returns the time until an incoming model with load time `load` is ready. Overdue
    /// instructions are expected to take as long again as they are overdue.
    pub(crate) fn time_until_ready(
        &self,
        now: Timestamp,
        model: &ModelName,
        load: Duration,
    ) -> Duration {
        let Some(pending) = &self.pending else {
            return load;
        };
        let remaining = if now < pending.expected_end {
            pending.expected_end.since(now)
        } else {
            now.since(pending.expected_end)
        };
        if pending.operation == InstructionOperation::Load && pending.model == *model {
            return remaining;
        }
        remaining + load
    }

    pub(crate) fn is_unloading(&self, model: &ModelName) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload
                && pending.adapter.is_none()
                && pending.model == *model
        })
    }

    /// Returns whether a load of the model, or of an adapter of it, was sent less than `age` ago.
    pub(crate) fn was_loaded_within(
        &self,
        now: Timestamp,
        model: &ModelName,
        age: Duration,
    ) -> bool {
        self.loads
            .get(model)
            .is_some_and(|load| now.since(load.sent_at) < age)
    }
}

/// When a load was sent, and when it was expected to end.
#[derive(Clone, Copy, Debug)]
struct LoadTimes {
    sent_at: Timestamp,
    expected_end: Timestamp,
}

/// Applies announced weight copies: removes copies that are gone and adds those of held models.
/// Other announced copies may be stale: a load planned from one takes no permit, although it may
/// come from the weight store.
fn update_weight_copies(
    copies: &mut Vec<ModelName>,
    announced: &[ModelName],
    holds: impl Fn(&ModelName) -> bool,
) {
    copies.retain(|model| announced.contains(model));
    let usable = announced.iter().filter(|model| holds(model));
    let new: Vec<ModelName> = usable
        .filter(|model| !copies.contains(model))
        .cloned()
        .collect();
    copies.extend(new);
}

fn adapters(held: &[HeldModel]) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(move |adapter| (&held.model, adapter))
    })
}

fn lists_adapter(held: &[HeldModel], model: &ModelName, adapter: &AdapterName) -> bool {
    let mut held = held.iter();
    held.any(|held| held.model == *model && held.adapters.contains(adapter))
}

fn contains_adapter(
    list: &[(ModelName, AdapterName)],
    model: &ModelName,
    adapter: &AdapterName,
) -> bool {
    list.iter().any(|(of, name)| of == model && name == adapter)
}

/// Returns whether all models of `held`, except one, are among `others`.
fn is_subset_except(
    exception: Option<&ModelName>,
    held: &[HeldModel],
    others: &[HeldModel],
) -> bool {
    held.iter()
        .map(|held| &held.model)
        .filter(|model| Some(*model) != exception)
        .all(|model| others.iter().any(|other| other.model == *model))
}

/// Engines by incarnation.
#[derive(Default)]
pub(crate) struct Engines {
    pub(crate) engines: BTreeMap<InstanceId, Engine>,
}

impl Engines {
    /// Returns the number of engines that prepare a turn.
    pub(crate) fn prepared_turns(&self) -> usize {
        let engines = self.engines.values();
        engines.filter(|engine| engine.prepares_turn()).count()
    }

    /// Returns whether nothing is pending at an engine and nothing may be carried out late. True
    /// for instances that are not engines.
    pub(crate) fn is_quiescent(&self, instance: &InstanceId) -> bool {
        self.engines.get(instance).is_none_or(Engine::is_quiescent)
    }
}
