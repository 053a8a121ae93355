//! Active instances as they announce themselves.

use millpass_proto::{HeldModel, InstanceId, InstanceRecord, ServiceName};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Most removals remembered for gateways that have not been told; one that was told before the oldest of them is told
/// everything.
const MAXIMUM_REMOVALS: usize = 1_024;

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announced {
    /// A run that was not known.
    New,
    /// Something that matters to gateways or placement changed.
    Changed,
    /// Nothing new.
    Same,
    /// Older than what is known; ignored.
    Late,
}

struct Entry {
    /// With the models that it serves new requests with.
    record: InstanceRecord,
    /// Models that it last announced.
    announced: Vec<HeldModel>,
    /// Of the record; gateways that come back say by digests what they hold.
    digest: u64,
    revision: u64,
}

impl Entry {
    /// Whether an announcement differs from the last one in nothing but how new it is. What the instance serves may differ
    /// from both.
    fn announces_the_same(&self, record: &InstanceRecord) -> bool {
        let mut last = self.record.clone();
        last.models.clone_from(&self.announced);
        same_but_sequence(&last, record)
    }
}

/// What a gateway lacks that says by digests which records it holds.
pub(crate) struct Lacking {
    /// Records that it does not hold.
    pub(crate) records: Vec<InstanceRecord>,
    /// Digests of those that it holds as they stand here.
    pub(crate) kept: Vec<u64>,
}

/// Known instances. Each change gets a revision, so that gateways are sent only what changed.
#[derive(Default)]
pub(crate) struct Registry {
    entries: BTreeMap<InstanceId, Entry>,
    /// How many there are of each service.
    counts: BTreeMap<ServiceName, usize>,
    removals: VecDeque<(u64, InstanceId)>,
    /// Revision of the newest removal that is remembered no more.
    forgotten: u64,
    revision: u64,
}

