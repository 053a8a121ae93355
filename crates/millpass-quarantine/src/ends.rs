//! Which runs of instances ended, and what was in flight there.
//!
//! An end says nothing of its cause. It counts against an item that was in flight, unless something else explains
//! it: several other runs that ended at about the same time without the item (a rack, a kill, a cut), or an item
//! that is known to end instances and was in flight there too.

use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most ends remembered; the oldest is forgotten first. With the items of each, a bound of memory: 3 MB where
/// items are fingerprints.
pub const MAXIMUM_ENDS: usize = 256;
/// Most items kept of one end: as many as an instance works on and queues.
pub const MAXIMUM_ITEMS: usize = 256;
/// Time for which an end counts. A caller that comes again does so within its deadline, or in the next minutes.
const END_LIFETIME: Duration = Duration::from_secs(3_600);
/// Ends that lie closer together than this have a common cause, if they have several: words of one
/// event arrive from gateways within round trips and a turn of their threads.
const COMPANY_TIME: Duration = Duration::from_millis(250);
/// Other ends at about the same time, without the item, that show another cause. Two items that end instances
/// independently of each other meet by chance; three ends at once hardly do.
const COMPANY_ENDS: usize = 2;

struct RunEnd<K> {
    run: InstanceId,
    at: Timestamp,
    items: BTreeSet<K>,
}

/// Ends of runs, in the order in which they were first heard of.
pub struct EndLedger<K> {
    ends: VecDeque<RunEnd<K>>,
    /// Ends that each item was in flight at. Most are at one only, and need no further look.
    occurrences: BTreeMap<K, u32>,
}

impl<K> Default for EndLedger<K> {
    fn default() -> Self {
        EndLedger {
            ends: VecDeque::new(),
            occurrences: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> EndLedger<K> {
    /// Takes the word that a run has ended with these items in flight; words of one end add up. Gives the items
    /// that were not known of this end.
    pub fn ended(&mut self, now: Timestamp, run: &InstanceId, items: &[K]) -> Vec<K> {
        let known = self.ends.iter().position(|end| end.run == *run);
        let place = known.unwrap_or_else(|| self.add(now, run));
        let held = &mut self.ends[place].items;
        let mut new = Vec::new();
        for item in items {
            if held.len() < MAXIMUM_ITEMS && held.insert(item.clone()) {
                *self.occurrences.entry(item.clone()).or_default() += 1;
                new.push(item.clone());
            }
        }
        new
    }

    fn add(&mut self, now: Timestamp, run: &InstanceId) -> usize {
        if self.ends.len() >= MAXIMUM_ENDS
            && let Some(oldest) = self.ends.pop_front()
        {
            self.forget_items(&oldest.items);
        }
        self.ends.push_back(RunEnd {
            run: run.clone(),
            at: now,
            items: BTreeSet::new(),
        });
        self.ends.len() - 1
    }

    fn forget_items(&mut self, items: &BTreeSet<K>) {
        for item in items {
            let left = self.occurrences.get_mut(item).map(|count| {
                *count -= 1;
                *count
            });
            if left == Some(0) {
                self.occurrences.remove(item);
            }
        }
    }

    /// The run is there after all. Gives what was held against items at its end.
    pub fn survived(&mut self, run: &InstanceId) -> Vec<K> {
        let Some(place) = self.ends.iter().position(|end| end.run == *run) else {
            return Vec::new();
        };
        let Some(end) = self.ends.remove(place) else {
            return Vec::new();
        };
        self.forget_items(&end.items);
        end.items.into_iter().collect()
    }

    /// When a run was first said to have ended.
    pub fn ended_at(&self, run: &InstanceId) -> Option<Timestamp> {
        let end = self.ends.iter().find(|end| end.run == *run);
        end.map(|end| end.at)
    }

    /// Takes an item from all ends: none was its work.
    pub fn forget(&mut self, item: &K) {
        if self.occurrences.remove(item).is_none() {
            return;
        }
        for end in &mut self.ends {
            end.items.remove(item);
        }
    }

    /// Whether no end is remembered.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether an item was in flight at any end.
    pub fn names(&self, item: &K) -> bool {
        self.occurrences.contains_key(item)
    }

    /// Ends that count against an item, `most` at most. `explains` says of an end's items whether one of them, other
    /// than the item, is known to end instances.
    pub fn count(
        &self,
        now: Timestamp,
        item: &K,
        most: usize,
        explains: impl Fn(&BTreeSet<K>) -> bool,
    ) -> usize {
        let occurrences = self.occurrences.get(item).copied().unwrap_or_default();
        if occurrences == 0 {
            return 0;
        }
        let counted = |place: &usize| {
            let end = &self.ends[*place];
            end.items.contains(item)
                && now.since(end.at) < END_LIFETIME
                && !self.is_in_company(*place, item)
                && !explains(&end.items)
        };
        (0..self.ends.len()).filter(counted).take(most).count()
    }

    /// Whether several other runs ended at about the same time without the item. Ends are in order of time, so
    /// those near in time are near in place.
    fn is_in_company(&self, place: usize, item: &K) -> bool {
        let at = self.ends[place].at;
        let near = |other: &&RunEnd<K>| other.at.since(at).max(at.since(other.at)) <= COMPANY_TIME;
        let before = self.ends.range(..place).rev().take_while(near);
        let behind = self.ends.range(place + 1..).take_while(near);
        let without = before.chain(behind).filter(|end| !end.items.contains(item));
        without.take(COMPANY_ENDS).count() >= COMPANY_ENDS
    }
}
