//! Refusals: messages for the caller, and the removal of refused requests.

use crate::claims::conclusion_without_response;
use crate::explain::{AttemptEnd, Outcome};
use crate::interface::{Executed, Refusal, RefusalReason, RequestNumber, RoutingOutput};
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{Duration, Timestamp};

/// Default Retry-After.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum Retry-After for a model that cannot be placed.
pub(crate) const UNPLACEABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request is refused; whether the request may have run is added later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub reason: RefusalReason,
    /// When to retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
    /// Additional detail for the message.
    pub detail: Option<String>,
}

impl Rejection {
    /// A rejection with the default Retry-After of its reason.
    pub fn new(reason: RefusalReason) -> Self {
        Rejection {
            reason,
            retry_after: is_temporary(reason).then_some(DEFAULT_RETRY_AFTER),
            detail: None,
        }
    }

    /// A rejection with a detail for the message.
    pub fn with_detail(reason: RefusalReason, detail: String) -> Self {
        Rejection {
            detail: Some(detail),
            ..Rejection::new(reason)
        }
    }

    /// The queue becomes ready only after the deadline.
    pub fn deadline_unreachable(ready: Timestamp, now: Timestamp) -> Self {
        Rejection {
            retry_after: Some(ready.since(now)),
            ..Rejection::new(RefusalReason::Hopeless)
        }
    }

    /// No replica can be placed.
    pub fn unplaceable(ready: Timestamp, now: Timestamp) -> Self {
        let wait = ready.since(now).max(UNPLACEABLE_RETRY_AFTER);
        Rejection {
            retry_after: Some(wait),
            ..Rejection::new(RefusalReason::Hopeless)
        }
    }

    /// Converts the rejection into the refusal sent to the caller.
    pub fn into_refusal(self, executed: Executed) -> Refusal {
        let text = message_text(self.reason);
        let message = match self.detail {
            Some(detail) => format!("{text} ({detail})"),
            None => text.to_owned(),
        };
        Refusal {
            reason: self.reason,
            executed,
            retry_after: self.retry_after,
            message,
        }
    }
}

/// Returns true if a later retry can succeed.
fn is_temporary(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::InProgress
            | RefusalReason::Hopeless
            | RefusalReason::DeadlinePassed
            | RefusalReason::QueueFull
            | RefusalReason::TenantLimit
            | RefusalReason::NoLease
            | RefusalReason::Draining
            | RefusalReason::BackendFailed
            | RefusalReason::ClaimUnavailable
    )
}

/// Message for the caller: what is wrong and what to do.
fn message_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownKey => {
            "The API key is missing or unknown; send `Authorization: Bearer KEY` with a key of a \
             tenant."
        }
        RefusalReason::NotFound => {
            "The model, adapter or path does not exist; check its name against /v1/models."
        }
        RefusalReason::PolicyDenied => {
            "The policies deny this request; ask the operators for access."
        }
        RefusalReason::KeyRequired => {
            "Requests to this path run at most once; send an Idempotency-Key (UUID version 7)."
        }
        RefusalReason::KeyExpired => {
            "The idempotency key has expired; check the earlier outcome, then use a new key."
        }
        RefusalReason::KeyReused => {
            "The idempotency key was used for a different request; use a new key."
        }
        RefusalReason::InProgress => {
            "An attempt with this idempotency key is in progress; retry later with the same key."
        }
        RefusalReason::MayHaveRun => {
            "An attempt with this idempotency key may have run; check its outcome manually."
        }
        RefusalReason::Hopeless => {
            "The request cannot be served before its deadline; retry later or allow more time."
        }
        RefusalReason::DeadlinePassed => "The deadline passed; retry or allow more time.",
        RefusalReason::QueueFull => "Too many requests are waiting at this router; retry later.",
        RefusalReason::TenantLimit => {
            "Too many requests of this tenant are waiting at this router; send fewer at once."
        }
        RefusalReason::NoLease => {
            "This router has no contact with the control group; use another router or retry later."
        }
        RefusalReason::Draining => "This router is shutting down; use another router.",
        RefusalReason::BackendFailed => "All attempts failed; retry later.",
        RefusalReason::ClaimUnavailable => {
            "The idempotency key could not be claimed in time; retry with the same key."
        }
    }
}

impl Routing {
    /// Ends a live request in any stage with its single final output.
    pub(crate) fn end_request(
        &mut self,
        number: RequestNumber,
        rejection: Rejection,
        step: &mut Step,
    ) {
        let Some(request) = self.remove_request(number, step) else {
            return;
        };
        let executed = request.executed();
        self.conclude_claim(number, conclusion_without_response(executed), step);
        let reason = rejection.reason;
        let outcome = if request.has_response_started() {
            Outcome::BrokenOff(reason)
        } else {
            Outcome::Refused(reason)
        };
        let refusal = rejection.into_refusal(executed);
        self.record_failure(&request, outcome, &refusal, step.now);
        if request.detached {
            return;
        }
        step.outputs.push(if request.has_response_started() {
            RoutingOutput::BreakOff(number, refusal)
        } else {
            RoutingOutput::Refuse(number, refusal)
        });
    }

    /// Removes a request from the table, its queue and its backend. An attempt in flight is
    /// cancelled, and its capacity goes to the next waiting request.
    pub(crate) fn remove_request(
        &mut self,
        number: RequestNumber,
        step: &mut Step,
    ) -> Option<Request> {
        let mut request = self.table.remove(number)?;
        if request.is_in_flight() {
            request.record_attempt_end(AttemptEnd::Cancelled, step.now);
        }
        match &request.stage {
            Stage::AwaitingClaim => {}
            Stage::Waiting => self.queues.remove(&request, false),
            Stage::InFlight(attempt) => {
                step.outputs.push(RoutingOutput::Cancel(number));
                self.circuits
                    .record_cancelled(&attempt.backend, attempt.incarnation);
                self.release(&request.queue, attempt);
                step.freed.push(request.queue.clone());
            }
        }
        Some(request)
    }
}
