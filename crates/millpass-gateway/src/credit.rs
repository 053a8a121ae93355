//! Claims on tenant quotas: made before each send that may run a request, refunded if it does not
//! run.

use crate::shared::Shared;
use millpass_dispatch::{MalformedTokens, Ticket};
use millpass_proto::{Duration, Timestamp};
use millpass_tenancy::{CreditClaim, CreditOutcome, CreditUse};
use std::sync::Arc;

/// Fraction of a request's objective that may be spent waiting for the leader; the rest is left to
/// serve it.
const LEADER_WAIT_FRACTION: f64 = 0.8;

/// Why a request was denied credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditRefusal {
    /// The tenant has used up its quota, or the rest is held back for more urgent requests.
    Exhausted {
        /// Time until a request of this rank can expect units.
        retry_after: Duration,
    },
    /// No leader responds, and the units usable without one are used up.
    LeaderUnavailable,
}

/// Units claimed for one request. Refunded on drop, unless the request may have run.
pub(crate) struct CreditHold {
    shared: Arc<Shared>,
    claim: CreditClaim,
    used: bool,
}

impl CreditHold {
    /// Claims the units of a request; `None` if its tenant has no limit.
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

    /// Returns true if the units may be used at `now`. Otherwise they are requested.
    pub(crate) fn is_covered(&self, now: Timestamp) -> bool {
        self.shared.core().credit_outcome(now, self.claim) == CreditOutcome::Covered
    }

    /// Waits until the units are granted or denied, or no leader answered for too long.
    pub(crate) async fn wait_until_covered(&self, ticket: &Ticket) -> Result<(), CreditRefusal> {
        let shared = &self.shared;
        let started = shared.now();
        let limit = ticket.objective().mul_f64(LEADER_WAIT_FRACTION);
        let deadline = (started + limit).min(ticket.expires_at);
        loop {
            let changed = shared.changed.listen();
            let now = shared.now();
            let outcome = shared.core().credit_outcome(now, self.claim);
            if shared.core().is_credit_urgent() {
                shared.report.notify(1);
            }
            match outcome {
                CreditOutcome::Covered => {
                    shared.metrics.observe_credit_wait(now.since(started));
                    return Ok(());
                }
                CreditOutcome::Denied { retry_after } => {
                    let waited = now.since(started);
                    let rank = ticket.route.priority;
                    shared.metrics.count_quota_denial(rank, waited);
                    return Err(CreditRefusal::Exhausted { retry_after });
                }
                CreditOutcome::Pending { .. } if now >= deadline => {
                    return Err(CreditRefusal::LeaderUnavailable);
                }
                CreditOutcome::Pending { until } => {
                    shared.wait_for_change(changed, until.min(deadline)).await;
                }
            }
        }
    }

    /// Returns the origin of the units once they are granted.
    pub(crate) fn credit_use(&self) -> Option<CreditUse> {
        self.shared.core().credit_use(self.claim)
    }

    /// Uses the units for a send at `now`. Returns false if they lapsed; they are claimed again.
    pub(crate) fn begin_use(&mut self, now: Timestamp) -> bool {
        self.used = self.shared.core().begin_credit_use(now, self.claim);
        self.used
    }

    /// Records that the instance did not run the request.
    pub(crate) fn undo_use(&mut self) {
        self.used = false;
        self.shared.core().undo_credit_use(self.claim);
    }

    /// Claims the units again if they were used, for another send of a request that may have run.
    pub(crate) fn repeat_if_used(&mut self) {
        if std::mem::take(&mut self.used) {
            let now = self.shared.now();
            self.shared.core().repeat_credit(now, self.claim);
        }
    }
}

impl Drop for CreditHold {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.core().close_credit(now, self.claim, self.used);
    }
}
