//! Ledger of the leader: units granted from each tenant's quota.
//!
//! What the bucket holds, what gateways hold in reserve and what may be returned to the bucket are
//! together within the burst and a part of the tolerance. What is granted in a window is thus within
//! its refill, the burst and the tolerance, whichever process fails. A new leader has no record of
//! earlier grants: its buckets start with a fraction of the tolerance only, as its predecessor may
//! have granted up to the limit until its lease expired.

use crate::events::{CreditEvent, CreditTotals, QuotaExhausted};
use crate::holdings::{HeldStatement, Holdings};
use crate::lease::STATED_LIFETIME;
use crate::limit::{TenantLimit, UnitBucket};
use crate::priority::{PriorityTracker, RankRule};
use crate::tolerance::QuotaTolerance;
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, DeploymentDocument, Duration, RankDenial,
    TenantCreditRequest, TenantName, Timestamp,
};
use std::collections::HashMap;

/// Fraction of the burst that gateways may hold in reserve. The rest is left to whichever gateway
/// needs it; large requests need it most.
const RESERVABLE_BURST_FRACTION: f64 = 0.25;
/// Minimum interval between two events of one tenant.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait sent for a tenant that is not in the document.
const UNKNOWN_TENANT_WAIT_MILLIS: u64 = 1_000;
/// Maximum number of waiting requests per tenant in one credit request; the rest follows in the
/// next.
pub const MAXIMUM_CLAIMS_PER_REQUEST: usize = 256;

/// The gateway that sent a request.
struct Sender {
    connection: u64,
    sequence: u64,
    answered: u64,
    /// Its grants are of this leader.
    is_current_term: bool,
}

/// What bounds the grants of one request.
struct GrantTerms {
    limit: TenantLimit,
    /// Units that may be promised to ranks below others.
    promisable: u64,
    /// Units by which repeated sends may take the bucket below zero.
    repeatable: f64,
}

/// Units charged before the refill brings them, for a rank below others.
#[derive(Clone, Copy, Debug)]
struct Promise {
    due: Timestamp,
    rank: u32,
    units: u64,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: UnitBucket,
    holdings: Holdings,
    /// Granted units that the bucket has room for if they are returned.
    refundable: f64,
    priority: PriorityTracker,
    promises: Vec<Promise>,
    denied: u64,
    event_at: Option<Timestamp>,
    totals: CreditTotals,
    totals_at: Timestamp,
}

