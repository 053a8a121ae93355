//! Active instances as announced.

use millpass_proto::{HeldModel, InstanceId, InstanceRecord, ServiceName};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Removals kept for gateways that have not received them. Gateways that miss older ones are sent a
/// full update.
const MAX_REMOVALS: usize = 1_024;

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnouncementOutcome {
    /// Unknown incarnation.
    New,
    /// Something relevant to gateways or placement changed.
    Changed,
    /// No relevant change.
    Unchanged,
    /// Older than the recorded announcement; ignored.
    Stale,
}

struct Entry {
    /// Its models are those served to new requests.
    record: InstanceRecord,
    /// Models as last announced.
    announced: Vec<HeldModel>,
    /// Digest of the record; reconnecting gateways list the digests they hold.
    digest: u64,
    revision: u64,
}

impl Entry {
    /// Returns whether an announcement differs from the last one in its sequence number only. The
    /// served models may differ from both.
    fn is_repeated_by(&self, record: &InstanceRecord) -> bool {
        let mut last = self.record.clone();
        last.models.clone_from(&self.announced);
        equal_except_sequence(&last, record)
    }
}

/// Difference between the registry and the digests that a gateway holds.
pub(crate) struct MissingRecords {
    /// Records that the gateway does not hold.
    pub(crate) records: Vec<InstanceRecord>,
    /// Digests held by the gateway that are current.
    pub(crate) unchanged: Vec<u64>,
}

/// Active instances. Each change increases the revision, so that gateways are sent only changes.
#[derive(Default)]
pub(crate) struct Registry {
    entries: BTreeMap<InstanceId, Entry>,
    /// Number of instances of each service.
    counts: BTreeMap<ServiceName, usize>,
    removals: VecDeque<(u64, InstanceId)>,
    /// Revision of the newest removal that was discarded.
    discarded_revision: u64,
    revision: u64,
}

