//! Which model or adapter to load or unload next, and on which engine.
//!
//! What a load would serve, a need that gateways report or a replica that a busy model lacks, is met in the order of
//! the delay that it saves. A model goes where requests are delayed least, by its load and by what has to make way;
//! the better place is waited for while it opens soon. Loads from the weight store need a place among those that it
//! serves at once, and a permit; without them the need waits for the next round.

use crate::cost;
use crate::crashes::Crashes;
use crate::demand::{Demand, ModelKey, Unmet};
use crate::engines::{Engine, Engines};
use crate::handover::InstructionHistory;
use crate::permits::StorePermits;
use crate::registry::Registry;
use crate::round::{Place, Round};
use crate::store::StoreCapacity;
use crate::updates::model_outlook;
use millpass_limits::PermitLedger;
use millpass_proto::{
    AdapterName, Duration, EngineSpec, InstanceId, InstructionOperation, ModelName,
    ModelReadyEstimate, ServiceName, Timestamp, WeightsSource,
};

/// Time a model is kept at least after its load began.
pub(crate) const MINIMUM_STAY: Duration = Duration::from_millis(4_000);
/// Expected time of an unload; it waits for the model's runs.
pub(crate) const UNLOAD_TIME: Duration = Duration::from_millis(300);
/// Time after which a reservation that led to nothing lapses.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(8_000);
/// How many times as soon as the first a second load must end.
const MUCH_SOONER: u32 = 3;
/// Cost of loading a model that is on its way already, in milliseconds by which requests are delayed.
const SECOND_LOAD_COST: f64 = 2_000.0;
/// Share of the weight store's permits up to which replicas of busy models may take them.
const SPREAD_PERMITS: f64 = 0.6;

/// A model or an adapter, and what to do with it.
pub(crate) type Instruction = (InstructionOperation, ModelName, Option<AdapterName>);

/// What the planner decided for one engine.
pub(crate) struct Step {
    pub(crate) instance: InstanceId,
    /// None: read the engine's state.
    pub(crate) instruction: Option<Instruction>,
    /// Expected time.
    pub(crate) takes: Duration,
    /// The weights come from the weight store.
    pub(crate) from_store: bool,
    /// It is an unload that the engine has taken, ordered once more to be sure that it is done.
    pub(crate) confirms: bool,
    /// Memory that the engine's models and adapters are believed to take before it, in KB.
    pub(crate) used_kilobytes: u64,
    pub(crate) reason: &'static str,
}

/// What the planner sees of one service.
pub(crate) struct View<'a> {
    pub(crate) now: Timestamp,
    pub(crate) service: &'a ServiceName,
    pub(crate) specification: &'a EngineSpec,
    pub(crate) registry: &'a Registry,
    pub(crate) engines: &'a mut Engines,
    pub(crate) demand: &'a mut Demand,
    pub(crate) permits: &'a mut StorePermits,
    pub(crate) store: &'a StoreCapacity,
    /// Loads that end engines.
    pub(crate) crashes: &'a Crashes,
    /// Limits that engines state.
    pub(crate) limits: &'a PermitLedger,
    /// Takes when models that wait for an engine or a permit of the weight store are expected to serve.
    pub(crate) awaited: &'a mut Vec<ModelReadyEstimate>,
    /// Instructions of earlier leaders, and how long engines are left alone after them.
    pub(crate) history: &'a InstructionHistory,
    pub(crate) handover: Duration,
}

/// Plans one round for one service.
pub(crate) fn plan(view: &mut View<'_>, steps: &mut Vec<Step>) {
    view.read_unknown(steps);
    let unmet = view.demand.unmet(view.now, view.service);
    let mut round = Round::gather(view, &unmet);
    view.follow_reservations(&mut round, steps);
    for want in wants(&unmet, &round) {
        match want.what {
            Wanted::Need(need) => view.meet(need, &mut round, steps),
            Wanted::Replica(model) => view.add_replica(&model, &mut round, steps),
        }
    }
}

/// Something that a load would serve.
struct Want<'a> {
    /// Delay of requests that it would save, in milliseconds; see [`cost`].
    worth: f64,
    what: Wanted<'a>,
}

