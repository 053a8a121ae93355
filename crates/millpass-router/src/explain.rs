//! The decision core's explanation of a request as JSON, for `/v1/explain/{request id}`.

use crate::refusal::ErrorAnswer;
use millpass_routing::{
    AttemptEnd, AttemptFailure, AttemptRecord, Explanation, Outcome, WaitReason,
};
use serde_json::{Value, json};
use std::time::Duration;

/// An explanation as JSON. It holds names, times and reasons; never content of the request.
pub(crate) fn explanation_json(explanation: &Explanation) -> Value {
    let request_id = &explanation.request_id;
    let refusal = explanation.refusal.clone().map(ErrorAnswer::from);
    let attempts: Vec<Value> = explanation.attempts.iter().map(attempt_json).collect();
    json!({
        "request_id": request_id,
        "tenant": explanation.tenant,
        "target": explanation.target,
        "urgency": explanation.urgency,
        "policy": explanation.policy,
        "outcome": outcome_word(explanation.outcome),
        "waiting_for": explanation.wait_reason.map(wait_sentence),
        "refusal": refusal.map(|refusal| refusal.details(request_id)),
        "attempts": attempts,
        "waited_ms": millis(explanation.waited),
        "total_ms": millis(explanation.total),
    })
}

/// How an attempt failed, in one word; also a label of metrics.
pub(crate) fn failure_word(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotSent => "not_sent",
        AttemptFailure::RefusedByBackend => "refused_by_backend",
        AttemptFailure::MayHaveRun => "may_have_run",
        AttemptFailure::BrokenOff { .. } => "broken_off",
    }
}

fn attempt_json(attempt: &AttemptRecord) -> Value {
    let (ended, result) = match attempt.ended {
        Some((ended, end)) => (Some(millis(ended)), end_word(end)),
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

fn end_word(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "completed",
        AttemptEnd::Failed(failure) => failure_word(failure),
        AttemptEnd::Cancelled => "cancelled",
    }
}

fn outcome_word(outcome: Outcome) -> &'static str {
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

fn wait_sentence(reason: WaitReason) -> String {
    match reason {
        WaitReason::BackendsBusy => "all back ends that serve it are busy".to_owned(),
        WaitReason::ReadyIn(time) => {
            format!("a back end is expected to be ready in {} ms", millis(time))
        }
        WaitReason::Unplaceable => {
            "no replica can be placed as things stand; capacity is used up".to_owned()
        }
        WaitReason::NoBackend => "its group has no back end".to_owned(),
        WaitReason::VersionUnavailable => {
            "no replica is left of the version that its stream began with".to_owned()
        }
        WaitReason::AwaitingEstimate => {
            "no replica is loaded; the control group was told of the demand and has not said when \
             one will be ready"
                .to_owned()
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
