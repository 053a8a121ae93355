//! Which model or adapter to load or unload next, and on which engine.
//!
//! Needs that gateways report are met in order of urgency. A model goes where a copy of its weights
//! is at hand and where the least is lost by what has to make way. Loads from the weight store take
//! a permit first; without one the need waits for the next round.

use crate::demand::{Demand, ModelKey, Unmet};
use crate::engines::{Engine, Engines};
use crate::handover::InstructionHistory;
use crate::permits::StorePermits;
use crate::registry::Registry;
use millpass_proto::{
    AdapterName, Duration, EngineModelSpec, EngineSpec, InstanceId, InstructionOperation,
    ModelName, ServiceName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time a model is kept at least after its load began.
const MINIMUM_STAY: Duration = Duration::from_millis(4_000);
/// Expected time of an unload; it waits for the model's runs.
const UNLOAD_TIME: Duration = Duration::from_millis(300);
/// Expected time of an adapter's load or unload.
const ADAPTER_TIME: Duration = Duration::from_millis(20);
/// Time after which a reservation that led to nothing lapses.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(8_000);
/// Share of its time that an engine may spend on reading one model's prompts; above it, the model
/// gets another replica.
const COMFORTABLE_READING: f64 = 0.3;
/// Cost of placing a model on an engine that reads prompts all the time, in milliseconds.
const BUSY_COST: f64 = 1_000.0;
/// The same for an adapter, in adapters that are loaded there.
const ADAPTER_BUSY_COST: f64 = 10.0;
/// Most that a further replica may cost, in milliseconds.
const SPREAD_COST: f64 = 6_000.0;
/// Prompt tokens that an engine reads in a second.
const TOKENS_PER_SECOND: f64 = 38_000.0;
/// Share of the weight store's permits up to which replicas of busy models may take them.
const SPREAD_PERMITS: f64 = 0.6;
/// Weight of the value of what makes way against the time of the load: milliseconds for each
/// request a second that would have to be served cold.
const EVICTION_WEIGHT: f64 = 4_000.0;
/// Least value, in requests a second, up to which a replica may make way for any need.
const LEAST_EVICTION_LIMIT: f64 = 0.3;
/// Time over which the requests of a need are spread to compare it with what would make way, in
/// seconds.
const NEED_SECONDS: f64 = 3.0;
/// Part of a model's rate that each of several replicas stands for.
const REPLICA_VALUE: f64 = 0.3;

/// What the planner decided for one engine.
pub(crate) struct Step {
    pub(crate) instance: InstanceId,
    /// None: read the engine's state.
    pub(crate) instruction: Option<(InstructionOperation, ModelName, Option<AdapterName>)>,
    /// Expected time.
    pub(crate) takes: Duration,
    /// The weights come from the weight store.
    pub(crate) from_store: bool,
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
    /// Instructions of earlier leaders, and how long engines are left alone after them.
    pub(crate) history: &'a InstructionHistory,
    pub(crate) handover: Duration,
    pub(crate) round: Round,
}

/// What a round looks up often, gathered once: with hundreds of engines and models, gathering it for
/// each candidate takes the leader's whole processor.
#[derive(Default)]
pub(crate) struct Round {
    /// Models with a need that nobody serves.
    wanted: BTreeSet<ModelName>,
    /// Engines that hold each model.
    holders: BTreeMap<ModelName, usize>,
    /// Share of one engine's time that each model's prompts take.
    reading: BTreeMap<ModelName, f64>,
    /// Requests a second for each model, over the last minute or so, and those in flight.
    worth: BTreeMap<ModelName, f64>,
    /// Engines that take new work and can be reached.
    usable: Vec<InstanceId>,
}

impl Round {
    fn gather(view: &View<'_>) -> Round {
        let mut round = Round {
            usable: view.reachable(),
            ..Round::default()
        };
        for need in view.demand.unmet(view.now) {
            if need.key.service == *view.service {
                round.wanted.insert(need.key.model);
            }
        }
        for instance in &round.usable {
            let Some(engine) = view.engines.engines.get(instance) else {
                continue;
            };
            for held in &engine.held {
                if !engine.unloading(&held.model) {
                    *round.holders.entry(held.model.clone()).or_default() += 1;
                }
            }
        }
        for (model, load) in view.demand.loads(view.now, view.service) {
            round
                .reading
                .insert(model.clone(), load.tokens / TOKENS_PER_SECOND);
            round
                .worth
                .insert(model, load.lasting_rate + f64::from(load.in_flight));
        }
        round
    }
}

/// Plans one round for one service.
pub(crate) fn plan(view: &mut View<'_>, steps: &mut Vec<Step>) {
    view.round = Round::gather(view);
    view.read_unknown(steps);
    view.follow_reservations(steps);
    for need in view.demand.unmet(view.now) {
        if need.key.service == *view.service {
            view.meet(&need, steps);
        }
    }
    view.spread(steps);
}

/// Expected time to load a model on an engine, by where a copy of its weights is.
pub(crate) fn load_time(
    specification: &EngineSpec,
    engine: &Engine,
    model: &ModelName,
) -> Duration {
    let Some(found) = model_spec(specification, model) else {
        return Duration::ZERO;
    };
    let millis = if engine.in_memory.contains(model) {
        found.memory_load_millis
    } else if engine.on_disk.contains(model) {
        found.disk_load_millis
    } else {
        found.load_millis
    };
    Duration::from_millis(millis)
}

fn model_spec<'a>(specification: &'a EngineSpec, model: &ModelName) -> Option<&'a EngineModelSpec> {
    specification
        .models
        .iter()
        .find(|candidate| candidate.name == *model)
}

