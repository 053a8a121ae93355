//! Counts of a run.

use std::collections::BTreeMap;

/// What happened how often.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Events of the queue.
    pub events: u64,
    /// Requests that reached a router.
    pub requests: u64,
    /// Whole answers.
    pub whole_answers: u64,
    /// Refusals and broken-off answers by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Attempts sent to back ends.
    pub attempts: u64,
    /// Attempts that were too late to send.
    pub attempts_not_sent: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Orders that reached an engine.
    pub orders: u64,
    /// Loads that engines began.
    pub loads: u64,
    /// Changes that operators were told are accepted.
    pub accepted_changes: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Messages that a bad network lost, doubled or delayed.
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

    /// Faults of all kinds.
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
