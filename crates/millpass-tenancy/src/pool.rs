//! A gateway's credit of tenants' quotas: what the leader lent it, and the requests that wait for more.

use crate::account::{Account, QuotaTerms};
use crate::ledger::MAXIMUM_NEEDED;
use crate::limit::TenantLimit;
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, Duration, TenantCreditRequest, TenantName,
    Timestamp,
};
use std::collections::{BTreeMap, HashMap};

/// Shortest time without an answer after which the leader counts as silent: by then its members notice too.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
/// The same in the averaged time of an answer: a leader that is busy answers late, and must not lose its gateways.
const SILENCE_ANSWERS: u32 = 8;
/// Weight of the newest answer in the averaged time of an answer.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time without an answer after which a request may use units that nobody lent: some times what an answer takes.
const OVERDRAFT_AFTER: Duration = Duration::from_millis(60);
/// Time between two looks at a request that waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

/// A request's claim on its tenant's credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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

/// A message that is not answered yet.
#[derive(Debug)]
struct Asked {
    at: Timestamp,
    tenants: Vec<TenantAsked>,
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
    claims: HashMap<CreditClaim, Claim>,
    last_claim: u64,
    sequence: u64,
    /// Term of the leader that lent last.
    lent_in: u64,
    /// What each message asked for that is not answered yet.
    asked: BTreeMap<u64, Asked>,
    /// Averaged time of an answer.
    answer_time: Duration,
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
        account.note_request(now, units);
        let stage = if account.queue.is_empty() && account.take(units) {
            Stage::Covered
        } else if let Some(until) = account.exhausted_until(now) {
            Stage::Denied(until)
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
        self.claims.insert(claim, opened);
        claim
    }

    /// Where a claim stands. `gateways` share what may be used without a leader; 0 while unknown.
    pub fn outcome(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> CreditOutcome {
        let Some(found) = self.claims.get_mut(&claim) else {
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

    /// Uses units that nobody lent.
    fn overdraw(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> bool {
        let Some(found) = self.claims.get_mut(&claim) else {
            return false;
        };
        let account = self.accounts.entry(found.tenant.clone()).or_default();
        if !account.overdraw(now, found.units, found.limit, &self.terms, gateways) {
            return false;
        }
        account.queue.retain(|queued| *queued != claim);
        // An answer that still covers it finds it covered: those units are kept for others.
        found.stage = Stage::Covered;
        true
    }

    /// A request is over, or goes on without its claim. Units of one that did not run are kept for others.
    pub fn close(&mut self, now: Timestamp, claim: CreditClaim, ran: bool) {
        let Some(found) = self.claims.remove(&claim) else {
            return;
        };
        let account = self.accounts.entry(found.tenant).or_default();
        account.queue.retain(|queued| *queued != claim);
        match (found.stage, ran) {
            (Stage::Covered, true) => account.note_use(now, found.units),
            (Stage::Covered, false) => account.keep(now, found.units),
            _ => {}
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
                if let Some(found) = self.claims.get_mut(&claim) {
                    found.stage = Stage::Asked;
                    claims.push((claim, found.units));
                }
            }
            let needed = claims.iter().map(|(_, units)| *units).collect();
            asked.push(TenantAsked {
                tenant: tenant.clone(),
                claims,
            });
            asks.push(TenantCreditRequest {
                tenant: tenant.clone(),
                queued_units: needed,
                prefetch_units: reserve,
                returned: std::mem::take(&mut account.returned),
                overdrawn: std::mem::take(&mut account.overdrawn),
            });
        }
        if asks.is_empty() {
            return None;
        }
        self.sequence += 1;
        let tenants = asked;
        self.asked.insert(self.sequence, Asked { at: now, tenants });
        Some(CreditRequest {
            gateway: gateway.to_owned(),
            sequence: self.sequence,
            tenants: asks,
            granted_in_term: self.lent_in,
        })
    }

    /// Takes the leader's answer.
    pub fn answer(&mut self, now: Timestamp, answer: &CreditResponse) {
        self.lent_in = answer.term;
        let Some(asked) = self.asked.remove(&answer.sequence) else {
            return;
        };
        self.note_answer_time(now.since(asked.at));
        for (asked, grant) in asked.tenants.into_iter().zip(&answer.grants) {
            if asked.tenant == grant.tenant {
                self.take_grant(now, &asked, grant);
            }
        }
    }

    fn take_grant(&mut self, now: Timestamp, asked: &TenantAsked, grant: &CreditGrant) {
        let account = self.accounts.entry(asked.tenant.clone()).or_default();
        let until = now + Duration::from_millis(grant.wait_millis);
        let covered = grant.granted_requests as usize;
        for (place, (claim, units)) in asked.claims.iter().enumerate() {
            let lent = place < covered;
            match self.claims.get_mut(claim) {
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
        account.keep(now, grant.prefetched_units);
        account.answered(
            now,
            grant.over_half_available,
            (grant.wait_millis > 0).then_some(until),
        );
    }

    /// Whether the leader owes an answer for longer than one takes, and nothing was heard of it since.
    pub fn is_leader_silent(&self, now: Timestamp, heard_at: Timestamp) -> bool {
        let longest = LEAST_SILENCE.max(self.answer_time * SILENCE_ANSWERS);
        let asked = self.asked.values().next();
        asked.is_some_and(|asked| now.since(asked.at.max(heard_at)) > longest)
    }

    /// An answer that never came took at least this long. Otherwise a gateway that leaves a busy leader would never
    /// learn how long it takes, and leave it again and again, each time to be told everything anew.
    fn note_unanswered(&mut self, now: Timestamp) {
        let oldest = self.asked.values().next();
        let waited = oldest.map_or(Duration::ZERO, |asked| now.since(asked.at));
        if waited >= LEAST_SILENCE {
            self.note_answer_time(waited);
        }
    }

    fn note_answer_time(&mut self, took: Duration) {
        self.answer_time =
            self.answer_time.mul_f64(1.0 - ANSWER_WEIGHT) + took.mul_f64(ANSWER_WEIGHT);
    }

    /// The connection to the leader is gone: what it was asked for is asked of the next.
    pub fn disconnected(&mut self, now: Timestamp) {
        self.note_unanswered(now);
        let asked = std::mem::take(&mut self.asked).into_values();
        for asked in asked.flat_map(|asked| asked.tenants) {
            let account = self.accounts.entry(asked.tenant).or_default();
            for (claim, _) in asked.claims.into_iter().rev() {
                if let Some(found) = self.claims.get_mut(&claim)
                    && found.stage == Stage::Asked
                {
                    found.stage = Stage::Queued;
                    account.queue.push_front(claim);
                }
            }
        }
    }
}
