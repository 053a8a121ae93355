//! Decides which models and adapters to load and unload, and where.
//!
//! Unmet demand and missing replicas of busy models are served in the order of the delay they save.
//! A model goes to the engine with the lowest cost, including evictions; if that engine becomes
//! available soon, the planner waits for it. Loads from the weight store need a concurrency slot
//! and a permit; without them the demand waits for the next round.

use crate::cost;
use crate::crashes::CrashTracker;
use crate::demand::{Demand, ModelKey, UnmetDemand};
use crate::engines::{Engine, Engines};
use crate::instruction_history::InstructionHistory;
use crate::permits::StorePermits;
use crate::registry::Registry;
use crate::round::{Placement, PlanningRound, Site, Victims};
use crate::store_capacity::StoreCapacity;
use crate::stream_needs;
use crate::turns;
use crate::updates::ready_estimate;
use millpass_limits::PermitLedger;
use millpass_proto::{
    AdapterName, Duration, EngineSpec, InstanceId, InstructionOperation, ModelName,
    ModelReadyEstimate, ServiceName, Timestamp, WeightsSource,
};
use std::collections::BTreeSet;

/// Minimum time a model stays loaded after its load was sent.
pub(crate) const MIN_RESIDENCE: Duration = Duration::from_millis(4_000);
/// Expected duration of an unload, which waits for the model's running requests.
pub(crate) const UNLOAD_TIME: Duration = Duration::from_millis(300);
/// Time after which an unused reservation expires.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Factor by which a second load of an incoming model must be faster than the first.
const SECOND_LOAD_SPEEDUP: u32 = 3;
/// Cost of a second load of an incoming model, in milliseconds of request delay.
const SECOND_LOAD_COST: f64 = 2_000.0;
/// Fraction of the weight store's permits up to which replicas of busy models may use them.
const MAX_REPLICA_PERMIT_FRACTION: f64 = 0.6;
/// Utilization of a model's replicas from which its requests find no free slots: in-flight requests
/// cannot exceed the slots.
const SATURATED_UTILIZATION: f64 = 0.9;
/// Utilization of an engine up to which it gets a replica of a saturated model: its free slots serve
/// requests that are refused otherwise.
const MAX_REPLICA_SITE_UTILIZATION: f64 = 0.75;

/// Operation on a model, or on an adapter of it.
pub(crate) type Instruction = (InstructionOperation, ModelName, Option<AdapterName>);

/// Planned action for one engine.
pub(crate) struct Step {
    pub(crate) instance: InstanceId,
    /// None to read the engine's state.
    pub(crate) instruction: Option<Instruction>,
    /// Expected duration.
    pub(crate) expected_time: Duration,
    /// Whether the weights come from the weight store.
    pub(crate) from_store: bool,
    /// Whether it repeats an accepted unload to confirm that it is done.
    pub(crate) is_confirmation: bool,
    /// Recorded memory use of the engine before this step, in KB.
    pub(crate) used_kilobytes: u64,
    pub(crate) reason: &'static str,
}

/// Planner's view of one service.
pub(crate) struct ServiceView<'a> {
    pub(crate) now: Timestamp,
    pub(crate) service: &'a ServiceName,
    pub(crate) specification: &'a EngineSpec,
    pub(crate) registry: &'a Registry,
    pub(crate) engines: &'a mut Engines,
    pub(crate) demand: &'a mut Demand,
    pub(crate) permits: &'a mut StorePermits,
    pub(crate) store: &'a StoreCapacity,
    /// Quarantined loads.
    pub(crate) crashes: &'a CrashTracker,
    /// Limits stated by engines.
    pub(crate) limits: &'a PermitLedger,
    /// Collects ready estimates of models that wait for an engine or a permit.
    pub(crate) waiting: &'a mut Vec<ModelReadyEstimate>,
    /// Instructions of earlier leaders, and how long engines must not be instructed after them.
    pub(crate) history: &'a InstructionHistory,
    pub(crate) handover: Duration,
}

