//! Data of one planning round, gathered once: with hundreds of engines and models, gathering it for
//! each model would saturate the leader.

use crate::busy_copies::{self, BusyCopies};
use crate::cost;
use crate::demand::{Load, UnmetDemand};
use crate::engines::Engine;
use crate::planner::{MIN_RESIDENCE, ServiceView, UNLOAD_TIME};
use millpass_proto::{
    Duration, EngineModelSpec, EngineSpec, HeldModel, InstanceId, InstructionOperation, ModelName,
    Timestamp, WeightsSource,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Cost of placing a model on a fully utilized engine, in milliseconds of request delay.
const UTILIZATION_COST_MILLIS: f64 = 1_000.0;
/// Prompt tokens that an engine processes a second.
const TOKENS_PER_SECOND: f64 = 38_000.0;
/// Lower bound of the estimated remaining time of a pending instruction.
const MIN_REMAINING: Duration = Duration::from_millis(50);
/// Utilization of an engine by a model above which the model gets another replica.
pub(crate) const MAX_REPLICA_UTILIZATION: f64 = 0.3;

/// Requests a second refused for lack of request slots from which a model's replicas count as fully
/// utilized: three requests within the averaging window. A single one may be a brief peak.
const MIN_REFUSED_RATE: f64 = 1.0;
/// Upper bound of the wanted load, as a multiple of the served load.
const MAX_EXCESS: f64 = 4.0;

/// A placement of a model on an engine.
pub(crate) struct Placement {
    pub(crate) instance: InstanceId,
    pub(crate) victim: Option<ModelName>,
    /// Request delay, in milliseconds; see [`cost`].
    pub(crate) cost: f64,
    /// Time until the engine can be instructed.
    pub(crate) available_in: Duration,
    /// Time from then until the model is ready.
    pub(crate) load_time: Duration,
}

impl Placement {
    /// Returns the time until the model is ready.
    pub(crate) fn ready_in(&self) -> Duration {
        self.available_in + self.load_time
    }
}

/// A placement under comparison; [`Placement`] owns what the chosen one refers to.
struct PlacementOption<'a> {
    site: &'a Site,
    victim: Option<&'a ModelName>,
    cost: f64,
    load_time: Duration,
}

impl PlacementOption<'_> {
    fn ready_in(&self) -> Duration {
        self.site.available_in + self.load_time
    }

    fn to_placement(&self) -> Placement {
        Placement {
            instance: self.site.instance.clone(),
            victim: self.victim.cloned(),
            cost: self.cost,
            available_in: self.site.available_in,
            load_time: self.load_time,
        }
    }
}

/// A model that may be evicted.
struct Evictable {
    model: ModelName,
    /// Whether it was loaded within [`MIN_RESIDENCE`].
    is_recent: bool,
    loss: RemovalLoss,
    kilobytes: u64,
}

/// Models that a placement may evict.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Victims {
    /// Those loaded longer than [`MIN_RESIDENCE`] ago.
    Settled,
    /// Recently loaded ones too. Requests that waited for a load are sent at once, and an unload waits
    /// for them.
    Any,
}

/// Request delay caused by removing a replica.
#[derive(Clone, Copy)]
enum RemovalLoss {
    /// Other replicas remain: the delay, in milliseconds.
    Redundant(f64),
    /// Last replica.
    Last {
        /// Requests a second.
        rate: f64,
        /// Probability of any request within the horizon.
        request_probability: f64,
        /// Time to reload it, in milliseconds.
        restore_millis: f64,
        /// Delay of the requests that arrive while it is evicted, if others take its place meanwhile,
        /// in milliseconds.
        unserved_millis: f64,
        /// Whether another engine has a copy of its weights. Otherwise it can be reloaded only
        /// after the model that replaces it is loaded.
        has_other_copy: bool,
    },
}

