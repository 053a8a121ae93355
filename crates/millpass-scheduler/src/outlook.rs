//! When models that have waiting requests are expected to serve.

use crate::Scheduler;
use crate::placing::Placing;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    BackendState, CheckpointTier, Duration, LoadEstimate, ModelName, Replica, ReplicaPhase,
    Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// When to come back, for a model that cannot be placed as things stand.
const COME_BACK_LATER: Duration = Duration::from_secs(30);
/// Expected time of an unload.
const UNLOAD_TIME: Duration = Duration::from_secs(1);
/// How long a finding of a scheduling round holds.
const FINDING_LIFETIME: Duration = Duration::from_secs(5);

/// What a round found of a model that it could not serve yet.
#[derive(Clone, Copy, Debug)]
struct Finding {
    found: Timestamp,
    ready: Timestamp,
    placeable: bool,
}

/// Findings of the latest rounds.
#[derive(Clone, Debug, Default)]
pub struct Outlooks {
    findings: BTreeMap<ModelName, Finding>,
    /// Models of this round that wait for the store.
    waiting_for_store: u32,
}

impl Outlooks {
    /// Drops old findings.
    pub fn begin_round(&mut self, now: Timestamp) {
        self.waiting_for_store = 0;
        self.findings
            .retain(|_, finding| now.since(finding.found) <= FINDING_LIFETIME);
    }

    fn note(&mut self, now: Timestamp, model: &ModelName, wait: Duration, placeable: bool) {
        let finding = Finding {
            found: now,
            ready: now + wait,
            placeable,
        };
        self.findings.insert(model.clone(), finding);
    }
}

impl Scheduler {
    /// When a model is expected to serve.
    pub fn outlook(&self, now: Timestamp, state: &State, model: &ModelName) -> LoadEstimate {
        let (wait, placeable) = self.expect(now, state, model);
        LoadEstimate {
            model: model.clone(),
            ready_in_millis: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            placeable,
        }
    }

    fn expect(&self, now: Timestamp, state: &State, model: &ModelName) -> (Duration, bool) {
        if let Some(wait) = self.earliest_replica(now, state, model) {
            return (wait, true);
        }
        let spec = state.model(model);
        let version = spec.and_then(|spec| state.version(model, &spec.current_version));
        let Some(version) = version else {
            return (COME_BACK_LATER, false);
        };
        if let Some(finding) = self.outlooks.findings.get(model) {
            return (finding.ready.since(now), finding.placeable);
        }
        // No round has looked at it yet: it would be loaded from the nearest tier at once.
        let tier = self.engines.best_tier(&version.checkpoint);
        let bytes = version.weights_bytes;
        (self.loads.expected(&self.settings, tier, bytes), true)
    }

    /// Time until the first replica there is, or is loading, serves.
    fn earliest_replica(
        &self,
        now: Timestamp,
        state: &State,
        model: &ModelName,
    ) -> Option<Duration> {
        let replicas = state.replicas_of(model).into_iter();
        let live = replicas.filter(|replica| {
            let backend = state.backend(&replica.backend);
            backend.is_some_and(|backend| backend.state == BackendState::Live)
        });
        live.filter_map(|replica| self.ready_in(now, state, replica))
            .min()
    }

    fn ready_in(&self, now: Timestamp, state: &State, replica: &Replica) -> Option<Duration> {
        match replica.phase {
            ReplicaPhase::Loaded => Some(Duration::ZERO),
            ReplicaPhase::Unloading => None,
            ReplicaPhase::Loading if self.loads.overdue(now, &self.settings, replica) => None,
            ReplicaPhase::Loading => Some(self.loading_time(now, state, replica)),
        }
    }

    /// Time of this load and of those that its engine was ordered to do before it.
    fn loading_time(&self, now: Timestamp, state: &State, replica: &Replica) -> Duration {
        let on_engine = state.replicas_on(&replica.backend).into_iter();
        let before = on_engine
            .filter(|other| other.phase == ReplicaPhase::Loading && other.fence <= replica.fence);
        before
            .map(|other| self.loads.remaining(now, &self.settings, other))
            .sum()
    }

    /// Notes what a round found of a model with waiting requests.
    pub(crate) fn note_outlook(
        &mut self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        placing: Placing,
    ) {
        let load = self.load_time(view);
        let now = round.now;
        let (wait, placeable) = match placing {
            Placing::Proposed(time) => (time, true),
            Placing::WaitsForUnload => (UNLOAD_TIME + self.store_wait(view) + load, true),
            Placing::WaitsForStore => (self.store_wait(view) + load, true),
            // What may be unloaded is not known before demand is: then it cannot be told.
            Placing::NoRoom if !round.may_retire => (COME_BACK_LATER, true),
            Placing::Deferred => (COME_BACK_LATER, true),
            Placing::NoRoom | Placing::Impossible => (COME_BACK_LATER, false),
        };
        self.outlooks.note(now, &view.name, wait, placeable);
    }

    /// Time until the store has a permit for the model, behind those before it in this round.
    fn store_wait(&mut self, view: &ModelView<'_>) -> Duration {
        if self.nearest_tier(view) != CheckpointTier::Remote {
            return Duration::ZERO;
        }
        self.outlooks.waiting_for_store += 1;
        let position = self.outlooks.waiting_for_store;
        let by_rate = f64::from(position) / f64::from(self.settings.store_loads_per_second.max(1));
        let concurrent = self.settings.store_concurrent_loads.max(1) as usize;
        let ahead = self.permits.in_flight() + position as usize - 1;
        let rounds_ahead = (ahead / concurrent) as u32;
        Duration::from_secs_f64(by_rate).max(self.load_time(view) * rounds_ahead)
    }
}
