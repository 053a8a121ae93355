//! What a request needs of its tenant's quota: claimed before it is sent, given back if it does not run.

use crate::shared::Shared;
use millpass_dispatch::{MalformedTokens, Ticket};
use millpass_proto::{Duration, Timestamp};
use millpass_tenancy::{CreditClaim, CreditOutcome};
use std::sync::Arc;

/// Part of a request's objective for which it waits for a leader that says nothing: the rest serves it.
const UNANSWERED_PART: f64 = 0.8;

/// Why a request does not get its units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditRefusal {
    /// The tenant has used up its quota.
    Exhausted {
        /// When there will be units again.
        retry_after: Duration,
    },
    /// No leader answers, and what may be used without one is used up.
    Unanswered,
}

/// The units of one request. Given back when it is dropped, unless the request may have run.
pub(crate) struct CreditHold {
    shared: Arc<Shared>,
    claim: CreditClaim,
    used: bool,
}

impl CreditHold {
    /// Claims the units of a request; none where its tenant has no limit.
    pub(crate) fn claim(
        shared: &Arc<Shared>,
        ticket: &Ticket,
    ) -> Result<Option<CreditHold>, MalformedTokens> {
        let claim = shared.core().claim_credit(shared.now(), ticket)?;
        Ok(claim.map(|claim| CreditHold {
            shared: shared.clone(),
            claim,
            used: false,
        }))
    }

    /// Waits until the units are there, or are known not to come in time.
    pub(crate) async fn covered(&self, ticket: &Ticket) -> Result<(), CreditRefusal> {
        let shared = &self.shared;
        let began = shared.now();
        let give_up = self.give_up(ticket);
        loop {
            let changed = shared.changed.listen();
            let now = shared.now();
            let outcome = shared.core().credit_outcome(now, self.claim);
            if shared.core().is_credit_urgent() {
                shared.report.notify(1);
            }
            match outcome {
                CreditOutcome::Covered => {
                    shared.metrics.observe_credit_wait(now.since(began));
                    return Ok(());
                }
                CreditOutcome::Denied { retry_after } => {
                    return Err(CreditRefusal::Exhausted { retry_after });
                }
                CreditOutcome::Pending { .. } if now >= give_up => {
                    return Err(CreditRefusal::Unanswered);
                }
                CreditOutcome::Pending { until } => {
                    shared.wait_for_change(changed, until.min(give_up)).await;
                }
            }
        }
    }

    fn give_up(&self, ticket: &Ticket) -> Timestamp {
        let longest = ticket.objective().mul_f64(UNANSWERED_PART);
        (ticket.arrived + longest).min(ticket.expires_at)
    }

    /// Whether the request may have run by now.
    pub(crate) fn used(&mut self, used: bool) {
        self.used = used;
    }
}

impl Drop for CreditHold {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.core().close_credit(now, self.claim, self.used);
    }
}