impl RemovalLoss {
    /// Returns the delay in milliseconds, if the replacing model takes `load` to load.
    fn millis(self, load: Duration) -> f64 {
        match self {
            RemovalLoss::Redundant(millis) => millis,
            RemovalLoss::Last {
                rate,
                request_probability,
                restore_millis,
                unserved_millis,
                has_other_copy,
            } => {
                let blocked = if has_other_copy { Duration::ZERO } else { load };
                let restore_millis = restore_millis + blocked.as_secs_f64() * 1_000.0;
                request_probability * cost::reload_delay(rate, restore_millis) + unserved_millis
            }
        }
    }
}

/// An engine on which a model may be placed.
pub(crate) struct Site {
    pub(crate) instance: InstanceId,
    free_kilobytes: u64,
    /// Fraction of time spent on requests.
    pub(crate) utilization: f64,
    /// Time until it can be instructed.
    available_in: Duration,
    /// Models that may be evicted, the cheapest first.
    evictable: Vec<Evictable>,
    /// Whether an instruction is planned in this round.
    is_instructed: bool,
}

/// Location of a copy of a model's weights.
struct WeightsCopy {
    site: usize,
    source: WeightsSource,
}

/// Data of one planning round.
#[derive(Default)]
pub(crate) struct PlanningRound {
    /// Index of each model in the specification.
    models: HashMap<ModelName, usize>,
    /// Reachable engines that hold each model.
    holders: BTreeMap<ModelName, Vec<InstanceId>>,
    /// Time until the first incoming replica of each model is ready.
    incoming_ready_in: BTreeMap<ModelName, Duration>,
    /// Number of incoming replicas of each model.
    incoming_replicas: BTreeMap<ModelName, usize>,
    /// Load offered by each model's requests, in engines.
    offered_loads: BTreeMap<ModelName, f64>,
    /// Requests a second for each model.
    rates: BTreeMap<ModelName, f64>,
    /// When requests for each model last had an engine.
    served_at: BTreeMap<ModelName, Timestamp>,
    /// Engines on which a model may be placed, now or soon.
    sites: Vec<Site>,
    /// Weight copies on these engines.
    copies: HashMap<ModelName, Vec<WeightsCopy>>,
    /// Weight copies on engines that cannot be instructed yet.
    busy_copies: BusyCopies,
    /// Engines with memory reserved for a model.
    pub(crate) reserved: Vec<InstanceId>,
    /// Models with unmet demand, which must not be evicted.
    unmet_models: BTreeSet<ModelName>,
    /// Whether more models are requested than the engines hold.
    is_contended: bool,
    /// Engines with a planned instruction in this round.
    instructed: BTreeSet<InstanceId>,
    /// Loads from the weight store that are pending or about to start, and their limit.
    pub(crate) store_loads: usize,
    store_limit: usize,
    /// Loads waiting for the weight store.
    pub(crate) store_queue: usize,
    /// Expected time until the next pending load ends.
    store_slot_in: Duration,
}

impl PlanningRound {
    pub(crate) fn gather(view: &ServiceView<'_>, unmet: &[UnmetDemand]) -> PlanningRound {
        let mut round = PlanningRound::default();
        let models = view.specification.models.iter().enumerate();
        round.models = models
            .map(|(index, model)| (model.name.clone(), index))
            .collect();
        let usable: Vec<(InstanceId, &Engine)> = view
            .available()
            .filter_map(|instance| Some((instance.clone(), view.engine(instance)?)))
            .filter(|(_, engine)| !engine.unreachable)
            .collect();
        for (instance, engine) in &usable {
            round.add_engine_models(view, instance, engine);
        }
        let slots = f64::from(view.specification.slots.max(1));
        for (model, load) in view.demand.loads(view.now, view.service) {
            let offered_load = round.wanted_load(&model, &load, slots);
            round.offered_loads.insert(model.clone(), offered_load);
            round.served_at.insert(model.clone(), load.served_at);
            round.rates.insert(model, load.request_rate);
        }
        let engines = usable.iter().map(|(_, engine)| engine);
        round.store_loads = engines
            .filter(|engine| engine.may_load_from_store(view.now))
            .count();
        round.store_limit = view.store.limit();
        round.store_slot_in = view.store.time_until_slot();
        round.unmet_models = unmet
            .iter()
            .map(|demand| demand.key.model.clone())
            .collect();
        round.is_contended = round.more_models_requested_than_held(&usable);
        for (instance, engine) in usable {
            if engine.reserved_model.is_some() {
                round.add_busy_copies(view, &instance, engine);
                round.reserved.push(instance);
            } else if !view.limits.is_limited(&instance) {
                match available_in(view, &instance, engine) {
                    Some(available_in) => round.add_site(view, instance, engine, available_in),
                    None => round.add_busy_copies(view, &instance, engine),
                }
            }
        }
        round.mark_other_copies();
        round
    }

