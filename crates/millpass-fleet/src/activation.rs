//! Selects the active instances of each service: those sent to gateways and, for engines, read and
//! instructed. Small services keep all instances active. In larger ones the others stay on standby
//! until there is demand, so updates and planning do not grow with the number of instances.

use crate::demand::Load;
use crate::fleet::Fleet;
use crate::round::{self, MAX_REPLICA_UTILIZATION};
use millpass_proto::{
    DeploymentDocument, Duration, EngineModelSpec, InstanceId, InstanceRecord, ModelName,
    ServiceName, ServiceSpec, Timestamp, ZoneName,
};
use std::collections::BTreeMap;

/// Services with up to this many instances keep all of them active.
pub(crate) const ALL_ACTIVE_LIMIT: usize = 256;
/// Active replicas kept per model where available, so that the loss of a zone leaves one.
const MIN_REPLICAS: usize = 2;
/// Zones that the active replicas of a model are spread over, where available.
const MIN_ZONES: usize = 2;
/// Active instances kept per service and zone, as spare capacity for demand peaks and placements.
const MIN_ACTIVE_PER_ZONE: usize = 8;
/// Mean fraction of slots in use up to which plain instances are loaded.
const TARGET_UTILIZATION: f64 = 0.25;
/// Bounds the duration of a pass.
const MAX_ACTIVATIONS_PER_PASS: usize = 64;
const ACTIVATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time without demand after which an active instance returns to standby.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Available active instances of one service.
#[derive(Default)]
struct ActiveCounts {
    total: usize,
    zones: BTreeMap<ZoneName, usize>,
    /// By zone.
    replicas: BTreeMap<ModelName, BTreeMap<ZoneName, usize>>,
}

impl ActiveCounts {
    fn of<'a>(records: impl Iterator<Item = &'a InstanceRecord>) -> ActiveCounts {
        let mut counts = ActiveCounts::default();
        records.for_each(|record| counts.add(record));
        counts
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
        let decrement = |count: Option<&mut usize>| count.into_iter().for_each(|count| *count -= 1);
        decrement(self.zones.get_mut(&record.zone));
        for held in &record.models {
            let zones = self.replicas.get_mut(&held.model);
            decrement(zones.and_then(|zones| zones.get_mut(&record.zone)));
        }
    }

    fn count_in_zone(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    fn replicas(&self, model: &ModelName) -> usize {
        let zones = self.replicas.get(model);
        zones.map_or(0, |zones| zones.values().sum())
    }

    fn zone_count(&self, model: &ModelName) -> usize {
        let zones = self.replicas.get(model);
        let non_empty = |zones: &BTreeMap<ZoneName, usize>| {
            zones.values().filter(|replicas| **replicas > 0).count()
        };
        zones.map_or(0, non_empty)
    }

    fn replicas_in(&self, model: &ModelName, zone: &ZoneName) -> usize {
        let zones = self.replicas.get(model);
        zones
            .and_then(|zones| zones.get(zone))
            .copied()
            .unwrap_or_default()
    }
}

/// Number of active instances that a service requires.
struct ActivationTarget {
    /// Over all models.
    total: usize,
    /// Replicas of each model in demand; [`MIN_REPLICAS`] for the others.
    replicas: BTreeMap<ModelName, usize>,
}

impl ActivationTarget {
    fn replicas(&self, model: &ModelName) -> usize {
        let replicas = self.replicas.get(model).copied().unwrap_or_default();
        replicas.max(MIN_REPLICAS)
    }
}

/// Returns the number of replicas that keep utilization below the target.
fn required_replicas(load: &Load, slots: f64) -> usize {
    (round::offered_load(load, slots) / MAX_REPLICA_UTILIZATION) as usize + 1
}

impl Fleet {
    /// Returns whether all instances stay active if the service gains one more.
    pub(crate) fn keeps_all_active(&self, service: &ServiceName) -> bool {
        self.registry.count(service) + self.standby.count(service) < ALL_ACTIVE_LIMIT
    }

    /// Activates instances that demand requires and returns idle ones to standby.
    pub(crate) fn adjust_active_instances(
        &mut self,
        now: Timestamp,
        document: &DeploymentDocument,
    ) {
        if now < self.next_activation {
            return;
        }
        self.next_activation = now + ACTIVATION_INTERVAL;
        for service in &document.services {
            let standby_count = self.standby.count(&service.name);
            if standby_count == 0 && self.registry.count(&service.name) <= ALL_ACTIVE_LIMIT {
                continue;
            }
            let mut counts = ActiveCounts::of(self.registry.available(&service.name));
            let target = self.activation_target(now, service, &counts);
            self.activate_for_demand(now, service, &target, &mut counts);
            self.deactivate_idle(now, service, &target, &mut counts);
        }
    }

