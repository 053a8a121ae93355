//! What changed, in place of the whole: between two versions of a deployment document, and between the instance
//! records of two processes.

use crate::{DeploymentDocument, DocumentChange, InstanceRecord, RouteKey, RouteSpec, codec};
use std::collections::BTreeMap;

impl RouteSpec {
    /// What tells it from the other routes of its document.
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }
}

impl DocumentChange {
    /// What turns `base` into `next`; none if two routes, services or tenants of one of them cannot be told apart,
    /// which no valid document has.
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

    /// The later version; none where the document is not the very version that was compared. What stays keeps its
    /// place and what is new stands behind it, so the order may be another one than in the later document. It has no
    /// meaning: among routes of one host the longest prefix wins and no two are alike, and services and tenants are
    /// looked up by name.
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

/// Items that are new or changed, and the keys of those that are gone; none where a key stands twice.
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
    /// Digest of all but the sequence, which grows with each announcement and says nothing else. Two processes, also
    /// of different runs, give equal records equal digests.
    pub fn digest(&self) -> u64 {
        let plain = InstanceRecord {
            sequence: 0,
            ..self.clone()
        };
        // Encoding into memory fails for no value of this type.
        let encoded = codec::encode(&plain).unwrap_or_default();
        let hash = blake3::hash(&encoded);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}
