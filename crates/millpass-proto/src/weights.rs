//! Where a model's weights come from, and how long they take from there.

use crate::{Duration, EngineModelSpec};

/// The nearest copy of a model's weights that an engine has, or the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsSource {
    /// A copy in the engine's host memory.
    Memory,
    /// A copy on the engine's disk.
    Disk,
    /// No copy at hand: the weight store.
    Store,
}

impl EngineModelSpec {
    /// Expected time to load the model from there.
    pub fn load_time(&self, source: WeightsSource) -> Duration {
        Duration::from_millis(match source {
            WeightsSource::Memory => self.memory_load_millis,
            WeightsSource::Disk => self.disk_load_millis,
            WeightsSource::Store => self.load_millis,
        })
    }
}
