//! Explanations of ended requests, in bounded number, and counters.

use crate::Routing;
use crate::explain::{Explanation, Outcome};
use crate::interface::RefusalReason;
use millpass_proto::{ConfigurationRevision, Duration, PlacementRevision, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Requests that were given up and can still be explained; and as many others. They are kept
/// apart, so that many answered requests don't push out the few that were refused.
pub const EXPLANATION_CAPACITY: usize = 4_096;

/// Counters since the start, and present sizes, for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingSnapshot {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Attempts dispatched.
    pub dispatches: u64,
    /// Attempts beyond the first of a request.
    pub retries: u64,
    /// Requests answered by a back end.
    pub completed: u64,
    /// Requests answered from a recorded answer.
    pub replayed: u64,
    /// Answers broken off.
    pub broken_off: u64,
    /// Callers that hung up.
    pub callers_gone: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Requests waiting now.
    pub waiting: usize,
    /// Attempts in flight now.
    pub in_flight: usize,
    /// Claims not ended yet.
    pub claims: usize,
    /// Circuits open now.
    pub open_circuits: usize,
    /// Time until the lease ends; zero without one.
    pub lease_remaining: Duration,
    /// Highest term seen.
    pub term: u64,
    /// Catalog revision held.
    pub configuration: u64,
    /// Route revision held.
    pub placement: u64,
}

/// Ended requests and counters.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    given_up: Ring,
    others: Ring,
    /// Counters; the present sizes in it stay zero.
    pub counters: RoutingSnapshot,
}

impl Decisions {
    /// Records the end of a request.
    pub fn record(&mut self, explanation: Explanation) {
        self.count(explanation.outcome);
        if explanation.outcome.is_failure() {
            self.given_up.push(explanation);
        } else {
            self.others.push(explanation);
        }
    }

    fn count(&mut self, outcome: Outcome) {
        let counters = &mut self.counters;
        match outcome {
            Outcome::Completed => counters.completed += 1,
            Outcome::Replayed => counters.replayed += 1,
            Outcome::BrokenOff(_) => counters.broken_off += 1,
            Outcome::CallerGone => counters.callers_gone += 1,
            Outcome::Refused(reason) => *counters.refused.entry(reason).or_insert(0) += 1,
            Outcome::AwaitingClaim | Outcome::Waiting | Outcome::InFlight => {}
        }
    }

    /// The newest ended request that is wanted.
    pub fn find(&self, is_wanted: impl Fn(&Explanation) -> bool) -> Option<Explanation> {
        let found = [&self.given_up, &self.others].map(|ring| ring.find(&is_wanted));
        let newest = found
            .into_iter()
            .flatten()
            .max_by_key(|ended| ended.request);
        newest.cloned()
    }
}

/// The newest explanations, oldest first.
#[derive(Debug, Default)]
struct Ring(VecDeque<Explanation>);

impl Ring {
    fn push(&mut self, explanation: Explanation) {
        if self.0.len() >= EXPLANATION_CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(explanation);
    }

    fn find(&self, is_wanted: impl Fn(&Explanation) -> bool) -> Option<&Explanation> {
        let mut newest_first = self.0.iter().rev();
        newest_first.find(|explanation| is_wanted(explanation))
    }
}

impl Routing {
    /// Counters and present sizes.
    pub fn snapshot(&self, now: Timestamp) -> RoutingSnapshot {
        let ConfigurationRevision(configuration) = self.catalog.revision();
        let PlacementRevision(placement) = self.routes.revision();
        let fresh = self.lease.is_fresh(now);
        RoutingSnapshot {
            waiting: self.table.waiting(),
            in_flight: self.load.total(),
            claims: self.claims.len(),
            open_circuits: self.circuits.open_count(now),
            lease_remaining: if fresh {
                self.lease.end().since(now)
            } else {
                Duration::ZERO
            },
            term: self.lease.term(),
            configuration,
            placement,
            ..self.decisions.counters.clone()
        }
    }
}
