//! Crashes of instances, and the items that were in flight at each. A crash is attributed to such
//! an item unless several other instances crashed at about the same time without it (power loss, a
//! kill, a network partition), or an item that is known to crash instances was in flight there too.

use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of recorded crashes; the oldest is evicted first.
pub const MAXIMUM_CRASHES: usize = 256;
/// Maximum number of items recorded per crash: as many as an instance runs and queues.
pub const MAXIMUM_ITEMS: usize = 256;
/// Time for which a crash counts. Callers retry within their deadline or the next few minutes.
const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Crashes within this window of each other are assumed to share a cause; it covers network delay
/// and scheduling delay at the gateways that report them.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(250);
/// Coincident crashes without the item that indicate another cause.
const COINCIDENCE_THRESHOLD: usize = 2;

struct Crash<K> {
    instance: InstanceId,
    at: Timestamp,
    items: BTreeSet<K>,
}

/// Crashes of instances, in the order in which they were first reported.
pub struct CrashLedger<K> {
    crashes: VecDeque<Crash<K>>,
    /// Number of recorded crashes at which each item was in flight.
    occurrences: BTreeMap<K, u32>,
}

impl<K> Default for CrashLedger<K> {
    fn default() -> Self {
        CrashLedger {
            crashes: VecDeque::new(),
            occurrences: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> CrashLedger<K> {
    /// Records that an instance crashed with these items in flight; reports of the same crash are
    /// merged. Returns the items that were not yet recorded for this crash.
    pub fn record_crash(&mut self, now: Timestamp, instance: &InstanceId, items: &[K]) -> Vec<K> {
        let existing = self
            .crashes
            .iter()
            .position(|crash| crash.instance == *instance);
        let position = existing.unwrap_or_else(|| self.add(now, instance));
        let recorded = &mut self.crashes[position].items;
        let mut added = Vec::new();
        for item in items {
            if recorded.len() < MAXIMUM_ITEMS && recorded.insert(item.clone()) {
                *self.occurrences.entry(item.clone()).or_default() += 1;
                added.push(item.clone());
            }
        }
        added
    }

    fn add(&mut self, now: Timestamp, instance: &InstanceId) -> usize {
        if self.crashes.len() >= MAXIMUM_CRASHES
            && let Some(oldest) = self.crashes.pop_front()
        {
            self.release_items(&oldest.items);
        }
        self.crashes.push_back(Crash {
            instance: instance.clone(),
            at: now,
            items: BTreeSet::new(),
        });
        self.crashes.len() - 1
    }

    fn release_items(&mut self, items: &BTreeSet<K>) {
        for item in items {
            let remaining = self.occurrences.get_mut(item).map(|count| {
                *count -= 1;
                *count
            });
            if remaining == Some(0) {
                self.occurrences.remove(item);
            }
        }
    }

    /// Removes the crash of an instance that turned out to be running. Returns its items.
    pub fn retract_crash(&mut self, instance: &InstanceId) -> Vec<K> {
        let Some(position) = self
            .crashes
            .iter()
            .position(|crash| crash.instance == *instance)
        else {
            return Vec::new();
        };
        let Some(crash) = self.crashes.remove(position) else {
            return Vec::new();
        };
        self.release_items(&crash.items);
        crash.items.into_iter().collect()
    }

    /// Returns when an instance was first reported as crashed.
    pub fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        let crash = self
            .crashes
            .iter()
            .find(|crash| crash.instance == *instance);
        crash.map(|crash| crash.at)
    }

    /// Removes an item from all crashes.
    pub fn remove(&mut self, item: &K) {
        if self.occurrences.remove(item).is_none() {
            return;
        }
        for crash in &mut self.crashes {
            crash.items.remove(item);
        }
    }

    /// Returns true if no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns true if an item was in flight at any recorded crash.
    pub fn contains(&self, item: &K) -> bool {
        self.occurrences.contains_key(item)
    }

    /// Returns the number of crashes attributed to an item, up to `limit`. `explains` returns true
    /// if one of a crash's items, other than `item`, is known to crash instances.
    pub fn attributed_crashes(
        &self,
        now: Timestamp,
        item: &K,
        limit: usize,
        explains: impl Fn(&BTreeSet<K>) -> bool,
    ) -> usize {
        let occurrences = self.occurrences.get(item).copied().unwrap_or_default();
        if occurrences == 0 {
            return 0;
        }
        let is_attributed = |position: &usize| {
            let crash = &self.crashes[*position];
            crash.items.contains(item)
                && now.since(crash.at) < CRASH_LIFETIME
                && !self.is_coincident(*position, item)
                && !explains(&crash.items)
        };
        (0..self.crashes.len())
            .filter(is_attributed)
            .take(limit)
            .count()
    }

    /// Returns true if several other instances crashed at about the same time without the item.
    /// Crashes are sorted by time, so only neighbours are checked.
    fn is_coincident(&self, position: usize, item: &K) -> bool {
        let at = self.crashes[position].at;
        let near =
            |other: &&Crash<K>| other.at.since(at).max(at.since(other.at)) <= COINCIDENCE_WINDOW;
        let before = self.crashes.range(..position).rev().take_while(near);
        let after = self.crashes.range(position + 1..).take_while(near);
        let without = before
            .chain(after)
            .filter(|crash| !crash.items.contains(item));
        without.take(COINCIDENCE_THRESHOLD).count() >= COINCIDENCE_THRESHOLD
    }
}