enum Wanted<'a> {
    /// A model or adapter that requests wait for.
    Need(&'a Unmet),
    /// A further replica of a busy model.
    Replica(ModelName),
}

/// What loads would serve, the most worth first: the weight store's time is scarce. What is worth the same
/// goes by urgency, then by age.
fn wants<'a>(unmet: &'a [Unmet], round: &Round) -> Vec<Want<'a>> {
    let needs = unmet.iter().map(|need| Want {
        worth: cost::serving(need.requests + round.expected(&need.key.model)),
        what: Wanted::Need(need),
    });
    let replicas = round.busy_models().into_iter().map(|(worth, model)| Want {
        worth,
        what: Wanted::Replica(model),
    });
    let mut wants: Vec<Want<'_>> = needs.chain(replicas).collect();
    wants.sort_by(|left, right| right.worth.total_cmp(&left.worth));
    wants
}

impl View<'_> {
    /// Engines of the service that take new work, in order of their names.
    pub(crate) fn taking(&self) -> impl Iterator<Item = &InstanceId> {
        self.registry
            .taking(self.service)
            .map(|record| &record.instance)
    }

    pub(crate) fn engine(&self, instance: &InstanceId) -> Option<&Engine> {
        self.engines.engines.get(instance)
    }

    /// Whether the engine may be instructed now.
    pub(crate) fn is_free(&self, instance: &InstanceId) -> bool {
        let open = self.now >= self.history.open_from(instance, self.handover);
        open && self.engine(instance).is_some_and(Engine::is_free)
    }

    /// Whether loads of a model, or of an adapter of it, are held back: they ended the engines that began them.
    pub(crate) fn is_held_back(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let key = ModelKey {
            service: self.service.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        self.crashes.holds_load(self.now, &key)
    }

    fn read_unknown(&mut self, steps: &mut Vec<Step>) {
        let taking: Vec<InstanceId> = self.taking().cloned().collect();
        for instance in taking {
            let now = self.now;
            let Some(engine) = self.engines.engines.get_mut(&instance) else {
                continue;
            };
            if engine.reserved.is_some() && now.since(engine.reserved_at) > RESERVATION_LIFETIME {
                engine.reserved = None;
            }
            if engine.read_due(now) {
                steps.push(Step {
                    instance,
                    instruction: None,
                    takes: Duration::ZERO,
                    from_store: false,
                    confirms: false,
                    used_kilobytes: 0,
                    reason: "state-unknown",
                });
            } else if let Some(model) = engine.to_confirm() {
                steps.push(Step {
                    instruction: Some((InstructionOperation::Unload, model.clone(), None)),
                    instance,
                    takes: Duration::ZERO,
                    from_store: false,
                    confirms: true,
                    used_kilobytes: 0,
                    reason: "confirm-unloaded",
                });
            }
        }
    }

    /// Loads what room was made for, or makes more room.
    fn follow_reservations(&mut self, round: &mut Round, steps: &mut Vec<Step>) {
        for instance in round.reserved.clone() {
            if !self.is_free(&instance) {
                continue;
            }
            let Some(engine) = self.engine(&instance) else {
                continue;
            };
            let Some(model) = engine.reserved.clone() else {
                continue;
            };
            let place = if engine.holds(&model, None) {
                None
            } else {
                round.place_at(self, &instance, &model)
            };
            match place {
                Some(place) => self.begin(&place, &model, "room-made", round, steps),
                None => self.release(&instance),
            }
        }
    }

    fn release(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.engines.get_mut(instance) {
            engine.reserved = None;
        }
    }

    fn meet(&mut self, need: &Unmet, round: &mut Round, steps: &mut Vec<Step>) {
        let model = &need.key.model;
        let Some(adapters) = round.model(self.specification, model).map(|it| it.adapters) else {
            return;
        };
        if round.holders(model) == 0 {
            self.meet_model(need, round, steps);
            return;
        }
        match &need.key.adapter {
            Some(adapter) if adapters > 0 => self.load_adapter(&need.key, adapter, round, steps),
            _ => self.demand.met(&need.key),
        }
    }

    /// Brings a model that nobody holds. One that is on its way comes a second time where that is so much
    /// sooner that it is worth it.
    fn meet_model(&mut self, need: &Unmet, round: &mut Round, steps: &mut Vec<Step>) {
        let model = &need.key.model;
        let Some(place) = round.place_for(self.specification, model, need.requests) else {
            return;
        };
        if !place.opens_in.is_zero() {
            // The better place opens soon: it is waited for.
            if round.coming_in(model).is_none() {
                self.await_model(model, place.ready_in());
            }
            return;
        }
        let reason = match round.coming_in(model) {
            None => "unserved",
            Some(coming) => {
                let wait = round.waiting_cost(model, need.requests, coming);
                let second = place.cost + SECOND_LOAD_COST;
                if second >= wait || place.ready_in() * MUCH_SOONER > coming {
                    return;
                }
                "comes-too-late"
            }
        };
        self.begin(&place, model, reason, round, steps);
    }

    /// Notes that a model waits, for gateways to be told.
    fn await_model(&mut self, model: &ModelName, ready_in: Duration) {
        self.awaited
            .push(model_outlook(self.service, model, None, ready_in));
    }

    /// Begins to load, or to make room and reserve it.
    fn begin(
        &mut self,
        place: &Place,
        model: &ModelName,
        reason: &'static str,
        round: &mut Round,
        steps: &mut Vec<Step>,
    ) {
        if self.is_held_back(model, None) {
            return;
        }
        let milliloads = self.specification.milliloads_per_second;
        let now = self.now;
        let Some(specification) = round.model(self.specification, model) else {
            return;
        };
        let Some(engine) = self.engines.engines.get_mut(&place.instance) else {
            return;
        };
        let source = engine.source_of(model);
        let from_store = place.victim.is_none() && source == WeightsSource::Store;
        if source == WeightsSource::Store && engine.reserved.as_ref() != Some(model) {
            if round.store_is_full() {
                round.store_queue += 1;
                self.await_model(model, place.takes);
                return;
            }
            round.store_loads += 1;
        }
        let used_kilobytes = round.used_kilobytes(self.specification, engine);
        let (operation, subject, takes) = match &place.victim {
            Some(victim) => {
                engine.reserved = Some(model.clone());
                engine.reserved_at = now;
                (InstructionOperation::Unload, victim.clone(), UNLOAD_TIME)
            }
            None => {
                if from_store && !self.permits.take(now, milliloads) {
                    let wait = self.permits.next_in(now, milliloads);
                    self.await_model(model, wait + place.takes);
                    return;
                }
                let takes = specification.load_time(source);
                engine.reserved = None;
                (InstructionOperation::Load, model.clone(), takes)
            }
        };
        round.comes(model, place.takes);
        round.instruct(&place.instance);
        steps.push(Step {
            instance: place.instance.clone(),
            instruction: Some((operation, subject, None)),
            takes,
            from_store,
            confirms: false,
            used_kilobytes,
            reason,
        });
    }

    /// Gives a busy model a further replica: where a copy is at hand, or from the weight store while
    /// needs that nobody serves leave it enough permits.
    fn add_replica(&mut self, model: &ModelName, round: &mut Round, steps: &mut Vec<Step>) {
        let milliloads = self.specification.milliloads_per_second;
        let spare = self.permits.used(self.now, milliloads) < SPREAD_PERMITS;
        let place = round.replica_place(self.specification, model, spare);
        if let Some(place) = place.filter(|place| place.opens_in.is_zero()) {
            self.begin(&place, model, "busy", round, steps);
        }
    }
}

impl Round {
    /// Where a further replica of a model costs least; only engines that are much less busy than
    /// its holders.
    fn replica_place(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        from_store: bool,
    ) -> Option<Place> {
        let gain = self.replica_gain(model);
        let share = self.share(model);
        self.cheapest(specification, model, 0.0, gain, |site, source| {
            site.busyness < share / 2.0 && (from_store || source != WeightsSource::Store)
        })
    }

    /// Where a model that nobody holds costs least.
    fn place_for(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        waiting: f64,
    ) -> Option<Place> {
        let limit = cost::serving(waiting);
        self.cheapest(specification, model, waiting, limit, |_, _| true)
    }
}
