//! Inter-arrival statistics of one model: a histogram of the idle gaps before arrivals.
//!
//! Bucket bounds grow by the eighth root of two, which resolves a periodic arrival to within a
//! tenth of its period. A small uniform prior over the buckets makes the next arrival of a new
//! model equally likely at any time scale; a few observed gaps outweigh it.

use millpass_proto::{Duration, Timestamp};

/// Number of buckets; the last bound is about four days.
const BUCKETS: usize = 164;
/// Upper bound of the first bucket, in seconds.
const FIRST_BOUND_SECONDS: f64 = 0.25;
/// Ratio of adjacent bounds: the eighth root of two.
const BOUND_RATIO: f64 = 1.090_507_732_665_257_7;
/// Total weight of the prior, in gaps.
const PRIOR_GAPS: f64 = 1.0;
/// Weight of the prior per bucket, and beyond the last bound.
const PRIOR_PER_BUCKET: f64 = PRIOR_GAPS / (BUCKETS + 1) as f64;
/// Counts are halved at this total, so that old gaps decay.
const MAXIMUM_GAPS: u32 = 512;

/// Inputs of [`ArrivalHistogram::keep_alive_benefit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAliveCosts {
    /// Duration of a cold start, in seconds.
    pub cold_start_seconds: f64,
    /// Accelerators that the idle replica occupies.
    pub accelerators: f64,
    /// Cost of one second of cold start.
    pub cold_start_weight: f64,
    /// Cost of one idle accelerator second.
    pub idle_weight: f64,
}

/// Histogram of the gaps before arrivals of one model.
#[derive(Clone, Debug)]
pub struct ArrivalHistogram {
    counts: [u32; BUCKETS],
    total: u32,
    last_active: Option<Timestamp>,
}

impl Default for ArrivalHistogram {
    fn default() -> Self {
        ArrivalHistogram {
            counts: [0; BUCKETS],
            total: 0,
            last_active: None,
        }
    }
}

impl ArrivalHistogram {
    /// Records an arrival and the gap before it.
    pub fn record_arrival(&mut self, now: Timestamp) {
        if let Some(last) = self.last_active {
            self.record_gap(now.since(last));
        }
        self.last_active = Some(now);
    }

    /// Records that requests wait or run, which restarts the idle time.
    pub fn record_activity(&mut self, now: Timestamp) {
        self.last_active = Some(now);
    }

    /// Time of the last recorded arrival or activity; `None` before the first.
    pub fn last_active(&self) -> Option<Timestamp> {
        self.last_active
    }

    /// Number of recorded gaps, after decay.
    pub fn gap_count(&self) -> u32 {
        self.total
    }

    fn record_gap(&mut self, gap: Duration) {
        let seconds = gap.as_secs_f64();
        let bucket = bounds().position(|(_, upper)| seconds <= upper);
        // A gap beyond the last bound carries no more information than the prior.
        let Some(bucket) = bucket else { return };
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= MAXIMUM_GAPS {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    /// Probability of an arrival within `horizon`, given no arrival for `idle`.
    pub fn arrival_probability(&self, idle: Duration, horizon: Duration) -> f64 {
        let from = idle.as_secs_f64();
        let initial_mass = self.mass_beyond(from);
        1.0 - self.mass_beyond(from + horizon.as_secs_f64()) / initial_mass
    }

    /// Maximum expected benefit of keeping a replica after `idle`, over all possible keep-alive
    /// times; not positive when unloading at once is best. In the unit of the weights.
    pub fn keep_alive_benefit(&self, idle: Duration, costs: &KeepAliveCosts) -> f64 {
        let start = idle.as_secs_f64();
        let initial_mass = self.mass_beyond(start);
        let idle_cost_per_second = costs.idle_weight * costs.accelerators;
        let cold_start_cost = costs.cold_start_weight * costs.cold_start_seconds;
        let mut best = f64::NEG_INFINITY;
        let mut idle_seconds = 0.0;
        let mut from = start;
        let mut mass = initial_mass;
        for ((lower, upper), count) in bounds().zip(&self.counts) {
            if upper <= start {
                continue;
            }
            let mass_after = mass - weight(*count) * fraction_beyond(lower, upper, start);
            // Expected idle time: the integral of the remaining mass.
            idle_seconds += (upper - from) * (mass + mass_after) / 2.0;
            from = upper;
            mass = mass_after;
            let avoided_cost = cold_start_cost * (initial_mass - mass);
            let idle_cost = idle_cost_per_second * idle_seconds;
            best = best.max((avoided_cost - idle_cost) / initial_mass);
        }
        best
    }

    /// Weight of gaps longer than `seconds`, including the prior. Never zero, as the prior extends
    /// beyond the last bound.
    fn mass_beyond(&self, seconds: f64) -> f64 {
        let within = bounds().zip(&self.counts);
        let within = within
            .map(|((lower, upper), count)| weight(*count) * fraction_beyond(lower, upper, seconds));
        PRIOR_PER_BUCKET + within.sum::<f64>()
    }
}

/// Weight of a bucket, including the prior.
fn weight(count: u32) -> f64 {
    f64::from(count) + PRIOR_PER_BUCKET
}

/// Fraction of a bucket beyond `point`, assuming evenly distributed gaps.
fn fraction_beyond(lower: f64, upper: f64, point: f64) -> f64 {
    ((upper - point) / (upper - lower)).clamp(0.0, 1.0)
}

/// Lower and upper bound of each bucket, in seconds.
fn bounds() -> impl Iterator<Item = (f64, f64)> {
    let uppers = std::iter::successors(Some(FIRST_BOUND_SECONDS), |last| Some(last * BOUND_RATIO));
    let lowers = std::iter::once(0.0).chain(uppers.clone());
    lowers.zip(uppers).take(BUCKETS)
}
