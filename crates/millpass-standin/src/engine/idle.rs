//! Accounts for accelerator time with loaded weights, and its idle part.

use millpass_proto::Timestamp;

/// Use of one accelerator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceleratorUse {
    /// Whether weights are loaded.
    pub loaded: bool,
    /// Whether a request is running.
    pub running: bool,
}

/// Accumulates loaded and idle accelerator time.
#[derive(Clone, Debug)]
pub struct IdleClock {
    last: Timestamp,
    uses: Vec<AcceleratorUse>,
    loaded_micros: u64,
    idle_micros: u64,
}

impl IdleClock {
    /// Starts with nothing loaded.
    pub fn new(now: Timestamp, accelerators: usize) -> Self {
        IdleClock {
            last: now,
            uses: vec![AcceleratorUse::default(); accelerators],
            loaded_micros: 0,
            idle_micros: 0,
        }
    }

    /// Accounts for the time up to `now` with the current uses.
    pub fn advance(&mut self, now: Timestamp) {
        let (loaded, idle) = self.sums_at(now);
        self.loaded_micros = loaded;
        self.idle_micros = idle;
        self.last = self.last.max(now);
    }

    /// Sets the uses from the last accounted time on.
    pub fn set_uses(&mut self, uses: Vec<AcceleratorUse>) {
        self.uses = uses;
    }

    /// Returns the loaded microseconds up to `now`, and the idle ones among them.
    pub fn sums_at(&self, now: Timestamp) -> (u64, u64) {
        let elapsed = now.as_micros().saturating_sub(self.last.as_micros());
        let loaded = self.uses.iter().filter(|one| one.loaded).count() as u64;
        let idle = self
            .uses
            .iter()
            .filter(|one| one.loaded && !one.running)
            .count() as u64;
        (
            self.loaded_micros + loaded * elapsed,
            self.idle_micros + idle * elapsed,
        )
    }
}
