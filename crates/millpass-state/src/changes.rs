//! Index of changed keys by revision, from which deltas since an earlier revision are built.
//!
//! The number of stored removals is bounded; older revisions need a full copy.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Revisions of live keys and recent removals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeIndex<K: Ord> {
    /// Revision of the last change of each live key.
    live: BTreeMap<K, u64>,
    /// The same, ordered by revision.
    live_order: BTreeSet<(u64, K)>,
    /// Revision of each stored removal.
    removed: BTreeMap<K, u64>,
    /// The same, ordered by revision.
    removed_order: BTreeSet<(u64, K)>,
    /// Highest revision among evicted removals.
    evicted_through: u64,
}

/// Keys changed and removed after some revision, each in revision order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<K> {
    /// Keys created or changed.
    pub changed: Vec<K>,
    /// Keys removed.
    pub removed: Vec<K>,
}

impl<K: Ord> Default for ChangeIndex<K> {
    fn default() -> Self {
        ChangeIndex {
            live: BTreeMap::new(),
            live_order: BTreeSet::new(),
            removed: BTreeMap::new(),
            removed_order: BTreeSet::new(),
            evicted_through: 0,
        }
    }
}

impl<K: Ord + Clone> ChangeIndex<K> {
    /// Records that a key was created or changed at a revision.
    pub fn touch(&mut self, key: &K, revision: u64) {
        self.clear_key(key);
        self.live.insert(key.clone(), revision);
        self.live_order.insert((revision, key.clone()));
    }

    /// Records that a key was removed at a revision. At most `bound` removals are stored.
    pub fn remove(&mut self, key: &K, revision: u64, bound: usize) {
        self.clear_key(key);
        self.removed.insert(key.clone(), revision);
        self.removed_order.insert((revision, key.clone()));
        while self.removed.len() > bound {
            self.evict_oldest_removal();
        }
    }

    /// Returns whether the key is live.
    pub fn contains(&self, key: &K) -> bool {
        self.live.contains_key(key)
    }

    /// Returns the live keys in ascending order.
    pub fn live_keys(&self) -> impl Iterator<Item = &K> {
        self.live.keys()
    }

    /// Returns whether the removal of the key is stored.
    pub fn is_removed(&self, key: &K) -> bool {
        self.removed.contains_key(key)
    }

    /// Returns the changes after a revision, or `None` if removals since then were evicted.
    pub fn since(&self, from: u64) -> Option<Changes<K>> {
        if from < self.evicted_through {
            return None;
        }
        Some(Changes {
            changed: keys_after(&self.live_order, from),
            removed: keys_after(&self.removed_order, from),
        })
    }

    fn clear_key(&mut self, key: &K) {
        if let Some(revision) = self.live.remove(key) {
            self.live_order.remove(&(revision, key.clone()));
        }
        if let Some(revision) = self.removed.remove(key) {
            self.removed_order.remove(&(revision, key.clone()));
        }
    }

    fn evict_oldest_removal(&mut self) {
        if let Some((revision, key)) = self.removed_order.pop_first() {
            self.removed.remove(&key);
            self.evicted_through = self.evicted_through.max(revision);
        }
    }
}

fn keys_after<K: Ord + Clone>(order: &BTreeSet<(u64, K)>, from: u64) -> Vec<K> {
    order
        .iter()
        .rev()
        .take_while(|(revision, _)| *revision > from)
        .map(|(_, key)| key.clone())
        .collect::<Vec<K>>()
        .into_iter()
        .rev()
        .collect()
}
