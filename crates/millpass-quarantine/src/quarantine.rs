//! What is held back, and for how long.

use crate::ends::EndLedger;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Ends that count against an item from which it is held back. Two may be chance: a request that failed beside
/// another is sent again by its caller, and may meet a second end; a third time it is sent apart from others.
pub const ENDS_TO_HOLD: u32 = 3;
/// Ends from which an item is sent apart from others.
const ENDS_TO_SUSPECT: u32 = 2;
/// Time for which an item is held back at first; each further end doubles it. Long enough that what it costs,
/// an instance in each such time, is little beside ordinary failures, and short enough that an item which was
/// held back wrongly, or whose cause was mended, is served again on the same day.
const HOLD_TIME: Duration = Duration::from_secs(600);
/// Longest such time.
const MAXIMUM_HOLD_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Most items held back or suspected; the one with the fewest ends gives way. Bounds memory, and what every
/// gateway is told.
const MAXIMUM_HELD: usize = 256;

/// How long an item with this many ends is held back.
pub fn hold_time(ends: u32) -> Duration {
    let doubled = ends.saturating_sub(ENDS_TO_HOLD).min(16);
    (HOLD_TIME * (1 << doubled)).min(MAXIMUM_HOLD_TIME)
}

/// An item that is held back, or was until its time was over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldItem {
    /// Ends that count against it.
    pub ends: u32,
    /// Until when it is held back.
    pub until: Timestamp,
    /// When its last end was heard of.
    pub since: Timestamp,
    /// Its time is over: it is served again, and one more end holds it back anew.
    pub lapsed: bool,
    /// Nothing but a whole answer or an operator takes it back any more.
    pub settled: bool,
    /// It is kept for good as it stands here.
    pub noted: bool,
}

/// Evidence, and what follows from it.
pub struct Quarantine<K> {
    ledger: EndLedger<K>,
    held: BTreeMap<K, HeldItem>,
    /// Items with as many ends as make them suspect, not held back, and until when they are.
    suspects: BTreeMap<K, Timestamp>,
    /// Grows with each change of what is held back or suspected.
    revision: u64,
}

impl<K> Default for Quarantine<K> {
    fn default() -> Self {
        Quarantine {
            ledger: EndLedger::default(),
            held: BTreeMap::new(),
            suspects: BTreeMap::new(),
            revision: 0,
        }
    }
}

impl<K: Ord + Clone> Quarantine<K> {
    /// Begins with an item that was held back before; its time begins anew.
    pub fn restore(&mut self, now: Timestamp, item: K, ends: u32, lapsed: bool) {
        let held = HeldItem {
            ends,
            until: now + hold_time(ends),
            since: now,
            lapsed,
            settled: true,
            noted: true,
        };
        self.held.insert(item, held);
        self.revision += 1;
    }

    /// Takes the word that a run has ended with these items in flight.
    pub fn ended(&mut self, now: Timestamp, run: &InstanceId, items: &[K]) {
        for item in self.ledger.ended(now, run, items) {
            if let Some(held) = self.held.get_mut(&item) {
                held.ends += 1;
                held.until = now + hold_time(held.ends);
                held.since = now;
                held.lapsed = false;
                held.noted = false;
                self.revision += 1;
            } else {
                self.judge(now, &item);
            }
        }
        self.judge_anew(now);
    }

    /// A run that was taken for ended is there. True if it was.
    pub fn survived(&mut self, now: Timestamp, run: &InstanceId) -> bool {
        let known = self.ledger.ended_at(run).is_some();
        for item in self.ledger.survived(run) {
            self.judge(now, &item);
        }
        self.judge_anew(now);
        known
    }

    /// When a run was first said to have ended.
    pub fn ended_at(&self, run: &InstanceId) -> Option<Timestamp> {
        self.ledger.ended_at(run)
    }

    /// Lets an item go, whatever was held against it: it was served whole, or an operator says so. True if it was
    /// held back or suspected.
    pub fn release(&mut self, item: &K) -> bool {
        self.ledger.forget(item);
        let held = self.held.remove(item).is_some();
        let changed = self.suspects.remove(item).is_some() || held;
        self.revision += u64::from(changed);
        changed
    }

    /// How much longer an item is held back.
    pub fn held_for(&self, now: Timestamp, item: &K) -> Option<Duration> {
        let held = self.held.get(item)?;
        (!held.lapsed && now < held.until).then(|| held.until.since(now))
    }

