//! Catalog: compare-and-set of objects, revisions and deltas.

use crate::State;
use crate::audit::{AcceptedChanges, AuditLog, Resend};
use crate::changes::ChangeIndex;
use crate::validation::{InvalidObject, check_change, version_name};
use millpass_proto::{
    AdapterName, AdapterSpec, AuditRecord, ChangeAccepted, ConfigurationDelta,
    ConfigurationRevision, ModelName, ModelSpec, ObjectChange, ObjectChangeOutcome, ObjectKey,
    ObjectKind, ObjectSpec, StoredObject, VersionConflict, VersionLabel, VersionSpec,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum objects of all kinds.
pub const MAXIMUM_OBJECTS: usize = 262_144;
/// Maximum deleted objects whose version and revision are stored.
pub const MAXIMUM_TOMBSTONES: usize = 4_096;

/// Catalog objects with versions, revisions, audit log and deduplication of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    revision: u64,
    objects: BTreeMap<ObjectKey, StoredObject>,
    adapters_by_model: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    changes: ChangeIndex<ObjectKey>,
    /// Last versions of recently deleted objects.
    tombstones: BTreeMap<ObjectKey, u64>,
    /// Highest version of any evicted tombstone. Recreated objects start above it, so that versions
    /// are never reused.
    version_floor: u64,
    audit: AuditLog,
    accepted_changes: AcceptedChanges,
}

impl Catalog {
    /// Applies a change.
    pub(crate) fn apply(&mut self, change: &ObjectChange) -> ObjectChangeOutcome {
        match self.accepted_changes.find(change) {
            Some(Resend::Accepted(accepted)) => return ObjectChangeOutcome::Accepted(accepted),
            Some(Resend::OtherContent) => return rejected(InvalidObject::ChangeIdUsed),
            None => {}
        }
        let current_version = self.object(&change.key).map_or(0, |object| object.version);
        if change.expected_version != current_version {
            return ObjectChangeOutcome::VersionConflict(VersionConflict { current_version });
        }
        if let Err(invalid) = check_change(self, change) {
            return rejected(invalid);
        }
        if current_version == 0 && self.objects.len() >= MAXIMUM_OBJECTS {
            return rejected(InvalidObject::CatalogFull);
        }
        ObjectChangeOutcome::Accepted(self.accept(change))
    }

    fn accept(&mut self, change: &ObjectChange) -> ChangeAccepted {
        self.revision += 1;
        let version = self.last_version(&change.key) + 1;
        let revision = ConfigurationRevision(self.revision);
        match &change.spec {
            Some(spec) => self.store(change, spec, version),
            None => self.delete(&change.key, version),
        }
        self.audit.push(AuditRecord {
            revision,
            key: change.key.clone(),
            version,
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            at_unix_millis: change.at_unix_millis,
            deleted: change.spec.is_none(),
        });
        let accepted = ChangeAccepted { version, revision };
        self.accepted_changes.record(change, accepted.clone());
        accepted
    }

    fn store(&mut self, change: &ObjectChange, spec: &ObjectSpec, version: u64) {
        let key = &change.key;
        if let ObjectSpec::Adapter(adapter) = spec {
            let adapters = self.adapters_by_model.entry(adapter.model.clone());
            adapters.or_default().insert(AdapterName(key.name.clone()));
        }
        self.tombstones.remove(key);
        self.changes.touch(key, self.revision);
        let object = StoredObject {
            key: key.clone(),
            version,
            revision: ConfigurationRevision(self.revision),
            spec: spec.clone(),
        };
        self.objects.insert(key.clone(), object);
    }

    fn delete(&mut self, key: &ObjectKey, version: u64) {
        if let Some(object) = self.objects.remove(key)
            && let ObjectSpec::Adapter(adapter) = &object.spec
        {
            self.remove_adapter_index(&adapter.model, key);
        }
        self.tombstones.insert(key.clone(), version);
        self.changes.remove(key, self.revision, MAXIMUM_TOMBSTONES);
        self.evict_tombstones();
    }

    fn remove_adapter_index(&mut self, model: &ModelName, key: &ObjectKey) {
        if let Some(adapters) = self.adapters_by_model.get_mut(model) {
            adapters.remove(&AdapterName(key.name.clone()));
            if adapters.is_empty() {
                self.adapters_by_model.remove(model);
            }
        }
    }

    /// Evicts tombstones whose removal is no longer in the change index.
    fn evict_tombstones(&mut self) {
        if self.tombstones.len() <= MAXIMUM_TOMBSTONES {
            return;
        }
        let changes = &self.changes;
        let mut floor = self.version_floor;
        self.tombstones.retain(|key, version| {
            let kept = changes.is_removed(key);
            if !kept {
                floor = floor.max(*version);
            }
            kept
        });
        self.version_floor = floor;
    }

    fn last_version(&self, key: &ObjectKey) -> u64 {
        let live = self.objects.get(key).map(|object| object.version);
        let known = live.or_else(|| self.tombstones.get(key).copied());
        known.unwrap_or(self.version_floor)
    }