/// Plans one round for one service.
pub(crate) fn plan(view: &mut ServiceView<'_>, steps: &mut Vec<Step>) {
    view.plan_reads(steps);
    let unmet = view.demand.unmet(view.now, view.service);
    let mut round = PlanningRound::gather(view, &unmet);
    view.continue_reservations(&mut round, steps);
    let engines = &*view.engines;
    view.demand.end_waits(view.service, |key| {
        let holders = round.holders_of(&key.model).iter();
        let mut holders = holders.filter_map(|instance| engines.engines.get(instance));
        holders.any(|engine| engine.holds(&key.model, key.adapter.as_ref()))
    });
    turns::serve(view, &mut round, steps);
    stream_needs::serve(view, &mut round, steps);
    // A model is a candidate once per missing replica. What finds no placement finds none later in
    // the round, and each search visits all sites.
    let mut unplaceable = BTreeSet::new();
    for candidate in load_candidates(&unmet, &round) {
        match candidate.purpose {
            LoadPurpose::UnmetDemand(demand) => view.serve_demand(demand, &mut round, steps),
            LoadPurpose::Replica(model) => {
                if !unplaceable.contains(&model) && !view.add_replica(&model, &mut round, steps) {
                    unplaceable.insert(model);
                }
            }
        }
    }
}

/// A potential load.
struct LoadCandidate<'a> {
    /// Request delay saved, in milliseconds; see [`cost`].
    benefit: f64,
    purpose: LoadPurpose<'a>,
}

enum LoadPurpose<'a> {
    /// Loads a model or adapter that requests wait for.
    UnmetDemand(&'a UnmetDemand),
    /// Adds a replica of a busy model.
    Replica(ModelName),
}

/// Returns potential loads by descending benefit, because weight store capacity is scarce. Equal
/// benefits keep the order of urgency and age.
fn load_candidates<'a>(unmet: &'a [UnmetDemand], round: &PlanningRound) -> Vec<LoadCandidate<'a>> {
    let demand = unmet.iter().map(|unmet_demand| LoadCandidate {
        benefit: cost::unserved_delay(
            unmet_demand.requests + round.expected_requests(&unmet_demand.key.model),
        ),
        purpose: LoadPurpose::UnmetDemand(unmet_demand),
    });
    let replicas = round
        .missing_replicas()
        .into_iter()
        .map(|(benefit, model)| LoadCandidate {
            benefit,
            purpose: LoadPurpose::Replica(model),
        });
    let mut candidates: Vec<LoadCandidate<'_>> = demand.chain(replicas).collect();
    candidates.sort_by(|left, right| right.benefit.total_cmp(&left.benefit));
    candidates
}

