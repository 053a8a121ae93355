//! Inter-arrival statistics of one model: a histogram of the idle gaps before arrivals.
//!
//! Gaps are counted in buckets whose bounds grow by the eighth root of two, fine enough to foresee
//! a regular arrival to within a tenth of its period. Every bucket has a
//! small share of a prior, so a model seen for the first time is treated as one whose next arrival
//! is equally likely at any scale of time; a few real gaps outweigh it.

use millpass_proto::{Duration, Timestamp};

/// Buckets; the last bound is near four days.
const BUCKETS: usize = 164;
/// Upper bound of the first bucket, in seconds.
const FIRST_BOUND_SECONDS: f64 = 0.25;
/// Ratio of neighbouring bounds: the eighth root of two.
const BOUND_RATIO: f64 = 1.090_507_732_665_257_7;
/// Gaps that the prior counts for, over all buckets and the time beyond the last bound.
const PRIOR_GAPS: f64 = 1.0;
/// The prior's share in each bucket, and beyond the last.
const PRIOR_SHARE: f64 = PRIOR_GAPS / (BUCKETS + 1) as f64;
/// Counts are halved when this many gaps are held, so that old habits fade.
const MAXIMUM_GAPS: u32 = 512;

/// What keeping a replica for another while is worth, by the model's history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAliveCosts {
    /// Seconds that a cold start takes.
    pub cold_start_seconds: f64,
    /// Accelerators that idle meanwhile.
    pub accelerators: f64,
    /// Cost of a second of cold start.
    pub cold_start_weight: f64,
    /// Cost of an idle accelerator second.
    pub idle_weight: f64,
}

/// Gaps before arrivals of one model.
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
    /// Notes that requests arrived.
    pub fn record_arrival(&mut self, now: Timestamp) {
        if let Some(last) = self.last_active {
            self.record_gap(now.since(last));
        }
        self.last_active = Some(now);
    }

    /// Notes that requests wait or run: the idle time starts anew.
    pub fn record_activity(&mut self, now: Timestamp) {
        self.last_active = Some(now);
    }

    /// When the model was last known to have requests.
    pub fn last_active(&self) -> Option<Timestamp> {
        self.last_active
    }

    /// Gaps held.
    pub fn gap_count(&self) -> u32 {
        self.total
    }

    fn record_gap(&mut self, gap: Duration) {
        let seconds = gap.as_secs_f64();
        let bucket = bounds().position(|(_, upper)| seconds <= upper);
        // A gap beyond the last bound says no more than the prior does.
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

    /// Chance that the next arrival comes within `horizon`, given that none came for `idle`.
    pub fn arrival_probability(&self, idle: Duration, horizon: Duration) -> f64 {
        let from = idle.as_secs_f64();
        let alive = self.mass_beyond(from);
        1.0 - self.mass_beyond(from + horizon.as_secs_f64()) / alive
    }

    /// Greatest expected gain of keeping a replica after `idle`, over all times that it might be
    /// kept; not above zero when unloading it at once is best. The unit is that of the weights.
    pub fn keep_alive_benefit(&self, idle: Duration, costs: &KeepAliveCosts) -> f64 {
        let start = idle.as_secs_f64();
        let alive = self.mass_beyond(start);
        let idle_cost_a_second = costs.idle_weight * costs.accelerators;
        let cold_start_cost = costs.cold_start_weight * costs.cold_start_seconds;
        let mut best = f64::NEG_INFINITY;
        let mut idle_seconds = 0.0;
        let mut from = start;
        let mut mass = alive;
        for ((lower, upper), count) in bounds().zip(&self.counts) {
            if upper <= start {
                continue;
            }
            let left = mass - weight(*count) * share_beyond(lower, upper, start);
            // Expected idle time: the integral of the mass that is still to come.
            idle_seconds += (upper - from) * (mass + left) / 2.0;
            from = upper;
            mass = left;
            let spared = cold_start_cost * (alive - mass);
            let spent = idle_cost_a_second * idle_seconds;
            best = best.max((spared - spent) / alive);
        }
        best
    }

    /// Gaps, prior included, that last longer than this; never zero, as the prior reaches beyond
    /// the last bound.
    fn mass_beyond(&self, seconds: f64) -> f64 {
        let within = bounds().zip(&self.counts);
        let within = within
            .map(|((lower, upper), count)| weight(*count) * share_beyond(lower, upper, seconds));
        PRIOR_SHARE + within.sum::<f64>()
    }
}

/// Weight of a bucket with this many gaps.
fn weight(count: u32) -> f64 {
    f64::from(count) + PRIOR_SHARE
}

/// Share of a bucket that lies beyond a point; gaps are taken to be spread evenly in it.
fn share_beyond(lower: f64, upper: f64, point: f64) -> f64 {
    ((upper - point) / (upper - lower)).clamp(0.0, 1.0)
}

/// Lower and upper bound of each bucket, in seconds.
fn bounds() -> impl Iterator<Item = (f64, f64)> {
    let uppers = std::iter::successors(Some(FIRST_BOUND_SECONDS), |last| Some(last * BOUND_RATIO));
    let lowers = std::iter::once(0.0).chain(uppers.clone());
    lowers.zip(uppers).take(BUCKETS)
}
