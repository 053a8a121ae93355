//! Sources of model weights and their load times.

use crate::{Duration, EngineModelSpec};

/// Fastest source from which an engine can load a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsSource {
    /// Copy in the engine's host memory.
    Memory,
    /// Copy on the engine's local disk.
    Disk,
    /// The weight store; the engine has no local copy.
    Store,
}

impl EngineModelSpec {
    /// Expected load time of the model from a source.
    pub fn load_time(&self, source: WeightsSource) -> Duration {
        Duration::from_millis(match source {
            WeightsSource::Memory => self.memory_load_millis,
            WeightsSource::Disk => self.disk_load_millis,
            WeightsSource::Store => self.load_millis,
        })
    }
}
