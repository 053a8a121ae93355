//! Which runs of instances ended, and what was in flight there.
//!
//! An end says nothing of its cause. It counts against an item that was in flight, unless something else explains
//! it: several other runs that ended at about the same time without the item (a rack, a kill, a cut), or an item
//! that is known to end instances and was in flight there too.

use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most ends remembered; the oldest is forgotten first. With the items of each, a bound of memory: 3 MB where
/// items are fingerprints.
pub const MAXIMUM_CRASHES: usize = 256;
/// Most items kept of one end: as many as an instance works on and queues.
pub const MAXIMUM_ITEMS: usize = 256;
/// Time for which an end counts. A caller that comes again does so within its deadline, or in the next minutes.
const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Ends that lie closer together than this have a common cause, if they have several: words of one
/// event arrive from gateways within round trips and a turn of their threads.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(250);
/// Other ends at about the same time, without the item, that show another cause. Two items that end instances
/// independently of each other meet by chance; three ends at once hardly do.
const COINCIDENCE_THRESHOLD: usize = 2;

struct Crash<K> {
    instance: InstanceId,
    at: Timestamp,
    items: BTreeSet<K>,
}

/// Ends of runs, in the order in which they were first heard of.
pub struct CrashLedger<K> {
    crashes: VecDeque<Crash<K>>,
    /// Ends that each item was in flight at. Most are at one only, and need no further look.
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
    /// Takes the word that a run has ended with these items in flight; words of one end add up. Gives the items
    /// that were not known of this end.
    pub fn record_crash(&mut self, now: Timestamp, instance: &InstanceId, items: &[K]) -> Vec<K> {
        let existing = self
            .crashes
            .iter()
            .position(|crash| crash.instance == *instance);
        let position = existing.unwrap_or_else(|| self.add(now, instance));
        let recorded = &mut self.crashes[position].items;
        let mut new = Vec::new();
        for item in items {
            if recorded.len() < MAXIMUM_ITEMS && recorded.insert(item.clone()) {
                *self.occurrences.entry(item.clone()).or_default() += 1;
                new.push(item.clone());
            }
        }
        new
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

    /// The run is there after all. Gives what was held against items at its end.
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

    /// When a run was first said to have ended.
    pub fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        let crash = self
            .crashes
            .iter()
            .find(|crash| crash.instance == *instance);
        crash.map(|crash| crash.at)
    }

    /// Takes an item from all ends: none was its work.
    pub fn remove(&mut self, item: &K) {
        if self.occurrences.remove(item).is_none() {
            return;
        }
        for crash in &mut self.crashes {
            crash.items.remove(item);
        }
    }

    /// Whether no end is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether an item was in flight at any end.
    pub fn contains(&self, item: &K) -> bool {
        self.occurrences.contains_key(item)
    }

    /// Ends that count against an item, `most` at most. `explains` says of an end's items whether one of them, other
    /// than the item, is known to end instances.
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

    /// Whether several other runs ended at about the same time without the item. Ends are in order of time, so
    /// those near in time are near in place.
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
