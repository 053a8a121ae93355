//! The deployment document in force, and the instances that leave or have left.

use millpass_proto::{
    DeploymentDocument, InstanceChanges, InstanceDeparture, InstanceId, InstanceRecord, PutDocument,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most departed instances remembered; the oldest is forgotten first. An instance announces itself
/// for seconds after its departure, so thousands are hours of restarts.
pub const MAXIMUM_DEPARTED_INSTANCES: usize = 4_096;

/// Most instances noted; far above the fleets that one group serves.
pub const MAXIMUM_RECORDED_INSTANCES: usize = 16_384;

/// Document, departures and noted instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Deployment {
    held: Option<PutDocument>,
    /// Whether each departed instance has ended.
    departed: BTreeMap<InstanceId, bool>,
    /// Departed instances, the oldest first.
    order: VecDeque<InstanceId>,
    /// Log index of each of them, in the same order. Encoded behind the rest, so that snapshots without it can be read.
    #[serde(skip)]
    departed_at: VecDeque<u64>,
    /// Instances as a leader last noted them.
    noted: BTreeMap<InstanceId, InstanceRecord>,
}

impl Deployment {
    /// Puts a document in force if its version is higher than the one held; else nothing changes.
    pub(crate) fn put(&mut self, put: &PutDocument) {
        if self.version() < put.document.version {
            self.held = Some(put.clone());
        }
    }

    /// Version held; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.document.version)
    }

    pub(crate) fn document(&self) -> Option<&DeploymentDocument> {
        self.held.as_ref().map(|held| &held.document)
    }

    pub(crate) fn source(&self) -> Option<&[u8]> {
        self.held.as_ref().map(|held| held.source.as_ref())
    }

    /// Takes a leader's view of instances. What has departed stays so.
    pub(crate) fn note(&mut self, note: &InstanceChanges) {
        for record in &note.instances {
            let departed = self.departed(&record.instance);
            let known = self.noted.contains_key(&record.instance);
            let full = !known && self.noted.len() >= MAXIMUM_RECORDED_INSTANCES;
            if departed == Some(true) || full {
                continue;
            }
            let mut record = record.clone();
            record.draining |= departed.is_some();
            self.noted.insert(record.instance.clone(), record);
        }
        for instance in &note.removed {
            self.noted.remove(instance);
        }
    }

    pub(crate) fn noted(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.noted.values()
    }

    /// Records that an instance leaves or has ended, as the log entry at this index says.
    pub(crate) fn depart(&mut self, index: u64, departure: &InstanceDeparture) {
        if departure.ended {
            self.noted.remove(&departure.instance);
        } else if let Some(record) = self.noted.get_mut(&departure.instance) {
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

    /// Whether a run of an instance has departed, and if so, whether it has ended. One that a later run was known after
    /// has ended.
    pub(crate) fn departed(&self, instance: &InstanceId) -> Option<bool> {
        let departed = self.departed.get(instance).copied();
        match departed {
            Some(true) => departed,
            _ if self.has_later_run(instance) => Some(true),
            _ => departed,
        }
    }

    fn has_later_run(&self, instance: &InstanceId) -> bool {
        let departed = instance.runs_in(&self.departed);
        let noted = instance.runs_in(&self.noted);
        departed.chain(noted).any(|run| instance.is_before(run))
    }

    /// The latest run of an instance that a leader noted.
    pub(crate) fn latest_noted(&self, instance: &InstanceId) -> Option<&InstanceId> {
        let runs = instance.runs_in(&self.noted);
        runs.max_by_key(|run| run.incarnation())
    }

    /// Instances whose departure stands in the log after this index, the newest first.
    pub(crate) fn departures_after(&self, index: u64) -> impl Iterator<Item = &InstanceId> {
        let departures = self.order.iter().zip(&self.departed_at).rev();
        let newer = departures.take_while(move |(_, departed_at)| **departed_at > index);
        newer.map(|(instance, _)| instance)
    }

    /// Log indexes of the departures, the oldest first.
    pub(crate) fn departure_indexes(&self) -> &VecDeque<u64> {
        &self.departed_at
    }

    /// Takes the log indexes of the departures as a snapshot holds them. One that does not say counts as the newest:
    /// it is told to whoever asks.
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
