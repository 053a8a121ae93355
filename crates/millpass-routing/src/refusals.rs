//! Refusals: reasons in words, and the one place where a request is given up.

use crate::claims::conclusion_without_answer;
use crate::explain::{AttemptEnd, Outcome};
use crate::interface::{Executed, Refusal, RefusalReason, RequestNumber, RoutingOutput};
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{Duration, Timestamp};

/// When to come back if nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to come back for a model that cannot be placed as things stand.
pub(crate) const UNPLACEABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request is given up; whether it ran is added when it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    /// Reason.
    pub reason: RefusalReason,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
    /// What is particular to this request.
    pub detail: Option<String>,
}

impl Refused {
    /// A refusal with the reason's usual time to come back.
    pub fn new(reason: RefusalReason) -> Self {
        Refused {
            reason,
            retry_after: is_temporary(reason).then_some(DEFAULT_RETRY_AFTER),
            detail: None,
        }
    }

    /// The same with a detail.
    pub fn with_detail(reason: RefusalReason, detail: String) -> Self {
        Refused {
            detail: Some(detail),
            ..Refused::new(reason)
        }
    }

    /// The deadline is before the time at which it could be served.
    pub fn hopeless(ready: Timestamp, now: Timestamp) -> Self {
        Refused {
            retry_after: Some(ready.since(now)),
            ..Refused::new(RefusalReason::Hopeless)
        }
    }

    /// No replica can be placed.
    pub fn unplaceable(ready: Timestamp, now: Timestamp) -> Self {
        let wait = ready.since(now).max(UNPLACEABLE_RETRY_AFTER);
        Refused {
            retry_after: Some(wait),
            ..Refused::new(RefusalReason::Hopeless)
        }
    }

    /// The refusal as given to the caller.
    pub fn into_refusal(self, executed: Executed) -> Refusal {
        let sentence = sentence(self.reason);
        let message = match self.detail {
            Some(detail) => format!("{sentence} ({detail})"),
            None => sentence.to_owned(),
        };
        Refusal {
            reason: self.reason,
            executed,
            retry_after: self.retry_after,
            message,
        }
    }
}

/// Whether coming back later can help.
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

/// One sentence for the caller, with the remedy.
fn sentence(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownKey => {
            "The API key is missing or unknown; send `Authorization: Bearer KEY` with a key of a \
             tenant."
        }
        RefusalReason::NotFound => {
            "There is no such model, adapter or path; check its name against /v1/models."
        }
        RefusalReason::PolicyDenied => {
            "The policies do not allow this request; ask the operators for access."
        }
        RefusalReason::KeyRequired => {
            "This path runs at most once; send an Idempotency-Key (UUID version 7)."
        }
        RefusalReason::KeyExpired => {
            "The idempotency key is too old; check the outcome, then use a new key."
        }
        RefusalReason::KeyReused => {
            "The idempotency key was used for another request; use a new key."
        }
        RefusalReason::InProgress => {
            "An attempt with this idempotency key is running; repeat later with the same key."
        }
        RefusalReason::MayHaveRun => {
            "An attempt with this idempotency key may have run; check its outcome by hand."
        }
        RefusalReason::Hopeless => {
            "It cannot be served before its deadline; come back later or allow more time."
        }
        RefusalReason::DeadlinePassed => "Its deadline passed; come back or allow more time.",
        RefusalReason::QueueFull => "Too many requests wait here; come back later.",
        RefusalReason::TenantLimit => {
            "Too many requests of this tenant wait here; send fewer at once."
        }
        RefusalReason::NoLease => {
            "This router is cut off from the control group; use another router or come back."
        }
        RefusalReason::Draining => "This router is stopping; use another router.",
        RefusalReason::BackendFailed => "Every allowed attempt failed; come back later.",
        RefusalReason::ClaimUnavailable => {
            "The idempotency key could not be claimed in time; repeat with the same key."
        }
    }
}

impl Routing {
    /// Gives a live request up, whatever its stage: its one final output.
    pub(crate) fn give_up(&mut self, number: RequestNumber, refused: Refused, step: &mut Step) {
        let Some(request) = self.remove_request(number, step) else {
            return;
        };
        let executed = request.executed();
        self.conclude_claim(number, conclusion_without_answer(executed), step);
        let reason = refused.reason;
        let outcome = if request.answer_begun() {
            Outcome::BrokenOff(reason)
        } else {
            Outcome::Refused(reason)
        };
        let refusal = refused.into_refusal(executed);
        self.record_given_up(&request, outcome, &refusal, step.now);
        if request.detached {
            return;
        }
        step.outputs.push(if request.answer_begun() {
            RoutingOutput::BreakOff(number, refusal)
        } else {
            RoutingOutput::Refuse(number, refusal)
        });
    }

    /// Takes a request out of the table, its queue and its place. An attempt still in flight is
    /// cancelled, and its place goes to the next in the queue.
    pub(crate) fn remove_request(
        &mut self,
        number: RequestNumber,
        step: &mut Step,
    ) -> Option<Request> {
        let mut request = self.table.remove(number)?;
        if request.is_in_flight() {
            request.attempt_ended(AttemptEnd::Cancelled, step.now);
        }
        match &request.stage {
            Stage::AwaitingClaim => {}
            Stage::Waiting => self.queues.remove(&request, false),
            Stage::InFlight(attempt) => {
                step.outputs.push(RoutingOutput::Cancel(number));
                self.circuits
                    .abandoned(&attempt.backend, attempt.incarnation);
                self.release(&request.queue, attempt);
                step.freed.push(request.queue.clone());
            }
        }
        Some(request)
    }
}
