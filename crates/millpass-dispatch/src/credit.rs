//! Quota units of tenants that requests consume, and credit messages to the leader.

use crate::dispatcher::Dispatcher;
use crate::request::{StatedTokens, Ticket};
use millpass_proto::{CreditRequest, CreditResponse, QuotaUnit, TenantAccess, Timestamp};
use millpass_tenancy::{ClaimedRequest, CreditClaim, CreditOutcome, CreditUse, TenantLimit};

/// The token counts of a request whose tenant has a token quota are malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "malformed or repeated token counts; send the prompt tokens and the maximum output tokens once"
)]
pub struct MalformedTokens;

impl Dispatcher {
    /// Claims a request's cost from its tenant's quota. None if the tenant has no limit.
    pub fn claim_credit(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
    ) -> Result<Option<CreditClaim>, MalformedTokens> {
        let Some(tenant) = &ticket.tenant else {
            return Ok(None);
        };
        let Some(limit) = TenantLimit::of(tenant) else {
            return Ok(None);
        };
        let units = cost(tenant, ticket.description.tokens)?;
        let wait_limit = ticket.wait_limit().since(ticket.arrived);
        // All requests are of one tenant, so that the route's priority alone ranks them.
        let request = ClaimedRequest {
            rank: ticket.route.priority,
            units,
            wait_limit,
        };
        let claim = self.credit.open(now, &tenant.name, limit, request);
        Ok(Some(claim))
    }

    /// Returns the state of a claim.
    pub fn credit_outcome(&mut self, now: Timestamp, claim: CreditClaim) -> CreditOutcome {
        self.credit.outcome(now, claim, self.gateways)
    }

    /// Returns the origin of a covered claim's units.
    pub fn credit_use(&self, claim: CreditClaim) -> Option<CreditUse> {
        self.credit.credit_use(claim)
    }

    /// Uses the units of a covered claim for a send now. Returns false if they lapsed; they are then
    /// claimed again.
    pub fn begin_credit_use(&mut self, now: Timestamp, claim: CreditClaim) -> bool {
        self.credit.begin_use(now, claim)
    }

    /// Records that an instance did not run the request that it was sent with its units.
    pub fn undo_credit_use(&mut self, claim: CreditClaim) {
        self.credit.undo_use(claim);
    }

    /// Claims the units of a request again that is to be sent again and may have run.
    pub fn repeat_credit(&mut self, now: Timestamp, claim: CreditClaim) {
        self.credit.repeat(now, claim);
    }

    /// Returns when the next credit message is due for units that are held; `None` if there are none.
    pub fn credit_statement_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.credit.state_at(now)
    }

    /// Closes the claim of a finished request; its units are used if the request may have run
    /// (`ran`).
    pub fn close_credit(&mut self, now: Timestamp, claim: CreditClaim, ran: bool) {
        self.credit.close(now, claim, ran);
    }

    /// Returns true if requests wait for units that have not been requested from the leader.
    pub fn is_credit_urgent(&self) -> bool {
        self.credit.has_queued_claims()
    }

    /// Returns the next credit message, if one is due.
    pub fn credit_request(&mut self, now: Timestamp, periodic: bool) -> Option<CreditRequest> {
        self.credit.next_request(now, periodic)
    }

    /// Applies the leader's response.
    pub fn apply_credit(&mut self, now: Timestamp, response: &CreditResponse) {
        self.credit.handle_response(now, response);
    }

    /// Returns true if the leader's credit response is overdue; `last_contact` is the last contact
    /// with the leader.
    pub fn is_credit_response_overdue(&self, now: Timestamp, last_contact: Timestamp) -> bool {
        self.credit.is_leader_unresponsive(now, last_contact)
    }

    /// Handles the end of the connection to the leader.
    pub fn credit_disconnected(&mut self, now: Timestamp) {
        self.credit.handle_disconnect(now);
    }
}

fn cost(tenant: &TenantAccess, tokens: StatedTokens) -> Result<u64, MalformedTokens> {
    match (&tenant.unit, tokens) {
        (QuotaUnit::Requests, _) => Ok(1),
        (QuotaUnit::Tokens, StatedTokens::Missing) => Ok(tenant.plain_cost),
        (QuotaUnit::Tokens, StatedTokens::Sum(tokens)) => Ok(tokens),
        (QuotaUnit::Tokens, StatedTokens::Malformed) => Err(MalformedTokens),
    }
}
