//! What became of each request and why, for operators.

use crate::Routing;
use crate::interface::{AttemptFailure, Refusal, RefusalReason, RequestNumber};
use crate::queues::QueueKey;
use crate::readiness::Readiness;
use crate::request::{Request, Stage};
use millpass_proto::{BackendName, Duration, PolicyName, TenantName, Timestamp, Urgency};

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

impl Outcome {
    /// Whether the request was given up.
    pub fn is_failure(&self) -> bool {
        matches!(self, Outcome::Refused(_) | Outcome::BrokenOff(_))
    }
}

/// Why a request waits in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Every back end that serves it is busy.
    BackendsBusy,
    /// A replica is being loaded, or failing back ends are left out, until about then.
    ReadyIn(Duration),
    /// No replica can be placed as things stand.
    Unplaceable,
    /// Its web group has no back end.
    NoBackend,
    /// No replica is left of the version that its stream must go on with.
    VersionUnavailable,
    /// The control group has not said yet when a replica will be ready.
    AwaitingEstimate,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With the whole answer.
    Completed,
    /// With a failure.
    Failed(AttemptFailure),
    /// It was cancelled: the request ended first.
    Cancelled,
}

/// One attempt at a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Back end.
    pub backend: BackendName,
    /// Token position that it went on from; 0 for a fresh attempt.
    pub resume_from: u64,
    /// Time from the request's arrival to its dispatch.
    pub started: Duration,
    /// How it ended, and the time from the request's arrival to that; none while it is in flight.
    pub ended: Option<(Duration, AttemptEnd)>,
}

/// What was decided on one request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Number within this run of the router.
    pub request: RequestNumber,
    /// Identity that its caller knows.
    pub request_id: String,
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
    /// Why it waits, if it does.
    pub wait_reason: Option<WaitReason>,
    /// The refusal, if it was given up.
    pub refusal: Option<Refusal>,
    /// Attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// Time from arrival to the first dispatch, or to the end without one.
    pub waited: Duration,
    /// Time from arrival to the end, or until now.
    pub total: Duration,
}

/// A request's explanation at a moment.
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
        match self.table.get(request) {
            Some(live) => Some(self.explain_live(live, now)),
            None => self.decisions.find(|ended| ended.request == request),
        }
    }

    /// The same for the newest request with this identity.
    pub fn explain_by_id(&self, request_id: &str, now: Timestamp) -> Option<Explanation> {
        let is_wanted = |request: &&Request| request.request_id == request_id;
        let mut newest_first = self.table.iter().rev();
        match newest_first.find(is_wanted) {
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
            Readiness::VersionGone => WaitReason::VersionUnavailable,
            Readiness::Unknown => WaitReason::AwaitingEstimate,
        }
    }

    /// Records the end of a request that had been admitted.
    pub(crate) fn record(&mut self, request: &Request, outcome: Outcome, now: Timestamp) {
        let explanation = explain_request(request, outcome, now);
        self.decisions.record(explanation);
    }

    /// Records that a request which had been admitted was given up.
    pub(crate) fn record_given_up(
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
