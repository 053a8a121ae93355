//! What a round of planning looks up often, gathered once: with hundreds of engines and models,
//! gathering it for each need takes the leader's whole processor.

use crate::cost;
use crate::demand::{Load, Unmet};
use crate::engines::Engine;
use crate::planner::{MINIMUM_STAY, UNLOAD_TIME, View};
use millpass_proto::{
    Duration, EngineModelSpec, EngineSpec, HeldModel, InstanceId, InstructionOperation, ModelName,
    WeightsSource,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Cost of placing a model on an engine that reads prompts all the time, in milliseconds.
const BUSY_COST: f64 = 1_000.0;
/// Prompt tokens that an engine reads in a second.
const TOKENS_PER_SECOND: f64 = 38_000.0;
/// Least time that something under way is expected to go on.
const LEAST_LEFT: Duration = Duration::from_millis(50);
/// Share of its time that one engine may spend on a model before the model gets another replica.
pub(crate) const COMFORTABLE_SHARE: f64 = 0.3;

/// A place for a model, and what must make way there.
pub(crate) struct Place {
    pub(crate) instance: InstanceId,
    pub(crate) victim: Option<ModelName>,
    /// Delay of requests, in milliseconds; see [`cost`].
    pub(crate) cost: f64,
    /// Time until the engine may be instructed.
    pub(crate) opens_in: Duration,
    /// Time from then until the model serves.
    pub(crate) takes: Duration,
}

impl Place {
    /// Time until the model serves there.
    pub(crate) fn ready_in(&self) -> Duration {
        self.opens_in + self.takes
    }
}

/// A model that may make way.
struct Evictable {
    model: ModelName,
    loss: Loss,
    kilobytes: u64,
}

/// Delay of requests that the absence of a replica causes.
#[derive(Clone, Copy)]
enum Loss {
    /// Others serve on: the delay, in milliseconds.
    Replica(f64),
    /// It is the only one.
    Only {
        /// Requests a second.
        rate: f64,
        /// Time to bring it back, in milliseconds.
        restore_millis: f64,
        /// Its weights are at another engine too. Otherwise they come back only once the engine has
        /// loaded what took its place.
        elsewhere: bool,
    },
}

impl Loss {
    /// In milliseconds, if what takes its place loads for `load`.
    fn millis(self, load: Duration) -> f64 {
        match self {
            Loss::Replica(millis) => millis,
            Loss::Only {
                rate,
                restore_millis,
                elsewhere,
            } => {
                let held_up = if elsewhere { Duration::ZERO } else { load };
                cost::absence(rate, restore_millis + held_up.as_secs_f64() * 1_000.0)
            }
        }
    }
}

/// An engine on which a model may be placed.
pub(crate) struct Site {
    instance: InstanceId,
    free_kilobytes: u64,
    /// Share of its time that it spends on its models' requests.
    pub(crate) busyness: f64,
    /// Time until it may be instructed.
    opens_in: Duration,
    /// What may make way, the least valuable first.
    evictable: Vec<Evictable>,
}

/// Where a copy of a model's weights is.
struct Copy {
    site: usize,
    source: WeightsSource,
}

/// What a round looks up.
#[derive(Default)]
pub(crate) struct Round {
    /// Index of each model in the specification.
    models: HashMap<ModelName, usize>,
    /// Engines that hold each model and can be reached.
    holders: BTreeMap<ModelName, Vec<InstanceId>>,
    /// Models that are being loaded, or about to be, and when the first replica will be there.
    coming: BTreeMap<ModelName, Duration>,
    /// How many replicas of each are coming.
    coming_replicas: BTreeMap<ModelName, usize>,
    /// Engines that each model's requests would fill: the time that their prompts take to read, or the
    /// places that they take, whichever is more.
    business: BTreeMap<ModelName, f64>,
    /// Requests a second for each model.
    rates: BTreeMap<ModelName, f64>,
    /// Engines on which a model may be placed, now or soon.
    sites: Vec<Site>,
    /// Copies of weights at those.
    copies: HashMap<ModelName, Vec<Copy>>,
    /// Engines that make room for a model.
    pub(crate) reserved: Vec<InstanceId>,
    /// Models that somebody waits for; they don't make way.
    wanted: BTreeSet<ModelName>,
    /// Engines for which an instruction was planned in this round.
    instructed: BTreeSet<InstanceId>,
    /// Loads from the weight store that are under way or about to begin, and how many there may be.
    pub(crate) store_loads: usize,
    store_limit: usize,
    /// Loads that wait for the weight store.
    pub(crate) store_queue: usize,
    /// Time until the first load under way should end.
    store_opens_in: Duration,
}

impl Round {
    pub(crate) fn gather(view: &View<'_>, unmet: &[Unmet]) -> Round {
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
            round.rates.insert(model, load.lasting_rate);
        }
        let engines = usable.iter().map(|(_, engine)| engine);
        round.store_loads = engines
            .filter(|engine| engine.may_load_from_store(view.now))
            .count();
        round.store_limit = view.store.limit();
        round.store_opens_in = view.store.time_until_slot();
        round.wanted = unmet.iter().map(|need| need.key.model.clone()).collect();
        for (instance, engine) in usable {
            if engine.reserved.is_some() {
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
        // An engine that states a limit is in need: its models' requests are better served elsewhere.
        let is_limited = view.limits.is_limited(instance);
        for held in &engine.held {
            if !engine.unloading(&held.model) && !is_limited {
                let holders = self.holders.entry(held.model.clone()).or_default();
                holders.push(instance.clone());
            }
        }
        for model in engine.brought() {
            let load = self
                .model(view.specification, model)
                .map_or(Duration::ZERO, |found| {
                    found.load_time(engine.source_of(model))
                });
            let ready = engine.ready_in(view.now, model, load);
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
            !self.wanted.contains(model) && !engine.is_fresh(view.now, model, MINIMUM_STAY)
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
        // What the configuration does not name goes first: nobody can ask for it.
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

    /// What the configuration says of a model.
    pub(crate) fn model<'a>(
        &self,
        specification: &'a EngineSpec,
        model: &ModelName,
    ) -> Option<&'a EngineModelSpec> {
        specification.models.get(*self.models.get(model)?)
    }

    /// How many engines hold a model.
    pub(crate) fn holders(&self, model: &ModelName) -> usize {
        self.holders_of(model).len()
    }

    /// Engines that hold a model.
    pub(crate) fn holders_of(&self, model: &ModelName) -> &[InstanceId] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// When a model that is being loaded, or about to be, will be there.
    pub(crate) fn coming_in(&self, model: &ModelName) -> Option<Duration> {
        self.coming.get(model).copied()
    }

    /// A model is about to be brought somewhere.
    pub(crate) fn comes(&mut self, model: &ModelName, ready: Duration) {
        let known = self.coming.entry(model.clone()).or_insert(ready);
        *known = ready.min(*known);
        *self.coming_replicas.entry(model.clone()).or_default() += 1;
    }

    /// An instruction for an engine was planned: it gets no other in this round.
    pub(crate) fn instruct(&mut self, instance: &InstanceId) {
        self.instructed.insert(instance.clone());
    }

    /// Whether no further load from the weight store may begin.
    pub(crate) fn store_is_full(&self) -> bool {
        self.store_loads >= self.store_limit
    }

    /// Time until a further load from the weight store may begin, if loads take `load`.
    fn store_wait(&self, load: Duration) -> Duration {
        if !self.store_is_full() {
            return Duration::ZERO;
        }
        let limit = u32::try_from(self.store_limit.max(1)).unwrap_or(u32::MAX);
        let queue = u32::try_from(self.store_queue).unwrap_or(u32::MAX);
        self.store_opens_in + load.saturating_mul(queue) / limit
    }

    /// Whether an instruction for an engine was planned in this round.
    pub(crate) fn is_instructed(&self, instance: &InstanceId) -> bool {
        self.instructed.contains(instance)
    }

    /// The cheapest place for a model that `waiting` requests wait for, among the sites that are `fit`,
    /// which is told where its weights would come from. What makes way costs `limit` at most.
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

    /// Delay of the requests that wait for a model, and of those that come meanwhile, if it takes so long.
    pub(crate) fn waiting_cost(&self, model: &ModelName, waiting: f64, takes: Duration) -> f64 {
        let rate = self.rates.get(model).copied().unwrap_or_default();
        let delay = takes.as_secs_f64();
        (waiting + rate * delay) * delay * 1_000.0
    }

    /// A place for a model on an engine that makes room for it, whatever must make way.
    pub(crate) fn place_at(
        &self,
        view: &View<'_>,
        instance: &InstanceId,
        model: &ModelName,
    ) -> Option<Place> {
        let engine = view.engine(instance)?;
        let wanted = self.model(view.specification, model)?;
        let site = self.site(view, instance.clone(), engine, Duration::ZERO);
        let load = wanted.load_time(engine.source_of(model));
        site.place(wanted.weights_kilobytes, load, f64::MAX)
    }

    /// Models that take more of their replicas' time than those serve well in, once for each replica that
    /// they lack, with the delay of requests that it saves.
    pub(crate) fn busy_models(&self) -> Vec<(f64, ModelName)> {
        let mut busy = Vec::new();
        for (model, business) in &self.business {
            let replicas = self.replicas(model).max(1);
            // No more than there are engines to place them on, whatever is reported.
            let lacking = (replicas..replicas + self.sites.len())
                .take_while(|replicas| business / *replicas as f64 >= COMFORTABLE_SHARE);
            busy.extend(lacking.map(|replicas| {
                let gain = cost::replica_gain(*business, replicas);
                (gain, model.clone())
            }));
        }
        busy
    }

    /// Share of its time that a replica of a model spends on it, once all that are coming are there.
    pub(crate) fn share(&self, model: &ModelName) -> f64 {
        self.business_of(model) / self.replicas(model).max(1) as f64
    }

    /// Delay of requests that a further replica of a model saves.
    pub(crate) fn replica_gain(&self, model: &ModelName) -> f64 {
        cost::replica_gain(self.business_of(model), self.replicas(model))
    }

    /// Requests that are expected for a model within the horizon.
    pub(crate) fn expected(&self, model: &ModelName) -> f64 {
        cost::expected(self.rates.get(model).copied().unwrap_or_default())
    }

    fn business_of(&self, model: &ModelName) -> f64 {
        self.business.get(model).copied().unwrap_or_default()
    }

    /// Engines that hold a model or will.
    fn replicas(&self, model: &ModelName) -> usize {
        let coming = self.coming_replicas.get(model).copied().unwrap_or_default();
        self.holders(model) + coming
    }

    /// What the absence of this replica, which counts among the holders, causes.
    fn loss(&self, specification: &EngineSpec, model: &ModelName) -> Loss {
        let others = self.holders(model).saturating_sub(1);
        if others > 0 {
            let business = self.business_of(model);
            return Loss::Replica(cost::replica_loss(business, others));
        }
        // Its load left a copy on the disk.
        let load = self
            .model(specification, model)
            .map_or(0, |model| model.disk_load_millis.min(model.load_millis));
        Loss::Only {
            rate: self.rates.get(model).copied().unwrap_or_default(),
            restore_millis: load as f64 + UNLOAD_TIME.as_millis() as f64,
            elsewhere: false,
        }
    }

    /// Notes which models have copies at more than one site.
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

    /// Share of its time that an engine spends on its models' requests.
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

    /// Memory that an engine's models and adapters take, with what is being loaded. What the configuration does not name
    /// is of unknown size: it takes the whole.
    pub(crate) fn used_kilobytes(&self, specification: &EngineSpec, engine: &Engine) -> u64 {
        let adapter = |model: &ModelName| self.adapter_kilobytes(specification, model);
        let adapters = engine.coming().iter().map(|(model, _)| adapter(model));
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
        let late = engine.may_come().iter().map(|lost| match lost.adapter {
            None => self.weights_kilobytes(specification, &lost.model),
            Some(_) => adapter(&lost.model),
        });
        held.chain(adapters)
            .chain(late)
            .fold(coming, u64::saturating_add)
    }

    /// A model that the engine holds and the configuration does not name.
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

/// Engines that a model's requests would fill: the time that their prompts take to read, or the places that they take,
/// whichever is more.
pub(crate) fn business(load: &Load, slots: f64) -> f64 {
    let reading = load.tokens / TOKENS_PER_SECOND;
    let running = f64::from(load.in_flight) / slots;
    reading.max(running)
}

/// Time until an engine may be instructed; none while that is not known. Only a load that the engine has
/// taken and that is not overdue is worth waiting for.
fn opens_in(view: &View<'_>, instance: &InstanceId, engine: &Engine) -> Option<Duration> {
    if view.is_free(instance) {
        return Some(Duration::ZERO);
    }
    let pending = engine.pending.as_ref()?;
    let timely = pending.accepted && view.now < pending.done_at;
    if engine.revision.is_none() || !timely {
        return None;
    }
    let open = view.history.open_from(instance, view.handover);
    let until = pending.done_at.max(open);
    Some(until.since(view.now).max(LEAST_LEFT))
}

impl Site {
    /// What it costs to bring a model of this size here, whose load takes `load`, and the first model
    /// that must make way; all that must make way costs `limit` at most.
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
