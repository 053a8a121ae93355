//! Decides which ranks of a tenant get the rest of an exhausted quota.
//!
//! Load handled: a tenant that asks for more than its limit, with routes of different priority. The
//! bucket is then kept filled for the more urgent ranks: a rank is granted only while the bucket
//! holds what more urgent ranks are expected to need beyond the refill within [`HORIZON`], so that
//! an urgent request is granted on arrival. What the urgent ranks leave of the refill still goes to
//! the lower ones, as the level then stays at their threshold. Callers that can't be served are
//! denied at once, as time spent waiting is lost to a retry.
//!
//! A tenant within its limit is granted in order of arrival while a unit is left. With an empty
//! bucket, requests are promised refill in order of arrival; more urgent ones go ahead of these
//! promises, which are therefore bounded by the tolerance of the quota.

use crate::limit::TenantLimit;
use millpass_proto::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the moving averages of demand. Long enough to hold several requests of a tenant
/// with a few per second, short enough to follow bursts of some seconds.
const DEMAND_AVERAGE: Duration = Duration::from_secs(2);
/// Time for which units are held back for more urgent ranks. Bounds what a rank that just ended
/// its requests still holds back, and is a few times the wait that urgent callers accept.
const HORIZON: Duration = Duration::from_secs(1);
/// Standard deviations of the demand of more urgent ranks that are held back: about one urgent
/// request in fifty finds the bucket empty.
const DEVIATIONS: f64 = 2.0;
/// Maximum fraction of the bucket held back, so that the bucket doesn't fill up and lose refill
/// while lower ranks are denied.
const MAXIMUM_HELD_FRACTION: f64 = 0.75;
/// The same for a rank without a share of the refill. Where a request costs much of the bucket, it
/// would otherwise compete with the rank before it.
const MAXIMUM_HELD_FRACTION_WITHOUT_SHARE: f64 = 0.9;
/// Level, as a fraction of the bucket, below which a tenant that wants more than its refill is
/// overloaded. A fuller bucket bears a short excess.
const OVERLOAD_LEVEL: f64 = 0.25;
/// Demand, as a fraction of the refill, above which a tenant is overloaded. Around the limit few
/// requests are refused either way, and holding units back refuses more than it protects.
const OVERLOAD_FRACTION: f64 = 1.1;
/// Demand below this fraction of the refill counts as none; it is the rest of an average.
const NEGLIGIBLE_FRACTION: f64 = 0.001;
/// Share of the refill, as a fraction, below which a rank can't expect units: averages are less
/// accurate than that.
const NEGLIGIBLE_SHARE: f64 = 0.05;
/// Fraction of a claim's longest wait that may be queued for a rank whose demand exceeds its share.
/// The queue then never empties, and a longer one delays every request without serving more.
const OVERLOADED_WAIT_FRACTION: f64 = 0.25;
/// Maximum time for which gateways deny a rank without asking. Bounds how long units can be unused
/// after the demand of more urgent ranks ended: well below the time that fills the bucket.
const MAXIMUM_HOLD: Duration = Duration::from_millis(200);
/// Maximum time that denied callers are told to wait for the demand of others. That demand may
/// change at any time, and callers ignore times beyond a fraction of their deadlines.
const MAXIMUM_RETRY: Duration = Duration::from_millis(1_250);
/// Maximum number of ranks tracked per tenant; further ones count as the next more urgent tracked.
const MAXIMUM_RANKS: usize = 16;
/// Time without requests after which a rank is no longer tracked.
const RANK_LIFETIME: Duration = Duration::from_secs(30);

/// Demand of one rank.
#[derive(Clone, Debug)]
struct RankDemand {
    /// Decaying sum of the units wanted, as of `at`.
    units: f64,
    /// Decaying sum of the squares of the requests' units, as of `at`.
    squares: f64,
    at: Timestamp,
    requested_at: Timestamp,
    /// Longest wait stated with the last claim.
    longest_wait: Duration,
    /// Units of denied requests that the rank's share has not made up for, as of `settled_at`.
    backlog: f64,
    settled_at: Timestamp,
}

impl RankDemand {
    fn new(now: Timestamp) -> Self {
        RankDemand {
            units: 0.0,
            squares: 0.0,
            at: now,
            requested_at: now,
            longest_wait: Duration::ZERO,
            backlog: 0.0,
            settled_at: now,
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.at).as_secs_f64();
        let factor = (-age / DEMAND_AVERAGE.as_secs_f64()).exp();
        self.units *= factor;
        self.squares *= factor;
        self.at = self.at.max(now);
    }

