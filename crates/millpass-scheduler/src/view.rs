//! A model as one scheduling round sees it: what it wants, and what it has.

use crate::demand::{Demand, DemandTable};
use crate::loads::LoadTracker;
use crate::settings::SchedulerSettings;
use millpass_proto::{
    BackendName, ModelName, ModelSpec, Replica, ReplicaPhase, Timestamp, VersionSpec,
};
use millpass_state::State;
use std::collections::BTreeSet;

/// A backlog counts as clearly more than the replicas can take from this many times what they
/// serve at once; then another load begins before the first has ended.
const CLEAR_BACKLOG_FACTOR: u64 = 4;

/// Replicas of a model, sorted by what can be done with them.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSets<'a> {
    /// Loaded, on a live engine, of the current version.
    pub loaded: Vec<&'a Replica>,
    /// Loading in good time, on a live engine, of the current version.
    pub loading: Vec<&'a Replica>,
    /// Loaded or loading on a live engine, of another version.
    pub outdated: Vec<&'a Replica>,
    /// Loaded or loading on an engine that is leaving.
    pub leaving: Vec<&'a Replica>,
    /// Loading for far longer than expected, on a live engine.
    pub overdue: Vec<&'a Replica>,
    /// Slots in every phase.
    pub slots: u32,
}

impl ReplicaSets<'_> {
    /// Replicas that others are to stand in for.
    pub fn replaced_count(&self) -> u32 {
        (self.outdated.len() + self.leaving.len() + self.overdue.len()) as u32
    }
}

/// A model in one round.
#[derive(Clone, Debug)]
pub struct ModelView<'a> {
    /// Name.
    pub name: ModelName,
    /// Content.
    pub spec: &'a ModelSpec,
    /// Current version; none if the model names one that does not exist.
    pub version: Option<&'a VersionSpec>,
    /// Its demand, adapters included.
    pub demand: Demand,
    /// Its replicas.
    pub replicas: ReplicaSets<'a>,
}

/// What a round reads to build views.
pub struct ViewSources<'s> {
    /// Time.
    pub now: Timestamp,
    /// Settings.
    pub settings: &'s SchedulerSettings,
    /// Demand.
    pub demand: &'s DemandTable,
    /// Loads.
    pub loads: &'s LoadTracker,
    /// Back ends that take no new work.
    pub not_live: BTreeSet<&'s BackendName>,
}

impl<'a> ModelView<'a> {
    /// Reads one model.
    pub fn new(
        sources: &ViewSources<'_>,
        state: &'a State,
        name: ModelName,
        spec: &'a ModelSpec,
    ) -> Self {
        let mut replicas = ReplicaSets::default();
        for replica in state.replicas_of(&name) {
            replicas.slots += 1;
            sort_replica(sources, spec, replica, &mut replicas);
        }
        ModelView {
            version: state.version(&name, &spec.current_version),
            demand: sources.demand.of_model(&name),
            name,
            spec,
            replicas,
        }
    }

    /// Replicas of the current version that serve or soon will.
    pub fn usable(&self) -> u32 {
        (self.replicas.loaded.len() + self.replicas.loading.len()) as u32
    }

    /// Replicas that demand and the stated minimum ask for, within the maximum.
    pub fn desired(&self) -> u32 {
        let concurrency = u64::from(self.spec.concurrency_per_replica.max(1));
        let by_demand = self.demand.total().div_ceil(concurrency);
        let by_demand = u32::try_from(by_demand).unwrap_or(u32::MAX);
        let wanted = by_demand.max(self.spec.minimum_replicas);
        wanted.min(self.spec.maximum_replicas)
    }

    /// Whether demand or the minimum justify a load now, beside those under way.
    pub fn wants_another(&self) -> bool {
        if self.desired() <= self.usable() {
            return false;
        }
        if self.replicas.loading.is_empty() {
            return true;
        }
        let concurrency = u64::from(self.spec.concurrency_per_replica.max(1));
        let taken = concurrency * u64::from(self.usable());
        self.demand.total() >= taken * CLEAR_BACKLOG_FACTOR
    }

    /// Whether the maximum leaves room for one more slot.
    pub fn has_free_slot(&self) -> bool {
        self.replicas.slots < self.spec.maximum_replicas
    }

    /// Whether nothing waits or runs for the model anywhere.
    pub fn idle(&self) -> bool {
        self.demand.total() == 0
    }
}

fn sort_replica<'a>(
    sources: &ViewSources<'_>,
    spec: &ModelSpec,
    replica: &'a Replica,
    sets: &mut ReplicaSets<'a>,
) {
    if replica.phase == ReplicaPhase::Unloading {
        return;
    }
    let live = !sources.not_live.contains(&replica.backend);
    let overdue = sources
        .loads
        .overdue(sources.now, sources.settings, replica);
    let set = if !live {
        &mut sets.leaving
    } else if overdue {
        &mut sets.overdue
    } else if replica.version != spec.current_version {
        &mut sets.outdated
    } else if replica.phase == ReplicaPhase::Loading {
        &mut sets.loading
    } else {
        &mut sets.loaded
    };
    set.push(replica);
}
