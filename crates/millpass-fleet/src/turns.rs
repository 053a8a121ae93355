//! Turns of models and adapters that are requested again and again in vain.
//!
//! Load handled: more models are requested than the engines hold. Loads are ordered by the delay that
//! they save, so that a rarely requested model always comes after others. What has been requested in
//! vain over [`TURN_AFTER`] is served first, the longest waiting before others. The longer it has waited,
//! the more its evictions may cost; a few of those that have waited for [`LONGEST_WAIT`] may evict
//! anything. A model stays until it has served a request, for [`REQUEST_INTERVAL`] at most.
//! Turns are prepared at a part of the engines at a time, so that the others keep serving what most
//! requests are for.

use crate::demand::UnmetDemand;
use crate::planner::{ServiceView, Step};
use crate::round::{PlanningRound, Victims};
use millpass_proto::{Duration, WeightsSource};

/// Time over which something is requested in vain, again and again, before it is served ahead of others.
const TURN_AFTER: Duration = Duration::from_millis(5_000);
/// Time for which something is requested in vain before its turn may evict anything.
const LONGEST_WAIT: Duration = Duration::from_millis(15_000);
/// Longest interval between two requests for what is requested again and again. A model stays for its
/// next request after its turn has been prepared.
pub(crate) const REQUEST_INTERVAL: Duration = Duration::from_millis(10_000);
/// Number of engines for each that may prepare a turn at the same time.
const ENGINES_PER_TURN: usize = 4;
/// Number of engines for each of those that have waited longest and may evict anything.
const ENGINES_PER_OVERDUE_TURN: usize = 16;

/// Plans the turns that are due.
pub(crate) fn serve(view: &mut ServiceView<'_>, round: &mut PlanningRound, steps: &mut Vec<Step>) {
    let now = view.now;
    let due = view
        .demand
        .waiting(now, view.service, TURN_AFTER, REQUEST_INTERVAL);
    let is_missing = |demand: &UnmetDemand| round.holder_count(&demand.key.model) == 0;
    let (mut models, adapters): (Vec<UnmetDemand>, Vec<UnmetDemand>) =
        due.into_iter().partition(is_missing);
    models.retain(|demand| !view.is_load_quarantined(&demand.key.model, None));
    for demand in &adapters {
        view.serve_demand(demand, round, steps);
    }
    let engines = view.available().count();
    let limit = engines.div_ceil(ENGINES_PER_TURN);
    let overdue_limit = engines.div_ceil(ENGINES_PER_OVERDUE_TURN);
    let mut turns = view.engines.prepared_turns();
    for (position, demand) in models.iter().enumerate() {
        if turns < limit && !round.is_incoming(&demand.key.model) {
            let is_overdue = position < overdue_limit && now.since(demand.since) >= LONGEST_WAIT;
            let eviction_limit = match is_overdue {
                true => f64::MAX,
                false => {
                    let limit = round.eviction_limit(&demand.key.model, demand.requests);
                    limit * now.since(demand.since).div_duration_f64(TURN_AFTER)
                }
            };
            turns += usize::from(begin_turn(view, demand, eviction_limit, round, steps));
        }
    }
}

/// Loads a model at the cheapest engine that can be instructed now. An engine with a copy is worth
/// waiting for: a load from the weight store takes much longer, and few run at the same time.
/// Returns whether an engine prepares the turn.
fn begin_turn(
    view: &mut ServiceView<'_>,
    demand: &UnmetDemand,
    eviction_limit: f64,
    round: &mut PlanningRound,
    steps: &mut Vec<Step>,
) -> bool {
    let model = &demand.key.model;
    let has_copy = round.has_copy(model);
    let placement = round.cheapest_placement(
        view.specification,
        model,
        demand.requests,
        eviction_limit,
        Victims::Settled,
        |site, source| site.is_available() && (source != WeightsSource::Store || !has_copy),
    );
    let Some(placement) = placement else {
        return false;
    };
    view.start_load(&placement, model, "turn", round, steps);
    if let Some(engine) = view.engines.engines.get_mut(&placement.instance) {
        engine.turn = Some(model.clone());
    }
    has_copy
}
