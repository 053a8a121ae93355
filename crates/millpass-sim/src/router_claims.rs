//! Claims of requests that may not be repeated, on their way to the control group and back.

use crate::event::RouterEvent;
use crate::world::World;
use millpass_checkers::{AttemptId, ClaimOperation, Event, ScopedKey, linearizable::digest_of};
use millpass_proto::{
    ClaimBegin, ClaimConclusion, ClaimDecision, ClaimFinish, ClaimRequest, RouterToControl,
};
use millpass_routing::RoutingInput;

impl World {
    fn attempt_id(&self, router: usize, attempt: u64) -> AttemptId {
        let node = &self.routers[router];
        AttemptId {
            router: node.name.clone(),
            incarnation: node.incarnation,
            attempt,
        }
    }

    fn record_claim(
        &mut self,
        router: usize,
        attempt: u64,
        key: ScopedKey,
        operation: ClaimOperation,
    ) {
        let attempt_id = self.attempt_id(router, attempt);
        self.routers[router].claims.insert(attempt, key.clone());
        self.record(Event::ClaimCalled {
            attempt: attempt_id,
            key,
            operation,
        });
    }

    pub(crate) fn send_claim(&mut self, router: usize, claim: ClaimBegin) {
        let key = ScopedKey {
            tenant: claim.tenant.clone(),
            key: claim.key.clone(),
        };
        let attempt = claim.attempt;
        self.record_claim(router, attempt, key, ClaimOperation::Begin);
        if !self.settings.mechanisms.claims {
            return self.claim_answered(router, attempt, ClaimDecision::Granted);
        }
        self.send_to_leader(router, RouterToControl::Claim(ClaimRequest { claim }));
    }

    pub(crate) fn send_claim_finish(&mut self, router: usize, finish: ClaimFinish) {
        let key = ScopedKey {
            tenant: finish.tenant.clone(),
            key: finish.key.clone(),
        };
        let operation = match &finish.conclusion {
            ClaimConclusion::Answered(answer) => {
                ClaimOperation::FinishAnswered(digest_of(&answer.body))
            }
            ClaimConclusion::NotRun => ClaimOperation::FinishNotRun,
            ClaimConclusion::Unknown => ClaimOperation::FinishUnknown,
        };
        self.record_claim(router, finish.attempt, key, operation);
        self.send_to_leader(router, RouterToControl::FinishClaim(finish));
    }

    /// A decision on a claim came.
    pub(crate) fn claim_answered(&mut self, router: usize, attempt: u64, decision: ClaimDecision) {
        if let Some(key) = self.routers[router].claims.get(&attempt).cloned() {
            let attempt_id = self.attempt_id(router, attempt);
            self.record(Event::ClaimReturned {
                attempt: attempt_id,
                key,
                decision: decision.clone(),
            });
        }
        // The input is queued, so that the core is not entered twice.
        let input = RoutingInput::ClaimDecided { attempt, decision };
        self.router_later(router, 0, RouterEvent::Input(Box::new(input)));
    }

    /// The end of a claim is committed.
    pub(crate) fn claim_finished(&mut self, router: usize, attempt: u64) {
        if let Some(key) = self.routers[router].claims.get(&attempt).cloned() {
            let attempt = self.attempt_id(router, attempt);
            self.record(Event::ClaimFinishReturned { attempt, key });
        }
        self.router_step(router, RoutingInput::ClaimFinished { attempt });
    }
}
