//! The weight store. It starts every load immediately, so that only the scheduler's permits
//! enforce its limits, and it has slow phases.

/// State of the weight store.
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
    /// Sets the factor by which the duration of new loads is multiplied.
    pub fn set_slow_factor(&mut self, factor: u64) {
        self.slow_factor = factor;
    }

    /// Starts a load of this duration at full speed; returns its number and actual duration.
    pub fn start(&mut self, micros: u64) -> (u64, u64) {
        let number = self.next_number;
        self.next_number += 1;
        (number, micros * self.slow_factor)
    }
}
