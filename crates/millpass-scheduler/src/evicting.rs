//! Evictions: which idle replicas make room for a model that has waiting requests.
//!
//! A replica may be evicted when nothing waits or runs for its model anywhere and its engine
//! reports no request in its slot, and never below the model's minimum.

use crate::Scheduler;
use crate::retiring::kept_loaded;
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;
use millpass_proto::{Duration, Replica, VersionSpec};
use millpass_state::{replica_bytes_each, version_bytes_each};
use std::collections::BTreeMap;

/// Time ahead over which the chance of reuse is weighed.
const REUSE_HORIZON: Duration = Duration::from_secs(300);

/// An idle replica, with what its loss would cost.
#[derive(Clone, Debug)]
pub struct Evictable<'a> {
    /// Replica.
    pub replica: &'a Replica,
    /// Expected seconds of cold start that its loss causes, or its recency with the plain
    /// strategies; the least goes first.
    cost: f64,
}

/// Replicas of one engine that together make room, and what their loss costs.
struct EvictionPlan<'a> {
    index: usize,
    cost: f64,
    accelerators: Vec<u32>,
    replicas: Vec<&'a Replica>,
}

impl Scheduler {
    /// Proposes unloads that make room for the model; says whether that can be done.
    pub(crate) fn evict_for<'a>(
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
        let mut evictable = round
            .evictable
            .take()
            .unwrap_or_else(|| self.list_evictable(round, views));
        let plan = cheapest_plan(round, &evictable, count as usize, bytes);
        let found = plan.is_some();
        if let Some(plan) = plan {
            for replica in &plan.replicas {
                round.retire(replica);
            }
            let engine = round.memory.engine_mut(plan.index);
            engine.reserve(&plan.accelerators, bytes);
            if let Some(left) = evictable.get_mut(&plan.index) {
                left.retain(|one| !round.retiring.contains(&one.replica.slot));
            }
        }
        round.evictable = Some(evictable);
        found
    }

    /// Replicas that nothing asks for and that no minimum keeps.
    pub(crate) fn idle_replicas<'a>(
        &self,
        round: &Round<'a>,
        views: &[ModelView<'a>],
    ) -> Vec<&'a Replica> {
        if self.settings.keep_alive == KeepAlive::AlwaysLoaded {
            return Vec::new();
        }
        let evictable = self.list_evictable(round, views);
        let all = evictable.into_values().flatten();
        all.map(|one| one.replica).collect()
    }

    fn list_evictable<'a>(
        &self,
        round: &Round<'a>,
        views: &[ModelView<'a>],
    ) -> BTreeMap<usize, Vec<Evictable<'a>>> {
        let mut list: BTreeMap<usize, Vec<Evictable<'a>>> = BTreeMap::new();
        for view in views.iter().filter(|view| view.idle()) {
            let kept = kept_loaded(round, view);
            let spare = kept
                .len()
                .saturating_sub(view.spec.minimum_replicas as usize);
            let idle = kept.into_iter().filter(|replica| self.busy(replica) == 0);
            for replica in idle.take(spare) {
                if let Some(index) = round.memory.index_of(&replica.backend) {
                    let cost = self.loss(round, view, replica);
                    let on_engine = list.entry(index).or_default();
                    on_engine.push(Evictable { replica, cost });
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

    /// What the loss of a replica costs: the chance that its model is asked for within the
    /// horizon, times the seconds that a reload takes. The plain strategies go by recency.
    fn loss(&self, round: &Round<'_>, view: &ModelView<'_>, replica: &Replica) -> f64 {
        let idle = self.idle_time(round.now, view, replica);
        if self.settings.keep_alive != KeepAlive::Adaptive {
            return 1.0 / (1.0 + idle.as_secs_f64());
        }
        let tier = self.engines.best_tier(&replica.checkpoint);
        let reload = self
            .loads
            .expected(&self.settings, tier, replica.weights_bytes);
        let chance = self.arrival_probability(&view.name, idle, REUSE_HORIZON);
        chance * reload.as_secs_f64()
    }
}

/// The plan of least cost over all engines that have something to evict.
fn cheapest_plan<'a>(
    round: &Round<'a>,
    evictable: &BTreeMap<usize, Vec<Evictable<'a>>>,
    count: usize,
    bytes: u64,
) -> Option<EvictionPlan<'a>> {
    let mut best: Option<EvictionPlan<'a>> = None;
    for (index, on_engine) in evictable {
        let Some(plan) = plan_on(round, *index, on_engine, count, bytes) else {
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

/// Evicts the cheapest by cost for the bytes they free until the model fits, then puts back those
/// that turn out not to be needed, the dearest first.
fn plan_on<'a>(
    round: &Round<'a>,
    index: usize,
    on_engine: &[Evictable<'a>],
    count: usize,
    bytes: u64,
) -> Option<EvictionPlan<'a>> {
    let engine = round.memory.engine(index);
    if !engine.live || engine.accelerator_count() < count {
        return None;
    }
    let mut by_density: Vec<&Evictable<'a>> = on_engine.iter().collect();
    by_density.sort_by(|left, right| density(left).total_cmp(&density(right)));
    let mut trial = engine.clone();
    let mut chosen: Vec<&Evictable<'a>> = Vec::new();
    for one in by_density {
        if trial.fit_soon(count, bytes).is_some() {
            break;
        }
        trial.free_soon(&one.replica.accelerators, replica_bytes_each(one.replica));
        chosen.push(one);
    }
    let mut fit = trial.fit_soon(count, bytes)?;
    chosen.sort_by(|left, right| right.cost.total_cmp(&left.cost));
    let mut kept_out = chosen.clone();
    for one in &chosen {
        let others: Vec<&Evictable<'a>> = kept_out
            .iter()
            .copied()
            .filter(|other| other.replica.slot != one.replica.slot)
            .collect();
        let mut without = engine.clone();
        for other in &others {
            let freed = replica_bytes_each(other.replica);
            without.free_soon(&other.replica.accelerators, freed);
        }
        if let Some(smaller) = without.fit_soon(count, bytes) {
            fit = smaller;
            kept_out = others;
        }
    }
    Some(EvictionPlan {
        index,
        cost: kept_out.iter().map(|one| one.cost).sum(),
        accelerators: fit.accelerators,
        replicas: kept_out.iter().map(|one| one.replica).collect(),
    })
}

/// Cost for each byte that an eviction frees.
fn density(one: &Evictable<'_>) -> f64 {
    let replica = one.replica;
    let bytes = replica_bytes_each(replica) * replica.accelerators.len() as u64;
    one.cost / bytes.max(1) as f64
}