    /// Returns the load offered by a model's requests, including those refused for lack of request
    /// slots. Replicas that refuse requests are fully utilized whatever the model's own requests
    /// use, because the models of an engine share its slots.
    fn wanted_load(&self, model: &ModelName, load: &Load, slots: f64) -> f64 {
        let served = offered_load(load, slots);
        if load.refused_rate < MIN_REFUSED_RATE {
            return served;
        }
        let served_rate = load.request_rate - load.refused_rate;
        let excess = (load.request_rate / served_rate.max(MIN_REFUSED_RATE)).clamp(1.0, MAX_EXCESS);
        served.max(self.holder_count(model) as f64) * excess
    }

    fn add_engine_models(
        &mut self,
        view: &ServiceView<'_>,
        instance: &InstanceId,
        engine: &Engine,
    ) {
        // An engine that states a limit is overloaded: its models need replicas elsewhere.
        let is_limited = view.limits.is_limited(instance);
        for held in &engine.held {
            if !engine.is_unloading(&held.model) && !is_limited {
                let holders = self.holders.entry(held.model.clone()).or_default();
                holders.push(instance.clone());
            }
        }
        for model in engine.incoming_models() {
            let load = self
                .model(view.specification, model)
                .map_or(Duration::ZERO, |found| {
                    found.load_time(engine.weights_source(model))
                });
            let ready = engine.time_until_ready(view.now, model, load);
            self.add_incoming(model, ready);
        }
    }

    fn add_site(
        &mut self,
        view: &ServiceView<'_>,
        instance: InstanceId,
        engine: &Engine,
        available_in: Duration,
    ) {
        let index = self.sites.len();
        for model in &engine.on_disk {
            self.add_copy(model, index, WeightsSource::Disk);
        }
        for model in &engine.in_memory {
            self.add_copy(model, index, WeightsSource::Memory);
        }
        let site = self.site(view, instance, engine, available_in);
        self.sites.push(site);
    }

    fn add_busy_copies(&mut self, view: &ServiceView<'_>, instance: &InstanceId, engine: &Engine) {
        let mut busy_copies = std::mem::take(&mut self.busy_copies);
        let load_time = |model: &ModelName, source| {
            let model = self.model(view.specification, model)?;
            Some(model.load_time(source))
        };
        // Only models with unmet demand are placed by their copies.
        let wanted = |model: &ModelName| self.unmet_models.contains(model);
        let reserved_load = engine.reserved_model.as_ref().and_then(|model| {
            let source = engine.weights_source(model);
            load_time(model, source)
        });
        let available_in = busy_copies::available_in(
            view.now,
            engine,
            view.history.instructable_from(instance, view.handover),
            reserved_load.unwrap_or_default(),
        );
        busy_copies.record(engine, available_in, |model, source| {
            wanted(model).then(|| load_time(model, source)).flatten()
        });
        self.busy_copies = busy_copies;
    }

    /// Returns the time until a model could be ready from a copy on an engine that cannot be
    /// instructed yet.
    pub(crate) fn busy_copy_ready_in(&self, model: &ModelName) -> Option<Duration> {
        self.busy_copies.ready_in(model)
    }

    fn add_copy(&mut self, model: &ModelName, site: usize, source: WeightsSource) {
        let copies = self.copies.entry(model.clone()).or_default();
        copies.push(WeightsCopy { site, source });
    }

