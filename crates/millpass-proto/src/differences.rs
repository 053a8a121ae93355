//! Incremental updates: differences between two versions of a deployment document, and digests to compare the
//! instance records of two processes.

use crate::{
    DeploymentDocument, DocumentChange, InstanceContents, InstanceRecord, ModelName, RouteKey,
    RouteSpec, codec,
};
use std::collections::BTreeMap;

impl RouteSpec {
    /// Key that is unique among the routes of a document.
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }
}

impl DocumentChange {
    /// Computes the change from `base` to `next`. Returns `None` if either document contains duplicate route, service
    /// or tenant keys, which valid documents do not.
    pub fn between(base: &DeploymentDocument, next: &DeploymentDocument) -> Option<Self> {
        let (routes, removed_routes) = compare(&base.routes, &next.routes, RouteSpec::key)?;
        let (services, removed_services) = compare(&base.services, &next.services, |service| {
            service.name.clone()
        })?;
        let (tenants, removed_tenants) =
            compare(&base.tenants, &next.tenants, |tenant| tenant.name.clone())?;
        Some(DocumentChange {
            base: base.version,
            version: next.version,
            routes,
            removed_routes,
            services,
            removed_services,
            limits: next.limits.clone(),
            tenants,
            removed_tenants,
        })
    }

    /// Applies the change to `base`. Returns `None` if `base` is not the version that the change was computed from.
    ///
    /// Retained items keep their position and new ones are appended, so the order may differ from the original
    /// document. The order has no effect: routes are selected by the longest prefix, which is unique per host, and
    /// services and tenants are looked up by name.
    pub fn apply(&self, base: &DeploymentDocument) -> Option<DeploymentDocument> {
        if base.version != self.base {
            return None;
        }
        Some(DeploymentDocument {
            version: self.version,
            routes: combine(
                &base.routes,
                &self.routes,
                &self.removed_routes,
                RouteSpec::key,
            ),
            services: combine(
                &base.services,
                &self.services,
                &self.removed_services,
                |service| service.name.clone(),
            ),
            limits: self.limits.clone(),
            tenants: combine(
                &base.tenants,
                &self.tenants,
                &self.removed_tenants,
                |tenant| tenant.name.clone(),
            ),
        })
    }
}

/// Returns new or changed items and the keys of removed items, or `None` if a key occurs twice.
fn compare<T: Clone + PartialEq, K: Ord>(
    base: &[T],
    next: &[T],
    key: impl Fn(&T) -> K,
) -> Option<(Vec<T>, Vec<K>)> {
    let before = by_key(base, &key)?;
    let after = by_key(next, &key)?;
    let differs = |item: &&T| before.get(&key(item)).is_none_or(|old| *old != *item);
    let changed = next.iter().filter(differs).cloned().collect();
    let mut removed: Vec<K> = base.iter().map(&key).collect();
    removed.retain(|key| !after.contains_key(key));
    Some((changed, removed))
}

fn by_key<T, K: Ord>(items: &[T], key: impl Fn(&T) -> K) -> Option<BTreeMap<K, &T>> {
    let map: BTreeMap<K, &T> = items.iter().map(|item| (key(item), item)).collect();
    (map.len() == items.len()).then_some(map)
}

fn combine<T: Clone, K: Ord>(
    base: &[T],
    changed: &[T],
    removed: &[K],
    key: impl Fn(&T) -> K,
) -> Vec<T> {
    let mut left: BTreeMap<K, &T> = changed.iter().map(|item| (key(item), item)).collect();
    let mut items: Vec<T> = Vec::with_capacity(base.len() + changed.len());
    for item in base {
        let key = key(item);
        if !removed.contains(&key) {
            items.push(left.remove(&key).unwrap_or(item).clone());
        }
    }
    let new = changed.iter().filter(|item| left.contains_key(&key(item)));
    items.extend(new.cloned());
    items
}

impl InstanceRecord {
    /// Digest of the record without its sequence, which changes with every announcement. Equal records have equal
    /// digests across processes and restarts. The order of copies is irrelevant: it differs where differences were
    /// applied.
    pub fn digest(&self) -> u64 {
        let mut plain = InstanceRecord {
            sequence: 0,
            ..self.clone()
        };
        plain.in_memory.sort_unstable();
        plain.on_disk.sort_unstable();
        // Encoding into memory cannot fail for this type.
        let encoded = codec::encode(&plain).unwrap_or_default();
        let hash = blake3::hash(&encoded);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

impl InstanceContents {
    /// Returns a record with these contents.
    pub fn apply(self, record: &InstanceRecord) -> InstanceRecord {
        let mut changed = record.clone();
        changed.models = self.models;
        let change = |copies: &mut Vec<ModelName>, added: Vec<ModelName>, removed: &[ModelName]| {
            copies.retain(|model| !removed.contains(model) && !added.contains(model));
            copies.extend(added);
        };
        change(
            &mut changed.in_memory,
            self.added_in_memory,
            &self.removed_in_memory,
        );
        change(
            &mut changed.on_disk,
            self.added_on_disk,
            &self.removed_on_disk,
        );
        changed
    }
}
