//! Loads that the weight store allows: a rate over a sliding window.
//!
//! The store counts what begins in each window of some seconds. A load begins some time after its
//! instruction is sent, so the allowance is kept below the store's: two loads that were sent apart
//! may begin closer together.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(5);
/// Share of the store's rate that is used, in percent.
const USED_PERCENT: u64 = 90;

/// Permits for loads from the weight store, counted from when an instruction is sent.
#[derive(Debug, Default)]
pub struct StorePermits {
    taken: VecDeque<Timestamp>,
}

impl StorePermits {
    /// Share of the window's permits that is taken, from 0 to 1.
    pub fn used(&mut self, now: Timestamp, milliloads_per_second: u64) -> f64 {
        self.drop_old(now);
        self.taken.len() as f64 / allowed(milliloads_per_second) as f64
    }

    /// Takes a permit if the rate, in thousandths of a load a second, allows one now.
    pub fn take(&mut self, now: Timestamp, milliloads_per_second: u64) -> bool {
        self.drop_old(now);
        if self.taken.len() as u64 >= allowed(milliloads_per_second) {
            return false;
        }
        self.taken.push_back(now);
        true
    }

    fn drop_old(&mut self, now: Timestamp) {
        while self
            .taken
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.taken.pop_front();
        }
    }
}

/// Loads allowed in a window; at least one.
fn allowed(milliloads_per_second: u64) -> u64 {
    let allowed = milliloads_per_second * WINDOW.as_secs() * USED_PERCENT / 100_000;
    allowed.max(1)
}
