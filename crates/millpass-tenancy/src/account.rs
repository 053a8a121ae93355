//! One tenant's credit at a gateway: units lent for requests to come, and what may be used while no leader answers.

use crate::limit::TenantLimit;
use crate::pool::CreditClaim;
use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Time for which units lent for requests to come are kept; then they go back. Far below a window of any quota,
/// so that what is used in a window was lent little before it.
const RESERVE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after a tenant's last request for which units for its next ones are wished for.
const RESERVE_INTEREST: Duration = Duration::from_secs(3);
/// Time for which units are wished for ahead, at the pace at which they are used here.
const RESERVE_AHEAD: Duration = Duration::from_millis(250);
/// Weight of the newest request in the averaged cost of a tenant's requests.
const COST_WEIGHT: f64 = 0.2;
/// Time for which a gateway that hears nothing goes on at its usual pace with a tenant of which there was plenty:
/// longer than an election, shorter than a window.
const STANDING_LIFETIME: Duration = Duration::from_millis(2_500);
/// Pace of such a gateway, in its usual one: quotas leave room above what is usual.
const STANDING_PACE: f64 = 1.5;
/// Time over which a tenant's use at a gateway is averaged.
const USE_SECONDS: f64 = 3.0;
/// Part of what the contract bears above a limit that gateways without a leader may use together in a window.
const OVERDRAFT_PART: f64 = 0.5;
/// Gateways assumed while their number is not known.
const UNKNOWN_GATEWAYS: u32 = 500;
/// Longest time for which a gateway takes a tenant as used up without asking anew.
const LONGEST_EXHAUSTED: Duration = Duration::from_millis(200);

/// What the operators' contract bears above a tenant's limit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Length of the window in which use is summed.
    pub window: Duration,
    /// Part of the limit that is borne above it.
    pub overage: f64,
    /// Units borne beyond that in a window.
    pub slack_units: u64,
}

impl Default for QuotaTolerance {
    /// Nothing is borne above a limit.
    fn default() -> Self {
        QuotaTolerance {
            window: Duration::from_secs(10),
            overage: 0.0,
            slack_units: 0,
        }
    }
}

impl QuotaTolerance {
    /// Units that are borne above a limit in a window.
    pub(crate) fn borne_above(&self, limit: TenantLimit) -> f64 {
        let flow = limit.units_per_second as f64 * self.window.as_secs_f64();
        self.overage * (flow + limit.burst_units as f64) + self.slack_units as f64
    }
}

/// Units lent for requests to come.
#[derive(Debug)]
struct Reserve {
    units: u64,
    /// When they go back.
    until: Timestamp,
}

/// The leader's word that a tenant has used up its quota.
#[derive(Clone, Copy, Debug)]
struct Exhaustion {
    /// When there will be units again.
    until: Timestamp,
    /// Until when that is taken as true without asking anew.
    believed_until: Timestamp,
}

/// One tenant's credit at a gateway.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// The oldest first.
    reserves: VecDeque<Reserve>,
    /// Claims to be asked for.
    pub(crate) queue: VecDeque<CreditClaim>,
    /// Units to be given back with the next message.
    pub(crate) returned: u64,
    /// Units used without being lent, to be told with the next message.
    pub(crate) overdrawn: u64,
    /// Units used as a part of what the contract bears, in the last window.
    overdrafts: VecDeque<(Timestamp, u64)>,
    exhausted: Option<Exhaustion>,
    /// When the leader last answered that there is plenty.
    plenty_at: Option<Timestamp>,
    /// Units used since then without being lent.
    standing_used: u64,
    /// Units used here, each weighed by its age, and when that was last brought up to date.
    used: f64,
    used_at: Timestamp,
    /// Averaged cost of a request here.
    mean_cost: f64,
    last_request: Timestamp,
}

impl Account {
    fn reserve(&self) -> u64 {
        self.reserves.iter().map(|reserve| reserve.units).sum()
    }

    /// Takes a request's cost from the reserve, or nothing.
    pub(crate) fn take(&mut self, units: u64) -> bool {
        if self.reserve() < units {
            return false;
        }
        let mut left = units;
        while left > 0 {
            let Some(first) = self.reserves.front_mut() else {
                break;
            };
            let taken = left.min(first.units);
            first.units -= taken;
            left -= taken;
            if first.units == 0 {
                self.reserves.pop_front();
            }
        }
        true
    }

