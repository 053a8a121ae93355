//! Demand and replicas of one model in a scheduling round.

use crate::demand::{Demand, DemandTable};
use crate::loads::LoadTracker;
use crate::settings::SchedulerSettings;
use millpass_proto::{
    BackendName, ModelName, ModelSpec, Replica, ReplicaPhase, Timestamp, VersionSpec,
};
use millpass_state::State;
use std::collections::BTreeSet;

/// Another load starts before the previous one has completed if demand is at least this multiple of
/// the replicas' concurrency.
const BACKLOG_FACTOR: u64 = 4;

/// Replicas of a model by status.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSets<'a> {
    /// Loaded on a live engine, current version.
    pub loaded: Vec<&'a Replica>,
    /// Loading on a live engine, current version, not overdue.
    pub loading: Vec<&'a Replica>,
    /// Loaded or loading on a live engine, another version.
    pub stale: Vec<&'a Replica>,
    /// Loaded or loading on an engine that is leaving.
    pub leaving: Vec<&'a Replica>,
    /// Loading on a live engine for much longer than expected.
    pub overdue: Vec<&'a Replica>,
    /// Slots in any phase.
    pub slots: u32,
}

impl ReplicaSets<'_> {
    /// Number of replicas to be replaced.
    pub fn obsolete_count(&self) -> u32 {
        (self.stale.len() + self.leaving.len() + self.overdue.len()) as u32
    }
}

/// A model in one round.
#[derive(Clone, Debug)]
pub struct ModelView<'a> {
    pub name: ModelName,
    pub spec: &'a ModelSpec,
    /// Current version; `None` if the model refers to a version that does not exist.
    pub version: Option<&'a VersionSpec>,
    /// Demand, including adapters.
    pub demand: Demand,
    pub replicas: ReplicaSets<'a>,
}

/// Inputs for building views.
pub struct ViewSources<'s> {
    pub now: Timestamp,
    pub settings: &'s SchedulerSettings,
    pub demand: &'s DemandTable,
    pub loads: &'s LoadTracker,
    /// Backends that accept no new replicas.
    pub unavailable: BTreeSet<&'s BackendName>,
}

impl<'a> ModelView<'a> {
    pub fn new(
        sources: &ViewSources<'_>,
        state: &'a State,
        name: ModelName,
        spec: &'a ModelSpec,
    ) -> Self {
        let mut replicas = ReplicaSets::default();
        for replica in state.replicas_of(&name) {
            replicas.slots += 1;
            classify_replica(sources, spec, replica, &mut replicas);
        }
        ModelView {
            version: state.version(&name, &spec.current_version),
            demand: sources.demand.for_model(&name),
            name,
            spec,
            replicas,
        }
    }

    /// Replicas of the current version that serve or are loading.
    pub fn usable_count(&self) -> u32 {
        (self.replicas.loaded.len() + self.replicas.loading.len()) as u32
    }

    /// Replicas required by demand and the configured minimum, capped at the maximum.
    pub fn desired_count(&self) -> u32 {
        let concurrency = u64::from(self.spec.concurrency_per_replica.max(1));
        let by_demand = self.demand.total().div_ceil(concurrency);
        let by_demand = u32::try_from(by_demand).unwrap_or(u32::MAX);
        let desired = by_demand.max(self.spec.minimum_replicas);
        desired.min(self.spec.maximum_replicas)
    }

    /// Returns true if demand or the minimum justifies another load besides those in progress.
    pub fn should_load_another(&self) -> bool {
        if self.desired_count() <= self.usable_count() {
            return false;
        }
        if self.replicas.loading.is_empty() {
            return true;
        }
        let concurrency = u64::from(self.spec.concurrency_per_replica.max(1));
        let capacity = concurrency * u64::from(self.usable_count());
        self.demand.total() >= capacity * BACKLOG_FACTOR
    }

    /// Returns true if the maximum allows another slot.
    pub fn has_free_slot(&self) -> bool {
        self.replicas.slots < self.spec.maximum_replicas
    }

    /// Returns true if no request waits or runs for the model on any router.
    pub fn idle(&self) -> bool {
        self.demand.total() == 0
    }
}

fn classify_replica<'a>(
    sources: &ViewSources<'_>,
    spec: &ModelSpec,
    replica: &'a Replica,
    sets: &mut ReplicaSets<'a>,
) {
    if replica.phase == ReplicaPhase::Unloading {
        return;
    }
    let live = !sources.unavailable.contains(&replica.backend);
    let overdue = sources
        .loads
        .is_overdue(sources.now, sources.settings, replica);
    let set = if !live {
        &mut sets.leaving
    } else if overdue {
        &mut sets.overdue
    } else if replica.version != spec.current_version {
        &mut sets.stale
    } else if replica.phase == ReplicaPhase::Loading {
        &mut sets.loading
    } else {
        &mut sets.loaded
    };
    set.push(replica);
}
