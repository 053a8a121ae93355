//! Accelerator time with weights loaded, and how much of it was idle.

use millpass_proto::Timestamp;

/// What an accelerator does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceleratorUse {
    /// Weights are loaded.
    pub loaded: bool,
    /// A request runs.
    pub running: bool,
}

/// Sums accelerator time.
#[derive(Clone, Debug)]
pub struct IdleClock {
    last: Timestamp,
    uses: Vec<AcceleratorUse>,
    loaded_micros: u64,
    idle_micros: u64,
}

impl IdleClock {
    /// Nothing loaded.
    pub fn new(now: Timestamp, accelerators: usize) -> Self {
        IdleClock {
            last: now,
            uses: vec![AcceleratorUse::default(); accelerators],
            loaded_micros: 0,
            idle_micros: 0,
        }
    }

    /// Adds the time up to `now` under the uses that held until then.
    pub fn advance(&mut self, now: Timestamp) {
        let (loaded, idle) = self.sums_at(now);
        self.loaded_micros = loaded;
        self.idle_micros = idle;
        self.last = self.last.max(now);
    }

    /// Sets what the accelerators do from now on.
    pub fn set_uses(&mut self, uses: Vec<AcceleratorUse>) {
        self.uses = uses;
    }

    /// Microseconds loaded, and of these idle, up to `now`.
    pub fn sums_at(&self, now: Timestamp) -> (u64, u64) {
        let passed = now.as_micros().saturating_sub(self.last.as_micros());
        let loaded = self.uses.iter().filter(|one| one.loaded).count() as u64;
        let idle = self
            .uses
            .iter()
            .filter(|one| one.loaded && !one.running)
            .count() as u64;
        (
            self.loaded_micros + loaded * passed,
            self.idle_micros + idle * passed,
        )
    }
}
