//! Quarantined and suspected items.

use crate::crashes::CrashLedger;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Attributed crashes from which an item is quarantined. Two can be coincidence: a request that
/// failed next to the real cause is retried and can meet a second crash. A suspect is then sent in
/// isolation.
pub const QUARANTINE_THRESHOLD: u32 = 3;
/// Attributed crashes from which an item is suspected and sent in isolation.
const SUSPICION_THRESHOLD: u32 = 2;
/// Initial quarantine; doubled with each further crash. Bounds the rate of crashes by one item,
/// while an item that was quarantined by mistake is served again on the same day.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
const MAXIMUM_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of quarantined and suspected items; bounds memory and the updates sent to
/// gateways.
const MAXIMUM_TRACKED: usize = 256;

/// Returns how long an item with this many attributed crashes is quarantined.
pub fn quarantine_duration(crashes: u32) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_THRESHOLD).min(16);
    (QUARANTINE_TIME * (1 << doublings)).min(MAXIMUM_QUARANTINE_TIME)
}

/// An item that is quarantined, or was until its quarantine expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedItem {
    /// Crashes attributed to the item.
    pub crashes: u32,
    /// End of the quarantine.
    pub until: Timestamp,
    /// When the last crash was reported.
    pub last_crash_at: Timestamp,
    /// The quarantine has ended: the item is served again, and one more crash renews the
    /// quarantine.
    pub expired: bool,
    /// Only a completed response or an operator releases the item from now on.
    pub confirmed: bool,
    /// This state has been handed out for recording in the replicated log.
    pub recorded: bool,
}

/// Crashes, and the items quarantined or suspected because of them.
pub struct Quarantine<K> {
    ledger: CrashLedger<K>,
    quarantined: BTreeMap<K, QuarantinedItem>,
    /// Suspected items that are not quarantined, and when the suspicion expires.
    suspects: BTreeMap<K, Timestamp>,
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
    /// Restores an item that was quarantined before a change of leader or a restart; its quarantine
    /// starts over.
    pub fn restore(&mut self, now: Timestamp, item: K, crashes: u32, expired: bool) {
        let entry = QuarantinedItem {
            crashes,
            until: now + quarantine_duration(crashes),
            last_crash_at: now,
            expired,
            confirmed: true,
            recorded: true,
        };
        self.quarantined.insert(item, entry);
        self.revision += 1;
    }

    /// Records that an instance crashed with these items in flight.
    pub fn record_crash(&mut self, now: Timestamp, instance: &InstanceId, items: &[K]) {
        for item in self.ledger.record_crash(now, instance, items) {
            if let Some(entry) = self.quarantined.get_mut(&item) {
                entry.crashes += 1;
                entry.until = now + quarantine_duration(entry.crashes);
                entry.last_crash_at = now;
                entry.expired = false;
                entry.recorded = false;
                self.revision += 1;
            } else {
                self.evaluate(now, &item);
            }
        }
        self.reevaluate_unconfirmed(now);
    }

    /// Removes the crash of an instance that turned out to be running. Returns true if one was
    /// recorded.
    pub fn retract_crash(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let was_recorded = self.ledger.crashed_at(instance).is_some();
        for item in self.ledger.retract_crash(instance) {
            self.evaluate(now, &item);
        }
        self.reevaluate_unconfirmed(now);
        was_recorded
    }