    /// Deducts the share of the time passed from the backlog.
    fn settle_backlog(&mut self, now: Timestamp, share: f64) {
        let served = share * now.since(self.settled_at).as_secs_f64();
        let maximum = share * MAXIMUM_RETRY.as_secs_f64();
        self.backlog = (self.backlog - served).clamp(0.0, maximum.max(0.0));
        self.settled_at = self.settled_at.max(now);
    }

    fn rate(&self) -> f64 {
        self.units / DEMAND_AVERAGE.as_secs_f64()
    }

    /// Variance of the units wanted, per second.
    fn variance_rate(&self) -> f64 {
        self.squares / DEMAND_AVERAGE.as_secs_f64()
    }

    /// Average cost of the request that a unit belongs to; dominated by large requests.
    fn typical_large_cost(&self) -> f64 {
        if self.units > 0.0 {
            self.squares / self.units
        } else {
            0.0
        }
    }
}

/// Rule for one rank at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankRule {
    /// Rank.
    pub(crate) rank: u32,
    /// Level of the bucket from which requests are granted.
    pub(crate) threshold: f64,
    /// Units per second that more urgent ranks leave.
    share: f64,
    /// Units per second wanted.
    pub(crate) wanted: f64,
    longest_wait: Duration,
    backlog: f64,
}

impl RankRule {
    /// Returns the time after which a claim is granted if the bucket has this level for its rank, or
    /// none if it is denied. A rank for which units are held back gets none that the refill has yet
    /// to bring: these would be taken from more urgent requests that are still to arrive.
    pub(crate) fn delay(&self, level: f64, longest_wait: Duration) -> Option<Duration> {
        if level >= self.threshold {
            return Some(Duration::ZERO);
        }
        if self.threshold > 1.0 {
            return None;
        }
        let delay =
            Duration::try_from_secs_f64((1.0 - level) / self.share.max(f64::MIN_POSITIVE)).ok()?;
        (delay <= self.acceptable_delay(longest_wait)).then_some(delay)
    }

    fn acceptable_delay(&self, longest_wait: Duration) -> Duration {
        if self.wanted > self.share {
            longest_wait.mul_f64(OVERLOADED_WAIT_FRACTION)
        } else {
            longest_wait
        }
    }

    /// Returns true if more urgent ranks want units.
    pub(crate) fn is_preceded(&self, limit: TenantLimit) -> bool {
        self.share < limit.rate() * (1.0 - NEGLIGIBLE_FRACTION)
    }

    /// Returns true if the rank can't expect units as more urgent ranks want all of the refill.
    fn is_without_share(&self, limit: TenantLimit) -> bool {
        self.share < limit.rate() * NEGLIGIBLE_SHARE
    }

    /// Returns how long gateways may deny the rank if the bucket has this level, or none if the
    /// rank isn't denied.
    pub(crate) fn hold(&self, level: f64) -> Option<Duration> {
        if self.delay(level, self.longest_wait).is_some() {
            return None;
        }
        let missing = (self.threshold - level) / self.share.max(1.0);
        let accepted = match self.threshold > 1.0 {
            true => Duration::ZERO,
            false => self.acceptable_delay(self.longest_wait),
        };
        let hold = missing - accepted.as_secs_f64();
        Some(Duration::from_secs_f64(
            hold.clamp(0.001, MAXIMUM_HOLD.as_secs_f64()),
        ))
    }

    /// Returns the time after which a denied request of the rank can expect units: when the share
    /// has made up for the requests denied before, and not before the refill has made up for the
    /// units granted already.
    pub(crate) fn retry(&self, level: f64, limit: TenantLimit, hold: Duration) -> Duration {
        let expected = if self.is_without_share(limit) {
            MAXIMUM_RETRY
        } else {
            let seconds = self.backlog / self.share;
            Duration::from_secs_f64(seconds).min(MAXIMUM_RETRY)
        };
        let refill = ((self.threshold - level) / limit.rate()).max(0.0);
        let refilled = Duration::try_from_secs_f64(refill).unwrap_or(Duration::MAX);
        expected.max(hold).max(refilled)
    }
}

/// Demand of a tenant by rank, over all gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityTracker {
    ranks: BTreeMap<u32, RankDemand>,
    /// Whether the tenant wants more than its limit.
    is_overloaded: bool,
}

