//! Which instances are active: told to gateways, and, where they are engines, read and steered.
//!
//! A service that has few instances uses all of them. Of more, as many are active as demand asks for, and some to spare:
//! each model keeps replicas in different zones, a busy one as many as serve it well, and each zone some instances of every
//! service. The others stand by and are called up when demand asks for them, without a load where they hold the model. So what
//! gateways are told, and what a round of planning looks at, follows demand and the number of models, not that of the
//! instances.

use crate::demand::Load;
use crate::fleet::Fleet;
use crate::round::{self, COMFORTABLE_SHARE};
use millpass_proto::{
    DeploymentDocument, Duration, EngineModelSpec, InstanceId, InstanceRecord, ModelName,
    ServiceName, ServiceSpec, Timestamp, ZoneName,
};
use std::collections::BTreeMap;

/// Instances up to which a service is used whole: telling gateways of all of them costs little.
pub(crate) const WHOLE_SERVICE: usize = 256;
/// Replicas of each model that are kept active where there are so many: one may be lost with its zone.
const LEAST_REPLICAS: usize = 2;
/// Zones that they are in at least, where there are so many.
const LEAST_ZONES: usize = 2;
/// Instances of each service kept active in each zone: some to spare where demand jumps, or a model has to be placed.
const LEAST_IN_ZONE: usize = 8;
/// Share of its places that a plain instance has in use at most, in the mean.
const LIGHT_USE: f64 = 0.25;
/// Most instances of a service called up in one look, so that none takes long.
const MAXIMUM_CALLED_UP: usize = 64;
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an instance that nobody needs stays active.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Active instances of one service that take new work.
#[derive(Default)]
struct Census {
    total: usize,
    zones: BTreeMap<ZoneName, usize>,
    /// Replicas of each model, by zone.
    replicas: BTreeMap<ModelName, BTreeMap<ZoneName, usize>>,
}

impl Census {
    fn of<'a>(records: impl Iterator<Item = &'a InstanceRecord>) -> Census {
        let mut census = Census::default();
        records.for_each(|record| census.add(record));
        census
    }

    fn add(&mut self, record: &InstanceRecord) {
        self.total += 1;
        *self.zones.entry(record.zone.clone()).or_default() += 1;
        for held in &record.models {
            let zones = self.replicas.entry(held.model.clone()).or_default();
            *zones.entry(record.zone.clone()).or_default() += 1;
        }
    }

    fn remove(&mut self, record: &InstanceRecord) {
        self.total -= 1;
        let less = |count: Option<&mut usize>| count.into_iter().for_each(|count| *count -= 1);
        less(self.zones.get_mut(&record.zone));
        for held in &record.models {
            let zones = self.replicas.get_mut(&held.model);
            less(zones.and_then(|zones| zones.get_mut(&record.zone)));
        }
    }

    fn in_zone(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    fn replicas(&self, model: &ModelName) -> usize {
        let zones = self.replicas.get(model);
        zones.map_or(0, |zones| zones.values().sum())
    }

    fn zones_of(&self, model: &ModelName) -> usize {
        let zones = self.replicas.get(model);
        let held = |zones: &BTreeMap<ZoneName, usize>| {
            zones.values().filter(|replicas| **replicas > 0).count()
        };
        zones.map_or(0, held)
    }

    fn replicas_in(&self, model: &ModelName, zone: &ZoneName) -> usize {
        let zones = self.replicas.get(model);
        zones
            .and_then(|zones| zones.get(zone))
            .copied()
            .unwrap_or_default()
    }
}

/// What a service is asked for.
struct Wanted {
    /// Instances over all.
    total: usize,
    /// Replicas of each model that is asked for; of the others, [`LEAST_REPLICAS`].
    replicas: BTreeMap<ModelName, usize>,
}

impl Wanted {
    fn replicas(&self, model: &ModelName) -> usize {
        let replicas = self.replicas.get(model).copied().unwrap_or_default();
        replicas.max(LEAST_REPLICAS)
    }
}

/// Replicas that serve a model well.
fn replicas_for(load: &Load, slots: f64) -> usize {
    (round::business(load, slots) / COMFORTABLE_SHARE) as usize + 1
}

impl Fleet {
    /// Whether a service that gets one more instance is still used whole.
    pub(crate) fn uses_whole(&self, service: &ServiceName) -> bool {
        self.registry.count(service) + self.standby.count(service) < WHOLE_SERVICE
    }

    /// Calls up instances that demand asks for; lets those stand by that nobody has needed for long.
    pub(crate) fn keep_active(&mut self, now: Timestamp, document: &DeploymentDocument) {
        if now < self.next_activation {
            return;
        }
        self.next_activation = now + LOOK_INTERVAL;
        for service in &document.services {
            let stands_by = self.standby.count(&service.name);
            if stands_by == 0 && self.registry.count(&service.name) <= WHOLE_SERVICE {
                continue;
            }
            let mut census = Census::of(self.registry.taking(&service.name));
            let wanted = self.wanted(now, service, &census);
            self.call_up(now, service, &wanted, &mut census);
            self.release_idle(now, service, &wanted, &mut census);
        }
    }

