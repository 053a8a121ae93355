//! Evictions: unloading idle replicas for a model with waiting requests.
//!
//! A replica may be evicted only if its model has no demand and the engine reports no requests in
//! its slot. Evictions never go below the model's minimum.

use crate::Scheduler;
use crate::retirement::retained_replicas;
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;
use millpass_proto::{Duration, Replica, VersionSpec};
use millpass_state::{replica_bytes_each, version_bytes_each};
use std::collections::BTreeMap;

/// Period over which the probability of reuse is computed.
const REUSE_HORIZON: Duration = Duration::from_secs(300);

/// An idle replica and the cost of evicting it.
#[derive(Clone, Debug)]
pub struct EvictionCandidate<'a> {
    pub replica: &'a Replica,
    /// Expected cold start seconds with adaptive keep-alive, else the recency of use; the lowest is
    /// evicted first.
    cost: f64,
}

/// Replicas of one engine that together free enough memory.
struct EvictionPlan<'a> {
    index: usize,
    cost: f64,
    accelerators: Vec<u32>,
    replicas: Vec<&'a Replica>,
}

impl Scheduler {
    /// Proposes evictions for the model; returns false if evictions are not allowed or do not
    /// free enough memory.
    pub(crate) fn propose_evictions<'a>(
        &self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        version: &VersionSpec,
        views: &[ModelView<'a>],
    ) -> bool {
        if !round.may_retire || self.settings.keep_alive == KeepAlive::AlwaysLoaded {
            return false;
        }
        let count = view.spec.accelerators_per_replica;
        let bytes = version_bytes_each(version, count);
        let mut eviction_candidates = round
            .eviction_candidates
            .take()
            .unwrap_or_else(|| self.eviction_candidates(round, views));
        let plan = cheapest_plan(round, &eviction_candidates, count as usize, bytes);
        let found = plan.is_some();
        if let Some(plan) = plan {
            for replica in &plan.replicas {
                round.retire(replica);
            }
            let engine = round.memory.engine_mut(plan.index);
            engine.reserve(&plan.accelerators, bytes);
            if let Some(left) = eviction_candidates.get_mut(&plan.index) {
                left.retain(|candidate| !round.retiring.contains(&candidate.replica.slot));
            }
        }
        round.eviction_candidates = Some(eviction_candidates);
        found
    }

    /// Idle replicas beyond their models' minimums.
    pub(crate) fn idle_replicas<'a>(
        &self,
        round: &Round<'a>,
        views: &[ModelView<'a>],
    ) -> Vec<&'a Replica> {
        if self.settings.keep_alive == KeepAlive::AlwaysLoaded {
            return Vec::new();
        }
        let eviction_candidates = self.eviction_candidates(round, views);
        let all = eviction_candidates.into_values().flatten();
        all.map(|candidate| candidate.replica).collect()
    }

    fn eviction_candidates<'a>(
        &self,
        round: &Round<'a>,
        views: &[ModelView<'a>],
    ) -> BTreeMap<usize, Vec<EvictionCandidate<'a>>> {
        let mut list: BTreeMap<usize, Vec<EvictionCandidate<'a>>> = BTreeMap::new();
        for view in views.iter().filter(|view| view.idle()) {
            let kept = retained_replicas(round, view);
            let spare = kept
                .len()
                .saturating_sub(view.spec.minimum_replicas as usize);
            let idle = kept
                .into_iter()
                .filter(|replica| self.slot_requests(replica) == 0);
            for replica in idle.take(spare) {
                if let Some(index) = round.memory.index_of(&replica.backend) {
                    let cost = self.eviction_cost(round, view, replica);
                    let on_engine = list.entry(index).or_default();
                    on_engine.push(EvictionCandidate { replica, cost });
                }
            }
        }
        for on_engine in list.values_mut() {
            on_engine.sort_by(|left, right| {
                let by_cost = left.cost.total_cmp(&right.cost);
                by_cost.then(left.replica.slot.cmp(&right.replica.slot))
            });
        }
        list
    }

    /// Cost of evicting a replica: the probability of reuse within the horizon times the reload
    /// time. Baseline strategies rank by recency.
    fn eviction_cost(&self, round: &Round<'_>, view: &ModelView<'_>, replica: &Replica) -> f64 {
        let idle = self.idle_time(round.now, view, replica);
        if self.settings.keep_alive != KeepAlive::Adaptive {
            return 1.0 / (1.0 + idle.as_secs_f64());
        }
        let tier = self.engines.best_tier(&replica.checkpoint);
        let reload = self
            .loads
            .expected_time(&self.settings, tier, replica.weights_bytes);
        let probability = self.arrival_probability(&view.name, idle, REUSE_HORIZON);
        probability * reload.as_secs_f64()
    }
}

