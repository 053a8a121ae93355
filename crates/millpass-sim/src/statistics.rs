//! Event counts of a run.

use std::collections::BTreeMap;

/// Event counts of one or more runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Processed events.
    pub events: u64,
    /// Requests that reached a router.
    pub requests: u64,
    /// Complete answers.
    pub whole_answers: u64,
    /// Refusals and interrupted answers, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Attempts sent to back ends.
    pub attempts: u64,
    /// Attempts not sent because their send deadline had passed.
    pub attempts_not_sent: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Orders that reached an engine.
    pub orders: u64,
    /// Loads begun by engines.
    pub loads: u64,
    /// Changes whose acceptance operators received.
    pub accepted_changes: u64,
    /// Injected faults, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Messages lost, duplicated or delayed by the network.
    pub disturbed_messages: u64,
}

impl Statistics {
    /// Counts a refusal.
    pub fn refused(&mut self, reason: &str) {
        *self.refusals.entry(reason.to_owned()).or_insert(0) += 1;
    }

    /// Counts a fault.
    pub fn fault(&mut self, kind: &'static str) {
        *self.faults.entry(kind).or_insert(0) += 1;
    }

    /// Returns the number of faults of all kinds.
    pub fn all_faults(&self) -> u64 {
        self.faults.values().sum()
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Statistics) {
        self.events += other.events;
        self.requests += other.requests;
        self.whole_answers += other.whole_answers;
        self.attempts += other.attempts;
        self.attempts_not_sent += other.attempts_not_sent;
        self.failed_attempts += other.failed_attempts;
        self.orders += other.orders;
        self.loads += other.loads;
        self.accepted_changes += other.accepted_changes;
        self.disturbed_messages += other.disturbed_messages;
        for (reason, count) in &other.refusals {
            *self.refusals.entry(reason.clone()).or_insert(0) += count;
        }
        for (kind, count) in &other.faults {
            *self.faults.entry(kind).or_insert(0) += count;
        }
    }
}
