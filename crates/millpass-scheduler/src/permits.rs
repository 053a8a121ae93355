//! Limits on loads from the weight store: concurrency and rate.

use millpass_proto::Timestamp;

/// Token bucket capacity, in seconds of the configured rate.
const BURST_SECONDS: f64 = 0.25;

/// Token bucket and concurrency limit.
#[derive(Clone, Debug)]
pub struct StorePermits {
    per_second: f64,
    concurrent: usize,
    tokens: f64,
    last_refill: Option<Timestamp>,
    in_flight: usize,
}

impl StorePermits {
    /// Starts with one token, because loads recently started by an earlier leader are unknown.
    pub fn new(loads_per_second: u32, concurrent_loads: u32) -> Self {
        StorePermits {
            per_second: f64::from(loads_per_second),
            concurrent: concurrent_loads as usize,
            tokens: 1.0,
            last_refill: None,
            in_flight: 0,
        }
    }

    /// Adds the tokens accrued since the last refill and sets the number of store loads in flight.
    pub fn refill(&mut self, now: Timestamp, in_flight: usize) {
        let previous = self.last_refill.replace(now).unwrap_or(now);
        let capacity = (self.per_second * BURST_SECONDS).max(1.0);
        let accrued = now.since(previous).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + accrued).min(capacity);
        self.in_flight = in_flight;
    }

    /// Returns true if another load may start now.
    pub fn available(&self) -> bool {
        self.tokens >= 1.0 && self.in_flight < self.concurrent
    }

    /// Acquires a permit for a proposed load.
    pub fn acquire(&mut self) {
        self.tokens -= 1.0;
        self.in_flight += 1;
    }

    /// Number of store loads in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
