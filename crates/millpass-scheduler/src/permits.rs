//! Permits for loads from the weight store: so many at once, and so many a second.

use millpass_proto::Timestamp;

/// Seconds of the store's rate that may be saved up.
const BURST_SECONDS: f64 = 0.25;

/// Token bucket and bound of concurrent loads.
#[derive(Clone, Debug)]
pub struct StorePermits {
    per_second: f64,
    concurrent: usize,
    tokens: f64,
    refilled: Option<Timestamp>,
    in_flight: usize,
}

impl StorePermits {
    /// Starts with one token: how many loads an earlier leader just began is unknown.
    pub fn new(loads_per_second: u32, concurrent_loads: u32) -> Self {
        StorePermits {
            per_second: f64::from(loads_per_second),
            concurrent: concurrent_loads as usize,
            tokens: 1.0,
            refilled: None,
            in_flight: 0,
        }
    }

    /// Begins a round: adds the tokens of the time that passed and takes the count of loads from
    /// the store that are in flight.
    pub fn refill(&mut self, now: Timestamp, in_flight: usize) {
        let last = self.refilled.replace(now).unwrap_or(now);
        let capacity = (self.per_second * BURST_SECONDS).max(1.0);
        let gained = now.since(last).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(capacity);
        self.in_flight = in_flight;
    }

    /// Whether one more load may begin now.
    pub fn available(&self) -> bool {
        self.tokens >= 1.0 && self.in_flight < self.concurrent
    }

    /// Takes a permit for a load that is proposed.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
        self.in_flight += 1;
    }

    /// Loads from the store in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