    /// Returns when an instance was first reported as crashed.
    pub fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        self.ledger.crashed_at(instance)
    }

    /// Clears everything recorded about an item: it was served to completion, or an operator
    /// released it. Returns true if it was quarantined or suspected.
    pub fn release(&mut self, item: &K) -> bool {
        self.ledger.remove(item);
        let was_quarantined = self.quarantined.remove(item).is_some();
        let changed = self.suspects.remove(item).is_some() || was_quarantined;
        self.revision += u64::from(changed);
        changed
    }

    /// Returns the remaining quarantine of an item; `None` if it may be sent.
    pub fn quarantined_for(&self, now: Timestamp, item: &K) -> Option<Duration> {
        let entry = self.quarantined.get(item)?;
        (!entry.expired && now < entry.until).then(|| entry.until.since(now))
    }

    /// Returns true if an item must be sent in isolation.
    pub fn is_suspect(&self, item: &K) -> bool {
        self.suspects.contains_key(item) || self.quarantined.contains_key(item)
    }

    /// Returns true if anything is recorded about an item.
    pub fn has_evidence(&self, item: &K) -> bool {
        self.is_suspect(item) || self.ledger.contains(item)
    }

    /// Returns true if nothing is recorded about any item.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty() && self.quarantined.is_empty() && self.suspects.is_empty()
    }

    /// Quarantined items, including those whose quarantine has expired.
    pub fn quarantined(&self) -> impl Iterator<Item = (&K, &QuarantinedItem)> {
        self.quarantined.iter()
    }

    /// Suspected items, and those whose quarantine has expired.
    pub fn suspects(&self) -> impl Iterator<Item = &K> {
        let expired = self.quarantined.iter().filter(|(_, entry)| entry.expired);
        self.suspects.keys().chain(expired.map(|(item, _)| item))
    }

    /// Increases with each change of the quarantined or suspected items.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Expires quarantines and suspicions. Returns the items whose quarantine has ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(K, QuarantinedItem)> {
        let before = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        self.revision += u64::from(self.suspects.len() < before);
        let mut expired = Vec::new();
        for (item, entry) in &mut self.quarantined {
            if !entry.expired && now >= entry.until {
                entry.expired = true;
                self.revision += 1;
                expired.push((item.clone(), *entry));
            }
        }
        expired
    }

    /// Confirms quarantines whose last crash is at least `confirm_after` old. Returns the confirmed
    /// items whose state is not yet recorded in the replicated log.
    pub fn confirm(
        &mut self,
        now: Timestamp,
        confirm_after: Duration,
    ) -> Vec<(K, QuarantinedItem)> {
        let mut to_record = Vec::new();
        for (item, entry) in &mut self.quarantined {
            entry.confirmed |= now.since(entry.last_crash_at) >= confirm_after;
            if entry.confirmed && !entry.recorded {
                entry.recorded = true;
                to_record.push((item.clone(), *entry));
            }
        }
        to_record
    }

    /// Reevaluates unconfirmed items: a newer crash can explain one that was attributed to them.
    fn reevaluate_unconfirmed(&mut self, now: Timestamp) {
        let unconfirmed = self
            .quarantined
            .iter()
            .filter(|(_, entry)| !entry.confirmed);
        let unconfirmed: Vec<K> = unconfirmed.map(|(item, _)| item.clone()).collect();
        for item in unconfirmed {
            self.evaluate(now, &item);
        }
    }

    fn evaluate(&mut self, now: Timestamp, item: &K) {
        if self
            .quarantined
            .get(item)
            .is_some_and(|entry| entry.confirmed)
        {
            return;
        }
        let explains = |items: &BTreeSet<K>| {
            let confirmed = self.quarantined.iter().filter(|(_, entry)| entry.confirmed);
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
            .is_some_and(|entry| entry.crashes == crashes);
        if same {
            return;
        }
        self.suspects.remove(item);
        self.evict_if_full();
        let entry = QuarantinedItem {
            crashes,
            until: now + quarantine_duration(crashes),
            last_crash_at: now,
            expired: false,
            confirmed: false,
            recorded: false,
        };
        self.quarantined.insert(item.clone(), entry);
        self.revision += 1;
    }

    /// Evicts a suspect, or else the item with the fewest crashes.
    fn evict_if_full(&mut self) {
        if self.quarantined.len() + self.suspects.len() < MAXIMUM_TRACKED {
            return;
        }
        if self.suspects.pop_first().is_some() {
            return;
        }
        let least = self
            .quarantined
            .iter()
            .min_by_key(|(_, entry)| entry.crashes);
        if let Some(item) = least.map(|(item, _)| item.clone()) {
            self.quarantined.remove(&item);
        }
    }
}
