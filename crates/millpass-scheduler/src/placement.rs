//! Placement of replicas: the order of pending loads and the outcome of each.

use crate::Scheduler;
use crate::candidates::Candidate;
use crate::proposals::ProposalKey;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    AdapterName, CheckpointTier, Duration, PlaceReplica, Timestamp, Urgency, VersionSpec,
};
use millpass_state::version_bytes_each;

/// Loads attempted per round; the remainder is retried in the next round.
const MAXIMUM_LOADS_PER_ROUND: usize = 128;

/// A load required by waiting requests or a configured minimum.
enum PendingLoad<'v, 'a> {
    Replica(&'v ModelView<'a>),
    Adapter(&'v ModelView<'a>, AdapterName),
}

/// Sort key of pending loads; the lowest is first.
type Priority = (bool, Urgency, bool, Timestamp);

/// Wait after which batch requests may cause evictions.
const BATCH_EVICTION_DELAY: Duration = Duration::from_secs(60);

/// Outcome of a placement attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// Proposed; expected to be ready after this time.
    Proposed(Duration),
    /// Fits, but waits for a store permit.
    AwaitingStore,
    /// Fits once pending unloads are done.
    AwaitingUnload,
    /// Not enough memory, and nothing may be evicted.
    InsufficientMemory,
    /// Not enough memory, and the waiting requests may not cause evictions yet.
    Deferred,
    /// Fits on no engine even if it were empty, or the version does not exist.
    Unplaceable,
}

/// Memory that a placement may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemorySource {
    /// Free memory only.
    FreeOnly,
    /// Free memory, or memory of idle replicas.
    FreeOrEvicted,
}

impl Scheduler {
    /// Proposes loads of replicas and adapters with waiting requests, most urgent first, then of
    /// replicas for configured minimums. Replicas and adapters are ordered together because they
    /// share the store's permits.
    pub(crate) fn propose_loads<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        let replicas = views.iter().filter(|view| view.should_load_another());
        let mut pending: Vec<(Priority, PendingLoad<'_, 'a>)> = replicas
            .map(|view| (priority(view), PendingLoad::Replica(view)))
            .collect();
        for (demand, view, adapter) in self.missing_adapters(views) {
            let priority = (false, demand.most_urgent, false, demand.waiting_since);
            pending.push((priority, PendingLoad::Adapter(view, adapter)));
        }
        pending.sort_by_key(|(priority, _)| *priority);
        self.ready_estimates.begin_round(round.now);
        for (_, load) in pending.into_iter().take(MAXIMUM_LOADS_PER_ROUND) {
            match load {
                PendingLoad::Replica(view) => {
                    let outcome = self.place_model(round, view, views);
                    self.record_ready_estimate(round, view, outcome);
                }
                PendingLoad::Adapter(view, adapter) => {
                    self.attach_adapter(round, view, views, adapter)
                }
            }
        }
    }

    fn place_model<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
    ) -> PlacementOutcome {
        if self
            .proposals
            .contains(&ProposalKey::Place(view.name.clone()))
        {
            let expected = view.version.map_or(Duration::ZERO, |version| {
                self.loads.expected_time(
                    &self.settings,
                    CheckpointTier::Remote,
                    version.weights_bytes,
                )
            });
            return PlacementOutcome::Proposed(expected);
        }
        if !view.has_free_slot() {
            return PlacementOutcome::AwaitingUnload;
        }
        if !is_deferred(round.now, view) {
            return self.try_place(round, view, views, MemorySource::FreeOrEvicted);
        }
        match self.try_place(round, view, views, MemorySource::FreeOnly) {
            PlacementOutcome::InsufficientMemory => PlacementOutcome::Deferred,
            other => other,
        }
    }

    /// Tries to place one replica of the model.
    pub(crate) fn try_place<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        memory_source: MemorySource,
    ) -> PlacementOutcome {
        let Some(version) = view.version else {
            return PlacementOutcome::Unplaceable;
        };
        let choice = self.choose_engine(round, view, version);
        if let Some(candidate) = choice.best {
            return PlacementOutcome::Proposed(self.propose(round, view, version, candidate));
        }
        if choice.awaiting_store {
            return PlacementOutcome::AwaitingStore;
        }
        if reserve_pending_memory(round, view, version) {
            return PlacementOutcome::AwaitingUnload;
        }
        if !fits_when_empty(round, view, version) {
            return PlacementOutcome::Unplaceable;
        }
        if memory_source == MemorySource::FreeOrEvicted
            && self.propose_evictions(round, view, version, views)
        {
            return PlacementOutcome::AwaitingUnload;
        }
        PlacementOutcome::InsufficientMemory
    }

    fn propose<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        version: &VersionSpec,
        candidate: Candidate,
    ) -> Duration {
        let backend = round.memory.engine(candidate.index).backend;
        let registration = &backend.registration;
        if candidate.tier == CheckpointTier::Remote {
            self.permits.acquire();
        }
        let time = self
            .loads
            .expected_time(&self.settings, candidate.tier, version.weights_bytes);
        let loads = &mut round.loads;
        loads.add(&registration.backend, time, Some(candidate.tier));
        let ready = loads.queued.get(&registration.backend).copied();
        round.place(PlaceReplica {
            model: view.name.clone(),
            version: view.spec.current_version.clone(),
            backend: registration.backend.clone(),
            incarnation: registration.incarnation,
            accelerators: candidate.fit.accelerators,
            expected_slots: view.replicas.slots,
        });
        ready.unwrap_or(time)
    }
}

/// Returns true if only batch requests wait, and not yet long enough to evict for them.
fn is_deferred(now: Timestamp, view: &ModelView<'_>) -> bool {
    let demand = &view.demand;
    let batch = demand.waiting > 0 && demand.most_urgent == Urgency::Batch;
    batch && now.since(demand.waiting_since) < BATCH_EVICTION_DELAY
}

/// Orders models with waiting requests first, then by urgency, then models without a loaded
/// replica.
fn priority(view: &ModelView<'_>) -> Priority {
    let has_waiting = view.demand.waiting > 0;
    let has_loaded = !view.replicas.loaded.is_empty();
    (
        !has_waiting,
        view.demand.most_urgent,
        has_loaded,
        view.demand.waiting_since,
    )
}

/// Reserves memory that pending unloads will free, so that no lower-priority model takes it.
fn reserve_pending_memory(
    round: &mut Round<'_>,
    view: &ModelView<'_>,
    version: &VersionSpec,
) -> bool {
    let count = view.spec.accelerators_per_replica;
    let bytes = version_bytes_each(version, count);
    let mut engines = round.memory.live();
    let found = engines.find_map(|(index, engine)| {
        let fit = engine.fit_after_unloads(count as usize, bytes)?;
        Some((index, fit))
    });
    drop(engines);
    let Some((index, fit)) = found else {
        return false;
    };
    let engine = round.memory.engine_mut(index);
    engine.reserve(&fit.accelerators, bytes);
    true
}

/// Returns true if the model would fit on some live engine that held nothing else.
fn fits_when_empty(round: &Round<'_>, view: &ModelView<'_>, version: &VersionSpec) -> bool {
    let count = view.spec.accelerators_per_replica;
    let bytes = version_bytes_each(version, count);
    round.memory.live().any(|(_, engine)| {
        let sizes = engine.backend.registration.accelerator_bytes.iter();
        sizes.filter(|size| **size >= bytes).count() >= count as usize
    })
}
