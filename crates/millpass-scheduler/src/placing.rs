//! Places replicas: which models get their turn first, and what becomes of each.

use crate::Scheduler;
use crate::candidates::Candidate;
use crate::proposals::Subject;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    AdapterName, CheckpointTier, Duration, PlaceReplica, Timestamp, Urgency, VersionSpec,
};
use millpass_state::version_bytes_each;

/// Loads that one round tries to begin; the rest keep their turn for the next.
const LOADS_PER_ROUND: usize = 128;

/// A load that requests wait for, or that a stated minimum asks for.
enum Wanted<'v, 'a> {
    Replica(&'v ModelView<'a>),
    Adapter(&'v ModelView<'a>, AdapterName),
}

/// Order in which loads get their turn; the least is first.
type Priority = (bool, Urgency, bool, Timestamp);

/// Time that batch requests wait before idle replicas are unloaded for them.
const BATCH_DEFERRAL: Duration = Duration::from_secs(60);

/// What came of trying to place a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placing {
    /// Proposed, to be loaded after this time.
    Proposed(Duration),
    /// It fits; the store's limit makes it wait.
    WaitsForStore,
    /// It fits once unloads under way are done.
    WaitsForUnload,
    /// Memory lacks and nothing may be unloaded for it.
    NoRoom,
    /// Memory lacks, and what waits can go on waiting before anything is unloaded for it.
    Deferred,
    /// It fits on no engine even if that were empty, or its version is missing.
    Impossible,
}

/// How a replica may get its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Means {
    /// Free memory only.
    FreeMemory,
    /// Free memory, or that of idle replicas.
    Eviction,
}

impl Scheduler {
    /// Begins loads of replicas and adapters that requests wait for, most urgent first, then
    /// replicas for stated minimums. Both share the store's permits, so they take turns together.
    pub(crate) fn load_wanted<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        let replicas = views.iter().filter(|view| view.wants_another());
        let mut wanted: Vec<(Priority, Wanted<'_, 'a>)> = replicas
            .map(|view| (priority(view), Wanted::Replica(view)))
            .collect();
        for (demand, view, adapter) in self.wanted_adapters(views) {
            let priority = (false, demand.most_urgent, false, demand.waiting_since);
            wanted.push((priority, Wanted::Adapter(view, adapter)));
        }
        wanted.sort_by_key(|(priority, _)| *priority);
        self.outlooks.begin_round(round.now);
        for (_, one) in wanted.into_iter().take(LOADS_PER_ROUND) {
            match one {
                Wanted::Replica(view) => {
                    let placing = self.place_for(round, view, views);
                    self.note_outlook(round, view, placing);
                }
                Wanted::Adapter(view, adapter) => self.attach_one(round, view, views, adapter),
            }
        }
    }

    fn place_for<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
    ) -> Placing {
        if self.proposals.contains(&Subject::Place(view.name.clone())) {
            let expected = view.version.map_or(Duration::ZERO, |version| {
                self.loads.expected(
                    &self.settings,
                    CheckpointTier::Remote,
                    version.weights_bytes,
                )
            });
            return Placing::Proposed(expected);
        }
        if !view.has_free_slot() {
            return Placing::WaitsForUnload;
        }
        if !defers(round.now, view) {
            return self.place_one(round, view, views, Means::Eviction);
        }
        match self.place_one(round, view, views, Means::FreeMemory) {
            Placing::NoRoom => Placing::Deferred,
            other => other,
        }
    }

    /// Tries to place one replica of the model.
    pub(crate) fn place_one<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        means: Means,
    ) -> Placing {
        let Some(version) = view.version else {
            return Placing::Impossible;
        };
        let choice = self.choose_engine(round, view, version);
        if let Some(candidate) = choice.best {
            return Placing::Proposed(self.propose(round, view, version, candidate));
        }
        if choice.fits_behind_store {
            return Placing::WaitsForStore;
        }
        if promise_soon(round, view, version) {
            return Placing::WaitsForUnload;
        }
        if !fits_empty(round, view, version) {
            return Placing::Impossible;
        }
        if means == Means::Eviction && self.evict_for(round, view, version, views) {
            return Placing::WaitsForUnload;
        }
        Placing::NoRoom
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
            self.permits.take();
        }
        let time = self
            .loads
            .expected(&self.settings, candidate.tier, version.weights_bytes);
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

/// Whether only batch requests wait, and not for long yet: they take no memory from others.
fn defers(now: Timestamp, view: &ModelView<'_>) -> bool {
    let demand = &view.demand;
    let batch = demand.waiting > 0 && demand.most_urgent == Urgency::Batch;
    batch && now.since(demand.waiting_since) < BATCH_DEFERRAL
}

/// What waits comes first, then the more urgent, then what no replica serves yet.
fn priority(view: &ModelView<'_>) -> Priority {
    let waits = view.demand.waiting > 0;
    let serves = !view.replicas.loaded.is_empty();
    (
        !waits,
        view.demand.most_urgent,
        serves,
        view.demand.waiting_since,
    )
}

/// Holds memory that unloads under way will free, so that no model with a lower turn takes it.
fn promise_soon(round: &mut Round<'_>, view: &ModelView<'_>, version: &VersionSpec) -> bool {
    let count = view.spec.accelerators_per_replica;
    let bytes = version_bytes_each(version, count);
    let mut engines = round.memory.live();
    let found = engines.find_map(|(index, engine)| {
        let fit = engine.fit_soon(count as usize, bytes)?;
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

/// Whether some live engine would fit the model if it held nothing else.
fn fits_empty(round: &Round<'_>, view: &ModelView<'_>, version: &VersionSpec) -> bool {
    let count = view.spec.accelerators_per_replica;
    let bytes = version_bytes_each(version, count);
    round.memory.live().any(|(_, engine)| {
        let sizes = engine.backend.registration.accelerator_bytes.iter();
        sizes.filter(|size| **size >= bytes).count() >= count as usize
    })
}