    /// Whether an item is to be sent apart from others.
    pub fn is_suspect(&self, item: &K) -> bool {
        self.suspects.contains_key(item) || self.held.contains_key(item)
    }

    /// Whether anything is known of an item that its whole answer would take away.
    pub fn knows(&self, item: &K) -> bool {
        self.is_suspect(item) || self.ledger.names(item)
    }

    /// Whether nothing is known of any item.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty() && self.held.is_empty() && self.suspects.is_empty()
    }

    /// Items held back.
    pub fn held(&self) -> impl Iterator<Item = (&K, &HeldItem)> {
        self.held.iter()
    }

    /// Items that are suspected and not held back.
    pub fn suspects(&self) -> impl Iterator<Item = &K> {
        let lapsed = self.held.iter().filter(|(_, held)| held.lapsed);
        self.suspects.keys().chain(lapsed.map(|(item, _)| item))
    }

    /// Grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Items whose time is over from now on; suspicions end with time, too.
    pub fn lapse(&mut self, now: Timestamp) -> Vec<(K, HeldItem)> {
        let before = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        self.revision += u64::from(self.suspects.len() < before);
        let mut lapsed = Vec::new();
        for (item, held) in &mut self.held {
            if !held.lapsed && now >= held.until {
                held.lapsed = true;
                self.revision += 1;
                lapsed.push((item.clone(), *held));
            }
        }
        lapsed
    }

    /// Items to be kept for good: those that nothing took back for `certain`, and those of them with a further end
    /// since.
    pub fn settle(&mut self, now: Timestamp, certain: Duration) -> Vec<(K, HeldItem)> {
        let mut to_note = Vec::new();
        for (item, held) in &mut self.held {
            held.settled |= now.since(held.since) >= certain;
            if held.settled && !held.noted {
                held.noted = true;
                to_note.push((item.clone(), *held));
            }
        }
        to_note
    }

    /// What is held back and not settled is judged again: other ends may explain those that counted.
    fn judge_anew(&mut self, now: Timestamp) {
        let open = self.held.iter().filter(|(_, held)| !held.settled);
        let open: Vec<K> = open.map(|(item, _)| item.clone()).collect();
        for item in open {
            self.judge(now, &item);
        }
    }

    fn judge(&mut self, now: Timestamp, item: &K) {
        if self.held.get(item).is_some_and(|held| held.settled) {
            return;
        }
        let explains = |items: &BTreeSet<K>| {
            let settled = self.held.iter().filter(|(_, held)| held.settled);
            let mut others = settled.filter(|(other, _)| *other != item);
            others.any(|(other, _)| items.contains(other))
        };
        let most = ENDS_TO_HOLD as usize;
        let ends = self.ledger.count(now, item, most, explains);
        let ends = u32::try_from(ends).unwrap_or(u32::MAX);
        if ends >= ENDS_TO_HOLD {
            return self.hold(now, item, ends);
        }
        if self.held.remove(item).is_some() {
            self.revision += 1;
        }
        let was_suspect = self.suspects.contains_key(item);
        if ends >= ENDS_TO_SUSPECT {
            self.make_room();
            self.suspects.insert(item.clone(), now + HOLD_TIME);
        } else {
            self.suspects.remove(item);
        }
        self.revision += u64::from(was_suspect != (ends >= ENDS_TO_SUSPECT));
    }

    fn hold(&mut self, now: Timestamp, item: &K, ends: u32) {
        let same = self.held.get(item).is_some_and(|held| held.ends == ends);
        if same {
            return;
        }
        self.suspects.remove(item);
        self.make_room();
        let held = HeldItem {
            ends,
            until: now + hold_time(ends),
            since: now,
            lapsed: false,
            settled: false,
            noted: false,
        };
        self.held.insert(item.clone(), held);
        self.revision += 1;
    }

    /// Suspects give way first, then what has the fewest ends.
    fn make_room(&mut self) {
        if self.held.len() + self.suspects.len() < MAXIMUM_HELD {
            return;
        }
        if self.suspects.pop_first().is_some() {
            return;
        }
        let least = self.held.iter().min_by_key(|(_, held)| held.ends);
        if let Some(item) = least.map(|(item, _)| item.clone()) {
            self.held.remove(&item);
        }
    }
}