/// Returns the cheapest plan over all engines.
fn cheapest_plan<'a>(
    round: &Round<'a>,
    eviction_candidates: &BTreeMap<usize, Vec<EvictionCandidate<'a>>>,
    count: usize,
    bytes: u64,
) -> Option<EvictionPlan<'a>> {
    let mut best: Option<EvictionPlan<'a>> = None;
    for (index, on_engine) in eviction_candidates {
        let Some(plan) = plan_for_engine(round, *index, on_engine, count, bytes) else {
            continue;
        };
        let better = best.as_ref().is_none_or(|best| {
            let by_cost = plan.cost.total_cmp(&best.cost);
            by_cost.then(plan.replicas.len().cmp(&best.replicas.len())) == std::cmp::Ordering::Less
        });
        if better {
            best = Some(plan);
        }
    }
    best
}

/// Selects replicas by cost per byte until the model fits, then drops those that are not needed,
/// the most expensive first.
fn plan_for_engine<'a>(
    round: &Round<'a>,
    index: usize,
    on_engine: &[EvictionCandidate<'a>],
    count: usize,
    bytes: u64,
) -> Option<EvictionPlan<'a>> {
    let engine = round.memory.engine(index);
    if !engine.live || engine.accelerator_count() < count {
        return None;
    }
    let mut by_cost_per_byte: Vec<&EvictionCandidate<'a>> = on_engine.iter().collect();
    by_cost_per_byte.sort_by(|left, right| cost_per_byte(left).total_cmp(&cost_per_byte(right)));
    let mut trial = engine.clone();
    let mut chosen: Vec<&EvictionCandidate<'a>> = Vec::new();
    for candidate in by_cost_per_byte {
        if trial.fit_after_unloads(count, bytes).is_some() {
            break;
        }
        trial.add_pending_free(
            &candidate.replica.accelerators,
            replica_bytes_each(candidate.replica),
        );
        chosen.push(candidate);
    }
    let mut fit = trial.fit_after_unloads(count, bytes)?;
    chosen.sort_by(|left, right| right.cost.total_cmp(&left.cost));
    let mut selected = chosen.clone();
    for candidate in &chosen {
        let others: Vec<&EvictionCandidate<'a>> = selected
            .iter()
            .copied()
            .filter(|other| other.replica.slot != candidate.replica.slot)
            .collect();
        let mut reduced = engine.clone();
        for other in &others {
            let freed = replica_bytes_each(other.replica);
            reduced.add_pending_free(&other.replica.accelerators, freed);
        }
        if let Some(smaller) = reduced.fit_after_unloads(count, bytes) {
            fit = smaller;
            selected = others;
        }
    }
    Some(EvictionPlan {
        index,
        cost: selected.iter().map(|candidate| candidate.cost).sum(),
        accelerators: fit.accelerators,
        replicas: selected.iter().map(|candidate| candidate.replica).collect(),
    })
}

/// Eviction cost per freed byte.
fn cost_per_byte(candidate: &EvictionCandidate<'_>) -> f64 {
    let replica = candidate.replica;
    let bytes = replica_bytes_each(replica) * replica.accelerators.len() as u64;
    candidate.cost / bytes.max(1) as f64
}
