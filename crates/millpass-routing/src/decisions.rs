//! Bounded history of ended requests, and counters.

use crate::Routing;
use crate::explain::{Explanation, Outcome};
use crate::interface::RefusalReason;
use millpass_proto::{ConfigurationRevision, Duration, PlacementRevision, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Number of explanations kept of failed requests, and again of all others, which thus do not evict
/// those of failed ones.
pub const EXPLANATION_CAPACITY: usize = 4_096;

/// Counters since the start, and current sizes, for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutingSnapshot {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Attempts dispatched.
    pub dispatches: u64,
    /// Attempts after the first of a request.
    pub retries: u64,
    /// Requests completed by a backend.
    pub completed: u64,
    /// Requests that got a recorded response.
    pub replayed: u64,
    /// Responses that broke off.
    pub broken_off: u64,
    /// Callers that disconnected.
    pub callers_gone: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Requests waiting.
    pub waiting: usize,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Open claims.
    pub claims: usize,
    /// Open circuits.
    pub open_circuits: usize,
    /// Time until the lease expires; zero without a valid lease.
    pub lease_remaining: Duration,
    /// Highest term seen.
    pub term: u64,
    /// Catalog revision.
    pub configuration: u64,
    /// Route revision.
    pub placement: u64,
}

/// Ended requests and counters.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    failed: Ring,
    others: Ring,
    /// Counters; the current sizes in it stay zero.
    pub counters: RoutingSnapshot,
}

impl Decisions {
    /// Records the end of a request.
    pub fn record(&mut self, explanation: Explanation) {
        self.count(explanation.outcome);
        if explanation.outcome.is_failure() {
            self.failed.push(explanation);
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

    /// Returns the newest ended request that matches.
    pub fn find(&self, matches: impl Fn(&Explanation) -> bool) -> Option<Explanation> {
        let newest_of_each = [&self.failed, &self.others].map(|ring| ring.find(&matches));
        let newest = newest_of_each
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

    fn find(&self, matches: impl Fn(&Explanation) -> bool) -> Option<&Explanation> {
        let mut newest_first = self.0.iter().rev();
        newest_first.find(|explanation| matches(explanation))
    }
}

impl Routing {
    /// Returns the counters and current sizes.
    pub fn snapshot(&self, now: Timestamp) -> RoutingSnapshot {
        let ConfigurationRevision(configuration) = self.catalog.revision();
        let PlacementRevision(placement) = self.routes.revision();
        let is_valid = self.lease.is_valid(now);
        RoutingSnapshot {
            waiting: self.table.waiting(),
            in_flight: self.load.total(),
            claims: self.claims.len(),
            open_circuits: self.circuits.open_count(now),
            lease_remaining: if is_valid {
                self.lease.expires_at().since(now)
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
