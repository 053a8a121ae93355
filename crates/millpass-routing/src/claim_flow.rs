//! What claims mean for requests: nothing is dispatched before the grant, and whatever happens
//! to the request, the claim ends honestly.

use crate::claims::{GrantOutcome, conclusion_without_answer};
use crate::explain::Outcome;
use crate::interface::{RefusalReason, RequestNumber, RoutingOutput};
use crate::refusals::Refused;
use crate::request::{Request, Stage};
use crate::{Routing, Step};
use millpass_proto::{ClaimBegin, ClaimConclusion, ClaimDecision, RecordedAnswer};

impl Routing {
    /// Asks for the claim of an admitted request; it waits for the answer.
    pub(crate) fn ask_for_claim(
        &mut self,
        mut request: Request,
        step: &mut Step,
    ) -> Result<(), Refused> {
        if !self.claims.has_room() {
            return Err(Refused::new(RefusalReason::ClaimUnavailable));
        }
        self.make_room(&request, step)?;
        let Some(key) = &request.claim else {
            return Ok(());
        };
        let begin = ClaimBegin {
            tenant: request.tenant.clone(),
            key: key.key.clone(),
            digest: key.digest.clone(),
            created_unix_millis: key.born_unix_millis,
            router: self.settings.router.clone(),
            router_incarnation: self.settings.incarnation,
            attempt: request.number.0,
            at_unix_millis: step.unix_millis,
        };
        let number = request.number;
        request.stage = Stage::AwaitingClaim;
        self.table.insert(request);
        let message = self.claims.begin(number, begin, step.now);
        self.send_if_linked(message, step);
        Ok(())
    }

    /// A claim was answered.
    pub(crate) fn claim_answered(
        &mut self,
        number: RequestNumber,
        decision: ClaimDecision,
        step: &mut Step,
    ) {
        let reason = match decision {
            ClaimDecision::Granted => return self.claim_granted(number, step),
            ClaimDecision::Answered(answer) => return self.replay(number, answer, step),
            ClaimDecision::InProgress => RefusalReason::InProgress,
            ClaimDecision::MayHaveRun => RefusalReason::MayHaveRun,
            ClaimDecision::DigestMismatch => RefusalReason::KeyReused,
            ClaimDecision::Expired => RefusalReason::KeyExpired,
            ClaimDecision::BornInFuture => {
                return self.deny_unrecorded(number, RefusalReason::KeyExpired, step);
            }
            ClaimDecision::Overloaded => {
                return self.deny_unrecorded(number, RefusalReason::ClaimUnavailable, step);
            }
        };
        if !self.claims.denied(number) {
            return;
        }
        if reason != RefusalReason::KeyReused {
            // This attempt dispatched nothing, but the request that the key stands for may be
            // running, may have run, or is no longer known: `no` could make a caller repeat it.
            self.table
                .update(number, |request| request.may_have_run = true);
        }
        self.give_up(number, Refused::new(reason), step);
    }

    /// The key was never recorded, so nothing can have run under it.
    fn deny_unrecorded(&mut self, number: RequestNumber, reason: RefusalReason, step: &mut Step) {
        if self.claims.denied(number) {
            self.give_up(number, Refused::new(reason), step);
        }
    }

    fn claim_granted(&mut self, number: RequestNumber, step: &mut Step) {
        match self.claims.granted(number) {
            GrantOutcome::Ignore => {}
            GrantOutcome::ReleaseClaim => {
                self.conclude_claim(number, ClaimConclusion::NotRun, step);
            }
            GrantOutcome::Dispatch => self.queue_granted(number, step),
        }
    }

    /// A granted request waits for its place like any other.
    fn queue_granted(&mut self, number: RequestNumber, step: &mut Step) {
        self.table
            .update(number, |request| request.stage = Stage::Waiting);
        let Some(request) = self.table.get(number) else {
            return;
        };
        if let Some(refused) = self.hopeless(request, step.now) {
            self.give_up(number, refused, step);
            return;
        }
        step.freed.push(request.queue.clone());
        self.push_to_queue(number);
    }

    /// Answers with the recorded answer of an earlier run.
    fn replay(&mut self, number: RequestNumber, answer: RecordedAnswer, step: &mut Step) {
        if !self.claims.denied(number) {
            return;
        }
        let Some(request) = self.table.remove(number) else {
            return;
        };
        self.record(&request, Outcome::Replayed, step.now);
        step.outputs.push(RoutingOutput::Replay(number, answer));
    }

    /// Ends the claim of a request that ended, if it has one.
    pub(crate) fn conclude_claim(
        &mut self,
        number: RequestNumber,
        conclusion: ClaimConclusion,
        step: &mut Step,
    ) {
        if let Some(message) = self.claims.conclude(number, conclusion, step.now) {
            self.send_if_linked(message, step);
        }
    }

    /// Refuses requests whose claim is not answered in time, and sends again what is due.
    pub(crate) fn tend_claims(&mut self, step: &mut Step) {
        for number in self.claims.timed_out(step.now) {
            let refused = Refused::new(RefusalReason::ClaimUnavailable);
            self.give_up(number, refused, step);
        }
        for message in self.claims.resend_due(step.now) {
            self.send_if_linked(message, step);
        }
    }

    /// The caller hung up. A claimed attempt goes on without it, so that its answer is recorded
    /// for the repeat that is likely to come; any other attempt is cancelled.
    pub(crate) fn caller_gone(&mut self, number: RequestNumber, step: &mut Step) {
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
        let conclusion = conclusion_without_answer(executed);
        self.conclude_claim(number, conclusion, step);
        self.record(&request, Outcome::CallerGone, step.now);
    }

    /// Sends a claim message if there is a link; else it goes out when there is one again.
    fn send_if_linked(&mut self, message: RoutingOutput, step: &mut Step) {
        if self.reporting.link_up() {
            step.outputs.push(message);
        }
    }
}
