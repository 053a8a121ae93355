//! What is held back, and for how long.

use crate::crashes::CrashLedger;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Ends that count against an item from which it is held back. Two may be chance: a request that failed beside
/// another is sent again by its caller, and may meet a second end; a third time it is sent apart from others.
pub const QUARANTINE_THRESHOLD: u32 = 3;
/// Ends from which an item is sent apart from others.
const SUSPICION_THRESHOLD: u32 = 2;
/// Time for which an item is held back at first; each further end doubles it. Long enough that what it costs,
/// an instance in each such time, is little beside ordinary failures, and short enough that an item which was
/// held back wrongly, or whose cause was mended, is served again on the same day.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Longest such time.
const MAXIMUM_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Most items held back or suspected; the one with the fewest ends gives way. Bounds memory, and what every
/// gateway is told.
const MAXIMUM_TRACKED: usize = 256;

/// How long an item with this many ends is held back.
pub fn quarantine_duration(crashes: u32) -> Duration {
    let doubled = crashes.saturating_sub(QUARANTINE_THRESHOLD).min(16);
    (QUARANTINE_TIME * (1 << doubled)).min(MAXIMUM_QUARANTINE_TIME)
}

/// An item that is held back, or was until its time was over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedItem {
    /// Ends that count against it.
    pub crashes: u32,
    /// Until when it is held back.
    pub until: Timestamp,
    /// When its last end was heard of.
    pub last_crash_at: Timestamp,
    /// Its time is over: it is served again, and one more end holds it back anew.
    pub expired: bool,
    /// Nothing but a whole answer or an operator takes it back any more.
    pub confirmed: bool,
    /// It is kept for good as it stands here.
    pub recorded: bool,
}

/// Evidence, and what follows from it.
pub struct Quarantine<K> {
    ledger: CrashLedger<K>,
    quarantined: BTreeMap<K, QuarantinedItem>,
    /// Items with as many ends as make them suspect, not held back, and until when they are.
    suspects: BTreeMap<K, Timestamp>,
    /// Grows with each change of what is held back or suspected.
    revision: u64,
}

impl<K> Default for Quarantine<K> {
    fn default() -> Self {
        Quarantine {
            ledger: CrashLedger::default(),
            quarantined: BTreeMap::new(),
            suspects: BTreeMap::new(),
            revision: 0,
        }
    }
}

impl<K: Ord + Clone> Quarantine<K> {
    /// Begins with an item that was held back before; its time begins anew.
    pub fn restore(&mut self, now: Timestamp, item: K, crashes: u32, expired: bool) {
        let held = QuarantinedItem {
            crashes,
            until: now + quarantine_duration(crashes),
            last_crash_at: now,
            expired,
            confirmed: true,
            recorded: true,
        };
        self.quarantined.insert(item, held);
        self.revision += 1;
    }

    /// Takes the word that a run has ended with these items in flight.
    pub fn record_crash(&mut self, now: Timestamp, instance: &InstanceId, items: &[K]) {
        for item in self.ledger.record_crash(now, instance, items) {
            if let Some(held) = self.quarantined.get_mut(&item) {
                held.crashes += 1;
                held.until = now + quarantine_duration(held.crashes);
                held.last_crash_at = now;
                held.expired = false;
                held.recorded = false;
                self.revision += 1;
            } else {
                self.evaluate(now, &item);
            }
        }
        self.reevaluate_unconfirmed(now);
    }

    /// A run that was taken for ended is there. True if it was.
    pub fn retract_crash(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let was_recorded = self.ledger.crashed_at(instance).is_some();
        for item in self.ledger.retract_crash(instance) {
            self.evaluate(now, &item);
        }
        self.reevaluate_unconfirmed(now);
        was_recorded
    }