/// Credit of all tenants, kept by the leader.
#[derive(Debug)]
pub struct CreditLedger {
    started_at: Timestamp,
    has_opening_credit: bool,
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
            has_opening_credit: true,
            tolerance,
            version: None,
            limits: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Starts with empty buckets, as too many leaders may have started within the window.
    pub fn without_opening_credit(mut self) -> Self {
        self.has_opening_credit = false;
        self
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

    /// Grants units to a gateway, which sent the request on a connection. Returns the response and
    /// the events to log.
    pub fn handle_request(
        &mut self,
        now: Timestamp,
        term: u64,
        connection: u64,
        request: &CreditRequest,
    ) -> (CreditResponse, Vec<CreditEvent>) {
        let mut events = Vec::new();
        let sender = Sender {
            connection,
            sequence: request.sequence,
            answered: request.answered,
            is_current_term: request.granted_in_term == term,
        };
        let grants = request
            .tenants
            .iter()
            .map(|tenant_request| self.grant(now, tenant_request, &sender, &mut events))
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
        sender: &Sender,
        events: &mut Vec<CreditEvent>,
    ) -> CreditGrant {
        let waiting = u32::try_from(tenant_request.queued_units.len()).unwrap_or(u32::MAX);
        let mut grant = CreditGrant {
            tenant: tenant_request.tenant.clone(),
            granted_requests: waiting,
            prefetched_units: 0,
            wait_millis: 0,
            delays_millis: Vec::new(),
            denials: Vec::new(),
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
        let initial_units = match self.has_opening_credit {
            true => self.tolerance.opening(limit),
            false => 0.0,
        };
        let account = self
            .accounts
            .entry(tenant_request.tenant.clone())
            .or_insert_with(|| Account {
                bucket: UnitBucket::new(started_at, limit, initial_units),
                holdings: Holdings::default(),
                refundable: 0.0,
                priority: PriorityTracker::default(),
                promises: Vec::new(),
                denied: 0,
                event_at: None,
                totals: CreditTotals::new(tenant_request.tenant.clone()),
                totals_at: now,
            });
        events.extend(account.take_totals(now).map(CreditEvent::Totals));
        account.settle(now, limit, tenant_request, sender, &self.tolerance);
        account.promises.retain(|promise| now < promise.due);
        account.record_demand(now, tenant_request);
        let rules = account.priority.rules(now, limit, account.bucket.level());
        // A predecessor's grants and the opening credit may use the tolerance of a new leader's
        // first window.
        let is_first_window = now.since(started_at) < self.tolerance.window;
        let promisable = match is_first_window {
            true => 0,
            false => self.tolerance.promised(limit) as u64,
        };
        let terms = GrantTerms {
            limit,
            promisable,
            repeatable: self.tolerance.repeated(limit),
        };
        account.grant_claims(now, &terms, tenant_request, &rules, &mut grant);
        let denied = waiting - grant.granted_requests;
        let level = account.bucket.level();
        grant.denials = account.denials(&rules, limit);
        let is_overloaded = account.priority.is_overloaded() || !grant.denials.is_empty();
        if denied == 0 && !is_overloaded {
            let burst = limit.capacity() * RESERVABLE_BURST_FRACTION;
            let room = self.tolerance.held(limit) + burst - account.holdings.total() as f64;
            let prefetch = tenant_request.prefetch_units.min(room.max(0.0) as u64);
            grant.prefetched_units = account.bucket.take_surplus(prefetch);
            account.totals.prefetched += grant.prefetched_units;
            let until = now + STATED_LIFETIME;
            let (connection, sequence) = (sender.connection, sender.sequence);
            account
                .holdings
                .add(connection, sequence, grant.prefetched_units, until);
            return grant;
        }
        if denied > 0 {
            grant.wait_millis = account.bucket.wait_millis().max(1);
        }
        let unclaimed = tenant_request.unclaimed.iter();
        let refused: u64 = unclaimed
            .filter(|demand| is_denied(&grant.denials, demand.rank))
            .map(|demand| u64::from(demand.requests))
            .sum();
        account.denied += u64::from(denied) + refused;
        if account.denied > 0
            && account
                .event_at
                .is_none_or(|at| now.since(at) >= EVENT_INTERVAL)
        {
            account.event_at = Some(now);
            let denied_rank = grant.denials.first().map(|denial| denial.rank);
            let rule = rules.iter().find(|rule| Some(rule.rank) == denied_rank);
            events.push(CreditEvent::Exhausted(QuotaExhausted {
                tenant: tenant_request.tenant.clone(),
                limit,
                level,
                denied: std::mem::take(&mut account.denied),
                denied_rank,
                threshold: rule.map_or(1.0, |rule| rule.threshold),
                wanted: rules.iter().map(|rule| (rule.rank, rule.wanted)).collect(),
            }));
        }
        grant
    }
}

impl Account {
    /// Refills the bucket and applies what a gateway states to hold, returned and used without a
    /// grant.
    fn settle(
        &mut self,
        now: Timestamp,
        limit: TenantLimit,
        request: &TenantCreditRequest,
        sender: &Sender,
        tolerance: &QuotaTolerance,
    ) {
        self.bucket.refill(now, limit);
        self.holdings.sweep(now);
        if sender.is_current_term {
            let statement = HeldStatement {
                answered: sender.answered,
                units: request.held_units,
                until: now + STATED_LIFETIME,
            };
            let freed = self.holdings.state(now, sender.connection, statement);
            self.refundable = (self.refundable + freed).max(0.0);
            let returned = (request.returned as f64).min(self.refundable) as u64;
            self.refundable -= returned as f64;
            self.bucket.refund(returned);
            self.bucket.charge(request.overdrawn);
            self.totals.returned += returned;
            self.totals.overdrawn += request.overdrawn;
        } else {
            // Units used under another leader came from that leader's bucket.
            self.totals.uncharged += request.overdrawn;
        }
        let free = limit.capacity() + tolerance.held(limit) - self.holdings.total() as f64;
        self.bucket.cap(free);
        // Once the bucket is full, units that are returned later have refilled already.
        self.refundable = self.refundable.min(free - self.bucket.level());
    }

    /// Takes the totals to log once an interval, while less than half of the burst is left.
    fn take_totals(&mut self, now: Timestamp) -> Option<CreditTotals> {
        if now.since(self.totals_at) < EVENT_INTERVAL || self.bucket.has_surplus() {
            return None;
        }
        self.totals_at = now;
        let next = CreditTotals::new(self.totals.tenant.clone());
        let totals = std::mem::replace(&mut self.totals, next);
        Some(CreditTotals {
            level: self.bucket.level(),
            ..totals
        })
    }

    /// Level of the bucket for a rank: it goes ahead of promises to less urgent ones.
    fn level_for(&self, rank: u32) -> f64 {
        let lower = self.promises.iter().filter(|promise| promise.rank > rank);
        self.bucket.level() + lower.map(|promise| promise.units as f64).sum::<f64>()
    }

    /// Returns the ranks that gateways deny without a message, as long as the level allows none of
    /// their requests. A rank below these that isn't denied is listed with a hold time of 0.
    fn denials(&self, rules: &[RankRule], limit: TenantLimit) -> Vec<RankDenial> {
        let mut denials: Vec<RankDenial> = Vec::new();
        for rule in rules {
            let level = self.level_for(rule.rank);
            let hold = rule.hold(level);
            if hold.is_none() && denials.is_empty() {
                continue;
            }
            let retry = hold.map(|hold| rule.retry(level, limit, hold));
            denials.push(RankDenial {
                rank: rule.rank,
                hold_millis: hold.map_or(0, round_up_to_millis),
                retry_millis: retry.map_or(0, round_up_to_millis),
            });
        }
        denials
    }

    /// Records the demand that a request of a gateway states.
    fn record_demand(&mut self, now: Timestamp, request: &TenantCreditRequest) {
        for (position, units) in request.queued_units.iter().enumerate() {
            let rank = rank_of(request, position);
            self.priority.record_demand(now, rank, 1, *units);
            self.priority
                .record_wait(rank, longest_wait_of(request, position));
        }
        for demand in &request.unclaimed {
            self.priority
                .record_demand(now, demand.rank, demand.requests, demand.units);
            self.priority.record_denied(demand.rank, demand.units);
        }
    }

    /// Grants queued claims in order, until one is denied.
    fn grant_claims(
        &mut self,
        now: Timestamp,
        terms: &GrantTerms,
        request: &TenantCreditRequest,
        rules: &[RankRule],
        grant: &mut CreditGrant,
    ) {
        let repeated = request.repeated as usize;
        grant.granted_requests = 0;
        for (position, units) in request.queued_units.iter().enumerate() {
            let longest_wait = longest_wait_of(request, position);
            let delay = if position < repeated {
                self.delay_of_repeat(*units, longest_wait, terms)
            } else {
                let rank = rank_of(request, position);
                self.delay_of_new(now, rank, *units, longest_wait, rules, terms)
            };
            let Some(delay) = delay else {
                break;
            };
            self.bucket.charge(*units);
            self.refundable += *units as f64;
            let delay_millis = round_up_to_millis(delay);
            grant.granted_requests += 1;
            if delay_millis == 0 {
                self.totals.granted += units;
            } else {
                self.totals.promised += units;
                grant.delays_millis.resize(position, 0);
                grant.delays_millis.push(delay_millis);
            }
        }
        let denied = request.queued_units.iter().enumerate();
        for (position, units) in denied.skip(grant.granted_requests as usize) {
            self.priority
                .record_denied(rank_of(request, position), *units);
        }
    }

    /// Returns when a new request may run; `None` if it is denied.
    fn delay_of_new(
        &mut self,
        now: Timestamp,
        rank: u32,
        units: u64,
        longest_wait: Duration,
        rules: &[RankRule],
        terms: &GrantTerms,
    ) -> Option<Duration> {
        let rule = self.priority.rule_of(rules, rank)?;
        let delay = rule.delay(self.level_for(rank), longest_wait)?;
        if !delay.is_zero() && rule.is_preceded(terms.limit) {
            let promised: u64 = self.promises.iter().map(|promise| promise.units).sum();
            if promised.saturating_add(units) > terms.promisable {
                return None;
            }
            self.promises.push(Promise {
                due: now + delay,
                rank,
                units,
            });
        }
        Some(delay)
    }

    /// Returns when a request may be sent again; `None` if it is denied. It may take the bucket below
    /// zero by the part of the tolerance for repeated sends.
    fn delay_of_repeat(
        &self,
        units: u64,
        longest_wait: Duration,
        terms: &GrantTerms,
    ) -> Option<Duration> {
        let needed = (units as f64 - terms.repeatable).min(1.0);
        let missing = (needed - self.bucket.level()).max(0.0);
        let delay = Duration::from_secs_f64(missing / terms.limit.rate());
        (delay <= longest_wait).then_some(delay)
    }
}

/// Returns the rank of a queued claim; claims without one are the least urgent.
fn rank_of(request: &TenantCreditRequest, position: usize) -> u32 {
    request.ranks.get(position).copied().unwrap_or(u32::MAX)
}

fn longest_wait_of(request: &TenantCreditRequest, position: usize) -> Duration {
    let millis = request.wait_limits_millis.get(position);
    Duration::from_millis(millis.copied().unwrap_or(0).into())
}

fn is_denied(denials: &[RankDenial], rank: u32) -> bool {
    let listed = denials.iter().rfind(|denial| denial.rank <= rank);
    listed.is_some_and(|denial| denial.hold_millis > 0)
}

fn round_up_to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