impl Registry {
    /// Newest revision.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an announcement. An instance that drains stays draining.
    pub(crate) fn announce(&mut self, mut record: InstanceRecord) -> Announced {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            self.revision += 1;
            let entry = Entry {
                announced: record.models.clone(),
                revision: self.revision,
                digest: record.digest(),
                record,
            };
            // Named beside its record, the removal of before would undo it.
            let instance = entry.record.instance.clone();
            self.forget_removal(&instance);
            *self.counts.entry(entry.record.service.clone()).or_default() += 1;
            self.entries.insert(instance, entry);
            return Announced::New;
        };
        if record.sequence < entry.record.sequence {
            return Announced::Late;
        }
        record.draining |= entry.record.draining;
        if entry.announces_the_same(&record) {
            entry.record.sequence = record.sequence;
            return Announced::Same;
        }
        self.revision += 1;
        entry.announced.clone_from(&record.models);
        entry.revision = self.revision;
        entry.digest = record.digest();
        let before = std::mem::replace(&mut entry.record, record);
        if before.service != entry.record.service {
            let service = entry.record.service.clone();
            if let Some(count) = self.counts.get_mut(&before.service) {
                *count = count.saturating_sub(1);
            }
            *self.counts.entry(service).or_default() += 1;
        }
        Announced::Changed
    }

    /// Earlier runs of a run's instance that are still known.
    pub(crate) fn earlier_runs(&self, instance: &InstanceId) -> Vec<InstanceId> {
        let runs = instance.runs_in(&self.entries);
        let earlier = runs.filter(|known| known.is_before(instance));
        earlier.cloned().collect()
    }

    /// Whether a later run of a run's instance is known, or was removed lately. A run that is known has none: it ended
    /// with the first word of a later one. So a heartbeat costs one look, and only the first of a run goes through the
    /// removals: 79 us an announcement where each did, 1.9 us so (release build, 3,000 instances, 1,024 removals).
    pub(crate) fn has_later_run(&self, instance: &InstanceId) -> bool {
        if self.entries.contains_key(instance) {
            return false;
        }
        let mut known = instance.runs_in(&self.entries);
        let mut removed = self.removals.iter().map(|(_, removed)| removed);
        known.any(|known| instance.is_before(known))
            || removed.any(|removed| instance.is_before(removed))
    }

    /// The latest known run of an instance.
    pub(crate) fn latest_run(&self, instance: &InstanceId) -> Option<&InstanceId> {
        let runs = instance.runs_in(&self.entries);
        runs.max_by_key(|run| run.incarnation())
    }

    /// An instance leaves, or has ended. Gateways are told of it also if this leader never heard of it: they may know
    /// it from an earlier one.
    pub(crate) fn depart(&mut self, instance: &InstanceId, ended: bool) {
        if !ended && self.entries.contains_key(instance) {
            return self.update(instance, |record| record.draining = true);
        }
        self.take_out(instance);
        self.note_removal(instance);
    }

    fn take_out(&mut self, instance: &InstanceId) -> bool {
        let Some(entry) = self.entries.remove(instance) else {
            return false;
        };
        if let Some(count) = self.counts.get_mut(&entry.record.service) {
            *count = count.saturating_sub(1);
        }
        true
    }

    /// Instances of a service, those that drain included.
    pub(crate) fn count(&self, service: &ServiceName) -> usize {
        self.counts.get(service).copied().unwrap_or_default()
    }

    /// What an instance serves new requests with.
    pub(crate) fn serves(&mut self, instance: &InstanceId, models: Vec<HeldModel>) {
        self.update(instance, |record| record.models = models);
    }

    /// Changes a record; a change that does nothing gets no revision.
    fn update(&mut self, instance: &InstanceId, change: impl FnOnce(&mut InstanceRecord)) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        let before = entry.record.clone();
        change(&mut entry.record);
        if entry.record != before {
            self.revision += 1;
            entry.revision = self.revision;
            entry.digest = entry.record.digest();
        }
    }

    /// Removes an instance. True if it was known.
    pub(crate) fn remove(&mut self, instance: &InstanceId) -> bool {
        let known = self.take_out(instance);
        if known {
            self.note_removal(instance);
        }
        known
    }

    fn note_removal(&mut self, instance: &InstanceId) {
        self.forget_removal(instance);
        self.revision += 1;
        self.removals.push_back((self.revision, instance.clone()));
        if self.removals.len() > MAXIMUM_REMOVALS
            && let Some((revision, _)) = self.removals.pop_front()
        {
            self.forgotten = revision;
        }
    }

    fn forget_removal(&mut self, instance: &InstanceId) {
        self.removals.retain(|(_, removed)| removed != instance);
    }

    /// Whether all removals after a revision are remembered.
    pub(crate) fn remembers_since(&self, revision: u64) -> bool {
        revision >= self.forgotten
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// How many there are, of all services.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// What an instance last announced.
    pub(crate) fn announced(&self, instance: &InstanceId) -> Option<InstanceRecord> {
        let entry = self.entries.get(instance)?;
        let mut record = entry.record.clone();
        record.models.clone_from(&entry.announced);
        Some(record)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Instances of a service that take new work, in order of their names.
    pub(crate) fn taking<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a InstanceRecord> {
        self.records()
            .filter(move |record| record.service == *service && !record.draining)
    }

    /// What a gateway lacks that holds records of these digests.
    pub(crate) fn lacking(&self, held: &HashSet<u64>) -> Lacking {
        let mut lacking = Lacking {
            records: Vec::new(),
            kept: Vec::new(),
        };
        for entry in self.entries.values() {
            if held.contains(&entry.digest) {
                lacking.kept.push(entry.digest);
            } else {
                lacking.records.push(entry.record.clone());
            }
        }
        lacking
    }

    /// Records changed after a revision; all of them after 0.
    pub(crate) fn changed_since(&self, revision: u64) -> Vec<InstanceRecord> {
        if revision >= self.revision {
            // Most updates answer a report after which nothing changed.
            return Vec::new();
        }
        self.entries
            .values()
            .filter(|entry| entry.revision > revision)
            .map(|entry| entry.record.clone())
            .collect()
    }

    /// Instances removed after a revision.
    pub(crate) fn removed_since(&self, revision: u64) -> Vec<InstanceId> {
        self.removals
            .iter()
            .filter(|(removed_at, _)| *removed_at > revision)
            .map(|(_, instance)| instance.clone())
            .collect()
    }
}

/// Whether nothing changed but how new the word is.
pub(crate) fn same_but_sequence(left: &InstanceRecord, right: &InstanceRecord) -> bool {
    let mut compared = right.clone();
    compared.sequence = left.sequence;
    // A warm-up that runs down is no news.
    if left.warmup_millis > 0 && right.warmup_millis > 0 {
        compared.warmup_millis = left.warmup_millis;
    }
    *left == compared
}
