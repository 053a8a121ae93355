//! A gateway's credit of tenants' quotas: what the leader lent it, and the requests that wait for more.

use crate::ledger::MAXIMUM_NEEDED;
use crate::limit::TenantLimit;
use millpass_proto::{
    CreditAnswer, CreditAsk, CreditGrant, CreditRequest, Duration, TenantName, Timestamp,
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Time for which units lent for requests to come are kept; then they go back. Far below a window of any quota,
/// so that what is used in a window was lent little before it.
const RESERVE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after a tenant's last request for which units for its next ones are wished for.
const RESERVE_INTEREST: Duration = Duration::from_secs(3);
/// Weight of the newest request in the averaged cost of a tenant's requests.
const COST_WEIGHT: f64 = 0.2;
/// Time without an answer after which a request may use units that nobody lent: some times what an answer takes.
const OVERDRAFT_AFTER: Duration = Duration::from_millis(60);
/// Part of what the contract bears above a limit that gateways without a leader may use together in a window.
const OVERDRAFT_PART: f64 = 0.5;
/// Gateways assumed while their number is not known.
const UNKNOWN_GATEWAYS: u32 = 500;
/// Longest time for which a gateway takes a tenant as used up without asking anew.
const LONGEST_EXHAUSTED: Duration = Duration::from_millis(200);
/// Time between two looks at a request that waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

/// What the operators' contract bears above a tenant's limit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTerms {
    /// Length of the window in which use is summed.
    pub window: Duration,
    /// Part of the limit that is borne above it.
    pub overage: f64,
    /// Units borne beyond that in a window.
    pub slack_units: u64,
}

impl Default for QuotaTerms {
    /// Nothing is borne above a limit.
    fn default() -> Self {
        QuotaTerms {
            window: Duration::from_secs(10),
            overage: 0.0,
            slack_units: 0,
        }
    }
}

/// A request's claim on its tenant's credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CreditClaim(u64);

/// Where a claim stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOutcome {
    /// The request may go.
    Covered,
    /// Ask again when something changes, or at this time.
    Pending {
        /// When to ask again at the latest.
        until: Timestamp,
    },
    /// The tenant has used up its quota for longer than the request waits.
    Denied {
        /// When there will be units again.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// To be asked for with the next message.
    Queued,
    /// Asked for.
    Asked,
    /// The leader has none until then.
    Denied(Timestamp),
    Covered,
}

#[derive(Debug)]
struct Claim {
    tenant: TenantName,
    limit: TenantLimit,
    units: u64,
    stage: Stage,
    opened_at: Timestamp,
    /// Until when it waits for a tenant that has used up its quota.
    patient_until: Timestamp,
}

#[derive(Debug, Default)]
struct Account {
    /// Units lent for requests to come, and until when they are kept; the oldest first.
    reserves: VecDeque<(u64, Timestamp)>,
    /// Claims to be asked for.
    queue: VecDeque<CreditClaim>,
    returned: u64,
    overdrawn: u64,
    /// Units used without being lent in the last window.
    overdrafts: VecDeque<(Timestamp, u64)>,
    exhausted_until: Timestamp,
    mean_cost: f64,
    last_request: Timestamp,
}

impl Account {
    fn reserve(&self) -> u64 {
        self.reserves.iter().map(|(units, _)| units).sum()
    }

    /// Takes a request's cost from the reserve, or nothing.
    fn take(&mut self, units: u64) -> bool {
        if self.reserve() < units {
            return false;
        }
        let mut left = units;
        while left > 0 {
            let Some((first, _)) = self.reserves.front_mut() else {
                break;
            };
            let taken = left.min(*first);
            *first -= taken;
            left -= taken;
            if *first == 0 {
                self.reserves.pop_front();
            }
        }
        true
    }

    fn keep(&mut self, now: Timestamp, units: u64) {
        if units > 0 {
            self.reserves.push_back((units, now + RESERVE_LIFETIME));
        }
    }

    /// Units whose time is over go back.
    fn expire(&mut self, now: Timestamp) {
        while let Some((units, until)) = self.reserves.front().copied()
            && until <= now
        {
            self.returned += units;
            self.reserves.pop_front();
        }
    }

    /// Units wished for: one request's cost, while requests come.
    fn wished(&self, now: Timestamp) -> u64 {
        if now.since(self.last_request) >= RESERVE_INTEREST {
            return 0;
        }
        (self.mean_cost as u64).saturating_sub(self.reserve())
    }