impl PriorityTracker {
    /// Returns the rank under which requests of this rank are tracked.
    fn tracked(&self, rank: u32) -> u32 {
        if self.ranks.len() < MAXIMUM_RANKS || self.ranks.contains_key(&rank) {
            return rank;
        }
        let lower = self.ranks.range(..=rank).next_back();
        let first = || self.ranks.first_key_value();
        lower.or_else(first).map_or(rank, |(tracked, _)| *tracked)
    }

    /// Returns true if the tenant wanted more than its limit when the rules were last determined.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Records requests that want units for the first time.
    pub(crate) fn record_demand(&mut self, now: Timestamp, rank: u32, requests: u32, units: u64) {
        if requests == 0 {
            return;
        }
        let rank = self.tracked(rank);
        let demand = self
            .ranks
            .entry(rank)
            .or_insert_with(|| RankDemand::new(now));
        demand.decay(now);
        demand.requested_at = now;
        demand.units += units as f64;
        demand.squares += (units as f64).powi(2) / f64::from(requests);
    }

    /// Records the longest wait of a request.
    pub(crate) fn record_wait(&mut self, rank: u32, longest_wait: Duration) {
        let rank = self.tracked(rank);
        if let Some(demand) = self.ranks.get_mut(&rank) {
            demand.longest_wait = longest_wait;
        }
    }

    /// Records denied requests.
    pub(crate) fn record_denied(&mut self, rank: u32, units: u64) {
        let rank = self.tracked(rank);
        if let Some(demand) = self.ranks.get_mut(&rank) {
            demand.backlog += units as f64;
        }
    }

    /// Returns the rules of all ranks, most urgent first; `level` is the bucket's.
    pub(crate) fn rules(
        &mut self,
        now: Timestamp,
        limit: TenantLimit,
        level: f64,
    ) -> Vec<RankRule> {
        self.ranks
            .retain(|_, demand| now.since(demand.requested_at) < RANK_LIFETIME);
        let (mut total, mut total_variance) = (0.0, 0.0);
        for demand in self.ranks.values_mut() {
            demand.decay(now);
            total += demand.rate();
            total_variance += demand.variance_rate();
        }
        // The standard deviation of an exponential average of this time constant.
        let deviation = (total_variance / (2.0 * DEMAND_AVERAGE.as_secs_f64())).sqrt();
        let bound = limit.rate() * OVERLOAD_FRACTION;
        if total - deviation > bound && level < limit.capacity() * OVERLOAD_LEVEL {
            self.is_overloaded = true;
        } else if total < bound {
            self.is_overloaded = false;
        }
        let (mut urgent, mut variance, mut held) = (0.0, 0.0, 0.0_f64);
        let mut rules = Vec::with_capacity(self.ranks.len());
        for (rank, demand) in &mut self.ranks {
            let share = (limit.rate() - urgent).max(0.0);
            demand.settle_backlog(now, share);
            if self.is_overloaded && urgent > limit.rate() * NEGLIGIBLE_FRACTION {
                let needed = units_to_hold(urgent, variance, limit.rate());
                // The grant itself may take the level below the threshold by a request's cost.
                held = held.max(needed + demand.typical_large_cost());
            }
            let maximum = limit.capacity()
                * match share < limit.rate() * NEGLIGIBLE_SHARE {
                    true => MAXIMUM_HELD_FRACTION_WITHOUT_SHARE,
                    false => MAXIMUM_HELD_FRACTION,
                };
            rules.push(RankRule {
                rank: *rank,
                threshold: held.min(maximum).max(1.0),
                share,
                wanted: demand.rate(),
                longest_wait: demand.longest_wait,
                backlog: demand.backlog,
            });
            urgent += demand.rate();
            variance += demand.variance_rate();
        }
        rules
    }

    /// Returns the rule that applies to a rank.
    pub(crate) fn rule_of<'a>(&self, rules: &'a [RankRule], rank: u32) -> Option<&'a RankRule> {
        let rank = self.tracked(rank);
        rules.iter().find(|rule| rule.rank == rank)
    }
}

/// Returns the most units by which demand of this rate and variance is expected to exceed the
/// refill at any time within the horizon.
fn units_to_hold(demand: f64, variance: f64, refill: f64) -> f64 {
    let excess =
        |seconds: f64| (demand - refill) * seconds + DEVIATIONS * (variance * seconds).sqrt();
    let horizon = HORIZON.as_secs_f64();
    if demand >= refill {
        return excess(horizon);
    }
    // Where the derivative is zero.
    let peak = (DEVIATIONS / (2.0 * (refill - demand))).powi(2) * variance;
    excess(peak.min(horizon))
}
