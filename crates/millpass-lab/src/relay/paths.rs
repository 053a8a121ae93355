//! Delays and cuts of ordered pairs of zones.

use super::ANY_ZONE;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of entries of each kind in a table.
const MAXIMUM_PATHS: usize = 4_096;

/// An ordered pair of zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PathKey {
    /// Source zone.
    pub from: String,
    /// Destination zone.
    pub to: String,
}

impl PathKey {
    /// Creates a pair.
    pub fn new(from: &str, to: &str) -> Self {
        PathKey {
            from: from.to_owned(),
            to: to.to_owned(),
        }
    }

    /// Returns the pair in the opposite direction.
    pub fn reversed(&self) -> Self {
        PathKey::new(&self.to, &self.from)
    }

    /// Returns whether this pattern matches a pair. `*` matches any other zone; traffic inside a
    /// zone is matched only by its name on both sides.
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
    /// Maximum additional delay, in microseconds; uniformly distributed per chunk.
    pub jitter_micros: u64,
}

impl PathSettings {
    /// Returns the one-way delay without jitter.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_micros)
    }
}

#[derive(Default)]
struct Inner {
    within_zone: PathSettings,
    between_zones: PathSettings,
    overrides: BTreeMap<PathKey, PathSettings>,
    cuts: Vec<PathKey>,
    /// Connections opened so far.
    opened: u64,
    /// Patterns, each with the number of the last connection that is blackholed.
    blackholes: Vec<(PathKey, u64)>,
}

/// Delays and cuts, shared by all connections of a relay.
#[derive(Clone, Default)]
pub struct PathTable {
    inner: Arc<Mutex<Inner>>,
}

impl PathTable {
    /// Creates a table with default delays inside a zone and between zones.
    pub fn new(within_zone: PathSettings, between_zones: PathSettings) -> Self {
        let table = PathTable::default();
        {
            let mut inner = table.lock();
            inner.within_zone = within_zone;
            inner.between_zones = between_zones;
        }
        table
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the delay of one ordered pair. Ignored if the table is full.
    pub fn set(&self, pair: PathKey, settings: PathSettings) {
        let mut inner = self.lock();
        let has_capacity = inner.overrides.len() < MAXIMUM_PATHS;
        if has_capacity || inner.overrides.contains_key(&pair) {
            inner.overrides.insert(pair, settings);
        }
    }

    /// Returns the delay of a pair.
    pub fn settings(&self, pair: &PathKey) -> PathSettings {
        let inner = self.lock();
        let default_settings = if pair.from == pair.to {
            inner.within_zone
        } else {
            inner.between_zones
        };
        inner
            .overrides
            .get(pair)
            .copied()
            .unwrap_or(default_settings)
    }

    /// Cuts all pairs that the pattern matches, in both directions unless `one_way`.
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

    /// Blackholes the open connections of matching pairs, in both directions unless `one_way`: they
    /// stay open and deliver no more data. New connections work.
    pub fn blackhole(&self, pattern: &PathKey, one_way: bool) {
        let mut inner = self.lock();
        let opened = inner.opened;
        if inner.blackholes.len() + 2 <= MAXIMUM_PATHS {
            inner.blackholes.push((pattern.clone(), opened));
            if !one_way {
                inner.blackholes.push((pattern.reversed(), opened));
            }
        }
    }

    /// Registers a new connection and returns its number.
    pub(crate) fn open(&self) -> u64 {
        let mut inner = self.lock();
        inner.opened += 1;
        inner.opened
    }

    /// Returns whether the connection with this number is blackholed.
    pub(crate) fn is_blackholed(&self, pair: &PathKey, number: u64) -> bool {
        let inner = self.lock();
        let mut blackholes = inner.blackholes.iter();
        blackholes.any(|(pattern, opened)| number <= *opened && pattern.covers(pair))
    }

    /// Removes a cut, in both directions.
    pub fn heal(&self, pattern: &PathKey) {
        let reversed = pattern.reversed();
        let mut inner = self.lock();
        inner.cuts.retain(|cut| cut != pattern && *cut != reversed);
    }

    /// Removes all cuts.
    pub fn heal_all(&self) {
        self.lock().cuts.clear();
    }

    /// Returns whether a pair is cut.
    pub fn is_cut(&self, pair: &PathKey) -> bool {
        self.lock().cuts.iter().any(|cut| cut.covers(pair))
    }

    /// Returns the active cuts.
    pub fn cuts(&self) -> Vec<PathKey> {
        self.lock().cuts.clone()
    }
}