fn from_store(engine: &Engine, model: &ModelName) -> bool {
    !engine.in_memory.contains(model) && !engine.on_disk.contains(model)
}

/// A place for a model, and what must make way there.
struct Place {
    instance: InstanceId,
    victim: Option<ModelName>,
    cost: f64,
}

impl View<'_> {
    /// Engines of the service that take new work, in order of their names.
    fn taking(&self) -> impl Iterator<Item = &InstanceId> {
        self.registry
            .records()
            .filter(|record| record.service == *self.service && !record.draining)
            .map(|record| &record.instance)
    }

    /// Those of them that can be reached, as of this round.
    fn usable(&self) -> &[InstanceId] {
        &self.round.usable
    }

    fn reachable(&self) -> Vec<InstanceId> {
        self.taking()
            .filter(|instance| {
                self.engine(instance)
                    .is_none_or(|engine| !engine.unreachable)
            })
            .cloned()
            .collect()
    }

    fn engine(&self, instance: &InstanceId) -> Option<&Engine> {
        self.engines.engines.get(instance)
    }

    /// Whether the engine may be instructed now.
    fn is_free(&self, instance: &InstanceId) -> bool {
        let open = self.now >= self.history.open_from(instance, self.handover);
        open && self.engine(instance).is_some_and(Engine::is_free)
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
                    reason: "state-unknown",
                });
            }
        }
    }

    /// Loads what room was made for, or makes more room.
    fn follow_reservations(&mut self, steps: &mut Vec<Step>) {
        for instance in self.usable().to_vec() {
            let Some(engine) = self.engine(&instance) else {
                continue;
            };
            let Some(model) = engine.reserved.clone() else {
                continue;
            };
            if !self.is_free(&instance) {
                continue;
            }
            if engine.holds(&model, None) {
                self.release(&instance);
                continue;
            }
            match self.place_at(&instance, &model, f64::MAX) {
                Some(place) => self.begin(&place, &model, "room-made", steps),
                None => self.release(&instance),
            }
        }
    }

    fn release(&mut self, instance: &InstanceId) {
        if let Some(engine) = self.engines.engines.get_mut(instance) {
            engine.reserved = None;
        }
    }

    fn meet(&mut self, need: &Unmet, steps: &mut Vec<Step>) {
        let model = &need.key.model;
        let Some(specification) = model_spec(self.specification, model) else {
            return;
        };
        let adapters = specification.adapters;
        let usable = self.usable();
        let holders: Vec<InstanceId> = usable
            .iter()
            .filter(|instance| {
                self.engine(instance)
                    .is_some_and(|engine| engine.holds(model, None) && !engine.unloading(model))
            })
            .cloned()
            .collect();
        if holders.is_empty() {
            let coming = usable.iter().any(|instance| {
                self.engine(instance)
                    .is_some_and(|engine| engine.brings(model))
            });
            if !coming {
                let limit = (need.requests / NEED_SECONDS).max(LEAST_EVICTION_LIMIT);
                self.load_somewhere(model, limit, steps);
            }
            return;
        }
        match &need.key.adapter {
            Some(adapter) if adapters > 0 => {
                self.load_adapter(&need.key, adapter, &holders, steps);
            }
            _ => self.demand.met(&need.key),
        }
    }

    /// Loads a model that nobody holds; what makes way is worth `limit` requests a second at most.
    fn load_somewhere(&mut self, model: &ModelName, limit: f64, steps: &mut Vec<Step>) {
        let best = self
            .usable()
            .iter()
            .filter(|instance| {
                let reserved = |engine: &Engine| engine.reserved.is_some();
                self.is_free(instance) && !self.engine(instance).is_some_and(reserved)
            })
            .filter_map(|instance| self.place_at(instance, model, limit))
            .min_by(|left, right| left.cost.total_cmp(&right.cost));
        if let Some(place) = best {
            self.begin(&place, model, "unserved", steps);
        }
    }

    /// Begins to load, or to make room and reserve it.
    fn begin(
        &mut self,
        place: &Place,
        model: &ModelName,
        reason: &'static str,
        steps: &mut Vec<Step>,
    ) {
        let milliloads = self.specification.milliloads_per_second;
        let now = self.now;
        let specification = self.specification;
        let Some(engine) = self.engines.engines.get_mut(&place.instance) else {
            return;
        };
        let takes = load_time(specification, engine, model);
        let from_store = place.victim.is_none() && from_store(engine, model);
        let (operation, subject, takes) = match &place.victim {
            Some(victim) => {
                engine.reserved = Some(model.clone());
                engine.reserved_at = now;
                (InstructionOperation::Unload, victim.clone(), UNLOAD_TIME)
            }
            None => {
                if from_store && !self.permits.take(now, milliloads) {
                    return;
                }
                (InstructionOperation::Load, model.clone(), takes)
            }
        };
        if operation == InstructionOperation::Load {
            engine.reserved = None;
        }
        engine.planned = Some((operation, subject.clone()));
        steps.push(Step {
            instance: place.instance.clone(),
            instruction: Some((operation, subject, None)),
            takes,
            from_store,
            reason,
        });
    }

    /// What it costs to load a model at an engine, and the first model that must make way; each of
    /// those is worth `limit` requests a second at most.
    fn place_at(&self, instance: &InstanceId, model: &ModelName, limit: f64) -> Option<Place> {
        let engine = self.engine(instance)?;
        if engine.planned.is_some() {
            return None;
        }
        let needed = model_spec(self.specification, model)?.weights_kilobytes;
        let mut free = self
            .specification
            .weights_kilobytes
            .saturating_sub(self.used_kilobytes(engine));
        let mut cost = load_time(self.specification, engine, model).as_millis() as f64;
        cost += self.busyness(engine) * BUSY_COST;
        let mut victim = None;
        let mut values: Vec<(f64, &ModelName, u64)> = engine
            .held
            .iter()
            .filter(|held| self.may_evict(engine, &held.model))
            .map(|held| {
                let freed = self.held_kilobytes(held);
                (self.value(&held.model), &held.model, freed)
            })
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (value, candidate, freed) in values {
            if free >= needed || value > limit {
                break;
            }
            free += freed;
            cost += value * EVICTION_WEIGHT + UNLOAD_TIME.as_millis() as f64;
            victim.get_or_insert_with(|| candidate.clone());
        }
        (free >= needed).then(|| Place {
            instance: instance.clone(),
            victim,
            cost,
        })
    }

    fn may_evict(&self, engine: &Engine, model: &ModelName) -> bool {
        let wanted = self.round.wanted.contains(model);
        !wanted && !engine.is_fresh(self.now, model, MINIMUM_STAY)
    }

    /// Requests a second that would be served cold, or worse, without this replica, which counts among
    /// the holders.
    fn value(&self, model: &ModelName) -> f64 {
        let others = self.holders(model).saturating_sub(1);
        let worth = self.round.worth.get(model).copied().unwrap_or_default();
        if others == 0 || self.reading(model) / others as f64 > COMFORTABLE_READING {
            return worth;
        }
        worth * REPLICA_VALUE / others as f64
    }

    /// Share of its time that an engine spends on reading prompts.
    fn busyness(&self, engine: &Engine) -> f64 {
        engine
            .held
            .iter()
            .map(|held| {
                let holders = self.holders(&held.model).max(1) as f64;
                self.reading(&held.model) / holders
            })
            .sum()
    }

    fn holders(&self, model: &ModelName) -> usize {
        self.round.holders.get(model).copied().unwrap_or_default()
    }

    fn used_kilobytes(&self, engine: &Engine) -> u64 {
        let held: u64 = engine
            .held
            .iter()
            .map(|held| self.held_kilobytes(held))
            .sum();
        let coming = engine.pending.as_ref().map_or(0, |pending| {
            let loads = pending.operation == InstructionOperation::Load
                && !engine.holds(&pending.model, pending.adapter.as_ref());
            match (model_spec(self.specification, &pending.model), loads) {
                (Some(model), true) if pending.adapter.is_none() => model.weights_kilobytes,
                (Some(model), true) => model.adapter_kilobytes,
                _ => 0,
            }
        });
        held + coming
    }

    fn held_kilobytes(&self, held: &millpass_proto::HeldModel) -> u64 {
        model_spec(self.specification, &held.model).map_or(0, |model| {
            model.weights_kilobytes + model.adapter_kilobytes * held.adapters.len() as u64
        })
    }

    fn load_adapter(
        &mut self,
        key: &ModelKey,
        adapter: &AdapterName,
        holders: &[InstanceId],
        steps: &mut Vec<Step>,
    ) {
        let served = holders.iter().any(|instance| {
            self.engine(instance)
                .is_some_and(|engine| engine.holds(&key.model, Some(adapter)))
        });
        if served {
            return self.demand.met(key);
        }
        let coming = holders.iter().any(|instance| {
            self.engine(instance).is_some_and(|engine| {
                let pending = engine.pending.as_ref();
                pending.is_some_and(|pending| pending.adapter.as_ref() == Some(adapter))
            })
        });
        if coming {
            return;
        }
        let best = holders
            .iter()
            .filter(|instance| self.is_free(instance))
            .min_by(|left, right| {
                let cost = |instance: &InstanceId| {
                    self.engine(instance).map_or(f64::MAX, |engine| {
                        self.busyness(engine) * ADAPTER_BUSY_COST + engine.adapter_count() as f64
                    })
                };
                cost(left).total_cmp(&cost(right))
            })
            .cloned();
        let Some(instance) = best else {
            return;
        };
        let instruction = self.adapter_instruction(&instance, key, adapter);
        let Some(instruction) = instruction else {
            return;
        };
        if let Some(engine) = self.engines.engines.get_mut(&instance) {
            // Only a model counts as coming.
            let unload = InstructionOperation::Unload;
            engine.planned = Some((unload, key.model.clone()));
        }
        steps.push(Step {
            instance,
            instruction: Some(instruction),
            takes: ADAPTER_TIME,
            from_store: false,
            reason: "unserved-adapter",
        });
    }

    /// Loads the adapter, or unloads the least asked for when there is no place for it.
    fn adapter_instruction(
        &self,
        instance: &InstanceId,
        key: &ModelKey,
        adapter: &AdapterName,
    ) -> Option<(InstructionOperation, ModelName, Option<AdapterName>)> {
        let engine = self.engine(instance)?;
        let size = model_spec(self.specification, &key.model)?.adapter_kilobytes;
        let fits = self.used_kilobytes(engine) + size <= self.specification.weights_kilobytes;
        let places = self.specification.adapter_slots as usize;
        if fits && engine.adapter_count() < places {
            let load = InstructionOperation::Load;
            return Some((load, key.model.clone(), Some(adapter.clone())));
        }
        let rate = |model: &ModelName, adapter: &AdapterName| {
            let key = ModelKey {
                service: self.service.clone(),
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            self.demand.rate(self.now, &key)
        };
        let least = engine
            .held
            .iter()
            .flat_map(|held| held.adapters.iter().map(move |name| (&held.model, name)))
            .min_by(|left, right| rate(left.0, left.1).total_cmp(&rate(right.0, right.1)))?;
        let unload = InstructionOperation::Unload;
        Some((unload, least.0.clone(), Some(least.1.clone())))
    }

    /// Gives busy models another replica: where a copy is at hand, or from the weight store while
    /// needs that nobody serves leave it enough permits.
    fn spread(&mut self, steps: &mut Vec<Step>) {
        for (share, model) in self.busy_models() {
            let coming = self
                .engines
                .engines
                .values()
                .any(|engine| engine.brings(&model));
            if !coming {
                self.add_replica(share, &model, steps);
            }
        }
    }

    /// Engines' time that the model's prompts take.
    fn reading(&self, model: &ModelName) -> f64 {
        self.round.reading.get(model).copied().unwrap_or_default()
    }

    /// Models that take more of their holders' time than they serve well in, the busiest first.
    fn busy_models(&self) -> Vec<(f64, ModelName)> {
        let mut busy: Vec<(f64, ModelName)> = self
            .round
            .reading
            .iter()
            .map(|(model, reading)| {
                let holders = self.holders(model).max(1) as f64;
                (reading / holders, model.clone())
            })
            .filter(|(share, _)| *share >= COMFORTABLE_READING)
            .collect();
        busy.sort_by(|left, right| right.0.total_cmp(&left.0));
        busy
    }

    fn add_replica(&mut self, share: f64, model: &ModelName, steps: &mut Vec<Step>) {
        let milliloads = self.specification.milliloads_per_second;
        let spare = self.permits.used(self.now, milliloads) < SPREAD_PERMITS;
        let best = self
            .usable()
            .iter()
            .filter(|instance| {
                self.engine(instance).is_some_and(|engine| {
                    self.is_free(instance)
                        && engine.reserved.is_none()
                        && (spare || !from_store(engine, model))
                        && !engine.holds(model, None)
                        && self.busyness(engine) < share / 2.0
                })
            })
            .filter_map(|instance| self.place_at(instance, model, LEAST_EVICTION_LIMIT))
            .min_by(|left, right| left.cost.total_cmp(&right.cost));
        if let Some(place) = best.filter(|place| place.cost < SPREAD_COST) {
            self.begin(&place, model, "busy", steps);
        }
    }
}