    fn activation_target(
        &self,
        now: Timestamp,
        service: &ServiceSpec,
        counts: &ActiveCounts,
    ) -> ActivationTarget {
        let keeps_all = counts.total + self.standby.count(&service.name) <= ALL_ACTIVE_LIMIT;
        let Some(engine) = &service.engine else {
            let records = self.registry.available(&service.name);
            let slots = records.map(|record| record.slots).max().unwrap_or(1).max(1);
            let in_flight = self
                .traffic
                .in_flight(self.registry.available(&service.name));
            let total = f64::from(in_flight) / (f64::from(slots) * TARGET_UTILIZATION);
            return ActivationTarget {
                total: if keeps_all {
                    ALL_ACTIVE_LIMIT
                } else {
                    total as usize
                },
                replicas: BTreeMap::new(),
            };
        };
        let slots = f64::from(engine.slots.max(1));
        let loads = self.demand.loads(now, &service.name).into_iter();
        let replicas = loads.map(|(model, load)| {
            let replicas = required_replicas(&load, slots);
            (model, replicas)
        });
        ActivationTarget {
            total: if keeps_all { ALL_ACTIVE_LIMIT } else { 0 },
            replicas: replicas.collect(),
        }
    }

    fn activate_for_demand(
        &mut self,
        now: Timestamp,
        service: &ServiceSpec,
        target: &ActivationTarget,
        counts: &mut ActiveCounts,
    ) {
        let mut remaining = MAX_ACTIVATIONS_PER_PASS;
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        for model in models {
            while remaining > 0
                && let Some(instance) = self.missing_replica(service, model, target, counts)
            {
                self.activate(now, &instance, "model", counts);
                remaining -= 1;
            }
        }
        while remaining > 0 {
            let zones = self.standby.first_by_zone(&service.name);
            let least_populated = zones.min_by_key(|(zone, _)| counts.count_in_zone(zone));
            let below_minimum = |zone: &ZoneName| counts.count_in_zone(zone) < MIN_ACTIVE_PER_ZONE;
            let candidate = least_populated
                .filter(|(zone, _)| below_minimum(zone) || counts.total < target.total);
            let Some(instance) = candidate.map(|(_, instance)| instance.clone()) else {
                return;
            };
            self.activate(now, &instance, "spare", counts);
            remaining -= 1;
        }
    }

    /// Returns a standby instance that adds a missing replica or zone of a model.
    fn missing_replica(
        &self,
        service: &ServiceSpec,
        model: &EngineModelSpec,
        target: &ActivationTarget,
        counts: &ActiveCounts,
    ) -> Option<InstanceId> {
        let model = &model.name;
        let holders = self.standby.first_holders_by_zone(&service.name, model);
        let (zone, instance) = holders.min_by_key(|(zone, _)| counts.replicas_in(model, zone))?;
        let too_few = counts.replicas(model) < target.replicas(model);
        let adds_zone = counts.replicas_in(model, zone) == 0;
        let too_few_zones = counts.zone_count(model) < MIN_ZONES && adds_zone;
        (too_few || too_few_zones).then(|| instance.clone())
    }

    fn activate(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        reason: &'static str,
        counts: &mut ActiveCounts,
    ) {
        let Some(record) = self.standby.remove(instance) else {
            return;
        };
        counts.add(&record);
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("reason", reason.to_owned()),
            ("active", counts.total.to_string()),
            ("standby", self.standby.len().to_string()),
        ];
        self.record_active(now, record);
        self.active_revision += 1;
        self.event("instance-activated", pairs);
    }

    /// Returns at most one idle instance to standby.
    fn deactivate_idle(
        &mut self,
        now: Timestamp,
        service: &ServiceSpec,
        target: &ActivationTarget,
        counts: &mut ActiveCounts,
    ) {
        let mut released = None;
        for record in self.registry.available(&service.name) {
            let models = &record.models;
            let is_idle = counts.total > ALL_ACTIVE_LIMIT.max(target.total)
                && counts.count_in_zone(&record.zone) > MIN_ACTIVE_PER_ZONE
                && models
                    .iter()
                    .all(|held| counts.replicas(&held.model) > target.replicas(&held.model))
                && !self.traffic.has_requests(&record.instance)
                && self.engines.is_quiescent(&record.instance);
            if !is_idle {
                self.idle_since.remove(&record.instance);
                continue;
            }
            let since = self.idle_since.entry(record.instance.clone());
            if now.since(*since.or_insert(now)) >= IDLE_TIMEOUT {
                released.get_or_insert_with(|| record.clone());
            }
        }
        if let Some(record) = released {
            counts.remove(&record);
            self.deactivate(record);
        }
    }

    fn deactivate(&mut self, record: InstanceRecord) {
        let instance = &record.instance.clone();
        let pairs = vec![("instance", instance.0.clone())];
        self.idle_since.remove(instance);
        let announced = self.registry.last_announced(instance);
        self.engines.engines.remove(instance);
        self.registry.remove(instance);
        self.standby.insert(announced.unwrap_or(record));
        self.active_revision += 1;
        self.dirty = true;
        self.event("instance-stands-by", pairs);
    }
}
