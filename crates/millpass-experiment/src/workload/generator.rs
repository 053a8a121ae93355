//! Generates the sessions of a trace from a seed.

use super::{DAY_SECONDS, WARM_UP_DAYS};
use crate::trace::{Trace, TraceRequest};
use millpass_proto::{Duration, Timestamp, Urgency};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;

/// Time over which the opening burst of a session arrives, in seconds.
const OPENING_SPREAD_SECONDS: f64 = 1.0;
/// Exponent of the Zipf law of tenants' activity.
const TENANT_EXPONENT: f64 = 0.8;
/// Share of sessions with an adapter.
const ADAPTER_SHARE: f64 = 0.4;

/// Sizes of the population that a trace draws from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Population {
    /// Models.
    pub models: usize,
    /// Adapters of each model.
    pub adapters: Vec<usize>,
    /// Tenants.
    pub tenants: usize,
    /// Zones, each with a router.
    pub zones: usize,
}

/// Parameters of a session.
#[derive(Clone, Debug)]
pub struct SessionShape {
    /// Requests of the opening burst.
    pub opening: RangeInclusive<usize>,
    /// Mean number of follow-ups.
    pub follow_ups: f64,
    /// Mean time to think before a follow-up, in seconds.
    pub think_seconds: f64,
    /// Urgency.
    pub urgency: Urgency,
    /// Request timeout, in seconds.
    pub timeout_seconds: u64,
}

/// Collects the requests of a trace.
pub struct Generator {
    random: ChaCha8Rng,
    population: Population,
    tenants: Zipf,
    end_seconds: f64,
    requests: Vec<TraceRequest>,
}

impl Generator {
    /// Creates a generator for this many days.
    pub fn new(population: Population, days: usize, seed: u64) -> Self {
        Generator {
            random: ChaCha8Rng::seed_from_u64(seed),
            tenants: Zipf::new(population.tenants, TENANT_EXPONENT),
            population,
            end_seconds: days as f64 * DAY_SECONDS,
            requests: Vec::new(),
        }
    }

    /// Returns the number of models.
    pub fn models(&self) -> usize {
        self.population.models
    }

    /// Returns the number of tenants.
    pub fn tenants(&self) -> usize {
        self.population.tenants
    }

    /// Draws a uniform number from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.random.random::<f64>()
    }

    /// Draws a uniform integer from the range.
    pub fn count(&mut self, range: RangeInclusive<usize>) -> usize {
        self.random.random_range(range)
    }

    /// Draws an exponentially distributed value.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -(1.0 - uniform).ln() * mean
    }

    /// Draws from a Zipf distribution.
    pub fn zipf(&mut self, zipf: &Zipf) -> usize {
        zipf.draw(&mut self.random)
    }

    /// Returns the event times of a Poisson process, in seconds, with the rate
    /// `peak_per_day * factor(hour)`; `factor` must be within 0 and 1.
    pub fn poisson(&mut self, peak_per_day: f64, factor: impl Fn(f64) -> f64) -> Vec<f64> {
        let mut times = Vec::new();
        let mut seconds = 0.0;
        loop {
            seconds += self.exponential(DAY_SECONDS / peak_per_day);
            if seconds >= self.end_seconds {
                return times;
            }
            let hour = seconds % DAY_SECONDS / 3_600.0;
            if self.between(0.0, 1.0) < factor(hour) {
                times.push(seconds);
            }
        }
    }

    /// Adds a session of one tenant with one model.
    pub fn session(&mut self, start: f64, model: usize, shape: &SessionShape) {
        let tenant = self.tenants.draw(&mut self.random);
        let adapter = self.adapter(model);
        let opening = self.count(shape.opening.clone());
        for _ in 0..opening {
            let at = start + self.between(0.0, OPENING_SPREAD_SECONDS);
            self.request(at, tenant, model, adapter, shape);
        }
        // The number of follow-ups is geometrically distributed.
        let follow_up_probability = shape.follow_ups / (1.0 + shape.follow_ups);
        let mut at = start;
        while self.between(0.0, 1.0) < follow_up_probability {
            at += self.exponential(shape.think_seconds);
            self.request(at, tenant, model, adapter, shape);
        }
    }

    /// Adds a batch of one tenant.
    pub fn batch(&mut self, start: f64, tenant: usize, model: usize, shape: &SessionShape) {
        let adapter = self.adapter(model);
        for _ in 0..self.count(shape.opening.clone()) {
            let at = start + self.between(0.0, shape.think_seconds);
            self.request(at, tenant, model, adapter, shape);
        }
    }

    fn adapter(&mut self, model: usize) -> Option<usize> {
        let adapters = self.population.adapters[model];
        let with_adapter = adapters > 0 && self.random.random_bool(ADAPTER_SHARE);
        with_adapter.then(|| self.random.random_range(0..adapters))
    }

    fn request(
        &mut self,
        at: f64,
        tenant: usize,
        model: usize,
        adapter: Option<usize>,
        shape: &SessionShape,
    ) {
        if at >= self.end_seconds {
            return;
        }
        let zone = self.random.random_range(0..self.population.zones);
        self.requests.push(TraceRequest {
            at: Timestamp::from_micros((at * 1e6) as u64),
            tenant,
            model,
            adapter,
            zone,
            urgency: shape.urgency,
            timeout: Duration::from_secs(shape.timeout_seconds),
            prompt_tokens: self.random.random_range(50..=600),
            completion_tokens: self.random.random_range(40..=300),
        });
    }

    /// Returns the trace, ordered by arrival.
    pub fn finish(mut self) -> Trace {
        self.requests.sort_by_key(|request| request.at);
        Trace {
            requests: self.requests,
            measured_from: day_start(WARM_UP_DAYS),
            end: Timestamp::from_micros((self.end_seconds * 1e6) as u64),
        }
    }
}

fn day_start(day: usize) -> Timestamp {
    Timestamp::from_micros((day as f64 * DAY_SECONDS * 1e6) as u64)
}

/// Zipf distribution over indices from 0, the most likely first.
#[derive(Clone, Debug)]
pub struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    /// Creates a distribution over `count` indices.
    pub fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=count.max(1)).map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        });
        Zipf {
            sums: sums.collect(),
        }
    }

    fn draw(&self, random: &mut ChaCha8Rng) -> usize {
        let total = self.sums[self.sums.len() - 1];
        let point = random.random::<f64>() * total;
        let found = self.sums.partition_point(|sum| *sum <= point);
        found.min(self.sums.len() - 1)
    }
}
