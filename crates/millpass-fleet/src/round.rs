//! Data of one planning round, gathered once: with hundreds of engines and models, gathering it for
//! each model would saturate the leader.

use crate::cost;
use crate::demand::{Load, UnmetDemand};
use crate::engines::Engine;
use crate::planner::{MINIMUM_STAY, UNLOAD_TIME, View};
use millpass_proto::{
    Duration, EngineModelSpec, EngineSpec, HeldModel, InstanceId, InstructionOperation, ModelName,
    WeightsSource,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Cost of placing a model on a fully utilized engine, in milliseconds of request delay.
const BUSY_COST: f64 = 1_000.0;
/// Prompt tokens that an engine processes a second.
const TOKENS_PER_SECOND: f64 = 38_000.0;
/// Lower bound of the estimated remaining time of a pending instruction.
const LEAST_LEFT: Duration = Duration::from_millis(50);
/// Utilization of an engine by a model above which the model gets another replica.
pub(crate) const COMFORTABLE_SHARE: f64 = 0.3;

/// A placement of a model on an engine.
pub(crate) struct Place {
    pub(crate) instance: InstanceId,
    pub(crate) victim: Option<ModelName>,
    /// Request delay, in milliseconds; see [`cost`].
    pub(crate) cost: f64,
    /// Time until the engine can be instructed.
    pub(crate) opens_in: Duration,
    /// Time from then until the model is ready.
    pub(crate) takes: Duration,
}

impl Place {
    /// Returns the time until the model is ready.
    pub(crate) fn ready_in(&self) -> Duration {
        self.opens_in + self.takes
    }
}

/// A model that may be evicted.
struct Evictable {
    model: ModelName,
    loss: Loss,
    kilobytes: u64,
}

/// Request delay caused by removing a replica.
#[derive(Clone, Copy)]
enum Loss {
    /// Other replicas remain: the delay, in milliseconds.
    Replica(f64),
    /// Last replica.
    Only {
        /// Requests a second.
        rate: f64,
        /// Time to reload it, in milliseconds.
        restore_millis: f64,
        /// Whether another engine has a copy of its weights. Otherwise it can be reloaded only
        /// after the model that replaces it is loaded.
        elsewhere: bool,
    },
}

impl Loss {
    /// Returns the delay in milliseconds, if the replacing model takes `load` to load.
    fn millis(self, load: Duration) -> f64 {
        match self {
            Loss::Replica(millis) => millis,
            Loss::Only {
                rate,
                restore_millis,
                elsewhere,
            } => {
                let held_up = if elsewhere { Duration::ZERO } else { load };
                cost::last_replica_loss(rate, restore_millis + held_up.as_secs_f64() * 1_000.0)
            }
        }
    }
}

/// An engine on which a model may be placed.
pub(crate) struct Site {
    instance: InstanceId,
    free_kilobytes: u64,
    /// Fraction of time spent on requests.
    pub(crate) busyness: f64,
    /// Time until it can be instructed.
    opens_in: Duration,
    /// Models that may be evicted, the cheapest first.
    evictable: Vec<Evictable>,
}

/// Location of a copy of a model's weights.
struct Copy {
    site: usize,
    source: WeightsSource,
}

/// Data of one planning round.
#[derive(Default)]
pub(crate) struct Round {
    /// Index of each model in the specification.
    models: HashMap<ModelName, usize>,
    /// Reachable engines that hold each model.
    holders: BTreeMap<ModelName, Vec<InstanceId>>,
    /// Time until the first incoming replica of each model is ready.
    coming: BTreeMap<ModelName, Duration>,
    /// Number of incoming replicas of each model.
    coming_replicas: BTreeMap<ModelName, usize>,
    /// Load offered by each model's requests, in engines.
    business: BTreeMap<ModelName, f64>,
    /// Requests a second for each model.
    rates: BTreeMap<ModelName, f64>,
    /// Engines on which a model may be placed, now or soon.
    sites: Vec<Site>,
    /// Weight copies on these engines.
    copies: HashMap<ModelName, Vec<Copy>>,
    /// Engines with memory reserved for a model.
    pub(crate) reserved: Vec<InstanceId>,
    /// Models with unmet demand, which must not be evicted.
    wanted: BTreeSet<ModelName>,
    /// Engines with a planned instruction in this round.
    instructed: BTreeSet<InstanceId>,
    /// Loads from the weight store that are pending or about to start, and their limit.
    pub(crate) store_loads: usize,
    store_limit: usize,
    /// Loads waiting for the weight store.
    pub(crate) store_queue: usize,
    /// Expected time until the next pending load ends.
    store_opens_in: Duration,
}

impl Round {
    pub(crate) fn gather(view: &View<'_>, unmet: &[UnmetDemand]) -> Round {
        let mut round = Round::default();
        let models = view.specification.models.iter().enumerate();
        round.models = models
            .map(|(index, model)| (model.name.clone(), index))
            .collect();
        let usable: Vec<(InstanceId, &Engine)> = view
            .taking()
            .filter_map(|instance| Some((instance.clone(), view.engine(instance)?)))
            .filter(|(_, engine)| !engine.unreachable)
            .collect();
        for (instance, engine) in &usable {
            round.note_models(view, instance, engine);
        }
        let slots = f64::from(view.specification.slots.max(1));
        for (model, load) in view.demand.loads(view.now, view.service) {
            round.business.insert(model.clone(), business(&load, slots));
            round.rates.insert(model, load.request_rate);
        }
        let engines = usable.iter().map(|(_, engine)| engine);
        round.store_loads = engines
            .filter(|engine| engine.may_load_from_store(view.now))
            .count();
        round.store_limit = view.store.limit();
        round.store_opens_in = view.store.time_until_slot();
        round.wanted = unmet.iter().map(|need| need.key.model.clone()).collect();
        for (instance, engine) in usable {
            if engine.reserved_model.is_some() {
                round.reserved.push(instance);
            } else if !view.limits.is_limited(&instance)
                && let Some(opens_in) = opens_in(view, &instance, engine)
            {
                round.add_site(view, instance, engine, opens_in);
            }
        }
        round.note_copies_elsewhere();
        round
    }

    fn note_models(&mut self, view: &View<'_>, instance: &InstanceId, engine: &Engine) {
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
            self.comes(model, ready);
        }
    }

    fn add_site(
        &mut self,
        view: &View<'_>,
        instance: InstanceId,
        engine: &Engine,
        opens_in: Duration,
    ) {
        let index = self.sites.len();
        for model in &engine.on_disk {
            self.note_copy(model, index, WeightsSource::Disk);
        }
        for model in &engine.in_memory {
            self.note_copy(model, index, WeightsSource::Memory);
        }
        let site = self.site(view, instance, engine, opens_in);
        self.sites.push(site);
    }

    fn note_copy(&mut self, model: &ModelName, site: usize, source: WeightsSource) {
        let copies = self.copies.entry(model.clone()).or_default();
        copies.push(Copy { site, source });
    }

    fn site(
        &self,
        view: &View<'_>,
        instance: InstanceId,
        engine: &Engine,
        opens_in: Duration,
    ) -> Site {
        let specification = view.specification;
        let may_go = |model: &ModelName| {
            !self.wanted.contains(model) && !engine.was_loaded_within(view.now, model, MINIMUM_STAY)
        };
        let mut evictable: Vec<Evictable> = engine
            .held
            .iter()
            .filter(|held| may_go(&held.model))
            .map(|held| Evictable {
                loss: self.loss(specification, &held.model),
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
            busyness: self.busyness(engine),
            opens_in,
            evictable,
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
    pub(crate) fn holders(&self, model: &ModelName) -> usize {
        self.holders_of(model).len()
    }

    pub(crate) fn holders_of(&self, model: &ModelName) -> &[InstanceId] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the time until the first incoming replica of a model is ready.
    pub(crate) fn coming_in(&self, model: &ModelName) -> Option<Duration> {
        self.coming.get(model).copied()
    }

    /// Records an incoming replica of a model.
    pub(crate) fn comes(&mut self, model: &ModelName, ready: Duration) {
        let known = self.coming.entry(model.clone()).or_insert(ready);
        *known = ready.min(*known);
        *self.coming_replicas.entry(model.clone()).or_default() += 1;
    }

    /// Marks an engine as instructed: it receives no other instruction in this round.
    pub(crate) fn instruct(&mut self, instance: &InstanceId) {
        self.instructed.insert(instance.clone());
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
        self.store_opens_in + load.saturating_mul(queue) / limit
    }

    pub(crate) fn is_instructed(&self, instance: &InstanceId) -> bool {
        self.instructed.contains(instance)
    }

    /// Returns the cheapest placement of a model for `waiting` requests, among the sites accepted
    /// by `fit`, which receives the source of the weights. Evictions may cost at most `limit`.
    pub(crate) fn cheapest(
        &self,
        specification: &EngineSpec,
        model: &ModelName,
        waiting: f64,
        limit: f64,
        fit: impl Fn(&Site, WeightsSource) -> bool,
    ) -> Option<Place> {
        let wanted = self.model(specification, model)?;
        let mut sources = vec![WeightsSource::Store; self.sites.len()];
        for copy in self.copies.get(model).into_iter().flatten() {
            sources[copy.site] = copy.source;
        }
        let holders = self.holders_of(model);
        self.sites
            .iter()
            .zip(sources)
            .filter(|(site, source)| {
                !self.is_instructed(&site.instance)
                    && fit(site, *source)
                    && !holders.contains(&site.instance)
            })
            .filter_map(|(site, source)| {
                let mut load = wanted.load_time(source);
                if source == WeightsSource::Store {
                    load += self.store_wait(load);
                }
                let mut place = site.place(wanted.weights_kilobytes, load, limit)?;
                place.cost += self.waiting_cost(model, waiting, place.ready_in());
                Some(place)
            })
            .min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Returns the delay of the requests waiting for a model, and of those arriving meanwhile, if
    /// it takes this long to be ready.
    pub(crate) fn waiting_cost(&self, model: &ModelName, waiting: f64, takes: Duration) -> f64 {
        let rate = self.rates.get(model).copied().unwrap_or_default();
        let delay = takes.as_secs_f64();
        (waiting + rate * delay) * delay * 1_000.0
    }

    /// Returns the placement of a model on an engine with reserved memory, at any eviction cost.
    pub(crate) fn place_at(
        &self,
        view: &View<'_>,
        instance: &InstanceId,
        model: &ModelName,
    ) -> Option<Place> {
        let engine = view.engine(instance)?;
        let wanted = self.model(view.specification, model)?;
        let site = self.site(view, instance.clone(), engine, Duration::ZERO);
        let load = wanted.load_time(engine.weights_source(model));
        site.place(wanted.weights_kilobytes, load, f64::MAX)
    }

    /// Returns models whose replicas are overutilized, once per missing replica, with the delay it
    /// saves.
    pub(crate) fn busy_models(&self) -> Vec<(f64, ModelName)> {
        let mut busy = Vec::new();
        for (model, business) in &self.business {
            let replicas = self.replicas(model).max(1);
            // Bounded by the number of engines, whatever is reported.
            let lacking = (replicas..replicas + self.sites.len())
                .take_while(|replicas| business / *replicas as f64 >= COMFORTABLE_SHARE);
            busy.extend(lacking.map(|replicas| {
                let gain = cost::replica_gain(*business, replicas);
                (gain, model.clone())
            }));
        }
        busy
    }

    /// Returns the utilization of each replica by a model, including incoming replicas.
    pub(crate) fn share(&self, model: &ModelName) -> f64 {
        self.business_of(model) / self.replicas(model).max(1) as f64
    }

    /// Returns the delay saved by one more replica of a model.
    pub(crate) fn replica_gain(&self, model: &ModelName) -> f64 {
        cost::replica_gain(self.business_of(model), self.replicas(model))
    }

    /// Returns the number of requests expected for a model within the horizon.
    pub(crate) fn expected(&self, model: &ModelName) -> f64 {
        cost::expected_requests(self.rates.get(model).copied().unwrap_or_default())
    }

    fn business_of(&self, model: &ModelName) -> f64 {
        self.business.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of current and incoming replicas.
    fn replicas(&self, model: &ModelName) -> usize {
        let coming = self.coming_replicas.get(model).copied().unwrap_or_default();
        self.holders(model) + coming
    }

    /// Returns the cost of removing one of the model's replicas.
    fn loss(&self, specification: &EngineSpec, model: &ModelName) -> Loss {
        let others = self.holders(model).saturating_sub(1);
        if others > 0 {
            let business = self.business_of(model);
            return Loss::Replica(cost::replica_loss(business, others));
        }
        // The load has left a copy on disk.
        let load = self
            .model(specification, model)
            .map_or(0, |model| model.disk_load_millis.min(model.load_millis));
        Loss::Only {
            rate: self.rates.get(model).copied().unwrap_or_default(),
            restore_millis: load as f64 + UNLOAD_TIME.as_millis() as f64,
            elsewhere: false,
        }
    }

    /// Marks evictable models that have weight copies at other sites.
    fn note_copies_elsewhere(&mut self) {
        for (index, site) in self.sites.iter_mut().enumerate() {
            for evictable in &mut site.evictable {
                if let Loss::Only { elsewhere, .. } = &mut evictable.loss {
                    let copies = self.copies.get(&evictable.model);
                    let mut sites = copies.into_iter().flatten().map(|copy| copy.site);
                    *elsewhere = sites.any(|site| site != index);
                }
            }
        }
    }

    /// Returns the utilization of an engine by its models.
    pub(crate) fn busyness(&self, engine: &Engine) -> f64 {
        engine
            .held
            .iter()
            .map(|held| {
                let business = self.business_of(&held.model);
                business / self.holders(&held.model).max(1) as f64
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
        let coming = engine.pending.as_ref().map_or(0, |pending| {
            let loads = pending.operation == InstructionOperation::Load
                && !engine.holds(&pending.model, pending.adapter.as_ref());
            match loads {
                true if pending.adapter.is_none() => {
                    self.weights_kilobytes(specification, &pending.model)
                }
                true => adapter(&pending.model),
                false => 0,
            }
        });
        let late = engine
            .inherited_loads()
            .iter()
            .map(|lost| match lost.adapter {
                None => self.weights_kilobytes(specification, &lost.model),
                Some(_) => adapter(&lost.model),
            });
        held.chain(adapters)
            .chain(late)
            .fold(coming, u64::saturating_add)
    }

    /// Returns a held model that is missing from the configuration.
    pub(crate) fn unnamed<'a>(&self, engine: &'a Engine) -> Option<&'a ModelName> {
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

/// Returns the load offered by a model's requests, in engines: the larger of prompt processing time
/// and slots in use.
pub(crate) fn business(load: &Load, slots: f64) -> f64 {
    let reading = load.token_rate / TOKENS_PER_SECOND;
    let running = f64::from(load.in_flight) / slots;
    reading.max(running)
}

/// Returns the time until an engine can be instructed; none if unknown. Only accepted loads that
/// are not overdue are worth waiting for.
fn opens_in(view: &View<'_>, instance: &InstanceId, engine: &Engine) -> Option<Duration> {
    if view.is_free(instance) {
        return Some(Duration::ZERO);
    }
    let pending = engine.pending.as_ref()?;
    let timely = pending.accepted && view.now < pending.expected_end;
    if engine.revision.is_none() || !timely {
        return None;
    }
    let open = view.history.open_from(instance, view.handover);
    let until = pending.expected_end.max(open);
    Some(until.since(view.now).max(LEAST_LEFT))
}

impl Site {
    /// Returns the placement of a model of this size here, including the evictions needed. None if
    /// it does not fit or the evictions cost more than `limit`.
    fn place(&self, kilobytes: u64, load: Duration, limit: f64) -> Option<Place> {
        let mut free = self.free_kilobytes;
        let mut lost = 0.0;
        let mut takes = load;
        let mut victim = None;
        for candidate in &self.evictable {
            if free >= kilobytes {
                break;
            }
            free = free.saturating_add(candidate.kilobytes);
            lost += candidate.loss.millis(load);
            takes += UNLOAD_TIME;
            victim.get_or_insert(&candidate.model);
        }
        (free >= kilobytes && lost <= limit).then(|| Place {
            instance: self.instance.clone(),
            victim: victim.cloned(),
            cost: lost + self.busyness * BUSY_COST,
            opens_in: self.opens_in,
            takes,
        })
    }
}
