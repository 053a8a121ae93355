//! Credit of all tenants at a gateway: granted units, and the requests that wait for more.

use crate::account::{Account, OverdraftTerms};
use crate::claim::{
    Claim, ClaimKind, ClaimedRequest, CreditClaim, CreditOutcome, CreditSource, CreditUse, Stage,
};
use crate::lease::{AnsweredRequest, STATED_LIFETIME, UnitLease};
use crate::ledger::MAXIMUM_CLAIMS_PER_REQUEST;
use crate::limit::TenantLimit;
use crate::tolerance::QuotaTolerance;
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, Duration, TenantCreditRequest, TenantName,
    Timestamp,
};
use std::collections::{BTreeMap, HashMap};

/// Minimum time without a response after which the leader counts as unresponsive.
const MINIMUM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Multiple of the average response time after which the leader counts as unresponsive, if that is
/// longer, so that gateways do not disconnect from a busy leader.
const RESPONSE_TIMEOUT_FACTOR: u32 = 8;
/// Weight of the newest response in the moving average of response times.
const RESPONSE_TIME_SMOOTHING: f64 = 0.2;
/// Age of a claim without a response from which its request may use ungranted units.
const OVERDRAFT_AFTER: Duration = Duration::from_millis(60);
/// Interval between checks of a waiting request.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// How much longer a claim waits before it uses ungranted units while a more urgent one is queued,
/// so that the more urgent one gets them: two checks.
const OVERDRAFT_PRECEDENCE: Duration = Duration::from_millis(60);

/// How long after their grant the units of a request that did not run may be used for another one.
/// Later they are returned, as the bucket may have refilled for them.
const REUSE_LIFETIME: Duration = Duration::from_millis(100);

/// A request to the leader without a response.
#[derive(Debug)]
struct PendingRequest {
    at: Timestamp,
    tenants: Vec<PendingTenant>,
}

/// Part of a request that concerns one tenant.
#[derive(Debug)]
struct PendingTenant {
    tenant: TenantName,
    /// Claims with their units, in the order sent.
    claims: Vec<(CreditClaim, u64)>,
}

/// Credit of one gateway.
#[derive(Debug, Default)]
pub struct CreditPool {
    tolerance: QuotaTolerance,
    accounts: BTreeMap<TenantName, Account>,
    claims: HashMap<CreditClaim, Claim>,
    last_claim: u64,
    sequence: u64,
    /// Number of the last answered request.
    answered: u64,
    /// Term of the leader that responded last.
    granted_in_term: u64,
    /// Unanswered requests by sequence number.
    pending: BTreeMap<u64, PendingRequest>,
    /// Moving average of response times.
    mean_response_time: Duration,
}

