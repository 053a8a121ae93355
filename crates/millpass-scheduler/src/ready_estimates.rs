//! Estimates of when models with waiting requests will be ready.

use crate::Scheduler;
use crate::placement::PlacementOutcome;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    BackendState, CheckpointTier, Duration, LoadEstimate, ModelName, Replica, ReplicaPhase,
    Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Wait reported for a model that cannot be placed now.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Expected duration of an unload.
const UNLOAD_TIME: Duration = Duration::from_secs(1);
/// Time for which the estimate of a round is used.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(5);

/// Estimate for a model that a round could not serve immediately.
#[derive(Clone, Copy, Debug)]
struct RoundEstimate {
    recorded_at: Timestamp,
    ready: Timestamp,
    placeable: bool,
}

/// Estimates of recent rounds.
#[derive(Clone, Debug, Default)]
pub struct ReadyEstimates {
    estimates: BTreeMap<ModelName, RoundEstimate>,
    /// Models in this round that wait for the store.
    waiting_for_store: u32,
}

impl ReadyEstimates {
    /// Removes expired estimates.
    pub fn begin_round(&mut self, now: Timestamp) {
        self.waiting_for_store = 0;
        self.estimates
            .retain(|_, estimate| now.since(estimate.recorded_at) <= ESTIMATE_LIFETIME);
    }

    fn record(&mut self, now: Timestamp, model: &ModelName, wait: Duration, placeable: bool) {
        let estimate = RoundEstimate {
            recorded_at: now,
            ready: now + wait,
            placeable,
        };
        self.estimates.insert(model.clone(), estimate);
    }
}

impl Scheduler {
    /// Estimates when a model will be ready to serve.
    pub fn ready_estimate(&self, now: Timestamp, state: &State, model: &ModelName) -> LoadEstimate {
        let (wait, placeable) = self.expected_wait(now, state, model);
        LoadEstimate {
            model: model.clone(),
            ready_in_millis: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            placeable,
        }
    }

    fn expected_wait(&self, now: Timestamp, state: &State, model: &ModelName) -> (Duration, bool) {
        if let Some(wait) = self.earliest_replica(now, state, model) {
            return (wait, true);
        }
        let spec = state.model(model);
        let version = spec.and_then(|spec| state.version(model, &spec.current_version));
        let Some(version) = version else {
            return (DEFAULT_RETRY_AFTER, false);
        };
        if let Some(estimate) = self.ready_estimates.estimates.get(model) {
            return (estimate.ready.since(now), estimate.placeable);
        }
        // No recent round has considered the model; assume an immediate load from the fastest tier.
        let tier = self.engines.best_tier(&version.checkpoint);
        let bytes = version.weights_bytes;
        (self.loads.expected_time(&self.settings, tier, bytes), true)
    }

    /// Time until the first loaded or loading replica is ready.
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
            ReplicaPhase::Loading if self.loads.is_overdue(now, &self.settings, replica) => None,
            ReplicaPhase::Loading => Some(self.loading_time(now, state, replica)),
        }
    }

    /// Remaining time of this load and of the loads ordered earlier on its engine.
    fn loading_time(&self, now: Timestamp, state: &State, replica: &Replica) -> Duration {
        let on_engine = state.replicas_on(&replica.backend).into_iter();
        let before = on_engine
            .filter(|other| other.phase == ReplicaPhase::Loading && other.fence <= replica.fence);
        before
            .map(|other| self.loads.remaining_time(now, &self.settings, other))
            .sum()
    }

    /// Records the estimate for a model with waiting requests.
    pub(crate) fn record_ready_estimate(
        &mut self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        outcome: PlacementOutcome,
    ) {
        let load = self.load_time(view);
        let now = round.now;
        let (wait, placeable) = match outcome {
            PlacementOutcome::Proposed(time) => (time, true),
            PlacementOutcome::AwaitingUnload => (UNLOAD_TIME + self.store_wait(view) + load, true),
            PlacementOutcome::AwaitingStore => (self.store_wait(view) + load, true),
            // Until demand is known, it is unknown what may be evicted.
            PlacementOutcome::InsufficientMemory if !round.may_retire => {
                (DEFAULT_RETRY_AFTER, true)
            }
            PlacementOutcome::Deferred => (DEFAULT_RETRY_AFTER, true),
            PlacementOutcome::InsufficientMemory | PlacementOutcome::Unplaceable => {
                (DEFAULT_RETRY_AFTER, false)
            }
        };
        self.ready_estimates
            .record(now, &view.name, wait, placeable);
    }

    /// Time until the store has a permit for the model, after those ahead of it in this round.
    fn store_wait(&mut self, view: &ModelView<'_>) -> Duration {
        if self.nearest_tier(view) != CheckpointTier::Remote {
            return Duration::ZERO;
        }
        self.ready_estimates.waiting_for_store += 1;
        let position = self.ready_estimates.waiting_for_store;
        let by_rate = f64::from(position) / f64::from(self.settings.store_loads_per_second.max(1));
        let concurrent = self.settings.store_concurrent_loads.max(1) as usize;
        let ahead = self.permits.in_flight() + position as usize - 1;
        let rounds_ahead = (ahead / concurrent) as u32;
        Duration::from_secs_f64(by_rate).max(self.load_time(view) * rounds_ahead)
    }
}