impl Registry {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an announcement. A draining instance stays draining.
    pub(crate) fn apply_announcement(&mut self, mut record: InstanceRecord) -> AnnouncementOutcome {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            self.revision += 1;
            let entry = Entry {
                announced: record.models.clone(),
                revision: self.revision,
                digest: record.digest(),
                record,
            };
            // A removal sent along with the record would undo it.
            let instance = entry.record.instance.clone();
            self.discard_removal(&instance);
            *self.counts.entry(entry.record.service.clone()).or_default() += 1;
            self.entries.insert(instance, entry);
            return AnnouncementOutcome::New;
        };
        if record.sequence < entry.record.sequence {
            return AnnouncementOutcome::Stale;
        }
        record.draining |= entry.record.draining;
        if entry.is_repeated_by(&record) {
            entry.record.sequence = record.sequence;
            return AnnouncementOutcome::Unchanged;
        }
        self.revision += 1;
        entry.announced.clone_from(&record.models);
        entry.revision = self.revision;
        entry.digest = record.digest();
        let previous = std::mem::replace(&mut entry.record, record);
        if previous.service != entry.record.service {
            let service = entry.record.service.clone();
            if let Some(count) = self.counts.get_mut(&previous.service) {
                *count = count.saturating_sub(1);
            }
            *self.counts.entry(service).or_default() += 1;
        }
        AnnouncementOutcome::Changed
    }

    /// Returns known earlier incarnations of an instance.
    pub(crate) fn earlier_incarnations(&self, instance: &InstanceId) -> Vec<InstanceId> {
        let incarnations = instance.runs_in(&self.entries);
        let earlier = incarnations.filter(|incarnation| incarnation.is_before(instance));
        earlier.cloned().collect()
    }

    /// Returns whether a later incarnation of the instance is known or was removed recently. A
    /// known incarnation has none, because it is removed when a later one is announced; this check
    /// keeps heartbeats from scanning the removals.
    pub(crate) fn has_later_incarnation(&self, instance: &InstanceId) -> bool {
        if self.entries.contains_key(instance) {
            return false;
        }
        let mut known = instance.runs_in(&self.entries);
        let mut removed = self.removals.iter().map(|(_, removed)| removed);
        known.any(|known| instance.is_before(known))
            || removed.any(|removed| instance.is_before(removed))
    }

    pub(crate) fn latest_incarnation(&self, instance: &InstanceId) -> Option<&InstanceId> {
        let incarnations = instance.runs_in(&self.entries);
        incarnations.max_by_key(|incarnation| incarnation.incarnation())
    }

    /// Applies a departure: the instance drains or has ended. Also recorded for unknown instances,
    /// which gateways may have received from an earlier leader.
    pub(crate) fn apply_departure(&mut self, instance: &InstanceId, ended: bool) {
        if !ended && self.entries.contains_key(instance) {
            return self.update(instance, |record| record.draining = true);
        }
        self.remove_entry(instance);
        self.record_removal(instance);
    }

    fn remove_entry(&mut self, instance: &InstanceId) -> bool {
        let Some(entry) = self.entries.remove(instance) else {
            return false;
        };
        if let Some(count) = self.counts.get_mut(&entry.record.service) {
            *count = count.saturating_sub(1);
        }
        true
    }

    /// Returns the number of instances of a service, including draining ones.
    pub(crate) fn count(&self, service: &ServiceName) -> usize {
        self.counts.get(service).copied().unwrap_or_default()
    }

    /// Sets the models that an instance serves to new requests.
    pub(crate) fn set_served_models(&mut self, instance: &InstanceId, models: Vec<HeldModel>) {
        self.update(instance, |record| record.models = models);
    }

    /// Changes a record; the revision increases only if it differs afterwards.
    fn update(&mut self, instance: &InstanceId, change: impl FnOnce(&mut InstanceRecord)) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        let previous = entry.record.clone();
        change(&mut entry.record);
        if entry.record != previous {
            self.revision += 1;
            entry.revision = self.revision;
            entry.digest = entry.record.digest();
        }
    }

    /// Removes an instance. Returns true if it was known.
    pub(crate) fn remove(&mut self, instance: &InstanceId) -> bool {
        let was_known = self.remove_entry(instance);
        if was_known {
            self.record_removal(instance);
        }
        was_known
    }

    fn record_removal(&mut self, instance: &InstanceId) {
        self.discard_removal(instance);
        self.revision += 1;
        self.removals.push_back((self.revision, instance.clone()));
        if self.removals.len() > MAX_REMOVALS
            && let Some((revision, _)) = self.removals.pop_front()
        {
            self.discarded_revision = revision;
        }
    }

    fn discard_removal(&mut self, instance: &InstanceId) {
        self.removals.retain(|(_, removed)| removed != instance);
    }

    /// Returns whether all removals after a revision are kept.
    pub(crate) fn has_removals_since(&self, revision: u64) -> bool {
        revision >= self.discarded_revision
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the record of an instance as last announced.
    pub(crate) fn last_announced(&self, instance: &InstanceId) -> Option<InstanceRecord> {
        let entry = self.entries.get(instance)?;
        let mut record = entry.record.clone();
        record.models.clone_from(&entry.announced);
        Some(record)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns instances of a service that are not draining, in order of their names.
    pub(crate) fn available<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a InstanceRecord> {
        self.records()
            .filter(move |record| record.service == *service && !record.draining)
    }

    /// Compares the registry with the digests that a gateway holds.
    pub(crate) fn missing_records(&self, held: &HashSet<u64>) -> MissingRecords {
        let mut missing = MissingRecords {
            records: Vec::new(),
            unchanged: Vec::new(),
        };
        for entry in self.entries.values() {
            if held.contains(&entry.digest) {
                missing.unchanged.push(entry.digest);
            } else {
                missing.records.push(entry.record.clone());
            }
        }
        missing
    }

    /// Returns records changed after a revision; all of them for 0.
    pub(crate) fn changed_since(&self, revision: u64) -> Vec<InstanceRecord> {
        if revision >= self.revision {
            // Common case: nothing changed since the last update.
            return Vec::new();
        }
        self.entries
            .values()
            .filter(|entry| entry.revision > revision)
            .map(|entry| entry.record.clone())
            .collect()
    }

    pub(crate) fn removed_since(&self, revision: u64) -> Vec<InstanceId> {
        self.removals
            .iter()
            .filter(|(removed_at, _)| *removed_at > revision)
            .map(|(_, instance)| instance.clone())
            .collect()
    }
}

/// Returns whether two records differ in their sequence number only.
pub(crate) fn equal_except_sequence(left: &InstanceRecord, right: &InstanceRecord) -> bool {
    let mut compared = right.clone();
    compared.sequence = left.sequence;
    // The countdown of a warm-up is not a relevant change.
    if left.warmup_millis > 0 && right.warmup_millis > 0 {
        compared.warmup_millis = left.warmup_millis;
    }
    *left == compared
}