impl ServiceView<'_> {
    /// Returns the available engines of the service, in order of their names.
    pub(crate) fn available(&self) -> impl Iterator<Item = &InstanceId> {
        self.registry
            .available(self.service)
            .map(|record| &record.instance)
    }

    pub(crate) fn engine(&self, instance: &InstanceId) -> Option<&Engine> {
        self.engines.engines.get(instance)
    }

    /// Returns whether the engine may be instructed now.
    pub(crate) fn can_be_instructed(&self, instance: &InstanceId) -> bool {
        let is_open = self.now >= self.history.instructable_from(instance, self.handover);
        is_open && self.engine(instance).is_some_and(Engine::can_be_instructed)
    }

    /// Returns whether loads of the model or adapter are quarantined because they crashed engines.
    pub(crate) fn is_load_quarantined(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let key = ModelKey {
            service: self.service.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        self.crashes.is_load_quarantined(self.now, &key)
    }

    fn plan_reads(&mut self, steps: &mut Vec<Step>) {
        let available: Vec<InstanceId> = self.available().cloned().collect();
        for instance in available {
            let now = self.now;
            let Some(engine) = self.engines.engines.get_mut(&instance) else {
                continue;
            };
            if engine.reserved_model.is_some()
                && now.since(engine.reserved_at) > RESERVATION_TIMEOUT
            {
                engine.reserved_model = None;
            }
            if engine.is_read_due(now) {
                steps.push(Step {
                    instance,
                    instruction: None,
                    expected_time: Duration::ZERO,
                    from_store: false,
                    is_confirmation: false,
                    used_kilobytes: 0,
                    reason: "state-unknown",
                });
            } else if let Some(model) = engine.unload_to_confirm() {
                steps.push(Step {
                    instruction: Some((InstructionOperation::Unload, model.clone(), None)),
                    instance,
                    expected_time: Duration::ZERO,
                    from_store: false,
                    is_confirmation: true,
                    used_kilobytes: 0,
                    reason: "confirm-unloaded",
                });
            }
        }
    }

    /// Loads models for which memory was freed, or frees more.
    fn continue_reservations(&mut self, round: &mut PlanningRound, steps: &mut Vec<Step>) {
        for instance in round.reserved.clone() {
            if !self.can_be_instructed(&instance) {
                continue;
            }
            let Some(engine) = self.engine(&instance) else {
                continue;
            };
            let Some(model) = engine.reserved_model.clone() else {
                continue;
            };
            let placement = if engine.holds(&model, None) {
                None
            } else {
                round.placement_at(self, &instance, &model)
            };
            match placement {
                Some(placement) => self.start_load(&placement, &model, "room-made", round, steps),
                None => self.release_reservation(&instance),
            }
        }
    }

    fn release_reservation(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.engines.get_mut(instance) {
            engine.reserved_model = None;
        }
    }

    pub(crate) fn serve_demand(
        &mut self,
        demand: &UnmetDemand,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        let model = &demand.key.model;
        let Some(adapters) = round.model(self.specification, model).map(|it| it.adapters) else {
            return;
        };
        if round.holder_count(model) == 0 {
            self.load_missing_model(demand, round, steps);
            return;
        }
        match &demand.key.adapter {
            Some(adapter) if adapters > 0 => self.load_adapter(&demand.key, adapter, round, steps),
            _ => self.demand.mark_met(&demand.key),
        }
    }

    /// Loads a model that no engine holds. If it is already incoming, a second load must be much
    /// faster and cost less than waiting for the first.
    fn load_missing_model(
        &mut self,
        demand: &UnmetDemand,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        let model = &demand.key.model;
        let Some(placement) = round.placement_for(self.specification, model, demand.requests)
        else {
            return;
        };
        if !placement.available_in.is_zero() {
            // The cheapest engine becomes available soon: wait for it.
            if !round.is_incoming(model) {
                self.record_waiting(model, placement.ready_in());
            }
            return;
        }
        if let Some(ready_in) = self.sooner_busy_copy(demand, &placement, round) {
            return self.record_waiting(model, ready_in);
        }
        let reason = match round.incoming_ready_in(model) {
            None => "unserved",
            Some(incoming) => {
                let wait = round.waiting_delay(model, demand.requests, incoming);
                let second_cost = placement.cost + SECOND_LOAD_COST;
                if second_cost >= wait || placement.ready_in() * SECOND_LOAD_SPEEDUP > incoming {
                    return;
                }
                "comes-too-late"
            }
        };
        self.start_load(&placement, model, reason, round, steps);
    }

    /// Returns the time until a missing model could be ready from a copy on an engine that cannot be
    /// instructed yet, if a load from the weight store would be ready later. Demand that has waited
    /// for as long as that load takes no longer waits for the copy.
    fn sooner_busy_copy(
        &self,
        demand: &UnmetDemand,
        placement: &Placement,
        round: &PlanningRound,
    ) -> Option<Duration> {
        let model = &demand.key.model;
        let engine = self.engine(&placement.instance)?;
        let is_from_store = engine.weights_source(model) == WeightsSource::Store;
        let is_wanted = is_from_store && !round.is_incoming(model);
        let waited = self.now.since(demand.since);
        round.busy_copy_ready_in(model).filter(|ready_in| {
            is_wanted && waited < placement.ready_in() && *ready_in < placement.ready_in()
        })
    }

    /// Records a waiting model, to be published to gateways.
    fn record_waiting(&mut self, model: &ModelName, ready_in: Duration) {
        self.waiting
            .push(ready_estimate(self.service, model, None, ready_in));
    }

    /// Starts the load, or evicts a model and reserves the freed memory, or records that the load waits
    /// for the weight store.
    pub(crate) fn start_load(
        &mut self,
        placement: &Placement,
        model: &ModelName,
        reason: &'static str,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        if self.is_load_quarantined(model, None) {
            return;
        }
        let milliloads = self.specification.milliloads_per_second;
        let now = self.now;
        let Some(specification) = round.model(self.specification, model) else {
            return;
        };
        let Some(engine) = self.engines.engines.get_mut(&placement.instance) else {
            return;
        };
        let source = engine.weights_source(model);
        let from_store = placement.victim.is_none() && source == WeightsSource::Store;
        if source == WeightsSource::Store && engine.reserved_model.as_ref() != Some(model) {
            if round.store_is_full() {
                round.store_queue += 1;
                self.record_waiting(model, placement.load_time);
                return;
            }
            round.store_loads += 1;
        }
        let used_kilobytes = round.used_kilobytes(self.specification, engine);
        let (operation, subject, expected_time) = match &placement.victim {
            Some(victim) => {
                engine.reserved_model = Some(model.clone());
                engine.reserved_at = now;
                (InstructionOperation::Unload, victim.clone(), UNLOAD_TIME)
            }
            None => {
                if from_store && !self.permits.try_acquire(now, milliloads) {
                    let wait = self.permits.time_until_available(now, milliloads);
                    self.record_waiting(model, wait + placement.load_time);
                    return;
                }
                let expected_time = specification.load_time(source);
                engine.reserved_model = None;
                (InstructionOperation::Load, model.clone(), expected_time)
            }
        };
        round.add_incoming(model, placement.load_time);
        round.mark_instructed(&placement.instance);
        steps.push(Step {
            instance: placement.instance.clone(),
            instruction: Some((operation, subject, None)),
            expected_time,
            from_store,
            is_confirmation: false,
            used_kilobytes,
            reason,
        });
    }

    /// Adds a replica of a busy model from a local copy, or from the weight store while unmet
    /// demand leaves enough permits.
    /// Returns whether a placement was found.
    fn add_replica(
        &mut self,
        model: &ModelName,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) -> bool {
        let milliloads = self.specification.milliloads_per_second;
        let may_use_store =
            self.permits.used_fraction(self.now, milliloads) < MAX_REPLICA_PERMIT_FRACTION;
        let placement = round.replica_placement(self.specification, model, may_use_store);
        let Some(placement) = placement else {
            return false;
        };
        self.start_load(&placement, model, "busy", round, steps);
        true
    }
}

