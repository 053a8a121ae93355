//! State of an engine's slots.

use super::batch::Batch;
use super::memory::Reservation;
use super::messages::FetchId;
use super::prefix::PrefixCache;
use millpass_proto::{
    AdapterName, EngineAdapterReport, EngineSlotPhase, EngineSlotReport, LogPosition, ModelName,
    SlotId, Timestamp, VersionLabel,
};
use std::collections::BTreeMap;

/// A unit of loading: a model's weights, or an adapter.
#[derive(Clone, Debug)]
pub struct Artifact {
    /// Fence of the last order that affected it.
    pub fence: LogPosition,
    pub phase: EngineSlotPhase,
    /// Memory held; empty after an unload or a failure.
    pub reservation: Reservation,
    /// Size of the checkpoint.
    pub bytes: u64,
    /// Name of the checkpoint in the weight store.
    pub checkpoint: String,
    /// Active fetch.
    pub fetch: Option<FetchId>,
    /// Number of times the store asked for a retry.
    pub retries: u32,
    /// Time at which the load completes.
    pub ready_at: Option<Timestamp>,
    /// Time at which the unload completes.
    pub free_at: Option<Timestamp>,
    /// Time at which the unload aborts the remaining requests.
    pub abort_at: Option<Timestamp>,
}

impl Artifact {
    /// Creates an artifact that starts to load.
    pub fn loading(
        fence: LogPosition,
        reservation: Reservation,
        bytes: u64,
        checkpoint: &str,
    ) -> Self {
        Artifact {
            fence,
            phase: EngineSlotPhase::Loading,
            reservation,
            bytes,
            checkpoint: checkpoint.to_owned(),
            fetch: None,
            retries: 0,
            ready_at: None,
            free_at: None,
            abort_at: None,
        }
    }

    /// Creates an unloaded artifact without memory.
    pub fn unloaded(fence: LogPosition) -> Self {
        let mut artifact = Artifact::loading(fence, Reservation::default(), 0, "");
        artifact.phase = EngineSlotPhase::Unloaded;
        artifact
    }

    /// Whether it is unloaded or failed, and so holds no memory.
    pub fn is_released(&self) -> bool {
        matches!(
            self.phase,
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_)
        )
    }

    /// Whether it is completely in accelerator memory: loaded or being unloaded.
    pub fn is_in_memory(&self) -> bool {
        matches!(
            self.phase,
            EngineSlotPhase::Loaded | EngineSlotPhase::Unloading
        )
    }

    /// Whether requests may use it.
    pub fn is_loaded(&self) -> bool {
        self.phase == EngineSlotPhase::Loaded
    }
}

#[derive(Clone, Debug)]
pub struct Slot {
    pub model: ModelName,
    pub version: VersionLabel,
    /// Accelerators it spans.
    pub accelerators: Vec<u32>,
    /// Memory for KV and prefix caches.
    pub cache_bytes: u64,
    /// Weights; their reservation includes the cache memory.
    pub weights: Artifact,
    pub adapters: BTreeMap<AdapterName, Artifact>,
    pub prefix: PrefixCache,
    pub batch: Batch,
}

impl Slot {
    /// Creates an unloaded slot.
    pub fn unloaded(fence: LogPosition) -> Self {
        Slot {
            model: ModelName::from(""),
            version: VersionLabel::from(""),
            accelerators: Vec::new(),
            cache_bytes: 0,
            weights: Artifact::unloaded(fence),
            adapters: BTreeMap::new(),
            prefix: PrefixCache::default(),
            batch: Batch::default(),
        }
    }

    /// Returns the named adapter, or the weights if `adapter` is `None`.
    pub fn artifact_mut(&mut self, adapter: Option<&AdapterName>) -> Option<&mut Artifact> {
        match adapter {
            None => Some(&mut self.weights),
            Some(name) => self.adapters.get_mut(name),
        }
    }

    pub fn report(&self, slot: SlotId) -> EngineSlotReport {
        let adapters = self
            .adapters
            .iter()
            .map(|(adapter, artifact)| EngineAdapterReport {
                adapter: adapter.clone(),
                fence: artifact.fence,
                phase: artifact.phase.clone(),
            });
        EngineSlotReport {
            slot,
            model: self.model.clone(),
            version: self.version.clone(),
            fence: self.weights.fence,
            phase: self.weights.phase.clone(),
            adapters: adapters.collect(),
            running: self.batch.running_count(),
            waiting: self.batch.waiting_count(),
        }
    }
}
