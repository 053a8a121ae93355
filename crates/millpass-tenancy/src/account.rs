//! Credit of one tenant at a gateway: reserved units, and overdraft while the leader is
//! unreachable.

use crate::claim::{ClaimKind, CreditClaim};
use crate::lease::{AnsweredRequest, UnitLease};
use crate::limit::TenantLimit;
use crate::tolerance::QuotaTolerance;
use millpass_proto::{CreditGrant, Duration, RankDemand, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long reserved units are kept before they are returned. Much shorter than a quota window, so
/// that units are used in the window in which they were granted.
const RESERVE_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long after a tenant's last request units are reserved for its next ones.
const RESERVE_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Reserve to request, as a time at the current rate of use.
const RESERVE_HORIZON: Duration = Duration::from_millis(250);
/// Minimum interval between messages that only request a reserve; the leader may have none to spare.
const RESERVE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the newest request in the moving average of request costs.
const COST_SMOOTHING: f64 = 0.2;
/// Time constant of the moving average of a tenant's use.
const USE_AVERAGE_SECONDS: f64 = 3.0;
/// Number of gateways assumed while it is unknown.
const DEFAULT_GATEWAYS: u32 = 500;
/// Maximum number of ranks whose unclaimed demand is kept for the next message.
const MAXIMUM_UNCLAIMED_RANKS: usize = 16;

/// What bounds the use of ungranted units at a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverdraftTerms<'a> {
    pub(crate) limit: TenantLimit,
    pub(crate) tolerance: &'a QuotaTolerance,
    /// Gateways that share the tolerance; 0 if unknown.
    pub(crate) gateways: u32,
}

/// Units granted ahead of requests.
#[derive(Debug)]
struct Reserve {
    units: u64,
    lease: UnitLease,
    /// When unused units are returned.
    until: Timestamp,
}

/// Denial of a rank, as stated by the leader.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// Most urgent rank that it concerns.
    rank: u32,
    /// Until when requests are denied without a message.
    held_until: Timestamp,
    /// When a request of this rank can expect units.
    retry_at: Timestamp,
}

/// Credit of one tenant at a gateway.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// Oldest first.
    reserves: VecDeque<Reserve>,
    /// Claims to send with the next request: kinds and ranks with their claims, most urgent and
    /// oldest first.
    pub(crate) queue: BTreeSet<(ClaimKind, u32, CreditClaim)>,
    /// Units to return with the next request.
    pub(crate) returned: u64,
    /// Units used without a grant, to report with the next request.
    pub(crate) overdrawn: u64,
    /// Units used from the tolerance in the last window, with their times.
    overdrafts: VecDeque<(Timestamp, u64)>,
    /// Denied ranks, most urgent first.
    denials: Vec<Denial>,
    /// Requests and units by rank that were covered by the reserve or denied here since the last
    /// message.
    unclaimed: BTreeMap<u32, (u32, u64)>,
    /// Exponentially decaying sum of used units, as of `used_at`.
    used: f64,
    used_at: Timestamp,
    /// Moving average of request costs.
    mean_cost: f64,
    last_request: Timestamp,
    /// When a reserve was last requested.
    reserve_requested_at: Timestamp,
}

impl Account {
    fn reserve(&self) -> u64 {
        self.reserves.iter().map(|reserve| reserve.units).sum()
    }

    /// Takes a request's cost from the reserve and returns the term of the leader that granted the
    /// last of it. Takes nothing if the reserve is too small.
    pub(crate) fn try_take(&mut self, units: u64) -> Option<u64> {
        if self.reserve() < units {
            return None;
        }
        let mut term = None;
        let mut remaining = units;
        while remaining > 0 {
            let first = self.reserves.front_mut()?;
            let taken = remaining.min(first.units);
            first.units -= taken;
            remaining -= taken;
            term = Some(first.lease.term);
            if first.units == 0 {
                self.reserves.pop_front();
            }
        }
        term
    }

    /// Returns units of a request that did not run, if the current leader granted them.
    pub(crate) fn return_units(&mut self, units: u64, granted_in: u64, term: u64) {
        if granted_in == term && term != 0 {
            self.returned += units;
        }
    }

    pub(crate) fn add_reserve(&mut self, now: Timestamp, units: u64, lease: UnitLease) {
        self.keep(now, units, lease, now + RESERVE_LIFETIME);
    }

    /// Keeps units of a request that did not run for another one until this time.
    pub(crate) fn keep(&mut self, now: Timestamp, units: u64, lease: UnitLease, until: Timestamp) {
        if units > 0 && lease.is_valid(now) {
            self.reserves.push_back(Reserve {
                units,
                lease,
                until,
            });
        }
    }

    /// Returns reserved units after their time in the reserve, and drops those that may no longer be
    /// used. The leader of the current `term` accepts only units that it granted.
    pub(crate) fn expire(&mut self, now: Timestamp, term: u64) {
        self.reserves.retain(|reserve| {
            let valid = reserve.lease.is_valid(now);
            let due = reserve.until <= now;
            if due && reserve.lease.is_stated(now, term) {
                self.returned += reserve.units;
            }
            valid && !due
        });
    }

    /// Returns all reserved units if a rank is denied: the leader knows the most urgent requests.
    pub(crate) fn return_if_denied(&mut self, now: Timestamp, term: u64) {
        if self.denials.iter().any(|denial| now < denial.held_until) {
            let reserves = std::mem::take(&mut self.reserves).into_iter();
            let own = reserves.filter(|reserve| reserve.lease.is_stated(now, term));
            self.returned += own.map(|reserve| reserve.units).sum::<u64>();
        }
    }

