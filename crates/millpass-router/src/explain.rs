//! JSON form of the decision core's explanation of a request, for `/v1/explain/{request id}`.

use crate::refusal::ErrorResponse;
use millpass_routing::{
    AttemptEnd, AttemptFailure, AttemptRecord, Explanation, Outcome, WaitReason,
};
use serde_json::{Value, json};
use std::time::Duration;

/// Returns an explanation as JSON: names, times and reasons, but no request content.
pub(crate) fn explanation_json(explanation: &Explanation) -> Value {
    let request_id = &explanation.request_id;
    let refusal = explanation.refusal.clone().map(ErrorResponse::from);
    let attempts: Vec<Value> = explanation.attempts.iter().map(attempt_json).collect();
    json!({
        "request_id": request_id,
        "tenant": explanation.tenant,
        "target": explanation.target,
        "urgency": explanation.urgency,
        "policy": explanation.policy,
        "outcome": outcome_name(explanation.outcome),
        "waiting_for": explanation.wait_reason.map(wait_message),
        "refusal": refusal.map(|refusal| refusal.details(request_id)),
        "attempts": attempts,
        "waited_ms": millis(explanation.waited),
        "total_ms": millis(explanation.total),
    })
}

/// Name of an attempt failure; also a metric label.
pub(crate) fn failure_name(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotSent => "not_sent",
        AttemptFailure::RefusedByBackend => "refused_by_backend",
        AttemptFailure::MayHaveRun => "may_have_run",
        AttemptFailure::BrokenOff { .. } => "broken_off",
    }
}

fn attempt_json(attempt: &AttemptRecord) -> Value {
    let (ended, result) = match attempt.ended {
        Some((ended, end)) => (Some(millis(ended)), end_name(end)),
        None => (None, "in_flight"),
    };
    json!({
        "backend": attempt.backend,
        "resume_from": attempt.resume_from,
        "started_ms": millis(attempt.started),
        "ended_ms": ended,
        "result": result,
    })
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "completed",
        AttemptEnd::Failed(failure) => failure_name(failure),
        AttemptEnd::Cancelled => "cancelled",
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::AwaitingClaim => "awaiting_claim",
        Outcome::Waiting => "waiting",
        Outcome::InFlight => "in_flight",
        Outcome::Completed => "completed",
        Outcome::Replayed => "replayed",
        Outcome::Refused(_) => "refused",
        Outcome::BrokenOff(_) => "broken_off",
        Outcome::CallerGone => "caller_gone",
    }
}

fn wait_message(reason: WaitReason) -> String {
    match reason {
        WaitReason::BackendsBusy => "all backends that serve the target are at capacity".to_owned(),
        WaitReason::ReadyIn(time) => {
            format!("a backend is expected to be ready in {} ms", millis(time))
        }
        WaitReason::Unplaceable => "no replica can be placed now; capacity is exhausted".to_owned(),
        WaitReason::NoBackend => "the backend group has no backend".to_owned(),
        WaitReason::VersionUnavailable => {
            "no replica of the version that the stream started with is available".to_owned()
        }
        WaitReason::AwaitingEstimate => {
            "no replica is loaded; demand was reported to the control group, which has not sent a \
             ready estimate"
                .to_owned()
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