    /// Returns the revision of the catalog.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Returns the content of an object.
    pub(crate) fn spec(&self, key: &ObjectKey) -> Option<&ObjectSpec> {
        self.object(key).map(|object| &object.spec)
    }

    /// Returns the objects of a kind, by name.
    pub(crate) fn objects(&self, kind: ObjectKind) -> impl Iterator<Item = &StoredObject> {
        let first = ObjectKey {
            kind,
            name: String::new(),
        };
        let objects = self.objects.range(first..);
        objects
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, object)| object)
    }

    pub(crate) fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        match self.spec(&key(ObjectKind::Model, &name.0))? {
            ObjectSpec::Model(model) => Some(model),
            _ => None,
        }
    }

    pub(crate) fn version(&self, model: &ModelName, label: &VersionLabel) -> Option<&VersionSpec> {
        let name = version_name(model, &label.0);
        match self.spec(&key(ObjectKind::Version, &name))? {
            ObjectSpec::Version(version) => Some(version),
            _ => None,
        }
    }

    pub(crate) fn adapter(&self, name: &AdapterName) -> Option<&AdapterSpec> {
        match self.spec(&key(ObjectKind::Adapter, &name.0))? {
            ObjectSpec::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns the name of any version or adapter of a model.
    pub(crate) fn dependent_of(&self, model: &ModelName) -> Option<String> {
        let prefix = version_name(model, "");
        let first = key(ObjectKind::Version, &prefix);
        let version = self.objects.range(first..).next();
        if let Some((found, _)) = version
            && found.kind == ObjectKind::Version
            && found.name.starts_with(&prefix)
        {
            return Some(found.name.clone());
        }
        let adapters = self.adapters_by_model.get(model)?;
        adapters.first().map(|adapter| adapter.0.clone())
    }

    /// Returns the stored audit records after a revision, oldest first.
    pub(crate) fn audit_since(&self, from: ConfigurationRevision) -> Vec<&AuditRecord> {
        self.audit.since(from)
    }

    /// See [`State::configuration_since`].
    pub(crate) fn since(&self, from: ConfigurationRevision) -> Option<ConfigurationDelta> {
        if from.0 == self.revision {
            return None;
        }
        let changes = self.changes.since(from.0);
        let Some(changes) = changes.filter(|_| from.0 != 0 && from.0 < self.revision) else {
            return Some(self.full());
        };
        let objects = changes.changed.iter();
        Some(ConfigurationDelta {
            from,
            to: ConfigurationRevision(self.revision),
            full: false,
            objects: objects
                .filter_map(|key| self.object(key).cloned())
                .collect(),
            removed: changes.removed,
        })
    }

    /// Returns the whole catalog, in revision order.
    pub(crate) fn full(&self) -> ConfigurationDelta {
        let mut objects: Vec<StoredObject> = self.objects.values().cloned().collect();
        objects.sort_by_key(|object| object.revision);
        ConfigurationDelta {
            from: ConfigurationRevision(0),
            to: ConfigurationRevision(self.revision),
            full: true,
            objects,
            removed: Vec::new(),
        }
    }
}

impl State {
    /// Returns the content of a model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.catalog.model(name)
    }

    /// Returns the content of a version.
    pub fn version(&self, model: &ModelName, label: &VersionLabel) -> Option<&VersionSpec> {
        self.catalog.version(model, label)
    }

    /// Returns the content of an adapter.
    pub fn adapter(&self, name: &AdapterName) -> Option<&AdapterSpec> {
        self.catalog.adapter(name)
    }

    /// Returns the size of the largest adapter in bytes; 0 without adapters.
    pub fn largest_adapter_bytes(&self) -> u64 {
        let objects = self.catalog.objects(ObjectKind::Adapter);
        let bytes = objects.filter_map(|object| match &object.spec {
            ObjectSpec::Adapter(adapter) => Some(adapter.bytes),
            _ => None,
        });
        bytes.max().unwrap_or(0)
    }

    /// Returns all models with their content, by name.
    pub fn models(&self) -> impl Iterator<Item = (ModelName, &ModelSpec)> {
        let objects = self.catalog.objects(ObjectKind::Model);
        objects.filter_map(|object| match &object.spec {
            ObjectSpec::Model(model) => Some((ModelName(object.key.name.clone()), model)),
            _ => None,
        })
    }

    /// Returns the stored audit records after a revision, oldest first.
    pub fn audit_since(&self, from: ConfigurationRevision) -> Vec<&AuditRecord> {
        self.catalog.audit_since(from)
    }

    /// Returns the whole catalog.
    pub fn full_configuration(&self) -> ConfigurationDelta {
        self.catalog.full()
    }
}

fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

fn rejected(invalid: InvalidObject) -> ObjectChangeOutcome {
    ObjectChangeOutcome::Rejected(invalid.to_string())
}