    /// Keeps units for requests to come.
    pub(crate) fn keep(&mut self, now: Timestamp, units: u64) {
        if units > 0 {
            let until = now + RESERVE_LIFETIME;
            self.reserves.push_back(Reserve { units, until });
        }
    }

    /// Units whose time is over go back.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(reserve) = self.reserves.pop_front_if(|reserve| reserve.until <= now) {
            self.returned += reserve.units;
        }
    }

    /// Units wished for, while requests come: one request's cost, or more where many come, so that they do not
    /// each need a message.
    pub(crate) fn wished(&self, now: Timestamp) -> u64 {
        if now.since(self.last_request) >= RESERVE_INTEREST {
            return 0;
        }
        let ahead = self.used / USE_SECONDS * RESERVE_AHEAD.as_secs_f64();
        (ahead.max(self.mean_cost) as u64).saturating_sub(self.reserve())
    }

    /// A request came.
    pub(crate) fn note_request(&mut self, now: Timestamp, units: u64) {
        let cost = units as f64;
        self.mean_cost = if self.mean_cost == 0.0 {
            cost
        } else {
            self.mean_cost * (1.0 - COST_WEIGHT) + cost * COST_WEIGHT
        };
        self.last_request = now;
    }

    /// A request's units were used.
    pub(crate) fn note_use(&mut self, now: Timestamp, units: u64) {
        let age = now.since(self.used_at).as_secs_f64();
        self.used = self.used * (-age / USE_SECONDS).exp() + units as f64;
        self.used_at = now;
    }

    /// Takes a request's cost at the usual pace here while the leader is silent: there was plenty, and all
    /// gateways together use no more in that time than the tenant's bucket held and what flows in.
    fn take_standing(&mut self, now: Timestamp, units: u64) -> bool {
        let Some(since) = self.plenty_at else {
            return false;
        };
        let silence = now.since(since);
        if silence >= STANDING_LIFETIME {
            return false;
        }
        let pace = self.used / USE_SECONDS * STANDING_PACE;
        let allowed = self.mean_cost + pace * silence.as_secs_f64();
        let open = (self.standing_used as f64) < allowed && self.used >= self.mean_cost;
        if open {
            self.standing_used += units;
            self.overdrawn += units;
        }
        open
    }

    /// Whether nothing needs to be remembered of the tenant.
    pub(crate) fn is_idle(&self, now: Timestamp) -> bool {
        self.reserves.is_empty()
            && self.queue.is_empty()
            && self.returned == 0
            && self.overdrawn == 0
            && self.overdrafts.is_empty()
            && now.since(self.last_request) >= RESERVE_INTEREST
    }

    /// Uses units that nobody lent, because no leader answers: at the usual pace, or as this gateway's part of what
    /// the contract bears.
    pub(crate) fn overdraw(
        &mut self,
        now: Timestamp,
        units: u64,
        limit: TenantLimit,
        terms: &QuotaTolerance,
        gateways: u32,
    ) -> bool {
        self.take_standing(now, units) || self.take_borne(now, units, limit, terms, gateways)
    }

    fn take_borne(
        &mut self,
        now: Timestamp,
        units: u64,
        limit: TenantLimit,
        terms: &QuotaTolerance,
        gateways: u32,
    ) -> bool {
        let gateways = match gateways {
            0 => UNKNOWN_GATEWAYS,
            known => known,
        };
        while let Some((at, _)) = self.overdrafts.front()
            && now.since(*at) >= terms.window
        {
            self.overdrafts.pop_front();
        }
        let used: u64 = self.overdrafts.iter().map(|(_, units)| units).sum();
        let room = terms.borne_above(limit) * OVERDRAFT_PART / f64::from(gateways);
        let open = (used + units) as f64 <= room;
        if open {
            self.overdrafts.push_back((now, units));
            self.overdrawn += units;
        }
        open
    }

    /// The leader answered: whether there is plenty, and when there will be units again if there are none.
    pub(crate) fn answered(&mut self, now: Timestamp, plenty: bool, until: Option<Timestamp>) {
        self.plenty_at = plenty.then_some(now);
        self.standing_used = 0;
        self.exhausted = until.map(|until| Exhaustion {
            until,
            believed_until: until.min(now + LONGEST_EXHAUSTED),
        });
    }

    /// When there will be units again, if the leader said lately that there are none.
    pub(crate) fn exhausted_until(&self, now: Timestamp) -> Option<Timestamp> {
        let exhaustion = self.exhausted?;
        (now < exhaustion.believed_until).then_some(exhaustion.until)
    }
}
