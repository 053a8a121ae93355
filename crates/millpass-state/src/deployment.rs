//! Active deployment document, recorded instances and departures.

use millpass_proto::{
    InstanceChanges, InstanceDeparture, InstanceId, InstanceRecord, PutDocument, SharedDocument,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum stored departures; the oldest is evicted first. Instances announce themselves only for
/// seconds after their departure.
pub const MAXIMUM_DEPARTED_INSTANCES: usize = 4_096;

/// Maximum recorded instances; far above the size of the fleet of one group.
pub const MAXIMUM_RECORDED_INSTANCES: usize = 16_384;

/// Document, departures and recorded instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Deployment {
    current: Option<PutDocument>,
    /// Departed instances and whether each has ended.
    departed: BTreeMap<InstanceId, bool>,
    /// Departed instances, oldest first.
    order: VecDeque<InstanceId>,
    /// Log indexes of the departures, in the same order. Encoded after the rest of the state, so
    /// that older snapshots can be decoded.
    #[serde(skip)]
    departed_at: VecDeque<u64>,
    /// Instances as last recorded by a leader.
    recorded: BTreeMap<InstanceId, InstanceRecord>,
}

impl Deployment {
    /// Replaces the document if the new version is higher.
    pub(crate) fn put(&mut self, put: &PutDocument) {
        if self.version() < put.document.version {
            self.current = Some(put.clone());
        }
    }

    /// Returns the version of the document; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current.document.version)
    }

    pub(crate) fn document(&self) -> Option<&SharedDocument> {
        self.current.as_ref().map(|current| &current.document)
    }

    pub(crate) fn source(&self) -> Option<&[u8]> {
        self.current
            .as_ref()
            .map(|current| current.source.as_slice())
    }

    /// Applies a leader's changes of instances. Departed instances stay departed.
    pub(crate) fn record(&mut self, changes: &InstanceChanges) {
        for record in &changes.instances {
            let departed = self.departed(&record.instance);
            let known = self.recorded.contains_key(&record.instance);
            let full = !known && self.recorded.len() >= MAXIMUM_RECORDED_INSTANCES;
            if departed == Some(true) || full {
                continue;
            }
            let mut record = record.clone();
            record.draining |= departed.is_some();
            self.recorded.insert(record.instance.clone(), record);
        }
        for instance in &changes.removed {
            self.recorded.remove(instance);
        }
    }

    pub(crate) fn recorded(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.recorded.values()
    }

    /// Records the departure of an instance that was logged at `index`.
    pub(crate) fn depart(&mut self, index: u64, departure: &InstanceDeparture) {
        if departure.ended {
            self.recorded.remove(&departure.instance);
        } else if let Some(record) = self.recorded.get_mut(&departure.instance) {
            record.draining = true;
        }
        if let Some(ended) = self.departed.get_mut(&departure.instance) {
            *ended |= departure.ended;
            return;
        }
        let instance = departure.instance.clone();
        self.departed.insert(instance.clone(), departure.ended);
        self.order.push_back(instance);
        self.departed_at.push_back(index);
        if self.order.len() > MAXIMUM_DEPARTED_INSTANCES
            && let Some(oldest) = self.order.pop_front()
        {
            self.departed.remove(&oldest);
            self.departed_at.pop_front();
        }
    }

    /// Returns `None` if an incarnation of an instance has not departed, else whether it has ended.
    /// An incarnation with a newer one on record has ended.
    pub(crate) fn departed(&self, instance: &InstanceId) -> Option<bool> {
        let departed = self.departed.get(instance).copied();
        match departed {
            Some(true) => departed,
            _ if self.has_newer_incarnation(instance) => Some(true),
            _ => departed,
        }
    }

    fn has_newer_incarnation(&self, instance: &InstanceId) -> bool {
        let departed = instance.runs_in(&self.departed);
        let recorded = instance.runs_in(&self.recorded);
        departed.chain(recorded).any(|run| instance.is_before(run))
    }

    /// Returns the latest recorded incarnation of an instance.
    pub(crate) fn latest_recorded(&self, instance: &InstanceId) -> Option<&InstanceId> {
        let runs = instance.runs_in(&self.recorded);
        runs.max_by_key(|run| run.incarnation())
    }

    /// Returns the instances whose departure was logged after `index`, newest first.
    pub(crate) fn departures_after(&self, index: u64) -> impl Iterator<Item = &InstanceId> {
        let departures = self.order.iter().zip(&self.departed_at).rev();
        let newer = departures.take_while(move |(_, departed_at)| **departed_at > index);
        newer.map(|(instance, _)| instance)
    }

    /// Returns the log indexes of the departures, oldest first.
    pub(crate) fn departure_indexes(&self) -> &VecDeque<u64> {
        &self.departed_at
    }

    /// Restores the log indexes of the departures from a snapshot. Missing ones are set to the
    /// maximum, so that these departures are sent on every request.
    pub(crate) fn restore_departure_indexes(&mut self, mut indexes: VecDeque<u64>) {
        indexes.resize(self.order.len(), u64::MAX);
        self.departed_at = indexes;
    }

    pub(crate) fn departures(&self) -> impl Iterator<Item = (&InstanceId, bool)> {
        self.departed
            .iter()
            .map(|(instance, ended)| (instance, *ended))
    }
}
