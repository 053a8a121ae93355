//! Loads that the weight store allows: a rate over a sliding window.
//!
//! The store counts what begins in each window of some seconds. A load begins some time after its
//! instruction is sent, so the allowance is kept below the store's: two loads that were sent apart
//! may begin closer together.

use crate::handover::InstructionHistory;
use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(5);
/// Share of the store's rate that is used, in percent.
const USED_PERCENT: u64 = 90;
/// Share of the window's permits that earlier loads count for while they are not known. Together with
/// all permits of an earlier leader, the rest stays within a tenth above the store's rate.
const UNKNOWN_SHARE: f64 = 0.78;

/// Permits for loads from the weight store, counted from when an instruction is sent.
#[derive(Debug, Default)]
pub struct StorePermits {
    taken: VecDeque<Timestamp>,
    /// Until then, loads of an earlier leader that are not known may count.
    unknown_until: Timestamp,
}

impl StorePermits {
    /// Goes on after earlier leaders.
    pub fn from_history(history: &InstructionHistory) -> Self {
        StorePermits {
            taken: history.store_loads().iter().copied().collect(),
            unknown_until: history.complete_since() + WINDOW,
        }
    }

    /// Share of the window's permits that is taken, from 0 to 1.
    pub fn used_fraction(&mut self, now: Timestamp, milliloads_per_second: u64) -> f64 {
        self.drop_old(now);
        let taken = self.taken.len() as f64 / allowed(milliloads_per_second) as f64;
        taken + self.unknown_share(now)
    }

    /// Takes a permit if the rate, in thousandths of a load a second, allows one now.
    pub fn try_acquire(&mut self, now: Timestamp, milliloads_per_second: u64) -> bool {
        self.drop_old(now);
        let allowed = allowed(milliloads_per_second) as f64;
        if (self.taken.len() + 1) as f64 > allowed * (1.0 - self.unknown_share(now)) {
            return false;
        }
        self.taken.push_back(now);
        true
    }

    /// Time until a permit is free.
    pub fn time_until_available(&mut self, now: Timestamp, milliloads_per_second: u64) -> Duration {
        self.drop_old(now);
        let allowed = usize::try_from(allowed(milliloads_per_second)).unwrap_or(usize::MAX);
        let blocking = self.taken.len().checked_sub(allowed);
        let frees = blocking.map_or(now, |first| self.taken[first] + WINDOW);
        frees.max(self.unknown_until).since(now)
    }

    /// Share of the window's permits that loads which are not known may have taken.
    fn unknown_share(&self, now: Timestamp) -> f64 {
        if now < self.unknown_until {
            UNKNOWN_SHARE
        } else {
            0.0
        }
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
