//! Claims in the request lifecycle: no dispatch before the grant, and every claim is concluded with
//! what happened to its request.

use crate::claims::{GrantOutcome, conclusion_without_response};
use crate::explain::Outcome;
use crate::interface::{RefusalReason, RequestNumber, RoutingOutput};
use crate::refusals::Rejection;
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{ClaimBegin, ClaimConclusion, ClaimDecision, RecordedAnswer};

impl Routing {
    /// Requests the claim of an admitted request, which waits for the decision.
    pub(crate) fn request_claim(
        &mut self,
        mut request: Request,
        step: &mut Step,
    ) -> Result<(), Rejection> {
        if !self.claims.has_capacity() {
            return Err(Rejection::new(RefusalReason::ClaimUnavailable));
        }
        self.enforce_queue_limits(&request, step)?;
        let Some(key) = &request.claim else {
            return Ok(());
        };
        let begin = ClaimBegin {
            tenant: request.tenant.clone(),
            key: key.key.clone(),
            digest: key.digest.clone(),
            created_unix_millis: key.created_unix_millis,
            router: self.settings.router.clone(),
            router_incarnation: self.settings.incarnation,
            attempt: request.number.0,
            at_unix_millis: step.unix_millis,
        };
        let number = request.number;
        request.stage = Stage::AwaitingClaim;
        self.table.insert(request);
        let message = self.claims.begin(number, begin, step.now);
        self.send_if_link_up(message, step);
        Ok(())
    }

    /// Handles the control group's decision on a claim.
    pub(crate) fn handle_claim_decision(
        &mut self,
        number: RequestNumber,
        decision: ClaimDecision,
        step: &mut Step,
    ) {
        let reason = match decision {
            ClaimDecision::Granted => return self.handle_claim_granted(number, step),
            ClaimDecision::Answered(answer) => return self.replay(number, answer, step),
            ClaimDecision::InProgress => RefusalReason::InProgress,
            ClaimDecision::MayHaveRun => RefusalReason::MayHaveRun,
            ClaimDecision::DigestMismatch => RefusalReason::KeyReused,
            ClaimDecision::Expired => RefusalReason::KeyExpired,
            ClaimDecision::BornInFuture => {
                return self.refuse_unrecorded(number, RefusalReason::KeyExpired, step);
            }
            ClaimDecision::Overloaded => {
                return self.refuse_unrecorded(number, RefusalReason::ClaimUnavailable, step);
            }
        };
        if !self.claims.record_denial(number) {
            return;
        }
        if reason != RefusalReason::KeyReused {
            // This attempt dispatched nothing, but an earlier request with the key may be running
            // or may have run. Reporting `executed: no` could make the caller run it a second time.
            self.table
                .update(number, |request| request.may_have_run = true);
        }
        self.end_request(number, Rejection::new(reason), step);
    }

    /// Refuses a request whose key was never recorded, so that nothing can have run under it.
    fn refuse_unrecorded(&mut self, number: RequestNumber, reason: RefusalReason, step: &mut Step) {
        if self.claims.record_denial(number) {
            self.end_request(number, Rejection::new(reason), step);
        }
    }

    fn handle_claim_granted(&mut self, number: RequestNumber, step: &mut Step) {
        match self.claims.record_grant(number) {
            GrantOutcome::Ignore => {}
            GrantOutcome::ReleaseClaim => {
                self.conclude_claim(number, ClaimConclusion::NotRun, step);
            }
            GrantOutcome::Dispatch => self.enqueue_granted(number, step),
        }
    }

    /// Queues a request whose claim was granted.
    fn enqueue_granted(&mut self, number: RequestNumber, step: &mut Step) {
        self.table
            .update(number, |request| request.stage = Stage::Waiting);
        let Some(request) = self.table.get(number) else {
            return;
        };
        if let Some(rejection) = self.check_deadline(request, step.now) {
            self.end_request(number, rejection, step);
            return;
        }
        step.freed.push(request.queue.clone());
        self.push_to_queue(number);
    }

    /// Responds with the recorded response of an earlier request with the key.
    fn replay(&mut self, number: RequestNumber, answer: RecordedAnswer, step: &mut Step) {
        if !self.claims.record_denial(number) {
            return;
        }
        let Some(request) = self.table.remove(number) else {
            return;
        };
        self.record(&request, Outcome::Replayed, step.now);
        step.outputs.push(RoutingOutput::Replay(number, answer));
    }

    /// Concludes the claim of an ended request, if it has one.
    pub(crate) fn conclude_claim(
        &mut self,
        number: RequestNumber,
        conclusion: ClaimConclusion,
        step: &mut Step,
    ) {
        if let Some(message) = self.claims.conclude(number, conclusion, step.now) {
            self.send_if_link_up(message, step);
        }
    }

    /// Refuses requests whose claim was not decided in time and resends unanswered claim messages.
    pub(crate) fn poll_claims(&mut self, step: &mut Step) {
        for number in self.claims.timed_out(step.now) {
            let rejection = Rejection::new(RefusalReason::ClaimUnavailable);
            self.end_request(number, rejection, step);
        }
        for message in self.claims.resend_due(step.now) {
            self.send_if_link_up(message, step);
        }
    }

    /// Handles a caller that disconnected. A claimed attempt continues, so that its response is
    /// recorded for a retry with the same key; any other attempt is cancelled.
    pub(crate) fn handle_caller_gone(&mut self, number: RequestNumber, step: &mut Step) {
        let Some(request) = self.table.get(number) else {
            return;
        };
        if request.claim.is_some() && request.is_in_flight() {
            self.table.update(number, |request| request.detached = true);
            return;
        }
        let Some(request) = self.remove_request(number, step) else {
            return;
        };
        let executed = request.executed();
        let conclusion = conclusion_without_response(executed);
        self.conclude_claim(number, conclusion, step);
        self.record(&request, Outcome::CallerGone, step.now);
    }

    /// Sends a claim message if the link is up; otherwise it is resent on the next link.
    fn send_if_link_up(&mut self, message: RoutingOutput, step: &mut Step) {
        if self.reporting.link_up() {
            step.outputs.push(message);
        }
    }
}
