//! What a slot of an engine holds.

use super::batch::Batch;
use super::memory::Reservation;
use super::messages::FetchId;
use super::prefix::PrefixCache;
use millpass_proto::{
    AdapterName, EngineAdapterReport, EngineSlotPhase, EngineSlotReport, LogPosition, ModelName,
    SlotId, Timestamp, VersionLabel,
};
use std::collections::BTreeMap;

/// One thing that is loaded as a whole: a model's weights, or an adapter.
#[derive(Clone, Debug)]
pub struct Artifact {
    /// Fence of the last order on it.
    pub fence: LogPosition,
    /// Phase.
    pub phase: EngineSlotPhase,
    /// Memory held; empty once it is gone.
    pub reservation: Reservation,
    /// Size of the checkpoint.
    pub bytes: u64,
    /// Checkpoint in the weight store.
    pub checkpoint: String,
    /// Fetch that goes on.
    pub fetch: Option<FetchId>,
    /// Times the store said "later".
    pub retries: u32,
    /// When the load will be complete.
    pub ready_at: Option<Timestamp>,
    /// When the unload will be complete.
    pub free_at: Option<Timestamp>,
    /// When the unload waits no longer for requests.
    pub abort_at: Option<Timestamp>,
}

impl Artifact {
    /// A part whose load begins.
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

    /// A part that is gone and holds nothing.
    pub fn unloaded(fence: LogPosition) -> Self {
        let mut artifact = Artifact::loading(fence, Reservation::default(), 0, "");
        artifact.phase = EngineSlotPhase::Unloaded;
        artifact
    }

    /// Whether it is gone or failed, and so holds nothing.
    pub fn is_released(&self) -> bool {
        matches!(
            self.phase,
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_)
        )
    }

    /// Whether it is wholly in accelerator memory, loaded or being unloaded.
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

/// One slot.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionLabel,
    /// Accelerators it spans.
    pub accelerators: Vec<u32>,
    /// Memory for caches.
    pub cache_bytes: u64,
    /// Weights; their reservation covers the caches too.
    pub weights: Artifact,
    /// Adapters.
    pub adapters: BTreeMap<AdapterName, Artifact>,
    /// Prefix cache.
    pub prefix: PrefixCache,
    /// Requests.
    pub batch: Batch,
}

impl Slot {
    /// A slot that is gone.
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

    /// The weights, or an adapter.
    pub fn artifact_mut(&mut self, adapter: Option<&AdapterName>) -> Option<&mut Artifact> {
        match adapter {
            None => Some(&mut self.weights),
            Some(name) => self.adapters.get_mut(name),
        }
    }

    /// The slot as it is reported.
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