impl CreditPool {
    /// Returns a pool without credit.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        CreditPool {
            tolerance,
            ..CreditPool::default()
        }
    }

    /// Opens a claim for a request's units.
    pub fn open(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        limit: TenantLimit,
        request: ClaimedRequest,
    ) -> CreditClaim {
        let ClaimedRequest {
            rank,
            units,
            wait_limit,
        } = request;
        self.last_claim += 1;
        let claim = CreditClaim(self.last_claim);
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.record_request(now, units);
        let opened = Claim {
            tenant: tenant.clone(),
            limit,
            rank,
            units,
            kind: ClaimKind::New,
            stage: Stage::Queued,
            covered: None,
            opened_at: now,
            wait_until: now + wait_limit,
            wait_limit,
        };
        self.claims.insert(claim, opened);
        self.enqueue(now, claim);
        claim
    }

    /// Covers a claim from the reserve, denies it, or queues it for the leader.
    fn enqueue(&mut self, now: Timestamp, claim: CreditClaim) {
        let Some(entry) = self.claims.get_mut(&claim) else {
            return;
        };
        let account = self.accounts.entry(entry.tenant.clone()).or_default();
        account.expire(now, self.granted_in_term);
        let place = (entry.kind, entry.rank, claim);
        let is_next = account
            .queue
            .first()
            .is_none_or(|first| (entry.kind, entry.rank) < (first.0, first.1));
        let is_new = entry.kind == ClaimKind::New;
        if is_new && let Some(until) = account.denied_until(now, entry.rank) {
            account.record_unclaimed(entry.rank, entry.units);
            entry.stage = Stage::Denied(until);
        } else if is_next && let Some(term) = account.try_take(entry.units) {
            if is_new {
                account.record_unclaimed(entry.rank, entry.units);
            }
            entry.cover(now, CreditSource::Reserve, term);
            entry.stage = Stage::Covered;
        } else {
            account.queue.insert(place);
            entry.stage = Stage::Queued;
        }
    }

    /// Claims the units of a request anew.
    fn claim_again(&mut self, now: Timestamp, claim: CreditClaim, kind: ClaimKind) {
        let Some(entry) = self.claims.get_mut(&claim) else {
            return;
        };
        entry.kind = kind;
        entry.covered = None;
        entry.opened_at = now;
        entry.wait_until = now + entry.wait_limit;
        self.enqueue(now, claim);
    }

    /// Uses the units of a covered claim for a send now. Returns false if it has none: they lapsed
    /// and are claimed again.
    pub fn begin_use(&mut self, now: Timestamp, claim: CreditClaim) -> bool {
        if self.outcome(now, claim, 0) != CreditOutcome::Covered {
            return false;
        }
        if let Some(entry) = self.claims.get_mut(&claim)
            && entry.stage == Stage::Covered
        {
            entry.stage = Stage::Used;
            let account = self.accounts.entry(entry.tenant.clone()).or_default();
            account.record_use(now, entry.units);
        }
        true
    }

    /// Records that the request was not run by the instance that it was sent to: its units can be
    /// used for another send.
    pub fn undo_use(&mut self, claim: CreditClaim) {
        if let Some(entry) = self.claims.get_mut(&claim)
            && entry.stage == Stage::Used
        {
            entry.stage = Stage::Covered;
        }
    }

    /// Claims the units of a request that may have run, for sending it again.
    pub fn repeat(&mut self, now: Timestamp, claim: CreditClaim) {
        let entry = self.claims.get(&claim);
        if entry.is_some_and(|entry| entry.stage == Stage::Used) {
            self.claim_again(now, claim, ClaimKind::Repeated);
        }
    }

    /// Returns the state of a claim. `gateways` is the number of gateways that share the overdraft;
    /// 0 if unknown.
    pub fn outcome(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> CreditOutcome {
        self.renew_if_lapsed(now, claim);
        let Some(entry) = self.claims.get_mut(&claim) else {
            return CreditOutcome::Pending {
                until: now + CHECK_INTERVAL,
            };
        };
        match entry.stage {
            Stage::Covered | Stage::Used => CreditOutcome::Covered,
            Stage::Denied(until) => CreditOutcome::Denied {
                retry_after: until.since(now),
            },
            Stage::Reserved(from) if now < from => CreditOutcome::Pending { until: from },
            Stage::Reserved(_) => {
                entry.stage = Stage::Covered;
                CreditOutcome::Covered
            }
            Stage::Queued | Stage::Sent => {
                let waited = now.since(entry.opened_at);
                if waited >= OVERDRAFT_AFTER && self.overdraw(now, claim, gateways) {
                    return CreditOutcome::Covered;
                }
                CreditOutcome::Pending {
                    until: now + CHECK_INTERVAL,
                }
            }
        }
    }

    /// Claims the units of a request anew if they were granted a window ago: what a request uses
    /// counts in a window that it arrives in.
    fn renew_if_lapsed(&mut self, now: Timestamp, claim: CreditClaim) {
        let window = self.tolerance.window;
        let lapsed = self.claims.get(&claim).is_some_and(|entry| {
            let covered = entry.covered.filter(|_| entry.holds_units());
            covered.is_some_and(|covered| now.since(covered.covered_at) >= window)
        });
        if lapsed {
            self.claim_again(now, claim, ClaimKind::Repeated);
        }
    }

    /// Uses ungranted units for a claim.
    fn overdraw(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> bool {
        let Some(entry) = self.claims.get_mut(&claim) else {
            return false;
        };
        let account = self.accounts.entry(entry.tenant.clone()).or_default();
        let is_preceded = account
            .queue
            .first()
            .is_some_and(|first| (first.0, first.1) < (entry.kind, entry.rank));
        let waited = now.since(entry.opened_at);
        if is_preceded && waited < OVERDRAFT_AFTER + OVERDRAFT_PRECEDENCE {
            return false;
        }
        let terms = OverdraftTerms {
            limit: entry.limit,
            tolerance: &self.tolerance,
            gateways,
        };
        if !account.overdraw(now, entry.units, &terms) {
            return false;
        }
        entry.cover(now, CreditSource::Tolerance, 0);
        account.queue.remove(&(entry.kind, entry.rank, claim));
        // If a later response also covers the claim, its units go to the reserve.
        entry.stage = Stage::Covered;
        true
    }

    /// Returns the origin of a covered claim's units.
    pub fn credit_use(&self, claim: CreditClaim) -> Option<CreditUse> {
        self.claims.get(&claim)?.covered
    }

    /// Closes the claim of a request. The units of a request that did not run go to the reserve.
    pub fn close(&mut self, now: Timestamp, claim: CreditClaim, ran: bool) {
        let Some(entry) = self.claims.remove(&claim) else {
            return;
        };
        let account = self.accounts.entry(entry.tenant.clone()).or_default();
        account.queue.remove(&(entry.kind, entry.rank, claim));
        if ran && entry.holds_units() {
            account.record_use(now, entry.units);
        } else if !ran
            && (entry.holds_units() || entry.stage == Stage::Used)
            && let Some(covered) = entry.covered
        {
            let term = self.granted_in_term;
            let kept_until = covered.covered_at + REUSE_LIFETIME;
            if now < kept_until && covered.term == term {
                let lease = UnitLease::new(now, term, self.sequence, now + STATED_LIFETIME);
                account.keep(now, covered.units, lease, kept_until);
            } else {
                account.return_units(covered.units, covered.term, term);
            }
        }
    }

    /// Returns true if claims wait to be sent to the leader.
    pub fn has_queued_claims(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.queue.is_empty())
    }

    /// Returns when reserved units must be stated to the leader as held, so that they may be used for
    /// longer; `None` if there are none.
    pub fn state_at(&self, now: Timestamp) -> Option<Timestamp> {
        let term = self.granted_in_term;
        let times = self.accounts.values();
        times
            .filter_map(|account| account.state_at(now, term))
            .min()
    }

    /// Returns the next request to the leader, if there is anything to send. Reserves, returns and
    /// overdrafts alone are sent only if `periodic` is set.
    pub fn next_request(&mut self, now: Timestamp, periodic: bool) -> Option<CreditRequest> {
        let mut tenant_requests = Vec::new();
        let mut pending_tenants = Vec::new();
        let term = self.granted_in_term;
        self.accounts.retain(|_, account| !account.is_idle(now));
        for account in self.accounts.values_mut() {
            account.expire(now, term);
            account.return_if_denied(now, term);
        }
        for (tenant, account) in &mut self.accounts {
            let reserve = account.wanted_reserve(now);
            let wants_reserve = reserve > 0 && account.may_request_reserve(now);
            let must_settle = account.returned > 0 || account.overdrawn > 0 || wants_reserve;
            let state_at = account.state_at(now, term);
            let must_state = state_at.is_some_and(|due| due <= now);
            let is_due = must_state || (periodic && must_settle);
            if account.queue.is_empty() && !is_due {
                continue;
            }
            if reserve > 0 {
                account.record_reserve_request(now);
            }
            let mut request = TenantCreditRequest {
                tenant: tenant.clone(),
                queued_units: Vec::new(),
                prefetch_units: reserve,
                returned: std::mem::take(&mut account.returned),
                overdrawn: std::mem::take(&mut account.overdrawn),
                ranks: Vec::new(),
                wait_limits_millis: Vec::new(),
                unclaimed: account.take_unclaimed(),
                held_units: account.stated_units(now, term),
                repeated: 0,
            };
            account.record_statement(now);
            let mut claims = Vec::new();
            while claims.len() < MAXIMUM_CLAIMS_PER_REQUEST
                && let Some((kind, rank, claim)) = account.queue.pop_first()
            {
                if let Some(entry) = self.claims.get_mut(&claim) {
                    entry.stage = Stage::Sent;
                    claims.push((claim, entry.units));
                    request.queued_units.push(entry.units);
                    request.ranks.push(rank);
                    let wait_limit = entry.wait_until.since(now).as_millis();
                    let wait_limit = u32::try_from(wait_limit).unwrap_or(u32::MAX);
                    request.wait_limits_millis.push(wait_limit);
                    request.repeated += u32::from(kind == ClaimKind::Repeated);
                }
            }
            pending_tenants.push(PendingTenant {
                tenant: tenant.clone(),
                claims,
            });
            tenant_requests.push(request);
        }
        if tenant_requests.is_empty() {
            return None;
        }
        self.sequence += 1;
        let pending = PendingRequest {
            at: now,
            tenants: pending_tenants,
        };
        self.pending.insert(self.sequence, pending);
        Some(CreditRequest {
            sequence: self.sequence,
            tenants: tenant_requests,
            granted_in_term: self.granted_in_term,
            answered: self.answered,
        })
    }

    /// Handles the leader's response.
    pub fn handle_response(&mut self, now: Timestamp, response: &CreditResponse) {
        self.granted_in_term = response.term;
        let Some(pending) = self.pending.remove(&response.sequence) else {
            return;
        };
        self.answered = response.sequence;
        self.record_response_time(now.since(pending.at));
        let answered = AnsweredRequest {
            sequence: response.sequence,
            sent_at: pending.at,
        };
        for (tenant, grant) in pending.tenants.iter().zip(&response.grants) {
            if tenant.tenant == grant.tenant {
                self.apply_grant(now, &answered, tenant, grant);
            }
        }
    }

    fn apply_grant(
        &mut self,
        now: Timestamp,
        answered: &AnsweredRequest,
        pending: &PendingTenant,
        grant: &CreditGrant,
    ) {
        let term = self.granted_in_term;
        let account = self.accounts.entry(pending.tenant.clone()).or_default();
        account.extend(now, term, answered);
        account.record_response(now, grant);
        let earliest = now + Duration::from_millis(grant.wait_millis);
        let granted = grant.granted_requests as usize;
        for (position, (claim, units)) in pending.claims.iter().enumerate() {
            let is_granted = position < granted;
            match self.claims.get_mut(claim) {
                Some(entry) if entry.stage == Stage::Sent && is_granted => {
                    let delay = grant.delays_millis.get(position).copied().unwrap_or(0);
                    entry.cover(now, CreditSource::Grant, term);
                    entry.stage = match delay {
                        0 => Stage::Covered,
                        delay => Stage::Reserved(now + Duration::from_millis(delay.into())),
                    };
                }
                Some(entry) if entry.stage == Stage::Sent => {
                    let denied_until = account.denied_until(now, entry.rank);
                    entry.stage = Stage::Denied(denied_until.unwrap_or(earliest));
                }
                // The claim was closed or overdrawn.
                _ if is_granted => account.return_units(*units, term, term),
                _ => {}
            }
        }
        let valid_until = answered.sent_at + STATED_LIFETIME;
        let lease = UnitLease::new(now, term, self.sequence, valid_until);
        account.add_reserve(now, grant.prefetched_units, lease);
    }

    /// Returns true if a response is overdue and nothing was received from the leader since
    /// `last_contact`.
    pub fn is_leader_unresponsive(&self, now: Timestamp, last_contact: Timestamp) -> bool {
        let timeout =
            MINIMUM_RESPONSE_TIMEOUT.max(self.mean_response_time * RESPONSE_TIMEOUT_FACTOR);
        let pending = self.pending.values().next();
        pending.is_some_and(|pending| now.since(pending.at.max(last_contact)) > timeout)
    }

    /// Counts the age of an unanswered request as a response time. Otherwise a gateway that
    /// disconnects from a slow leader would never adapt, and would disconnect again after each full
    /// update.
    fn record_unanswered(&mut self, now: Timestamp) {
        let oldest = self.pending.values().next();
        let waited = oldest.map_or(Duration::ZERO, |pending| now.since(pending.at));
        if waited >= MINIMUM_RESPONSE_TIMEOUT {
            self.record_response_time(waited);
        }
    }

    fn record_response_time(&mut self, elapsed: Duration) {
        self.mean_response_time = self
            .mean_response_time
            .mul_f64(1.0 - RESPONSE_TIME_SMOOTHING)
            + elapsed.mul_f64(RESPONSE_TIME_SMOOTHING);
    }

    /// Handles the loss of the connection; unanswered claims are sent to the next leader.
    pub fn handle_disconnect(&mut self, now: Timestamp) {
        self.record_unanswered(now);
        for account in self.accounts.values_mut() {
            account.forget_denials();
        }
        let pending = std::mem::take(&mut self.pending).into_values();
        for pending in pending.flat_map(|pending| pending.tenants) {
            let account = self.accounts.entry(pending.tenant).or_default();
            for (claim, _) in pending.claims {
                if let Some(entry) = self.claims.get_mut(&claim)
                    && entry.stage == Stage::Sent
                {
                    entry.stage = Stage::Queued;
                    account.queue.insert((entry.kind, entry.rank, claim));
                }
            }
        }
    }
}
