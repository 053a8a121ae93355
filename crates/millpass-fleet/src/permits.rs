//! Rate limit of loads from the weight store, over a sliding window.
//!
//! The store counts loads when they begin, some time after their instructions are sent. Loads may
//! move closer together in between, so the rate used is below the store's.

use crate::instruction_history::InstructionHistory;
use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

const WINDOW: Duration = Duration::from_secs(5);
/// Fraction of the store's rate that is used, in percent.
const USED_PERCENT: u64 = 90;
/// Fraction of the window's permits reserved for unknown loads of an earlier leader. Even if that
/// leader used all permits, the total stays within 10 % above the store's rate.
const UNKNOWN_FRACTION: f64 = 0.78;

/// Permits for loads from the weight store, counted from when an instruction is sent.
#[derive(Debug, Default)]
pub struct StorePermits {
    acquired_at: VecDeque<Timestamp>,
    /// Time until which unknown loads of an earlier leader may count.
    unknown_until: Timestamp,
}

impl StorePermits {
    /// Continues from the loads recorded by earlier leaders.
    pub fn from_history(history: &InstructionHistory) -> Self {
        StorePermits {
            acquired_at: history.store_loads().iter().copied().collect(),
            unknown_until: history.complete_since() + WINDOW,
        }
    }

    /// Returns the fraction of the window's permits in use or reserved; may exceed 1.
    pub fn used_fraction(&mut self, now: Timestamp, milliloads_per_second: u64) -> f64 {
        self.drop_expired(now);
        let used = self.acquired_at.len() as f64 / allowed(milliloads_per_second) as f64;
        used + self.unknown_fraction(now)
    }

    /// Takes a permit and returns true if the rate, in thousandths of a load a second, allows one
    /// now.
    pub fn try_acquire(&mut self, now: Timestamp, milliloads_per_second: u64) -> bool {
        self.drop_expired(now);
        let allowed = allowed(milliloads_per_second) as f64;
        if (self.acquired_at.len() + 1) as f64 > allowed * (1.0 - self.unknown_fraction(now)) {
            return false;
        }
        self.acquired_at.push_back(now);
        true
    }

    /// Returns the time until a permit is available.
    pub fn time_until_available(&mut self, now: Timestamp, milliloads_per_second: u64) -> Duration {
        self.drop_expired(now);
        let allowed = usize::try_from(allowed(milliloads_per_second)).unwrap_or(usize::MAX);
        let blocking = self.acquired_at.len().checked_sub(allowed);
        let available_at = blocking.map_or(now, |first| self.acquired_at[first] + WINDOW);
        available_at.max(self.unknown_until).since(now)
    }

    fn unknown_fraction(&self, now: Timestamp) -> f64 {
        if now < self.unknown_until {
            UNKNOWN_FRACTION
        } else {
            0.0
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self
            .acquired_at
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.acquired_at.pop_front();
        }
    }
}

/// Returns the number of loads allowed in a window; at least one.
fn allowed(milliloads_per_second: u64) -> u64 {
    let allowed = milliloads_per_second * WINDOW.as_secs() * USED_PERCENT / 100_000;
    allowed.max(1)
}
