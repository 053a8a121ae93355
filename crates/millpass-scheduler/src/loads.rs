//! Loads in progress: first seen time, source tier and expected duration.

use crate::engines::EngineTable;
use crate::settings::SchedulerSettings;
use millpass_proto::{
    AdapterPhase, BackendName, CheckpointTier, Duration, Replica, ReplicaPhase, SlotId, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Weight of the newest sample in the moving average of measured over expected load time.
const SMOOTHING_FACTOR: f64 = 0.25;
/// Bounds of a sample of that ratio.
const RATIO_RANGE: (f64, f64) = (0.25, 16.0);
/// Shorter loads do not indicate the transfer rate.
const MINIMUM_MEASURED_LOAD: Duration = Duration::from_millis(100);
/// A load is overdue after this multiple of its expected time, but no sooner than
/// `MINIMUM_OVERDUE_TIME`.
const OVERDUE_FACTOR: u32 = 4;
const MINIMUM_OVERDUE_TIME: Duration = Duration::from_secs(30);

/// Observations of one slot by this leader.
#[derive(Clone, Copy, Debug)]
struct SlotRecord {
    tier: CheckpointTier,
    first_seen: Timestamp,
    loaded: Option<Timestamp>,
}

/// Observed slots and the measured speed of the store.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    slots: BTreeMap<SlotId, SlotRecord>,
    /// Moving average of measured over expected time of loads from the store; `None` before the
    /// first measured load.
    store_ratio: Option<f64>,
}

impl LoadTracker {
    /// Updates the records from the state.
    pub fn refresh(
        &mut self,
        now: Timestamp,
        state: &State,
        engines: &EngineTable,
        settings: &SchedulerSettings,
    ) {
        let replicas = state.replicas();
        for replica in &replicas {
            self.refresh_slot(now, replica, engines, settings);
        }
        // Every replica has a record at this point, so a surplus belongs to removed replicas.
        if self.slots.len() > replicas.len() {
            self.slots.retain(|slot, _| state.replica(*slot).is_some());
        }
    }

    fn refresh_slot(
        &mut self,
        now: Timestamp,
        replica: &Replica,
        engines: &EngineTable,
        settings: &SchedulerSettings,
    ) {
        let loaded = replica.phase == ReplicaPhase::Loaded;
        let Some(record) = self.slots.get_mut(&replica.slot) else {
            let record = SlotRecord {
                tier: engines.tier(&replica.backend, &replica.checkpoint),
                first_seen: now,
                loaded: loaded.then_some(now),
            };
            self.slots.insert(replica.slot, record);
            return;
        };
        if !loaded || record.loaded.is_some() {
            return;
        }
        record.loaded = Some(now);
        let elapsed = now.since(record.first_seen);
        if record.tier == CheckpointTier::Remote && elapsed >= MINIMUM_MEASURED_LOAD {
            let expected = transfer_time(settings, CheckpointTier::Remote, replica.weights_bytes);
            self.record_load_time(elapsed, expected);
        }
    }

    fn record_load_time(&mut self, elapsed: Duration, expected: Duration) {
        let expected = expected.max(MINIMUM_MEASURED_LOAD);
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let smoothed = self.store_ratio.map_or(ratio, |old| {
            old * (1.0 - SMOOTHING_FACTOR) + ratio * SMOOTHING_FACTOR
        });
        self.store_ratio = Some(smoothed);
    }

    /// Expected duration of a load, by tier, size and recent speed of the store.
    pub fn expected_time(
        &self,
        settings: &SchedulerSettings,
        tier: CheckpointTier,
        bytes: u64,
    ) -> Duration {
        let nominal = transfer_time(settings, tier, bytes);
        match tier {
            CheckpointTier::Remote => nominal.mul_f64(self.store_ratio.unwrap_or(1.0)),
            _ => nominal,
        }
    }

    /// Expected time until a loading replica is ready.
    pub fn remaining_time(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        replica: &Replica,
    ) -> Duration {
        let Some(record) = self.slots.get(&replica.slot) else {
            return self.expected_time(settings, CheckpointTier::Remote, replica.weights_bytes);
        };
        let expected = self.expected_time(settings, record.tier, replica.weights_bytes);
        let elapsed = now.since(record.first_seen);
        // An overrunning load is expected to take another tenth of the elapsed time.
        expected.saturating_sub(elapsed).max(elapsed / 10)
    }

    /// Returns true if a load exceeds its expected time so far that it is considered failed.
    pub fn is_overdue(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        replica: &Replica,
    ) -> bool {
        if replica.phase != ReplicaPhase::Loading {
            return false;
        }
        let Some(record) = self.slots.get(&replica.slot) else {
            return false;
        };
        let expected = self.expected_time(settings, record.tier, replica.weights_bytes);
        let limit = (expected * OVERDUE_FACTOR).max(MINIMUM_OVERDUE_TIME);
        now.since(record.first_seen) > limit
    }

    /// Time at which a slot was first seen loaded.
    pub fn loaded_at(&self, slot: SlotId) -> Option<Timestamp> {
        self.slots.get(&slot)?.loaded
    }

    /// Loads in progress per engine with their expected remaining time, and the count of loads from
    /// the store.
    pub fn in_progress(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        state: &State,
        engines: &EngineTable,
    ) -> LoadsInProgress {
        let mut in_progress = LoadsInProgress::default();
        for backend in state.engines_with_orders() {
            for replica in state.replicas_on(backend) {
                self.add_loads_of(now, settings, replica, engines, &mut in_progress);
            }
        }
        in_progress
    }

    fn add_loads_of(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        replica: &Replica,
        engines: &EngineTable,
        in_progress: &mut LoadsInProgress,
    ) {
        if replica.phase == ReplicaPhase::Loading {
            let remaining = self.remaining_time(now, settings, replica);
            let tier = self.slots.get(&replica.slot).map(|record| record.tier);
            in_progress.add(&replica.backend, remaining, tier);
        }
        for attachment in &replica.adapters {
            if attachment.phase == AdapterPhase::Loading {
                let tier = engines.tier(&replica.backend, &attachment.checkpoint);
                let expected = self.expected_time(settings, tier, attachment.bytes);
                in_progress.add(&replica.backend, expected, Some(tier));
            }
        }
    }
}

/// Loads in progress over all engines.
#[derive(Clone, Debug, Default)]
pub struct LoadsInProgress {
    /// Expected time until each engine has completed its loads; engines without loads are absent.
    pub queued: BTreeMap<BackendName, Duration>,
    /// Number of loads from the store.
    pub from_store: usize,
}

impl LoadsInProgress {
    pub fn add(&mut self, backend: &BackendName, time: Duration, tier: Option<CheckpointTier>) {
        *self.queued.entry(backend.clone()).or_default() += time;
        if tier.unwrap_or(CheckpointTier::Remote) == CheckpointTier::Remote {
            self.from_store += 1;
        }
    }
}

/// Time to transfer `bytes` from a tier at its configured rate.
pub fn transfer_time(settings: &SchedulerSettings, tier: CheckpointTier, bytes: u64) -> Duration {
    let rate = match tier {
        CheckpointTier::Remote => settings.store_bytes_per_second,
        CheckpointTier::Disk => settings.disk_bytes_per_second,
        CheckpointTier::Memory => settings.memory_bytes_per_second,
    };
    Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
}