    fn noted(&mut self, now: Timestamp, units: u64) {
        let cost = units as f64;
        self.mean_cost = if self.mean_cost == 0.0 {
            cost
        } else {
            self.mean_cost * (1.0 - COST_WEIGHT) + cost * COST_WEIGHT
        };
        self.last_request = now;
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        self.reserves.is_empty()
            && self.queue.is_empty()
            && self.returned == 0
            && self.overdrawn == 0
            && self.overdrafts.is_empty()
            && now.since(self.last_request) >= RESERVE_INTEREST
    }
}

/// What a message asked for one tenant.
#[derive(Debug)]
struct TenantAsked {
    tenant: TenantName,
    /// Claims with their units, in the order of the message.
    claims: Vec<(CreditClaim, u64)>,
}

/// One gateway's credit.
#[derive(Debug, Default)]
pub struct CreditPool {
    terms: QuotaTerms,
    accounts: BTreeMap<TenantName, Account>,
    claims: HashMap<u64, Claim>,
    last_claim: u64,
    sequence: u64,
    /// What each message asked for that is not answered yet.
    asked: BTreeMap<u64, Vec<TenantAsked>>,
}

impl CreditPool {
    /// A pool without any credit.
    pub fn new(terms: QuotaTerms) -> Self {
        CreditPool {
            terms,
            ..CreditPool::default()
        }
    }

    /// A request needs units; it waits up to `patience` for a tenant that has used up its quota.
    pub fn open(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        limit: TenantLimit,
        units: u64,
        patience: Duration,
    ) -> CreditClaim {
        self.last_claim += 1;
        let claim = CreditClaim(self.last_claim);
        let account = self.accounts.entry(tenant.clone()).or_default();
        account.expire(now);
        account.noted(now, units);
        let stage = if account.queue.is_empty() && account.take(units) {
            Stage::Covered
        } else if now < account.exhausted_until {
            Stage::Denied(account.exhausted_until)
        } else {
            account.queue.push_back(claim);
            Stage::Queued
        };
        let opened = Claim {
            tenant: tenant.clone(),
            limit,
            units,
            stage,
            opened_at: now,
            patient_until: now + patience,
        };
        self.claims.insert(claim.0, opened);
        claim
    }