impl PlanningRound {
    /// Returns the cheapest placement of a further replica on an engine that can be instructed now
    /// and is much less utilized than the holders. None if a busy engine, once it is available,
    /// would be ready much sooner.
    ///
    /// Engines are not reserved for later rounds: while others are swapping models, the cheapest
    /// engine is a busy one in most rounds, and waiting for it would postpone the replica forever.
    fn replica_placement(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        from_store: bool,
    ) -> Option<Placement> {
        let gain = self.replica_gain(model);
        let utilization = self.replica_utilization(model);
        let is_saturated = utilization >= SATURATED_UTILIZATION;
        let max_site_utilization = match is_saturated {
            true => MAX_REPLICA_SITE_UTILIZATION,
            false => utilization / 2.0,
        };
        // The engine with a copy of a saturated model's weights may hold only models that were
        // swapped in lately, for as long as others are requested.
        let victims = match is_saturated {
            true => Victims::Any,
            false => Victims::Settled,
        };
        let from_store = from_store && !self.store_is_full();
        let accepts = |site: &Site, source| {
            site.utilization < max_site_utilization
                && (from_store || source != WeightsSource::Store)
        };
        let cheapest = |accepts: &dyn Fn(&Site, WeightsSource) -> bool| {
            self.cheapest_placement(specification, model, 0.0, gain, victims, accepts)
        };
        let best = cheapest(&accepts)?;
        if best.available_in.is_zero() {
            return Some(best);
        }
        let available = cheapest(&|site, source| site.is_available() && accepts(site, source));
        available.filter(|placement| placement.ready_in() <= best.ready_in() * SECOND_LOAD_SPEEDUP)
    }

    /// Returns the cheapest placement of a model that no engine holds.
    fn placement_for(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        waiting: f64,
    ) -> Option<Placement> {
        let limit = self.eviction_limit(model, waiting);
        self.cheapest_placement(
            specification,
            model,
            waiting,
            limit,
            Victims::Settled,
            |_, _| true,
        )
    }
}
