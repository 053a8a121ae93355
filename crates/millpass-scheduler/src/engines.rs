//! Engine reports: cached checkpoints and requests per slot.

use millpass_proto::{
    BackendName, CheckpointReport, CheckpointTier, EngineReport, Incarnation, SlotId,
};
use std::collections::BTreeMap;

/// Cached checkpoints recorded per engine.
const MAXIMUM_CHECKPOINTS_PER_ENGINE: usize = 4_096;
/// Engines recorded.
const MAXIMUM_ENGINES: usize = 65_536;

#[derive(Clone, Debug)]
struct EngineRecord {
    incarnation: Incarnation,
    sequence: u64,
    checkpoints: Vec<CheckpointReport>,
    /// Requests running and waiting inside the engine, per slot.
    requests: BTreeMap<SlotId, u32>,
}

/// Latest reports of all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<BackendName, EngineRecord>,
    /// Engines that have a checkpoint on disk or in memory.
    holders: BTreeMap<String, BTreeMap<BackendName, CheckpointTier>>,
}

impl EngineTable {
    /// Records a report. Stale reports of the same incarnation are ignored.
    pub fn observe(&mut self, report: &EngineReport) {
        let existing = self.engines.get(&report.backend);
        match existing {
            Some(existing)
                if existing.incarnation == report.incarnation
                    && existing.sequence >= report.sequence =>
            {
                return;
            }
            None if self.engines.len() >= MAXIMUM_ENGINES => return,
            _ => {}
        }
        let limit = report.checkpoints.len().min(MAXIMUM_CHECKPOINTS_PER_ENGINE);
        let checkpoints = &report.checkpoints[..limit];
        if existing.is_none_or(|existing| existing.checkpoints != checkpoints) {
            self.replace_checkpoints(&report.backend, checkpoints);
        }
        let slots = report.slots.iter();
        let record = EngineRecord {
            incarnation: report.incarnation,
            sequence: report.sequence,
            checkpoints: checkpoints.to_vec(),
            requests: slots
                .map(|slot| (slot.slot, slot.running.saturating_add(slot.waiting)))
                .collect(),
        };
        self.engines.insert(report.backend.clone(), record);
    }

    fn replace_checkpoints(&mut self, backend: &BackendName, checkpoints: &[CheckpointReport]) {
        self.drop_holder(backend);
        for report in checkpoints {
            if report.tier != CheckpointTier::Remote {
                let holders = self.holders.entry(report.checkpoint.clone()).or_default();
                holders.insert(backend.clone(), report.tier);
            }
        }
    }

    fn drop_holder(&mut self, backend: &BackendName) {
        let Some(record) = self.engines.get(backend) else {
            return;
        };
        for report in &record.checkpoints {
            if let Some(holders) = self.holders.get_mut(&report.checkpoint) {
                holders.remove(backend);
                if holders.is_empty() {
                    self.holders.remove(&report.checkpoint);
                }
            }
        }
    }

    /// Removes engines that are no longer registered.
    pub fn retain(&mut self, exists: impl Fn(&BackendName) -> bool) {
        let names = self.engines.keys().filter(|name| !exists(name));
        let removed: Vec<BackendName> = names.cloned().collect();
        for name in removed {
            self.drop_holder(&name);
            self.engines.remove(&name);
        }
    }

    /// Tier of a checkpoint on an engine's machine.
    pub fn tier(&self, backend: &BackendName, checkpoint: &str) -> CheckpointTier {
        let holders = self.holders.get(checkpoint);
        let tier = holders.and_then(|holders| holders.get(backend));
        tier.copied().unwrap_or(CheckpointTier::Remote)
    }

    /// Engines that have a checkpoint on disk or in memory, by name.
    pub fn holders(
        &self,
        checkpoint: &str,
    ) -> impl Iterator<Item = (&BackendName, &CheckpointTier)> {
        self.holders.get(checkpoint).into_iter().flatten()
    }

    /// Fastest tier of a checkpoint over all engines.
    pub fn best_tier(&self, checkpoint: &str) -> CheckpointTier {
        let tiers = self.holders(checkpoint).map(|(_, tier)| *tier);
        tiers.max().unwrap_or(CheckpointTier::Remote)
    }

    /// Requests reported in a slot; `None` when the engine has not reported the slot.
    pub fn slot_requests(&self, backend: &BackendName, slot: SlotId) -> Option<u32> {
        let record = self.engines.get(backend)?;
        record.requests.get(&slot).copied()
    }
}