    fn site(
        &self,
        view: &ServiceView<'_>,
        instance: InstanceId,
        engine: &Engine,
        available_in: Duration,
    ) -> Site {
        let specification = view.specification;
        let mut evictable: Vec<Evictable> = engine
            .held
            .iter()
            .filter(|held| !self.unmet_models.contains(&held.model))
            .map(|held| Evictable {
                is_recent: engine.was_loaded_within(view.now, &held.model, MIN_RESIDENCE)
                    || engine.awaits_request(view.now, &held.model, self.served_at(&held.model)),
                loss: self.removal_loss(specification, &held.model),
                kilobytes: self.held_kilobytes(specification, held),
                model: held.model.clone(),
            })
            .collect();
        let loss = |evictable: &Evictable| evictable.loss.millis(Duration::ZERO);
        evictable.sort_by(|left, right| loss(left).total_cmp(&loss(right)));
        // Models missing from the configuration go first: no request can use them.
        evictable.sort_by_key(|evictable| self.models.contains_key(&evictable.model));
        Site {
            instance,
            free_kilobytes: specification
                .weights_kilobytes
                .saturating_sub(self.used_kilobytes(specification, engine)),
            utilization: self.engine_utilization(engine),
            available_in,
            evictable,
            is_instructed: false,
        }
    }

