//! Inter-arrival statistics of one model: a histogram of the idle gaps before arrivals.
//!
//! Gaps are counted in buckets whose bounds grow by the square root of two. Every bucket has a
//! small share of a prior, so a model seen for the first time is treated as one whose next arrival
//! is equally likely at any scale of time; a few real gaps outweigh it.

use millpass_proto::{Duration, Timestamp};

/// Buckets; the last bound is near three days.
const BUCKETS: usize = 42;
/// Upper bound of the first bucket, in seconds.
const FIRST_BOUND_SECONDS: f64 = 0.25;
/// Gaps that the prior counts for, over all buckets and the time beyond the last bound.
const PRIOR_GAPS: f64 = 1.0;
/// Counts are halved when this many gaps are held, so that old habits fade.
const MAXIMUM_GAPS: u32 = 512;
/// Seconds in an hour.
const HOUR_SECONDS: f64 = 3_600.0;

/// What keeping a replica for another while is worth, by the model's history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepCosts {
    /// Seconds that a cold start takes.
    pub cold_start_seconds: f64,
    /// Accelerators that idle meanwhile.
    pub accelerators: f64,
    /// Cost of a second of cold start.
    pub cold_start_weight: f64,
    /// Cost of an idle accelerator hour.
    pub idle_weight: f64,
}

/// Gaps before arrivals of one model.
#[derive(Clone, Debug)]
pub struct Arrivals {
    counts: [u32; BUCKETS],
    total: u32,
    last_active: Option<Timestamp>,
}

impl Default for Arrivals {
    fn default() -> Self {
        Arrivals {
            counts: [0; BUCKETS],
            total: 0,
            last_active: None,
        }
    }
}

impl Arrivals {
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
        let bucket = (0..BUCKETS).find(|bucket| seconds <= bound(*bucket));
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
    pub fn chance_within(&self, idle: Duration, horizon: Duration) -> f64 {
        let from = idle.as_secs_f64();
        let alive = self.survival(from);
        1.0 - self.survival(from + horizon.as_secs_f64()) / alive
    }

    /// Greatest expected gain of keeping a replica after `idle`, over all times that it might be
    /// kept; not above zero when unloading it at once is best. The unit is that of the weights.
    pub fn keep_gain(&self, idle: Duration, costs: &KeepCosts) -> f64 {
        let start = idle.as_secs_f64();
        let alive = self.survival(start);
        let idle_cost_a_second = costs.idle_weight * costs.accelerators / HOUR_SECONDS;
        let cold_start_cost = costs.cold_start_weight * costs.cold_start_seconds;
        let mut best = f64::NEG_INFINITY;
        let mut idle_seconds = 0.0;
        let mut previous = (start, alive);
        for bucket in 0..BUCKETS {
            let end = bound(bucket);
            if end <= start {
                continue;
            }
            let survival = self.survival(end);
            // Expected idle time: the integral of the survival function.
            idle_seconds += (end - previous.0) * (survival + previous.1) / 2.0;
            previous = (end, survival);
            let spared = cold_start_cost * (alive - survival);
            let spent = idle_cost_a_second * idle_seconds;
            best = best.max((spared - spent) / alive);
        }
        best
    }

    /// Chance that a gap lasts longer than this; never zero, as the prior reaches beyond.
    fn survival(&self, seconds: f64) -> f64 {
        let share = PRIOR_GAPS / (BUCKETS + 1) as f64;
        let mut longer = share;
        let mut lower = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let upper = bound(bucket);
            let weight = f64::from(*count) + share;
            let above = ((upper - seconds) / (upper - lower)).clamp(0.0, 1.0);
            longer += weight * above;
            lower = upper;
        }
        longer / (f64::from(self.total) + PRIOR_GAPS)
    }
}

/// Upper bound of a bucket, in seconds.
fn bound(bucket: usize) -> f64 {
    FIRST_BOUND_SECONDS * 2.0_f64.powf(bucket as f64 / 2.0)
}
