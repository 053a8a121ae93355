//! What instances state of themselves in the heads of their answers: a limit on the requests that they take (the book of
//! limits is `millpass-limits`), a time in which they take none, and that they leave.
//!
//! Kept apart from the instances' records, which come and go with the leader's updates: what an instance stated holds
//! for its run, whoever announces it again.

use millpass_limits::RequestRate;
use millpass_proto::{Duration, InstanceId, Timestamp};
use std::collections::BTreeMap;

/// Longest rest that is taken from one answer.
const LONGEST_REST: Duration = Duration::from_secs(3_600);
/// Shortest time between two notes that an instance's statements cannot be read.
const UNREADABLE_INTERVAL: Duration = Duration::from_secs(10);
/// Most instances of which one kind of statement is remembered; the one that matters least is forgotten first.
const MAXIMUM_REMEMBERED: usize = 4_096;

/// A value that an answer may state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// It is not stated.
    #[default]
    Missing,
    /// It is stated.
    Value(T),
    /// What stands there cannot be read.
    Malformed,
}

impl<T> Stated<T> {
    /// The value in another form.
    pub fn map<U>(self, form: impl FnOnce(T) -> U) -> Stated<U> {
        match self {
            Stated::Missing => Stated::Missing,
            Stated::Value(value) => Stated::Value(form(value)),
            Stated::Malformed => Stated::Malformed,
        }
    }
}

/// What the head of one answer states of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Most requests a second, from all gateways together.
    pub limit: Stated<RequestRate>,
    /// Time for which it takes nothing from this gateway.
    pub backoff: Stated<Duration>,
    /// The instance leaves.
    pub leaving: bool,
}

impl Statement {
    fn is_unreadable(&self) -> bool {
        self.limit == Stated::Malformed || self.backoff == Stated::Malformed
    }
}

/// A change of what is known of an instance by its own statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// The limit in force.
    Limited(RequestRate),
    /// No limit is in force any more.
    Unlimited,
    /// It takes nothing from this gateway for this long.
    Backoff(Duration),
    /// It leaves.
    Leaving,
    /// A limit or a rest could not be read; what was known stays in force.
    Malformed,
}

/// What instances have stated.
#[derive(Default)]
pub(crate) struct Statements {
    rests: BTreeMap<InstanceId, Timestamp>,
    leaving: BTreeMap<InstanceId, Timestamp>,
    /// When it was last noted that a statement cannot be read.
    unreadable: BTreeMap<InstanceId, Timestamp>,
}

impl Statements {
    /// Takes an answer's statement, but for its limit.
    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        statement: &Statement,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        changes.extend(self.heard_rest(now, instance, statement.backoff));
        if statement.is_unreadable() && self.is_unreadable_news(now, instance) {
            changes.push(StatementChange::Malformed);
        }
        if statement.leaving && !self.leaving.contains_key(instance) {
            make_room(&mut self.leaving, |noted_at| *noted_at);
            self.leaving.insert(instance.clone(), now);
            changes.push(StatementChange::Leaving);
        }
        changes
    }

    /// A rest is never cut short: each turned-away request has a time of its own.
    fn heard_rest(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        stated: Stated<Duration>,
    ) -> Option<StatementChange> {
        let rest = match stated {
            Stated::Missing | Stated::Malformed => return None,
            Stated::Value(rest) => rest.min(LONGEST_REST),
        };
        let until = now + rest;
        if rest.is_zero() || self.rests.get(instance).is_some_and(|held| *held >= until) {
            return None;
        }
        self.rests.retain(|_, until| now < *until);
        make_room(&mut self.rests, |until| *until);
        self.rests.insert(instance.clone(), until);
        Some(StatementChange::Backoff(rest))
    }

    fn is_unreadable_news(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        self.unreadable
            .retain(|_, noted_at| now.since(*noted_at) < UNREADABLE_INTERVAL);
        if self.unreadable.contains_key(instance) {
            return false;
        }
        make_room(&mut self.unreadable, |noted_at| *noted_at);
        self.unreadable.insert(instance.clone(), now);
        true
    }

    /// Until when an instance takes nothing from this gateway.
    pub(crate) fn rests_until(&self, now: Timestamp, instance: &InstanceId) -> Option<Timestamp> {
        let until = self.rests.get(instance).copied();
        until.filter(|until| now < *until)
    }

    /// Whether an instance has stated that it leaves.
    pub(crate) fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.leaving.contains_key(instance)
    }
}

/// Makes room for one more entry where there are too many: the one of the lowest `rank` goes.
fn make_room<T, R: Ord>(entries: &mut BTreeMap<InstanceId, T>, rank: impl Fn(&T) -> R) {
    if entries.len() < MAXIMUM_REMEMBERED {
        return;
    }
    let least = entries.iter().min_by_key(|(_, entry)| rank(entry));
    if let Some(instance) = least.map(|(instance, _)| instance.clone()) {
        entries.remove(&instance);
    }
}
