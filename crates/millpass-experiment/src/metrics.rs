//! Measurements of a run.
//!
//! A request is cold if no replica that could serve it was loaded when it arrived. Its cold-start
//! time is the time from arrival until an engine begins to run it; that of a warm request is zero.
//! A refused cold request counts with its whole timeout, so that refusals cannot improve a
//! percentile. Batch requests are recorded separately.

use crate::trace::TraceRequest;
use hdrhistogram::Histogram;
use millpass_proto::{Duration, Urgency};

/// Upper bound of recorded times, in milliseconds: one day.
const LONGEST_MILLIS: u64 = 86_400_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const HOUR_MILLIS: f64 = 3_600_000.0;
const SECOND_MILLIS: f64 = 1_000.0;

/// Histogram of times.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MILLIS, SIGNIFICANT_DIGITS);
        Times(histogram.expect("the bounds are valid"))
    }
}

impl Times {
    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(LONGEST_MILLIS);
        self.0.saturating_record(millis);
    }

    /// Returns the quantile `share` (0 to 1), in seconds.
    pub fn quantile_seconds(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / SECOND_MILLIS
    }

    /// Returns the mean, in seconds.
    pub fn mean_seconds(&self) -> f64 {
        self.0.mean() / SECOND_MILLIS
    }

    /// Returns the number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn add(&mut self, other: &Times) {
        self.0.add(&other.0).expect("both have the same bounds");
    }
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// No replica could serve it when it arrived.
    pub cold: bool,
    /// Time until an engine started it; `None` if it was refused.
    pub started_after: Option<Duration>,
}

/// Counts of one tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantCounts {
    /// Requests that were served or refused.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Cold-start times.
    pub cold_start: Times,
}

/// Counts of one model.
#[derive(Clone, Debug, Default)]
pub struct ModelCounts {
    /// Requests that were served or refused.
    pub requests: u64,
    /// Cold requests.
    pub cold: u64,
    /// Cold-start times.
    pub cold_start: Times,
}

/// Everything measured in one or several runs of one strategy.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Cold-start times of non-batch requests.
    pub cold_start: Times,
    /// Cold-start times of cold non-batch requests.
    pub cold_only: Times,
    /// Cold-start times of batch requests.
    pub batch_cold_start: Times,
    /// Waiting times of non-batch requests, for any reason.
    pub wait: Times,
    /// Requests refused.
    pub refused: u64,
    /// Requests served or refused.
    pub requests: u64,
    /// Requests not finished at the end of the run.
    pub unfinished: u64,
    /// Accelerator time loaded, in milliseconds.
    pub loaded_millis: u64,
    /// Accelerator time loaded without running requests, in milliseconds.
    pub idle_millis: u64,
    /// Loads from the weight store.
    pub store_loads: u64,
    /// Most concurrent loads at the weight store.
    pub store_most_at_once: u64,
    /// Model loads from any tier.
    pub model_loads: u64,
    /// Violations counted by the engines.
    pub breaches: u64,
    /// Days measured.
    pub days: f64,
    /// Tenants.
    pub tenants: Vec<TenantCounts>,
    /// Models, the most popular first.
    pub models: Vec<ModelCounts>,
}

impl Measurements {
    /// Creates empty measurements.
    pub fn new(tenants: usize, models: usize) -> Self {
        Measurements {
            cold_start: Times::default(),
            cold_only: Times::default(),
            batch_cold_start: Times::default(),
            wait: Times::default(),
            refused: 0,
            requests: 0,
            unfinished: 0,
            loaded_millis: 0,
            idle_millis: 0,
            store_loads: 0,
            store_most_at_once: 0,
            model_loads: 0,
            breaches: 0,
            days: 0.0,
            tenants: vec![TenantCounts::default(); tenants],
            models: vec![ModelCounts::default(); models],
        }
    }

    /// Records the end of a request.
    pub fn record(&mut self, request: &TraceRequest, end: RequestEnd) {
        let waited = end.started_after.unwrap_or(request.timeout);
        let cold_start = if end.cold { waited } else { Duration::ZERO };
        self.requests += 1;
        let served = end.started_after.is_some();
        self.refused += u64::from(!served);
        let tenant = &mut self.tenants[request.tenant];
        tenant.requests += 1;
        tenant.served += u64::from(served);
        if request.urgency == Urgency::Batch {
            self.batch_cold_start.record(cold_start);
            return;
        }
        tenant.cold_start.record(cold_start);
        self.cold_start.record(cold_start);
        self.wait.record(waited);
        if end.cold {
            self.cold_only.record(cold_start);
        }
        let model = &mut self.models[request.model];
        model.requests += 1;
        model.cold += u64::from(end.cold);
        model.cold_start.record(cold_start);
    }

    /// Adds the measurements of another run.
    pub fn add(&mut self, other: &Measurements) {
        self.cold_start.add(&other.cold_start);
        self.cold_only.add(&other.cold_only);
        self.batch_cold_start.add(&other.batch_cold_start);
        self.wait.add(&other.wait);
        self.refused += other.refused;
        self.requests += other.requests;
        self.unfinished += other.unfinished;
        self.loaded_millis += other.loaded_millis;
        self.idle_millis += other.idle_millis;
        self.store_loads += other.store_loads;
        self.store_most_at_once = self.store_most_at_once.max(other.store_most_at_once);
        self.model_loads += other.model_loads;
        self.breaches += other.breaches;
        self.days += other.days;
        for (own, other) in self.tenants.iter_mut().zip(&other.tenants) {
            own.requests += other.requests;
            own.served += other.served;
            own.cold_start.add(&other.cold_start);
        }
        for (own, other) in self.models.iter_mut().zip(&other.models) {
            own.requests += other.requests;
            own.cold += other.cold;
            own.cold_start.add(&other.cold_start);
        }
    }

    /// Returns the idle accelerator hours per day.
    pub fn idle_hours_a_day(&self) -> f64 {
        self.idle_millis as f64 / HOUR_MILLIS / self.days
    }

    /// Returns Jain's fairness index of the served share of each tenant's requests.
    pub fn fairness(&self) -> f64 {
        let active = self.tenants.iter().filter(|tenant| tenant.requests > 0);
        let shares: Vec<f64> = active
            .map(|tenant| tenant.served as f64 / tenant.requests as f64)
            .collect();
        jain_index(&shares)
    }

    /// Returns the largest p99 cold-start time of any tenant, in seconds.
    pub fn worst_tenant_p99(&self) -> f64 {
        let tenants = self.tenants.iter();
        tenants
            .map(|tenant| tenant.cold_start.quantile_seconds(0.99))
            .fold(0.0, f64::max)
    }
}

/// Returns Jain's fairness index: 1 if all shares are equal or none is positive, 1/n if one of n
/// is.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}
