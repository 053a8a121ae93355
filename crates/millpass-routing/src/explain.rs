//! Explanations of individual requests, for operators.

use crate::Routing;
use crate::interface::{AttemptFailure, Refusal, RefusalReason, RequestNumber};
use crate::queues::QueueKey;
use crate::readiness::Readiness;
use crate::request::{Request, Stage};
use millpass_proto::{BackendName, Duration, PolicyName, TenantName, Timestamp, Urgency};

/// State or final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Waiting for the decision on its claim.
    AwaitingClaim,
    /// Waiting for a backend.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// Completed by a backend.
    Completed,
    /// Got the recorded response of an earlier request with the same key.
    Replayed,
    /// Refused.
    Refused(RefusalReason),
    /// The response broke off.
    BrokenOff(RefusalReason),
    /// The caller disconnected.
    CallerGone,
}

impl Outcome {
    /// Returns true for refused and broken-off requests.
    pub fn is_failure(&self) -> bool {
        matches!(self, Outcome::Refused(_) | Outcome::BrokenOff(_))
    }
}

/// Why a request is still in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Every backend that serves it is at capacity.
    BackendsBusy,
    /// A replica is being loaded, or failing backends are ejected, for about this long.
    ReadyIn(Duration),
    /// No replica can be placed at present.
    Unplaceable,
    /// The web group has no backend.
    NoBackend,
    /// The stream must resume on a version of which no replica is left.
    VersionUnavailable,
    /// The control group has not sent a ready estimate yet.
    AwaitingEstimate,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a complete response.
    Completed,
    /// With a failure.
    Failed(AttemptFailure),
    /// Cancelled because the request ended first.
    Cancelled,
}

/// One attempt at a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Backend.
    pub backend: BackendName,
    /// Token position from which it resumed; 0 for a first attempt.
    pub resume_from: u64,
    /// Time from the request's arrival to the dispatch.
    pub started: Duration,
    /// Time from the request's arrival to the end of the attempt, and how it ended; `None` while it
    /// is in flight.
    pub ended: Option<(Duration, AttemptEnd)>,
}

/// What was decided on one request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Number of the request in this incarnation of the router.
    pub request: RequestNumber,
    /// Request id as sent to the caller.
    pub request_id: String,
    /// Tenant; `None` if the API key is unknown.
    pub tenant: Option<TenantName>,
    /// Model and adapter, or web group; empty if the target does not exist.
    pub target: String,
    /// Urgency set by the policies.
    pub urgency: Option<Urgency>,
    /// Policy that decided.
    pub policy: Option<PolicyName>,
    /// State or final outcome.
    pub outcome: Outcome,
    /// Why it waits; `None` if it does not wait.
    pub wait_reason: Option<WaitReason>,
    /// The refusal, if the request failed.
    pub refusal: Option<Refusal>,
    /// Attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// Time from arrival to the first dispatch, or to the end if nothing was dispatched.
    pub waited: Duration,
    /// Time from arrival to the end, or until now.
    pub total: Duration,
}

/// Builds the explanation of an admitted request.
fn explain_request(request: &Request, outcome: Outcome, now: Timestamp) -> Explanation {
    let total = now.since(request.arrived);
    let first = request.attempts.first();
    Explanation {
        request: request.number,
        request_id: request.request_id.clone(),
        tenant: Some(request.tenant.clone()),
        target: target_text(&request.queue),
        urgency: Some(request.urgency),
        policy: request.policy.clone(),
        outcome,
        wait_reason: None,
        refusal: None,
        attempts: request.attempts.clone(),
        waited: first.map_or(total, |attempt| attempt.started),
        total,
    }
}

/// Formats a queue's target.
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
    /// Explains the current state or the outcome of a request; `None` if it is no longer in the
    /// history.
    pub fn explain(&self, request: RequestNumber, now: Timestamp) -> Option<Explanation> {
        match self.table.get(request) {
            Some(live) => Some(self.explain_live(live, now)),
            None => self.decisions.find(|ended| ended.request == request),
        }
    }

    /// Explains the newest request with this request id.
    pub fn explain_by_id(&self, request_id: &str, now: Timestamp) -> Option<Explanation> {
        let matches = |request: &&Request| request.request_id == request_id;
        let mut newest_first = self.table.iter().rev();
        match newest_first.find(matches) {
            Some(live) => Some(self.explain_live(live, now)),
            None => self.decisions.find(|ended| ended.request_id == request_id),
        }
    }

    fn explain_live(&self, request: &Request, now: Timestamp) -> Explanation {
        let outcome = match request.stage {
            Stage::AwaitingClaim => Outcome::AwaitingClaim,
            Stage::Waiting => Outcome::Waiting,
            Stage::InFlight(_) => Outcome::InFlight,
        };
        let is_waiting = outcome == Outcome::Waiting;
        Explanation {
            wait_reason: is_waiting.then(|| self.wait_reason(&request.queue, now)),
            ..explain_request(request, outcome, now)
        }
    }

    fn wait_reason(&self, queue: &QueueKey, now: Timestamp) -> WaitReason {
        match self.readiness(queue, now) {
            Readiness::Serving => WaitReason::BackendsBusy,
            Readiness::ReadyAt(ready) => WaitReason::ReadyIn(ready.since(now)),
            Readiness::Unplaceable { .. } => WaitReason::Unplaceable,
            Readiness::NoBackend => WaitReason::NoBackend,
            Readiness::VersionUnavailable => WaitReason::VersionUnavailable,
            Readiness::Unknown => WaitReason::AwaitingEstimate,
        }
    }

    /// Records the end of an admitted request.
    pub(crate) fn record(&mut self, request: &Request, outcome: Outcome, now: Timestamp) {
        let explanation = explain_request(request, outcome, now);
        self.decisions.record(explanation);
    }

    /// Records an admitted request that was refused or broken off.
    pub(crate) fn record_failure(
        &mut self,
        request: &Request,
        outcome: Outcome,
        refusal: &Refusal,
        now: Timestamp,
    ) {
        self.decisions.record(Explanation {
            refusal: Some(refusal.clone()),
            ..explain_request(request, outcome, now)
        });
    }
}