    /// Returns the configuration of a model.
    pub(crate) fn model<'a>(
        &self,
        specification: &'a EngineSpec,
        model: &ModelName,
    ) -> Option<&'a EngineModelSpec> {
        specification.models.get(*self.models.get(model)?)
    }

    /// Returns the number of engines that hold a model.
    pub(crate) fn holder_count(&self, model: &ModelName) -> usize {
        self.holders_of(model).len()
    }

    pub(crate) fn holders_of(&self, model: &ModelName) -> &[InstanceId] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the time until the first incoming replica of a model is ready.
    pub(crate) fn incoming_ready_in(&self, model: &ModelName) -> Option<Duration> {
        self.incoming_ready_in.get(model).copied()
    }

    /// Returns whether a replica of a model is incoming.
    pub(crate) fn is_incoming(&self, model: &ModelName) -> bool {
        self.incoming_ready_in.contains_key(model)
    }

    /// Returns whether a usable engine has a copy of a model's weights.
    pub(crate) fn has_copy(&self, model: &ModelName) -> bool {
        self.copies.contains_key(model) || self.busy_copies.ready_in(model).is_some()
    }

    /// Records an incoming replica of a model.
    pub(crate) fn add_incoming(&mut self, model: &ModelName, ready: Duration) {
        let earliest = self.incoming_ready_in.entry(model.clone()).or_insert(ready);
        *earliest = ready.min(*earliest);
        *self.incoming_replicas.entry(model.clone()).or_default() += 1;
    }

    /// Marks an engine as instructed: it receives no other instruction in this round.
    pub(crate) fn mark_instructed(&mut self, instance: &InstanceId) {
        self.instructed.insert(instance.clone());
        let mut sites = self.sites.iter_mut();
        if let Some(site) = sites.find(|site| site.instance == *instance) {
            site.is_instructed = true;
        }
    }

    /// Returns whether no further load from the weight store may start.
    pub(crate) fn store_is_full(&self) -> bool {
        self.store_loads >= self.store_limit
    }

    /// Returns the time until another load from the weight store may start, for loads that take
    /// `load`.
    fn store_wait(&self, load: Duration) -> Duration {
        if !self.store_is_full() {
            return Duration::ZERO;
        }
        let limit = u32::try_from(self.store_limit.max(1)).unwrap_or(u32::MAX);
        let queue = u32::try_from(self.store_queue).unwrap_or(u32::MAX);
        self.store_slot_in + load.saturating_mul(queue) / limit
    }

    pub(crate) fn is_instructed(&self, instance: &InstanceId) -> bool {
        self.instructed.contains(instance)
    }

    /// Returns the cheapest placement of a model for `waiting` requests, among the sites accepted
    /// by `accepts`, which receives the source of the weights. Evictions may cost at most `limit`.
    pub(crate) fn cheapest_placement(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        waiting: f64,
        limit: f64,
        victims: Victims,
        accepts: impl Fn(&Site, WeightsSource) -> bool,
    ) -> Option<Placement> {
        let model_spec = self.model(specification, model)?;
        let mut sources = vec![WeightsSource::Store; self.sites.len()];
        for copy in self.copies.get(model).into_iter().flatten() {
            sources[copy.site] = copy.source;
        }
        let holders = self.holders_of(model);
        let rate = self.rate(model);
        let cheapest = self
            .sites
            .iter()
            .zip(sources)
            .filter(|(site, source)| {
                !site.is_instructed && accepts(site, *source) && !holders.contains(&site.instance)
            })
            .filter_map(|(site, source)| {
                let mut load = model_spec.load_time(source);
                if source == WeightsSource::Store {
                    load += self.store_wait(load);
                }
                let mut option =
                    site.placement(model_spec.weights_kilobytes, load, limit, victims)?;
                option.cost += waiting_delay(rate, waiting, option.ready_in());
                Some(option)
            })
            .min_by(|left, right| left.cost.total_cmp(&right.cost));
        cheapest.map(|option| option.to_placement())
    }

    /// Returns the delay of the requests waiting for a model, and of those arriving meanwhile, if
    /// it takes this long to be ready.
    pub(crate) fn waiting_delay(&self, model: &ModelName, waiting: f64, ready_in: Duration) -> f64 {
        waiting_delay(self.rate(model), waiting, ready_in)
    }

    /// Returns the delay of the requests that arrive for an evicted model before it is loaded again, if
    /// more models are requested than the engines hold: others take its place for the minimum
    /// residence.
    fn contended_loss(&self, rate: f64) -> f64 {
        match self.is_contended {
            true => cost::unserved_delay(cost::with_headroom(rate) * MIN_RESIDENCE.as_secs_f64()),
            false => 0.0,
        }
    }

    /// Returns the delay that evictions may cause for a model that `waiting` requests wait for. Where
    /// more models are requested than the engines hold, what counts is what it serves while it is
    /// loaded: the callers that were refused are gone, and swapping models with equal demand for
    /// their sake serves nobody.
    pub(crate) fn eviction_limit(&self, model: &ModelName, waiting: f64) -> f64 {
        let requests = match self.is_contended {
            true => 1.0 + self.rate(model) * MIN_RESIDENCE.as_secs_f64(),
            false => waiting,
        };
        cost::unserved_delay(requests)
    }

    /// Returns whether more models are expected to be requested within the horizon than the engines
    /// hold.
    fn more_models_requested_than_held(&self, engines: &[(InstanceId, &Engine)]) -> bool {
        let requested: f64 = self
            .rates
            .values()
            .copied()
            .map(cost::request_probability)
            .sum();
        let held: usize = engines.iter().map(|(_, engine)| engine.held.len()).sum();
        requested > held as f64
    }

    /// Returns when a request for a model last had an engine.
    fn served_at(&self, model: &ModelName) -> Timestamp {
        self.served_at.get(model).copied().unwrap_or_default()
    }

    /// Returns the requests a second for a model.
    fn rate(&self, model: &ModelName) -> f64 {
        self.rates.get(model).copied().unwrap_or_default()
    }

    /// Returns the placement of a model on an engine with reserved memory, at any eviction cost.
    pub(crate) fn placement_at(
        &self,
        view: &ServiceView<'_>,
        instance: &InstanceId,
        model: &ModelName,
    ) -> Option<Placement> {
        let engine = view.engine(instance)?;
        let model_spec = self.model(view.specification, model)?;
        let site = self.site(view, instance.clone(), engine, Duration::ZERO);
        let load = model_spec.load_time(engine.weights_source(model));
        let kilobytes = model_spec.weights_kilobytes;
        let option = site.placement(kilobytes, load, f64::MAX, Victims::Settled);
        option.map(|option| option.to_placement())
    }

    /// Returns models whose replicas are overutilized, once per missing replica, with the delay it
    /// saves.
    pub(crate) fn missing_replicas(&self) -> Vec<(f64, ModelName)> {
        let mut missing = Vec::new();
        for (model, offered_load) in &self.offered_loads {
            let replicas = self.replicas(model).max(1);
            // Bounded by the number of engines, whatever is reported.
            let missing_counts = (replicas..replicas + self.sites.len())
                .take_while(|replicas| offered_load / *replicas as f64 >= MAX_REPLICA_UTILIZATION);
            missing.extend(missing_counts.map(|replicas| {
                let gain = cost::replica_gain(*offered_load, replicas);
                (gain, model.clone())
            }));
        }
        missing
    }

    /// Returns the utilization of each replica by a model, including incoming replicas.
    pub(crate) fn replica_utilization(&self, model: &ModelName) -> f64 {
        self.offered_load_of(model) / self.replicas(model).max(1) as f64
    }

    /// Returns the delay saved by one more replica of a model.
    pub(crate) fn replica_gain(&self, model: &ModelName) -> f64 {
        cost::replica_gain(self.offered_load_of(model), self.replicas(model))
    }

    /// Returns the number of requests expected for a model within the horizon.
    pub(crate) fn expected_requests(&self, model: &ModelName) -> f64 {
        cost::expected_requests(self.rate(model))
    }

    fn offered_load_of(&self, model: &ModelName) -> f64 {
        self.offered_loads.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of current and incoming replicas.
    fn replicas(&self, model: &ModelName) -> usize {
        let incoming = self
            .incoming_replicas
            .get(model)
            .copied()
            .unwrap_or_default();
        self.holder_count(model) + incoming
    }

    /// Returns the cost of removing one of the model's replicas.
    fn removal_loss(&self, specification: &EngineSpec, model: &ModelName) -> RemovalLoss {
        let others = self.holder_count(model).saturating_sub(1);
        if others > 0 {
            let offered_load = self.offered_load_of(model);
            return RemovalLoss::Redundant(cost::replica_loss(offered_load, others));
        }
        // The load has left a copy on disk.
        let load = self
            .model(specification, model)
            .map_or(0, |model| model.disk_load_millis.min(model.load_millis));
        let rate = self.rate(model);
        RemovalLoss::Last {
            rate,
            request_probability: cost::request_probability(rate),
            restore_millis: load as f64 + UNLOAD_TIME.as_millis() as f64,
            unserved_millis: self.contended_loss(rate),
            has_other_copy: false,
        }
    }

    /// Marks evictable models that have weight copies at other sites.
    fn mark_other_copies(&mut self) {
        for (index, site) in self.sites.iter_mut().enumerate() {
            for evictable in &mut site.evictable {
                if let RemovalLoss::Last { has_other_copy, .. } = &mut evictable.loss {
                    let copies = self.copies.get(&evictable.model);
                    let mut sites = copies.into_iter().flatten().map(|copy| copy.site);
                    *has_other_copy = sites.any(|site| site != index);
                }
            }
        }
    }

    /// Returns the utilization of an engine by its models.
    pub(crate) fn engine_utilization(&self, engine: &Engine) -> f64 {
        engine
            .held
            .iter()
            .map(|held| {
                let offered_load = self.offered_load_of(&held.model);
                offered_load / self.holder_count(&held.model).max(1) as f64
            })
            .sum()
    }

    /// Returns the memory used by an engine's models and adapters, including incoming ones. A model
    /// missing from the configuration has an unknown size and counts as the whole memory.
    pub(crate) fn used_kilobytes(&self, specification: &EngineSpec, engine: &Engine) -> u64 {
        let adapter = |model: &ModelName| self.adapter_kilobytes(specification, model);
        let adapters = engine
            .loading_adapters()
            .iter()
            .map(|(model, _)| adapter(model));
        let held = engine.held.iter();
        let held = held.map(|held| self.held_kilobytes(specification, held));
        let pending_kilobytes = engine.pending.as_ref().map_or(0, |pending| {
            let is_load = pending.operation == InstructionOperation::Load
                && !engine.holds(&pending.model, pending.adapter.as_ref());
            match is_load {
                true if pending.adapter.is_none() => {
                    self.weights_kilobytes(specification, &pending.model)
                }
                true => adapter(&pending.model),
                false => 0,
            }
        });
        let inherited = engine
            .inherited_loads()
            .iter()
            .map(|load| match load.adapter {
                None => self.weights_kilobytes(specification, &load.model),
                Some(_) => adapter(&load.model),
            });
        held.chain(adapters)
            .chain(inherited)
            .fold(pending_kilobytes, u64::saturating_add)
    }

    /// Returns a held model that is missing from the configuration.
    pub(crate) fn unconfigured_model<'a>(&self, engine: &'a Engine) -> Option<&'a ModelName> {
        let mut held = engine.held.iter().map(|held| &held.model);
        held.find(|model| !self.models.contains_key(*model))
    }

    fn weights_kilobytes(&self, specification: &EngineSpec, model: &ModelName) -> u64 {
        let model = self.model(specification, model);
        model.map_or(specification.weights_kilobytes, |it| it.weights_kilobytes)
    }

    fn adapter_kilobytes(&self, specification: &EngineSpec, model: &ModelName) -> u64 {
        let model = self.model(specification, model);
        model.map_or(specification.weights_kilobytes, |it| it.adapter_kilobytes)
    }

    fn held_kilobytes(&self, specification: &EngineSpec, held: &HeldModel) -> u64 {
        let adapters = held.adapters.len() as u64;
        let adapters = adapters.saturating_mul(self.adapter_kilobytes(specification, &held.model));
        adapters.saturating_add(self.weights_kilobytes(specification, &held.model))
    }
}

