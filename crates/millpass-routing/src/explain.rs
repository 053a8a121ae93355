//! What became of each request, for operators: a bounded ring of decisions and counters.

use crate::Routing;
use crate::interface::{RefusalReason, RequestNumber};
use crate::queues::QueueKey;
use crate::request::{Request, Stage};
use millpass_proto::{
    BackendName, ConfigurationRevision, Duration, PlacementRevision, PolicyName, TenantName,
    Timestamp, Urgency,
};
use std::collections::{BTreeMap, VecDeque};

/// Ended requests that can still be explained.
pub const EXPLANATIONS_KEPT: usize = 4_096;

/// How a request stands or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its claim is not answered yet.
    AwaitingClaim,
    /// It waits for a place.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// It was answered.
    Completed,
    /// It got the recorded answer of an earlier run.
    Replayed,
    /// It was refused.
    Refused(RefusalReason),
    /// Its answer broke off.
    BrokenOff(RefusalReason),
    /// The caller hung up.
    CallerGone,
}

/// What was decided on one request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Request.
    pub request: RequestNumber,
    /// Tenant; none when the key was unknown.
    pub tenant: Option<TenantName>,
    /// Model with adapter, or web group; empty when neither was found.
    pub target: String,
    /// Urgency the policies gave it.
    pub urgency: Option<Urgency>,
    /// Policy that decided.
    pub policy: Option<PolicyName>,
    /// How it stands or ended.
    pub outcome: Outcome,
    /// Back end of the last attempt.
    pub backend: Option<BackendName>,
    /// Attempts dispatched.
    pub attempts: u32,
    /// Time from arrival to the first dispatch, or to the end without one.
    pub waited: Duration,
    /// Time from arrival to the end, or until now.
    pub total: Duration,
}

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
    pub lease_left: Duration,
    /// Highest term seen.
    pub term: u64,
    /// Catalog revision held.
    pub configuration: u64,
    /// Route revision held.
    pub placement: u64,
}

/// The ring and the counters.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    ring: VecDeque<Explanation>,
    /// Counters; the present sizes in it stay zero.
    pub counters: RoutingSnapshot,
}

impl Decisions {
    /// Records the end of a request.
    pub fn record(&mut self, explanation: Explanation) {
        match explanation.outcome {
            Outcome::Completed => self.counters.completed += 1,
            Outcome::Replayed => self.counters.replayed += 1,
            Outcome::BrokenOff(_) => self.counters.broken_off += 1,
            Outcome::CallerGone => self.counters.callers_gone += 1,
            Outcome::Refused(reason) => {
                *self.counters.refused.entry(reason).or_insert(0) += 1;
            }
            Outcome::AwaitingClaim | Outcome::Waiting | Outcome::InFlight => {}
        }
        if self.ring.len() >= EXPLANATIONS_KEPT {
            self.ring.pop_front();
        }
        self.ring.push_back(explanation);
    }

    fn find(&self, request: RequestNumber) -> Option<&Explanation> {
        let mut newest_first = self.ring.iter().rev();
        newest_first.find(|explanation| explanation.request == request)
    }
}

/// A request's story at a moment.
fn explain_request(request: &Request, outcome: Outcome, now: Timestamp) -> Explanation {
    let served = request.first_dispatch.unwrap_or(now);
    Explanation {
        request: request.number,
        tenant: Some(request.tenant.clone()),
        target: target_text(&request.queue),
        urgency: Some(request.urgency),
        policy: request.policy.clone(),
        outcome,
        backend: request.last_backend.clone(),
        attempts: request.attempts,
        waited: served.since(request.arrived),
        total: now.since(request.arrived),
    }
}

/// A queue's target in words.
pub(crate) fn target_text(queue: &QueueKey) -> String {
    match queue {
        QueueKey::Model {
            model,
            adapter: Some(adapter),
            ..
        } => format!("{model}+{adapter}"),
        QueueKey::Model { model, .. } => model.to_string(),
        QueueKey::Web(group) => group.to_string(),
    }
}

impl Routing {
    /// Why a request stands as it does, or ended as it did; none once it is forgotten.
    pub fn explain(&self, request: RequestNumber, now: Timestamp) -> Option<Explanation> {
        let Some(live) = self.table.get(request) else {
            return self.decisions.find(request).cloned();
        };
        let outcome = match live.stage {
            Stage::AwaitingClaim => Outcome::AwaitingClaim,
            Stage::Waiting => Outcome::Waiting,
            Stage::InFlight(_) => Outcome::InFlight,
        };
        Some(explain_request(live, outcome, now))
    }

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
            lease_left: if fresh {
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

    /// Records the end of a request that had been admitted.
    pub(crate) fn record(&mut self, request: &Request, outcome: Outcome, now: Timestamp) {
        self.decisions
            .record(explain_request(request, outcome, now));
    }
}
