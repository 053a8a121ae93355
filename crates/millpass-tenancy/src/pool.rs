//! Credit of all tenants at a gateway: granted units, and the requests that wait for more.

use crate::account::{Account, QuotaTolerance};
use crate::ledger::MAXIMUM_CLAIMS_PER_REQUEST;
use crate::limit::TenantLimit;
use millpass_proto::{
    CreditGrant, CreditRequest, CreditResponse, Duration, TenantCreditRequest, TenantName,
    Timestamp,
};
use std::collections::{BTreeMap, HashMap};

/// Minimum time without a response after which the leader counts as unresponsive.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
/// The same as a multiple of the average response time, so that gateways do not leave a busy
/// leader.
const SILENCE_ANSWERS: u32 = 8;
/// Weight of the newest response in the moving average of response times.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time without a response after which a request may use ungranted units; several usual response
/// times.
const OVERDRAFT_AFTER: Duration = Duration::from_millis(60);
/// Interval between checks of a waiting request.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

/// Handle of a request's claim on its tenant's credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CreditClaim(u64);

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOutcome {
    /// The units are granted; the request may run.
    Covered,
    /// Check again when a response arrives, or at this time.
    Pending {
        /// Time of the next check.
        until: Timestamp,
    },
    /// The quota is exhausted for longer than the request waits.
    Denied {
        /// Time until units are available again.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// To be sent with the next request.
    Queued,
    /// Sent to the leader.
    Asked,
    /// The leader has no units until this time.
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
    /// Until when it waits for an exhausted quota.
    patient_until: Timestamp,
}

/// A request to the leader without a response.
#[derive(Debug)]
struct Asked {
    at: Timestamp,
    tenants: Vec<TenantAsked>,
}

/// Part of a request that concerns one tenant.
#[derive(Debug)]
struct TenantAsked {
    tenant: TenantName,
    /// Claims with their units, in the order sent.
    claims: Vec<(CreditClaim, u64)>,
}

/// Credit of one gateway.
#[derive(Debug, Default)]
pub struct CreditPool {
    terms: QuotaTolerance,
    accounts: BTreeMap<TenantName, Account>,
    claims: HashMap<CreditClaim, Claim>,
    last_claim: u64,
    sequence: u64,
    /// Term of the leader that responded last.
    lent_in: u64,
    /// Unanswered requests by sequence number.
    asked: BTreeMap<u64, Asked>,
    /// Moving average of response times.
    answer_time: Duration,
}

impl CreditPool {
    /// Returns a pool without credit.
    pub fn new(terms: QuotaTolerance) -> Self {
        CreditPool {
            terms,
            ..CreditPool::default()
        }
    }

    /// Opens a claim for a request's units. The request waits up to `wait_limit` for an exhausted
    /// quota.
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

    /// Returns the state of a claim. `gateways` is the number of gateways that share the overdraft;
    /// 0 if unknown.
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

    /// Uses ungranted units for a claim.
    fn overdraw(&mut self, now: Timestamp, claim: CreditClaim, gateways: u32) -> bool {
        let Some(found) = self.claims.get_mut(&claim) else {
            return false;
        };
        let account = self.accounts.entry(found.tenant.clone()).or_default();
        if !account.overdraw(now, found.units, found.limit, &self.terms, gateways) {
            return false;
        }
        account.queue.retain(|queued| *queued != claim);
        // If a later response also covers the claim, its units go to the reserve.
        found.stage = Stage::Covered;
        true
    }

    /// Closes the claim of a request. The units of a request that did not run go to the reserve.
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

    /// Returns true if claims wait to be sent to the leader.
    pub fn has_queued_claims(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.queue.is_empty())
    }

    /// Returns the next request to the leader, if there is anything to send. Reserves, returns and
    /// overdrafts alone are sent only if `periodic` is set.
    pub fn next_request(
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
            let count = account.queue.len().min(MAXIMUM_CLAIMS_PER_REQUEST);
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

    /// Handles the leader's response.
    pub fn handle_response(&mut self, now: Timestamp, answer: &CreditResponse) {
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
                // The claim was closed or overdrawn; its units go to the reserve.
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

    /// Returns true if a response is overdue and nothing was received from the leader since
    /// `last_contact`.
    pub fn is_leader_unresponsive(&self, now: Timestamp, heard_at: Timestamp) -> bool {
        let longest = LEAST_SILENCE.max(self.answer_time * SILENCE_ANSWERS);
        let asked = self.asked.values().next();
        asked.is_some_and(|asked| now.since(asked.at.max(heard_at)) > longest)
    }

    /// Counts the age of an unanswered request as a response time. Otherwise a gateway that
    /// disconnects from a slow leader would never adapt, and would disconnect again after each full
    /// update.
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

    /// Handles the loss of the connection; unanswered claims are sent to the next leader.
    pub fn handle_disconnect(&mut self, now: Timestamp) {
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
