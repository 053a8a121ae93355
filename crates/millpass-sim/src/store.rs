//! The weight store: it starts every load at once, so that its limits are kept by the scheduler's
//! permits or not at all, and it has slow phases.

/// The store.
pub struct Store {
    slow_factor: u64,
    next_number: u64,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            slow_factor: 1,
            next_number: 1,
        }
    }
}

impl Store {
    /// Makes loads that start from now on this many times as long.
    pub fn set_slow_factor(&mut self, factor: u64) {
        self.slow_factor = factor;
    }

    /// Starts a load that takes this long at full speed; gives its number and its duration.
    pub fn start(&mut self, micros: u64) -> (u64, u64) {
        let number = self.next_number;
        self.next_number += 1;
        (number, micros * self.slow_factor)
    }
}
