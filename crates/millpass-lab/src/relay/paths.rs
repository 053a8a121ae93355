//! Delay and cuts of the ordered pairs of zones.

use super::ANY_ZONE;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most ordered pairs of zones that a table holds.
const MAXIMUM_PATHS: usize = 4_096;

/// An ordered pair of zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PathKey {
    /// Zone the bytes come from.
    pub from: String,
    /// Zone they go to.
    pub to: String,
}

impl PathKey {
    /// A pair.
    pub fn new(from: &str, to: &str) -> Self {
        PathKey {
            from: from.to_owned(),
            to: to.to_owned(),
        }
    }

    /// The pair the other way round.
    pub fn reversed(&self) -> Self {
        PathKey::new(&self.to, &self.from)
    }

    /// Whether this pattern, in which `*` stands for any other zone, covers a pair. Traffic
    /// inside a zone is covered only by its own name on both sides.
    pub fn covers(&self, pair: &PathKey) -> bool {
        let is_inside = pair.from == pair.to;
        let from_any = self.from == ANY_ZONE && !is_inside;
        let to_any = self.to == ANY_ZONE && !is_inside;
        (from_any || self.from == pair.from) && (to_any || self.to == pair.to)
    }
}

/// Delay of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathSettings {
    /// One-way delay, in microseconds.
    pub delay_micros: u64,
    /// Largest extra delay, in microseconds; drawn evenly for each piece of data.
    pub jitter_micros: u64,
}

impl PathSettings {
    /// The one-way delay without jitter.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_micros)
    }
}

#[derive(Default)]
struct Inner {
    within: PathSettings,
    between: PathSettings,
    special: BTreeMap<PathKey, PathSettings>,
    cuts: Vec<PathKey>,
    /// Connections opened so far.
    opened: u64,
    /// Connections opened before a number go silent on what the pattern covers.
    silences: Vec<(PathKey, u64)>,
}

/// Delays and cuts, shared by all connections of a relay. Its one lock is held for look-ups only.
#[derive(Clone, Default)]
pub struct PathTable {
    inner: Arc<Mutex<Inner>>,
}

impl PathTable {
    /// A table with one delay inside a zone and one between zones.
    pub fn new(within: PathSettings, between: PathSettings) -> Self {
        let table = PathTable::default();
        {
            let mut inner = table.lock();
            inner.within = within;
            inner.between = between;
        }
        table
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the delay of one ordered pair. Pairs beyond the bound keep the common delay.
    pub fn set(&self, pair: PathKey, settings: PathSettings) {
        let mut inner = self.lock();
        let has_room = inner.special.len() < MAXIMUM_PATHS;
        if has_room || inner.special.contains_key(&pair) {
            inner.special.insert(pair, settings);
        }
    }

    /// Delay of a pair.
    pub fn settings(&self, pair: &PathKey) -> PathSettings {
        let inner = self.lock();
        let common = if pair.from == pair.to {
            inner.within
        } else {
            inner.between
        };
        inner.special.get(pair).copied().unwrap_or(common)
    }

    /// Cuts all pairs that the pattern covers; from the other side too unless `one_way`.
    pub fn cut(&self, pattern: &PathKey, one_way: bool) {
        let mut inner = self.lock();
        let mut add = |pattern: PathKey| {
            if inner.cuts.len() < MAXIMUM_PATHS && !inner.cuts.contains(&pattern) {
                inner.cuts.push(pattern);
            }
        };
        add(pattern.clone());
        if !one_way {
            add(pattern.reversed());
        }
    }

    /// Connections of the pairs that the pattern covers, in both directions, that are open now pass nothing on any
    /// more, and do not end. New ones work.
    pub fn blackhole(&self, pattern: &PathKey) {
        let mut inner = self.lock();
        let opened = inner.opened;
        if inner.silences.len() + 2 <= MAXIMUM_PATHS {
            inner.silences.push((pattern.clone(), opened));
            inner.silences.push((pattern.reversed(), opened));
        }
    }

    /// Number of a connection that is opened now.
    pub(crate) fn open(&self) -> u64 {
        let mut inner = self.lock();
        inner.opened += 1;
        inner.opened
    }

    /// Whether the connection with this number has gone silent.
    pub(crate) fn is_silent(&self, pair: &PathKey, number: u64) -> bool {
        let inner = self.lock();
        let mut silences = inner.silences.iter();
        silences.any(|(pattern, opened)| number <= *opened && pattern.covers(pair))
    }

    /// Takes a cut back, in both directions.
    pub fn heal(&self, pattern: &PathKey) {
        let reversed = pattern.reversed();
        let mut inner = self.lock();
        inner.cuts.retain(|cut| cut != pattern && *cut != reversed);
    }

    /// Takes all cuts back.
    pub fn heal_all(&self) {
        self.lock().cuts.clear();
    }

    /// Whether bytes of a pair are held back now.
    pub fn is_cut(&self, pair: &PathKey) -> bool {
        self.lock().cuts.iter().any(|cut| cut.covers(pair))
    }

    /// The cuts in force.
    pub fn cuts(&self) -> Vec<PathKey> {
        self.lock().cuts.clone()
    }
}