    /// When a run was first said to have ended.
    pub fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        self.ledger.crashed_at(instance)
    }

    /// Lets an item go, whatever was held against it: it was served whole, or an operator says so. True if it was
    /// held back or suspected.
    pub fn release(&mut self, item: &K) -> bool {
        self.ledger.remove(item);
        let held = self.quarantined.remove(item).is_some();
        let changed = self.suspects.remove(item).is_some() || held;
        self.revision += u64::from(changed);
        changed
    }

    /// How much longer an item is held back.
    pub fn quarantined_for(&self, now: Timestamp, item: &K) -> Option<Duration> {
        let held = self.quarantined.get(item)?;
        (!held.expired && now < held.until).then(|| held.until.since(now))
    }

    /// Whether an item is to be sent apart from others.
    pub fn is_suspect(&self, item: &K) -> bool {
        self.suspects.contains_key(item) || self.quarantined.contains_key(item)
    }

    /// Whether anything is known of an item that its whole answer would take away.
    pub fn has_evidence(&self, item: &K) -> bool {
        self.is_suspect(item) || self.ledger.contains(item)
    }

    /// Whether nothing is known of any item.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty() && self.quarantined.is_empty() && self.suspects.is_empty()
    }

    /// Items held back.
    pub fn quarantined(&self) -> impl Iterator<Item = (&K, &QuarantinedItem)> {
        self.quarantined.iter()
    }

    /// Items that are suspected and not held back.
    pub fn suspects(&self) -> impl Iterator<Item = &K> {
        let expired = self.quarantined.iter().filter(|(_, held)| held.expired);
        self.suspects.keys().chain(expired.map(|(item, _)| item))
    }

    /// Grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Items whose time is over from now on; suspicions end with time, too.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(K, QuarantinedItem)> {
        let before = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        self.revision += u64::from(self.suspects.len() < before);
        let mut expired = Vec::new();
        for (item, held) in &mut self.quarantined {
            if !held.expired && now >= held.until {
                held.expired = true;
                self.revision += 1;
                expired.push((item.clone(), *held));
            }
        }
        expired
    }

    /// Items to be kept for good: those that nothing took back for `certain`, and those of them with a further end
    /// since.
    pub fn confirm(
        &mut self,
        now: Timestamp,
        confirm_after: Duration,
    ) -> Vec<(K, QuarantinedItem)> {
        let mut to_record = Vec::new();
        for (item, held) in &mut self.quarantined {
            held.confirmed |= now.since(held.last_crash_at) >= confirm_after;
            if held.confirmed && !held.recorded {
                held.recorded = true;
                to_record.push((item.clone(), *held));
            }
        }
        to_record
    }

    /// What is held back and not settled is judged again: other ends may explain those that counted.
    fn reevaluate_unconfirmed(&mut self, now: Timestamp) {
        let unconfirmed = self.quarantined.iter().filter(|(_, held)| !held.confirmed);
        let unconfirmed: Vec<K> = unconfirmed.map(|(item, _)| item.clone()).collect();
        for item in unconfirmed {
            self.evaluate(now, &item);
        }
    }

    fn evaluate(&mut self, now: Timestamp, item: &K) {
        if self
            .quarantined
            .get(item)
            .is_some_and(|held| held.confirmed)
        {
            return;
        }
        let explains = |items: &BTreeSet<K>| {
            let confirmed = self.quarantined.iter().filter(|(_, held)| held.confirmed);
            let mut others = confirmed.filter(|(other, _)| *other != item);
            others.any(|(other, _)| items.contains(other))
        };
        let limit = QUARANTINE_THRESHOLD as usize;
        let crashes = self.ledger.attributed_crashes(now, item, limit, explains);
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        if crashes >= QUARANTINE_THRESHOLD {
            return self.quarantine(now, item, crashes);
        }
        if self.quarantined.remove(item).is_some() {
            self.revision += 1;
        }
        let was_suspect = self.suspects.contains_key(item);
        if crashes >= SUSPICION_THRESHOLD {
            self.evict_if_full();
            self.suspects.insert(item.clone(), now + QUARANTINE_TIME);
        } else {
            self.suspects.remove(item);
        }
        self.revision += u64::from(was_suspect != (crashes >= SUSPICION_THRESHOLD));
    }

    fn quarantine(&mut self, now: Timestamp, item: &K, crashes: u32) {
        let same = self
            .quarantined
            .get(item)
            .is_some_and(|held| held.crashes == crashes);
        if same {
            return;
        }
        self.suspects.remove(item);
        self.evict_if_full();
        let held = QuarantinedItem {
            crashes,
            until: now + quarantine_duration(crashes),
            last_crash_at: now,
            expired: false,
            confirmed: false,
            recorded: false,
        };
        self.quarantined.insert(item.clone(), held);
        self.revision += 1;
    }

    /// Suspects give way first, then what has the fewest ends.
    fn evict_if_full(&mut self) {
        if self.quarantined.len() + self.suspects.len() < MAXIMUM_TRACKED {
            return;
        }
        if self.suspects.pop_first().is_some() {
            return;
        }
        let least = self.quarantined.iter().min_by_key(|(_, held)| held.crashes);
        if let Some(item) = least.map(|(item, _)| item.clone()) {
            self.quarantined.remove(&item);
        }
    }
}
