//! Standby instances: known, but neither sent to gateways nor instructed.
//!
//! A service may have many more instances than it needs. Each costs one indexed record, and no
//! further work while it does not change.

use millpass_proto::{InstanceId, InstanceRecord, ModelName, ServiceName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

type ByZone = BTreeMap<ZoneName, BTreeSet<InstanceId>>;

/// Standby instances. Draining ones are recorded, but not indexed.
#[derive(Default)]
pub(crate) struct Standby {
    records: BTreeMap<InstanceId, InstanceRecord>,
    by_service: BTreeMap<ServiceName, ByZone>,
    by_model: BTreeMap<ServiceName, BTreeMap<ModelName, ByZone>>,
}

impl Standby {
    /// Adds an instance or replaces its record.
    pub(crate) fn insert(&mut self, record: InstanceRecord) {
        self.remove(&record.instance);
        if !record.draining {
            self.index(&record);
        }
        self.records.insert(record.instance.clone(), record);
    }

    pub(crate) fn remove(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        let record = self.records.remove(instance)?;
        if !record.draining {
            self.unindex(&record);
        }
        Some(record)
    }

    fn index(&mut self, record: &InstanceRecord) {
        let service = self.by_service.entry(record.service.clone()).or_default();
        insert_into_zone(service, record);
        let models = self.by_model.entry(record.service.clone()).or_default();
        for held in &record.models {
            insert_into_zone(models.entry(held.model.clone()).or_default(), record);
        }
    }

    fn unindex(&mut self, record: &InstanceRecord) {
        if let Some(zones) = self.by_service.get_mut(&record.service) {
            remove_from_zone(zones, record);
        }
        let Some(models) = self.by_model.get_mut(&record.service) else {
            return;
        };
        for held in &record.models {
            if let Some(zones) = models.get_mut(&held.model) {
                remove_from_zone(zones, record);
                if zones.is_empty() {
                    models.remove(&held.model);
                }
            }
        }
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(instance)
    }

    /// Records a newer announcement without changes.
    pub(crate) fn update_sequence(&mut self, instance: &InstanceId, sequence: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.sequence = record.sequence.max(sequence);
        }
    }

    /// Returns standby incarnations of an instance.
    pub(crate) fn incarnations_of<'a>(
        &'a self,
        instance: &InstanceId,
    ) -> impl Iterator<Item = &'a InstanceId> {
        instance.runs_in(&self.records)
    }

    pub(crate) fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.records.keys()
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of instances of a service that can become active.
    pub(crate) fn count(&self, service: &ServiceName) -> usize {
        let zones = self.by_service.get(service);
        zones.map_or(0, |zones| zones.values().map(BTreeSet::len).sum())
    }

    /// Returns the first standby instance of a service in each zone.
    pub(crate) fn first_by_zone<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&'a ZoneName, &'a InstanceId)> + use<'a> {
        first_per_zone(self.by_service.get(service))
    }

    /// Returns the first standby instance in each zone that holds a model.
    pub(crate) fn first_holders_by_zone<'a>(
        &'a self,
        service: &ServiceName,
        model: &ModelName,
    ) -> impl Iterator<Item = (&'a ZoneName, &'a InstanceId)> + use<'a> {
        let models = self.by_model.get(service);
        first_per_zone(models.and_then(|models| models.get(model)))
    }
}

fn first_per_zone(zones: Option<&ByZone>) -> impl Iterator<Item = (&ZoneName, &InstanceId)> {
    let zones = zones.into_iter().flatten();
    zones.filter_map(|(zone, instances)| Some((zone, instances.first()?)))
}

fn insert_into_zone(zones: &mut ByZone, record: &InstanceRecord) {
    let instances = zones.entry(record.zone.clone()).or_default();
    instances.insert(record.instance.clone());
}

fn remove_from_zone(zones: &mut ByZone, record: &InstanceRecord) {
    let Some(instances) = zones.get_mut(&record.zone) else {
        return;
    };
    instances.remove(&record.instance);
    if instances.is_empty() {
        zones.remove(&record.zone);
    }
}