    /// Where a claim stands. `gateways` share what may be used without a leader; 0 while unknown.
    pub fn outcome(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> CreditOutcome {
        let Some(found) = self.claims.get_mut(&claim.0) else {
            return CreditOutcome::Pending {
                until: now + LOOK_INTERVAL,
            };
        };
        match found.stage {
            Stage::Covered => CreditOutcome::Covered,
            Stage::Denied(until) if until > found.patient_until => CreditOutcome::Denied {
                retry_after: until.since(now),
            },
            Stage::Denied(until) if now < until => CreditOutcome::Pending { until },
            Stage::Denied(_) => {
                found.stage = Stage::Queued;
                let account = self.accounts.entry(found.tenant.clone()).or_default();
                account.queue.push_back(claim);
                CreditOutcome::Pending {
                    until: now + LOOK_INTERVAL,
                }
            }
            Stage::Queued | Stage::Asked => {
                if now.since(found.opened_at) >= OVERDRAFT_AFTER
                    && self.overdraw(now, claim, gateways)
                {
                    return CreditOutcome::Covered;
                }
                CreditOutcome::Pending {
                    until: now + LOOK_INTERVAL,
                }
            }
        }
    }

    /// Uses units that nobody lent, within this gateway's part of what the contract bears.
    fn overdraw(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> bool {
        let gateways = match gateways {
            0 => UNKNOWN_GATEWAYS,
            known => known,
        };
        let terms = self.terms;
        let Some(found) = self.claims.get_mut(&claim.0) else {
            return false;
        };
        let account = self.accounts.entry(found.tenant.clone()).or_default();
        while let Some((at, _)) = account.overdrafts.front()
            && now.since(*at) >= terms.window
        {
            account.overdrafts.pop_front();
        }
        let limit = found.limit;
        let borne = terms.overage
            * (limit.units_per_second as f64 * terms.window.as_secs_f64()
                + limit.burst_units as f64)
            + terms.slack_units as f64;
        let used: u64 = account.overdrafts.iter().map(|(_, units)| units).sum();
        let room = borne * OVERDRAFT_PART / f64::from(gateways);
        if (used + found.units) as f64 > room {
            return false;
        }
        account.overdrafts.push_back((now, found.units));
        account.overdrawn += found.units;
        account.queue.retain(|queued| *queued != claim);
        // An answer that still covers it finds it covered: those units are kept for others.
        found.stage = Stage::Covered;
        true
    }

    /// A request is over, or goes on without its claim. Units of one that did not run are kept for others.
    pub fn close(&mut self, now: Timestamp, claim: CreditClaim, ran: bool) {
        let Some(found) = self.claims.remove(&claim.0) else {
            return;
        };
        let account = self.accounts.entry(found.tenant).or_default();
        account.queue.retain(|queued| *queued != claim);
        if found.stage == Stage::Covered && !ran {
            account.keep(now, found.units);
        }
    }

    /// Whether a request waits that the leader was not asked for.
    pub fn is_urgent(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.queue.is_empty())
    }

    /// The next message to the leader, if there is something to say. Reserves alone are spoken of only with
    /// the `periodic` message.
    pub fn message(
        &mut self,
        now: Timestamp,
        gateway: &str,
        periodic: bool,
    ) -> Option<CreditRequest> {
        let mut asks = Vec::new();
        let mut asked = Vec::new();
        self.accounts.retain(|_, account| !account.is_idle(now));
        for (tenant, account) in &mut self.accounts {
            account.expire(now);
            let reserve = account.wished(now);
            let settles = account.returned > 0 || account.overdrawn > 0 || reserve > 0;
            if account.queue.is_empty() && !(periodic && settles) {
                continue;
            }
            let count = account.queue.len().min(MAXIMUM_NEEDED);
            let mut claims = Vec::new();
            for claim in account.queue.drain(..count) {
                if let Some(found) = self.claims.get_mut(&claim.0) {
                    found.stage = Stage::Asked;
                    claims.push((claim, found.units));
                }
            }
            let needed = claims.iter().map(|(_, units)| *units).collect();
            asked.push(TenantAsked {
                tenant: tenant.clone(),
                claims,
            });
            asks.push(CreditAsk {
                tenant: tenant.clone(),
                needed,
                reserve,
                returned: std::mem::take(&mut account.returned),
                overdrawn: std::mem::take(&mut account.overdrawn),
            });
        }
        if asks.is_empty() {
            return None;
        }
        self.sequence += 1;
        self.asked.insert(self.sequence, asked);
        Some(CreditRequest {
            gateway: gateway.to_owned(),
            sequence: self.sequence,
            asks,
        })
    }

    /// Takes the leader's answer.
    pub fn answer(&mut self, now: Timestamp, answer: &CreditAnswer) {
        let Some(asked) = self.asked.remove(&answer.sequence) else {
            return;
        };
        for (asked, grant) in asked.into_iter().zip(&answer.grants) {
            if asked.tenant == grant.tenant {
                self.take_grant(now, &asked, grant);
            }
        }
    }

    fn take_grant(&mut self, now: Timestamp, asked: &TenantAsked, grant: &CreditGrant) {
        let account = self.accounts.entry(asked.tenant.clone()).or_default();
        let until = now + Duration::from_millis(grant.wait_millis);
        let covered = grant.covered as usize;
        for (place, (claim, units)) in asked.claims.iter().enumerate() {
            let lent = place < covered;
            match self.claims.get_mut(&claim.0) {
                Some(found) if found.stage == Stage::Asked => {
                    found.stage = if lent {
                        Stage::Covered
                    } else {
                        Stage::Denied(until)
                    };
                }
                // Gone, or gone on without it: what was lent for it serves others.
                _ if lent => account.keep(now, *units),
                _ => {}
            }
        }
        account.keep(now, grant.reserve);
        if grant.wait_millis > 0 {
            account.exhausted_until = until.min(now + LONGEST_EXHAUSTED);
        }
    }

    /// The connection to the leader is gone: what it was asked for is asked of the next.
    pub fn disconnected(&mut self) {
        for asked in std::mem::take(&mut self.asked).into_values().flatten() {
            let account = self.accounts.entry(asked.tenant).or_default();
            for (claim, _) in asked.claims.into_iter().rev() {
                if let Some(found) = self.claims.get_mut(&claim.0)
                    && found.stage == Stage::Asked
                {
                    found.stage = Stage::Queued;
                    account.queue.push_front(claim);
                }
            }
        }
    }
}
