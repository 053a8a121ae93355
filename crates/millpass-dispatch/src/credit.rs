//! Units of tenants' quotas that requests need, and the gateway's words with the leader about them.

use crate::dispatcher::Dispatcher;
use crate::request::{StatedTokens, Ticket};
use millpass_proto::{CreditRequest, CreditResponse, QuotaUnit, TenantAccess, Timestamp};
use millpass_tenancy::{CreditClaim, CreditOutcome, TenantLimit};

/// A request of a tenant whose quota counts tokens states them in a way that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the token figures cannot be read; send the tokens of the prompt and the most wanted, once"
)]
pub struct UnreadableTokens;

impl Dispatcher {
    /// Claims what a request costs of its tenant's quota; none where there is no limit.
    pub fn claim_credit(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
    ) -> Result<Option<CreditClaim>, UnreadableTokens> {
        let Some(tenant) = &ticket.tenant else {
            return Ok(None);
        };
        let Some(limit) = TenantLimit::of(tenant) else {
            return Ok(None);
        };
        let units = cost(tenant, ticket.description.tokens)?;
        let patience = ticket.patient_until().since(ticket.arrived);
        let claim = self.credit.open(now, &tenant.name, limit, units, patience);
        Ok(Some(claim))
    }

    /// Where a claim stands.
    pub fn credit_outcome(&mut self, now: Timestamp, claim: CreditClaim) -> CreditOutcome {
        self.credit.outcome(now, claim, self.gateways)
    }

    /// A request is over; `ran` says whether it may have run, so that its units are used.
    pub fn close_credit(&mut self, now: Timestamp, claim: CreditClaim, ran: bool) {
        self.credit.close(now, claim, ran);
    }

    /// Whether requests wait for units that the leader was not asked for.
    pub fn is_credit_urgent(&self) -> bool {
        self.credit.is_urgent()
    }

    /// The next message about credit, if there is something to say.
    pub fn credit_request(&mut self, now: Timestamp, periodic: bool) -> Option<CreditRequest> {
        self.credit.message(now, &self.settings.name, periodic)
    }

    /// Takes the leader's answer.
    pub fn take_credit(&mut self, now: Timestamp, answer: &CreditResponse) {
        self.credit.answer(now, answer);
    }

    /// Whether the leader owes an answer about credit for longer than one takes; `heard_at` is when it was last
    /// heard.
    pub fn is_leader_silent(&self, now: Timestamp, heard_at: Timestamp) -> bool {
        self.credit.is_leader_silent(now, heard_at)
    }

    /// The connection to the leader is gone.
    pub fn credit_disconnected(&mut self, now: Timestamp) {
        self.credit.disconnected(now);
    }
}

fn cost(tenant: &TenantAccess, tokens: StatedTokens) -> Result<u64, UnreadableTokens> {
    match (&tenant.unit, tokens) {
        (QuotaUnit::Requests, _) => Ok(1),
        (QuotaUnit::Tokens, StatedTokens::Missing) => Ok(tenant.plain_cost),
        (QuotaUnit::Tokens, StatedTokens::Sum(tokens)) => Ok(tokens),
        (QuotaUnit::Tokens, StatedTokens::Unreadable) => Err(UnreadableTokens),
    }
}