    /// Returns the reserved units that the next request states as held.
    pub(crate) fn stated_units(&self, now: Timestamp, term: u64) -> u64 {
        let stated = self.reserves.iter();
        let stated = stated.filter(|reserve| reserve.lease.is_stated(now, term));
        stated.map(|reserve| reserve.units).sum()
    }

    /// Returns when reserved units must be stated as held; `None` if there are none.
    pub(crate) fn state_at(&self, now: Timestamp, term: u64) -> Option<Timestamp> {
        let leases = self.reserves.iter().map(|reserve| reserve.lease);
        let stated = leases.filter(|lease| lease.is_stated(now, term));
        stated.map(|lease| lease.state_at()).min()
    }

    /// Records that a request states the reserve as held.
    pub(crate) fn record_statement(&mut self, now: Timestamp) {
        for reserve in &mut self.reserves {
            reserve.lease.record_statement(now);
        }
    }

    /// Extends the leases of reserved units that an answered request stated.
    pub(crate) fn extend(&mut self, now: Timestamp, term: u64, answered: &AnsweredRequest) {
        for reserve in &mut self.reserves {
            reserve.lease.extend(now, term, answered);
        }
    }

    /// Units to reserve: the average cost of a request, or more at high rates so that not every
    /// request needs a message. Zero once the tenant is inactive.
    pub(crate) fn wanted_reserve(&self, now: Timestamp) -> u64 {
        if now.since(self.last_request) >= RESERVE_IDLE_TIMEOUT {
            return 0;
        }
        let expected = self.used / USE_AVERAGE_SECONDS * RESERVE_HORIZON.as_secs_f64();
        (expected.max(self.mean_cost) as u64).saturating_sub(self.reserve())
    }

    /// Returns true if a message that only requests a reserve may be sent.
    pub(crate) fn may_request_reserve(&self, now: Timestamp) -> bool {
        now.since(self.reserve_requested_at) >= RESERVE_REQUEST_INTERVAL
    }

    pub(crate) fn record_reserve_request(&mut self, now: Timestamp) {
        self.reserve_requested_at = now;
    }

    pub(crate) fn record_request(&mut self, now: Timestamp, units: u64) {
        let cost = units as f64;
        self.mean_cost = if self.mean_cost == 0.0 {
            cost
        } else {
            self.mean_cost * (1.0 - COST_SMOOTHING) + cost * COST_SMOOTHING
        };
        self.last_request = now;
    }

    pub(crate) fn record_use(&mut self, now: Timestamp, units: u64) {
        let age = now.since(self.used_at).as_secs_f64();
        self.used = self.used * (-age / USE_AVERAGE_SECONDS).exp() + units as f64;
        self.used_at = now;
    }

    /// Returns true if the account has no state worth keeping.
    pub(crate) fn is_idle(&self, now: Timestamp) -> bool {
        self.reserves.is_empty()
            && self.queue.is_empty()
            && self.returned == 0
            && self.overdrawn == 0
            && self.overdrafts.is_empty()
            && now.since(self.last_request) >= RESERVE_IDLE_TIMEOUT
    }

    /// Uses ungranted units from this gateway's part of the tolerance while the leader is
    /// unreachable. Returns false if too little is left.
    pub(crate) fn overdraw(&mut self, now: Timestamp, units: u64, terms: &OverdraftTerms) -> bool {
        let gateways = match terms.gateways {
            0 => DEFAULT_GATEWAYS,
            count => count,
        };
        while let Some((at, _)) = self.overdrafts.front()
            && now.since(*at) >= terms.tolerance.window
        {
            self.overdrafts.pop_front();
        }
        let used: u64 = self.overdrafts.iter().map(|(_, units)| units).sum();
        let available = terms.tolerance.overdraft(terms.limit) / f64::from(gateways);
        let is_allowed = (used + units) as f64 <= available;
        if is_allowed {
            self.overdrafts.push_back((now, units));
            self.overdrawn += units;
        }
        is_allowed
    }

    /// Records what the leader's response states about the quota.
    pub(crate) fn record_response(&mut self, now: Timestamp, grant: &CreditGrant) {
        let denials = grant.denials.iter().map(|denial| Denial {
            rank: denial.rank,
            held_until: now + Duration::from_millis(denial.hold_millis.into()),
            retry_at: now + Duration::from_millis(denial.retry_millis.into()),
        });
        self.denials = denials.collect();
    }

    /// Returns when a request of this rank can expect units, if the leader recently denied the
    /// rank.
    pub(crate) fn denied_until(&self, now: Timestamp, rank: u32) -> Option<Timestamp> {
        let denial = self.denials.iter().rfind(|denial| denial.rank <= rank)?;
        (now < denial.held_until).then_some(denial.retry_at)
    }

    /// Forgets what a leader that is no longer connected stated about denials and has not been
    /// told about demand: the next leader's bucket differs.
    pub(crate) fn forget_denials(&mut self) {
        self.denials.clear();
        self.unclaimed.clear();
    }

    /// Records a request that is not sent as a claim.
    pub(crate) fn record_unclaimed(&mut self, rank: u32, units: u64) {
        if self.unclaimed.len() < MAXIMUM_UNCLAIMED_RANKS || self.unclaimed.contains_key(&rank) {
            let entry = self.unclaimed.entry(rank).or_default();
            entry.0 += 1;
            entry.1 = entry.1.saturating_add(units);
        }
    }

    /// Takes the demand to report with the next message.
    pub(crate) fn take_unclaimed(&mut self) -> Vec<RankDemand> {
        std::mem::take(&mut self.unclaimed)
            .into_iter()
            .map(|(rank, (requests, units))| RankDemand {
                rank,
                requests,
                units,
            })
            .collect()
    }
}