    fn wanted(&self, now: Timestamp, service: &ServiceSpec, census: &Census) -> Wanted {
        let whole = census.total + self.standby.count(&service.name) <= WHOLE_SERVICE;
        let Some(engine) = &service.engine else {
            let places = self.registry.taking(&service.name);
            let slots = places.map(|record| record.slots).max().unwrap_or(1).max(1);
            let in_flight = self.traffic.in_flight(self.registry.taking(&service.name));
            let total = f64::from(in_flight) / (f64::from(slots) * LIGHT_USE);
            return Wanted {
                total: if whole { WHOLE_SERVICE } else { total as usize },
                replicas: BTreeMap::new(),
            };
        };
        let slots = f64::from(engine.slots.max(1));
        let loads = self.demand.loads(now, &service.name).into_iter();
        let replicas = loads.map(|(model, load)| {
            let replicas = replicas_for(&load, slots);
            (model, replicas)
        });
        Wanted {
            total: if whole { WHOLE_SERVICE } else { 0 },
            replicas: replicas.collect(),
        }
    }

    fn call_up(
        &mut self,
        now: Timestamp,
        service: &ServiceSpec,
        wanted: &Wanted,
        census: &mut Census,
    ) {
        let mut left = MAXIMUM_CALLED_UP;
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        for model in models {
            while left > 0
                && let Some(instance) = self.lacking_replica(service, model, wanted, census)
            {
                self.activate(now, &instance, "model", census);
                left -= 1;
            }
        }
        while left > 0 {
            let zones = self.standby.of_service(&service.name);
            let emptiest = zones.min_by_key(|(zone, _)| census.in_zone(zone));
            let lacks = |zone: &ZoneName| census.in_zone(zone) < LEAST_IN_ZONE;
            let lacking = emptiest.filter(|(zone, _)| lacks(zone) || census.total < wanted.total);
            let Some(instance) = lacking.map(|(_, instance)| instance.clone()) else {
                return;
            };
            self.activate(now, &instance, "spare", census);
            left -= 1;
        }
    }

    /// A further replica of a model that has too few, or has them in too few zones.
    fn lacking_replica(
        &self,
        service: &ServiceSpec,
        model: &EngineModelSpec,
        wanted: &Wanted,
        census: &Census,
    ) -> Option<InstanceId> {
        let model = &model.name;
        let holding = self.standby.holding(&service.name, model);
        let (zone, instance) = holding.min_by_key(|(zone, _)| census.replicas_in(model, zone))?;
        let too_few = census.replicas(model) < wanted.replicas(model);
        let spreads = census.replicas_in(model, zone) == 0;
        let too_close = census.zones_of(model) < LEAST_ZONES && spreads;
        (too_few || too_close).then(|| instance.clone())
    }

    fn activate(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        reason: &'static str,
        census: &mut Census,
    ) {
        let Some(record) = self.standby.remove(instance) else {
            return;
        };
        census.add(&record);
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("reason", reason.to_owned()),
            ("active", census.total.to_string()),
            ("standby", self.standby.len().to_string()),
        ];
        self.take_active(now, record);
        self.active_revision += 1;
        self.event("instance-activated", pairs);
    }

    /// Lets one instance stand by that nobody has needed for long.
    fn release_idle(
        &mut self,
        now: Timestamp,
        service: &ServiceSpec,
        wanted: &Wanted,
        census: &mut Census,
    ) {
        let mut released = None;
        for record in self.registry.taking(&service.name) {
            let models = &record.models;
            let spare = census.total > WHOLE_SERVICE.max(wanted.total)
                && census.in_zone(&record.zone) > LEAST_IN_ZONE
                && models
                    .iter()
                    .all(|held| census.replicas(&held.model) > wanted.replicas(&held.model))
                && !self.traffic.is_used(&record.instance)
                && self.engines.is_at_rest(&record.instance);
            if !spare {
                self.idle_since.remove(&record.instance);
                continue;
            }
            let since = self.idle_since.entry(record.instance.clone());
            if now.since(*since.or_insert(now)) >= IDLE_TIME {
                released.get_or_insert_with(|| record.clone());
            }
        }
        if let Some(record) = released {
            census.remove(&record);
            self.stand_by(record);
        }
    }

    fn stand_by(&mut self, record: InstanceRecord) {
        let instance = &record.instance.clone();
        let pairs = vec![("instance", instance.0.clone())];
        self.idle_since.remove(instance);
        let announced = self.registry.announced(instance);
        self.engines.engines.remove(instance);
        self.registry.remove(instance);
        self.standby.put(announced.unwrap_or(record));
        self.active_revision += 1;
        self.dirty = true;
        self.event("instance-stands-by", pairs);
    }
}