/// Returns the delay of `waiting` requests, and of those that arrive meanwhile at `rate` a second, if
/// a model takes this long to be ready.
fn waiting_delay(rate: f64, waiting: f64, ready_in: Duration) -> f64 {
    let delay = ready_in.as_secs_f64();
    (waiting + rate * delay) * delay * 1_000.0
}

/// Returns the load offered by a model's requests, in engines: the larger of prompt processing time
/// and slots in use.
pub(crate) fn offered_load(load: &Load, slots: f64) -> f64 {
    let reading = load.token_rate / TOKENS_PER_SECOND;
    let running = f64::from(load.in_flight) / slots;
    reading.max(running)
}

/// Returns the time until an engine can be instructed; none if unknown, or if its pending
/// instruction is overdue or not accepted yet.
fn available_in(
    view: &ServiceView<'_>,
    instance: &InstanceId,
    engine: &Engine,
) -> Option<Duration> {
    if view.can_be_instructed(instance) {
        return Some(Duration::ZERO);
    }
    let pending = engine.pending.as_ref()?;
    let is_on_time = pending.accepted && view.now < pending.expected_end;
    if engine.revision.is_none() || !is_on_time {
        return None;
    }
    let open_from = view.history.instructable_from(instance, view.handover);
    let available_at = pending.expected_end.max(open_from);
    Some(available_at.since(view.now).max(MIN_REMAINING))
}

impl Site {
    /// Returns whether the engine can be instructed now.
    pub(crate) fn is_available(&self) -> bool {
        self.available_in.is_zero()
    }

    /// Returns the placement of a model of this size here, including the evictions needed. None if
    /// it does not fit or the evictions cost more than `limit`.
    fn placement(
        &self,
        kilobytes: u64,
        load: Duration,
        limit: f64,
        victims: Victims,
    ) -> Option<PlacementOption<'_>> {
        let mut free = self.free_kilobytes;
        let mut loss = 0.0;
        let mut load_time = load;
        let mut victim = None;
        let evictable = self.evictable.iter();
        let evictable =
            evictable.filter(|candidate| victims == Victims::Any || !candidate.is_recent);
        for candidate in evictable {
            if free >= kilobytes {
                break;
            }
            free = free.saturating_add(candidate.kilobytes);
            loss += candidate.loss.millis(load);
            load_time += UNLOAD_TIME;
            victim.get_or_insert(&candidate.model);
        }
        (free >= kilobytes && loss <= limit).then_some(PlacementOption {
            site: self,
            victim,
            cost: loss + self.utilization * UTILIZATION_COST_MILLIS,
            load_time,
        })
    }
}
