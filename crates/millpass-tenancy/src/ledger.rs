//! What the leader lends of each tenant's quota.
//!
//! Whatever gateways use was lent first, or is charged with their next word, so that the sum over all gateways
//! stays within the limit whoever fails. A new leader knows nothing of what the one before it lent: it begins
//! with empty buckets but for a part of what the contract bears above a limit, which is safe since the other lent no
//! more than the limit until its lease ended.

use crate::account::QuotaTerms;
use crate::limit::{TenantLimit, UnitBucket};
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, DeploymentDocument, Duration, TenantCreditRequest,
    TenantName, Timestamp,
};
use std::collections::HashMap;

/// Part of what the contract bears above a limit that a new leader begins with. A quarter: gateways without a leader
/// may use a half (`account`), and two changes of leader may fall into one window.
const OPENING_PART: f64 = 0.25;
/// Shortest time between two events of one tenant.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait that is told for a tenant that the document lacks.
const UNKNOWN_WAIT_MILLIS: u64 = 1_000;
/// Most waiting requests that one ask may name; a gateway sends the rest with its next.
pub const MAXIMUM_NEEDED: usize = 256;

/// A tenant used up its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExhausted {
    /// Tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: TenantLimit,
    /// Units that are left; below 0 when the last request took more than there was.
    pub level: f64,
    /// Requests that did not get their units since the last event.
    pub denied: u64,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: UnitBucket,
    denied: u64,
    event_at: Option<Timestamp>,
}

/// The leader's book of tenants' credit.
#[derive(Debug)]
pub struct CreditLedger {
    began: Timestamp,
    terms: QuotaTerms,
    version: Option<u64>,
    limits: HashMap<TenantName, Option<TenantLimit>>,
    accounts: HashMap<TenantName, Account>,
}

impl CreditLedger {
    /// A book without any account; `terms` say what the operators' contract bears above a limit.
    pub fn new(now: Timestamp, terms: QuotaTerms) -> Self {
        CreditLedger {
            began: now,
            terms,
            version: None,
            limits: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Goes by this document's limits from now on.
    pub fn put_in_force(&mut self, now: Timestamp, document: &DeploymentDocument) {
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
                account.bucket.fill(now, *limit);
            }
        }
        let limits = &self.limits;
        self.accounts
            .retain(|tenant, _| limits.contains_key(tenant));
    }

    /// Answers a gateway.
    pub fn answer(
        &mut self,
        now: Timestamp,
        term: u64,
        request: &CreditRequest,
    ) -> (CreditResponse, Vec<QuotaExhausted>) {
        let mut events = Vec::new();
        let grants = request
            .tenants
            .iter()
            .map(|ask| self.grant(now, ask, request.granted_in_term == term, &mut events))
            .collect();
        let answer = CreditResponse {
            term,
            sequence: request.sequence,
            grants,
        };
        (answer, events)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        ask: &TenantCreditRequest,
        lent_here: bool,
        events: &mut Vec<QuotaExhausted>,
    ) -> CreditGrant {
        let waiting = u32::try_from(ask.queued_units.len()).unwrap_or(u32::MAX);
        let mut grant = CreditGrant {
            tenant: ask.tenant.clone(),
            granted_requests: waiting,
            prefetched_units: 0,
            wait_millis: 0,
            over_half_available: true,
        };
        let limit = match self.limits.get(&ask.tenant) {
            Some(Some(limit)) => *limit,
            Some(None) => return grant,
            None => {
                grant.granted_requests = 0;
                grant.wait_millis = UNKNOWN_WAIT_MILLIS;
                return grant;
            }
        };
        let began = self.began;
        let opening = self.terms.borne_above(limit) * OPENING_PART;
        let account = self
            .accounts
            .entry(ask.tenant.clone())
            .or_insert_with(|| Account {
                bucket: UnitBucket::new(began, limit, opening),
                denied: 0,
                event_at: None,
            });
        let bucket = &mut account.bucket;
        bucket.fill(now, limit);
        bucket.put_back(ask.returned);
        if lent_here {
            // What was used while another led came out of that one's bucket, which this one began without.
            bucket.charge(ask.overdrawn);
        }
        let covered = ask
            .queued_units
            .iter()
            .take_while(|units| bucket.take(**units));
        grant.granted_requests = u32::try_from(covered.count()).unwrap_or(u32::MAX);
        grant.over_half_available = bucket.has_plenty();
        if grant.granted_requests == waiting {
            grant.prefetched_units = bucket.take_plenty(ask.prefetch_units);
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
                tenant: ask.tenant.clone(),
                limit,
                level: account.bucket.level(),
                denied: std::mem::take(&mut account.denied),
            });
        }
        grant
    }
}
