//! Limits, backoffs and departures that instances state in the heads of their responses.
//!
//! Backoffs and departures are kept apart from the instances' records: they hold for the whole
//! process run, also if its record is removed and added again. Limits are in `millpass-limits`.

use millpass_limits::RequestRate;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::BTreeMap;

/// Longest backoff accepted from one response.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Shortest time between two reports of malformed statements of an instance.
const MALFORMED_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Most instances remembered per kind of statement; the least relevant one is evicted first.
const MAX_INSTANCES: usize = 4_096;

/// A value that a response may state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// Not stated.
    #[default]
    Missing,
    /// Stated value.
    Value(T),
    /// Stated, but malformed.
    Malformed,
}

impl<T> Stated<T> {
    /// Applies a function to the stated value.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Stated<U> {
        match self {
            Stated::Missing => Stated::Missing,
            Stated::Value(value) => Stated::Value(convert(value)),
            Stated::Malformed => Stated::Malformed,
        }
    }
}

/// Statements in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Most requests per second, from all gateways together.
    pub limit: Stated<RequestRate>,
    /// Time for which the instance accepts no requests from this gateway.
    pub backoff: Stated<Duration>,
    /// Set if the instance is leaving.
    pub leaving: bool,
}

impl Statement {
    fn is_malformed(&self) -> bool {
        self.limit == Stated::Malformed || self.backoff == Stated::Malformed
    }
}

/// A change caused by an instance's statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// A limit is in force.
    Limited(RequestRate),
    /// No limit is in force any more.
    Unlimited,
    /// The instance accepts no requests from this gateway for this long.
    Backoff(Duration),
    /// The instance is leaving.
    Leaving,
    /// A limit or backoff was malformed; the previous one stays in force.
    Malformed,
}

/// Backoffs and departures stated by instances.
#[derive(Default)]
pub(crate) struct Statements {
    backoffs: BTreeMap<InstanceId, Timestamp>,
    leaving: BTreeMap<InstanceId, Timestamp>,
    /// When a malformed statement was last reported.
    malformed_reported_at: BTreeMap<InstanceId, Timestamp>,
}

impl Statements {
    /// Records the statements of a response, except for its limit.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        statement: &Statement,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        changes.extend(self.record_backoff(now, instance, statement.backoff));
        if statement.is_malformed() && self.should_report_malformed(now, instance) {
            changes.push(StatementChange::Malformed);
        }
        if statement.leaving && !self.leaving.contains_key(instance) {
            evict_lowest(&mut self.leaving, |recorded_at| *recorded_at);
            self.leaving.insert(instance.clone(), now);
            changes.push(StatementChange::Leaving);
        }
        changes
    }

    /// Records a backoff. A backoff is never shortened, as each rejected response states its own.
    fn record_backoff(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        stated: Stated<Duration>,
    ) -> Option<StatementChange> {
        let backoff = match stated {
            Stated::Missing | Stated::Malformed => return None,
            Stated::Value(backoff) => backoff.min(MAX_BACKOFF),
        };
        let until = now + backoff;
        if backoff.is_zero()
            || self
                .backoffs
                .get(instance)
                .is_some_and(|held| *held >= until)
        {
            return None;
        }
        self.backoffs.retain(|_, until| now < *until);
        evict_lowest(&mut self.backoffs, |until| *until);
        self.backoffs.insert(instance.clone(), until);
        Some(StatementChange::Backoff(backoff))
    }

    fn should_report_malformed(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        self.malformed_reported_at
            .retain(|_, recorded_at| now.since(*recorded_at) < MALFORMED_REPORT_INTERVAL);
        if self.malformed_reported_at.contains_key(instance) {
            return false;
        }
        evict_lowest(&mut self.malformed_reported_at, |recorded_at| *recorded_at);
        self.malformed_reported_at.insert(instance.clone(), now);
        true
    }

    /// Returns the end of an instance's backoff, if it is in one.
    pub(crate) fn backoff_until(&self, now: Timestamp, instance: &InstanceId) -> Option<Timestamp> {
        let until = self.backoffs.get(instance).copied();
        until.filter(|until| now < *until)
    }

    /// Returns true if an instance has stated that it leaves.
    pub(crate) fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.leaving.contains_key(instance)
    }
}

/// Evicts the entry with the lowest `rank` if the map is full.
fn evict_lowest<T, R: Ord>(entries: &mut BTreeMap<InstanceId, T>, rank: impl Fn(&T) -> R) {
    if entries.len() < MAX_INSTANCES {
        return;
    }
    let least = entries.iter().min_by_key(|(_, entry)| rank(entry));
    if let Some(instance) = least.map(|(instance, _)| instance.clone()) {
        entries.remove(&instance);
    }
}
