//! Ledger of the leader: units granted from each tenant's quota.
//!
//! Every unit that a gateway uses was granted before or is charged with its next request to the
//! same leader, so total use stays within the limit and its tolerance whichever process fails. A
//! new leader has no record of earlier grants: its buckets start with a fraction of the tolerance
//! only, as its predecessor may have granted up to the limit until its lease expired.

use crate::account::QuotaTolerance;
use crate::limit::{TenantLimit, UnitBucket};
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, DeploymentDocument, Duration, TenantCreditRequest,
    TenantName, Timestamp,
};
use std::collections::HashMap;

/// Fraction of the tolerance that a new leader's buckets start with. Gateways without a leader may
/// use half of the tolerance, and two changes of leader may fall into one window.
const OPENING_FRACTION: f64 = 0.25;
/// Minimum interval between two events of one tenant.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait sent for a tenant that is not in the document.
const UNKNOWN_TENANT_WAIT_MILLIS: u64 = 1_000;
/// Maximum number of waiting requests per tenant in one credit request; the rest follows in the
/// next.
pub const MAXIMUM_CLAIMS_PER_REQUEST: usize = 256;

/// Event: a tenant exhausted its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExhausted {
    /// Tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: TenantLimit,
    /// Units left; negative if the last request cost more than was left.
    pub level: f64,
    /// Requests denied since the last event.
    pub denied: u64,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: UnitBucket,
    denied: u64,
    event_at: Option<Timestamp>,
}

/// Credit of all tenants, kept by the leader.
#[derive(Debug)]
pub struct CreditLedger {
    started_at: Timestamp,
    tolerance: QuotaTolerance,
    version: Option<u64>,
    limits: HashMap<TenantName, Option<TenantLimit>>,
    accounts: HashMap<TenantName, Account>,
}

impl CreditLedger {
    /// Returns an empty ledger; `tolerance` is the use beyond a limit that is tolerated.
    pub fn new(now: Timestamp, tolerance: QuotaTolerance) -> Self {
        CreditLedger {
            started_at: now,
            tolerance,
            version: None,
            limits: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Applies the limits of a deployment document.
    pub fn apply_document(&mut self, now: Timestamp, document: &DeploymentDocument) {
        if self.version == Some(document.version) {
            return;
        }
        self.version = Some(document.version);
        let tenants = document.tenants.iter();
        self.limits = tenants
            .map(|tenant| (tenant.name.clone(), TenantLimit::of(tenant)))
            .collect();
        for (tenant, account) in &mut self.accounts {
            if let Some(Some(limit)) = self.limits.get(tenant) {
                account.bucket.refill(now, *limit);
            }
        }
        let limits = &self.limits;
        self.accounts
            .retain(|tenant, _| limits.contains_key(tenant));
    }

    /// Grants units to a gateway. Returns the response and the events to log.
    pub fn handle_request(
        &mut self,
        now: Timestamp,
        term: u64,
        request: &CreditRequest,
    ) -> (CreditResponse, Vec<QuotaExhausted>) {
        let mut events = Vec::new();
        let grants = request
            .tenants
            .iter()
            .map(|tenant_request| {
                self.grant(
                    now,
                    tenant_request,
                    request.granted_in_term == term,
                    &mut events,
                )
            })
            .collect();
        let response = CreditResponse {
            term,
            sequence: request.sequence,
            grants,
        };
        (response, events)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        tenant_request: &TenantCreditRequest,
        is_current_term: bool,
        events: &mut Vec<QuotaExhausted>,
    ) -> CreditGrant {
        let waiting = u32::try_from(tenant_request.queued_units.len()).unwrap_or(u32::MAX);
        let mut grant = CreditGrant {
            tenant: tenant_request.tenant.clone(),
            granted_requests: waiting,
            prefetched_units: 0,
            wait_millis: 0,
            over_half_available: true,
        };
        let limit = match self.limits.get(&tenant_request.tenant) {
            Some(Some(limit)) => *limit,
            Some(None) => return grant,
            None => {
                grant.granted_requests = 0;
                grant.wait_millis = UNKNOWN_TENANT_WAIT_MILLIS;
                return grant;
            }
        };
        let started_at = self.started_at;
        let initial_units = self.tolerance.tolerated_above(limit) * OPENING_FRACTION;
        let account = self
            .accounts
            .entry(tenant_request.tenant.clone())
            .or_insert_with(|| Account {
                bucket: UnitBucket::new(started_at, limit, initial_units),
                denied: 0,
                event_at: None,
            });
        let bucket = &mut account.bucket;
        bucket.refill(now, limit);
        bucket.refund(tenant_request.returned);
        if is_current_term {
            // Units used under another leader came from that leader's bucket.
            bucket.charge(tenant_request.overdrawn);
        }
        let granted = tenant_request
            .queued_units
            .iter()
            .take_while(|units| bucket.try_take(**units));
        grant.granted_requests = u32::try_from(granted.count()).unwrap_or(u32::MAX);
        grant.over_half_available = bucket.has_surplus();
        if grant.granted_requests == waiting {
            grant.prefetched_units = bucket.take_surplus(tenant_request.prefetch_units);
            return grant;
        }
        grant.wait_millis = bucket.wait_millis().max(1);
        account.denied += u64::from(waiting - grant.granted_requests);
        if account
            .event_at
            .is_none_or(|at| now.since(at) >= EVENT_INTERVAL)
        {
            account.event_at = Some(now);
            events.push(QuotaExhausted {
                tenant: tenant_request.tenant.clone(),
                limit,
                level: account.bucket.level(),
                denied: std::mem::take(&mut account.denied),
            });
        }
        grant
    }
}
