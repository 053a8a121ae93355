//! Loads under way: when each was first seen, from which tier, and how long it should take.

use crate::engines::EngineTable;
use crate::settings::SchedulerSettings;
use millpass_proto::{
    AdapterPhase, BackendName, CheckpointTier, Duration, Replica, ReplicaPhase, SlotId, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Weight of the newest load in the running ratio of measured to expected time.
const NEWEST_SHARE: f64 = 0.25;
/// Bounds of that ratio.
const RATIO_RANGE: (f64, f64) = (0.25, 16.0);
/// Loads shorter than this say nothing of the rate.
const SHORTEST_MEASURED: Duration = Duration::from_millis(100);
/// A load is overdue after this many times its expected time, and not before `OVERDUE_FLOOR`.
const OVERDUE_FACTOR: u32 = 4;
/// See `OVERDUE_FACTOR`.
const OVERDUE_FLOOR: Duration = Duration::from_secs(30);

/// A slot as this leader has seen it.
#[derive(Clone, Copy, Debug)]
struct SlotRecord {
    tier: CheckpointTier,
    first_seen: Timestamp,
    loaded: Option<Timestamp>,
}

/// Slots seen, and how loads went.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    slots: BTreeMap<SlotId, SlotRecord>,
    /// Measured over expected time of loads from the store; none before the first.
    store_ratio: Option<f64>,
}

impl LoadTracker {
    /// Brings the records up to date with the state.
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
        // Every replica has a record now: more records than replicas means that some are over.
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
        let took = now.since(record.first_seen);
        if record.tier == CheckpointTier::Remote && took >= SHORTEST_MEASURED {
            let expected = transfer_time(settings, CheckpointTier::Remote, replica.weights_bytes);
            self.measure(took, expected);
        }
    }

    fn measure(&mut self, took: Duration, expected: Duration) {
        let expected = expected.max(SHORTEST_MEASURED);
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let smoothed = self.store_ratio.map_or(ratio, |old| {
            old * (1.0 - NEWEST_SHARE) + ratio * NEWEST_SHARE
        });
        self.store_ratio = Some(smoothed);
    }

    /// Expected time of a load, by its tier, its size and how the store did of late.
    pub fn expected(
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

    /// Expected time until a loading replica serves.
    pub fn remaining(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        replica: &Replica,
    ) -> Duration {
        let Some(record) = self.slots.get(&replica.slot) else {
            return self.expected(settings, CheckpointTier::Remote, replica.weights_bytes);
        };
        let expected = self.expected(settings, record.tier, replica.weights_bytes);
        let elapsed = now.since(record.first_seen);
        // A load past its time is taken to need a tenth more of what it has taken already.
        expected.saturating_sub(elapsed).max(elapsed / 10)
    }

    /// Whether a load takes so much longer than expected that it counts as failed.
    pub fn overdue(&self, now: Timestamp, settings: &SchedulerSettings, replica: &Replica) -> bool {
        if replica.phase != ReplicaPhase::Loading {
            return false;
        }
        let Some(record) = self.slots.get(&replica.slot) else {
            return false;
        };
        let expected = self.expected(settings, record.tier, replica.weights_bytes);
        let bound = (expected * OVERDUE_FACTOR).max(OVERDUE_FLOOR);
        now.since(record.first_seen) > bound
    }

    /// When a slot was first seen loaded.
    pub fn loaded_since(&self, slot: SlotId) -> Option<Timestamp> {
        self.slots.get(&slot)?.loaded
    }

    /// Loads under way per engine, with their expected remaining time, and how many of all come
    /// from the store.
    pub fn under_way(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        state: &State,
        engines: &EngineTable,
    ) -> LoadsUnderWay {
        let mut under_way = LoadsUnderWay::default();
        for backend in state.engines_with_orders() {
            for replica in state.replicas_on(backend) {
                self.add_loads_of(now, settings, replica, engines, &mut under_way);
            }
        }
        under_way
    }

    fn add_loads_of(
        &self,
        now: Timestamp,
        settings: &SchedulerSettings,
        replica: &Replica,
        engines: &EngineTable,
        under_way: &mut LoadsUnderWay,
    ) {
        if replica.phase == ReplicaPhase::Loading {
            let remaining = self.remaining(now, settings, replica);
            let tier = self.slots.get(&replica.slot).map(|record| record.tier);
            under_way.add(&replica.backend, remaining, tier);
        }
        for attachment in &replica.adapters {
            if attachment.phase == AdapterPhase::Loading {
                let tier = engines.tier(&replica.backend, &attachment.checkpoint);
                let expected = self.expected(settings, tier, attachment.bytes);
                under_way.add(&replica.backend, expected, Some(tier));
            }
        }
    }
}

/// Loads under way over all engines.
#[derive(Clone, Debug, Default)]
pub struct LoadsUnderWay {
    /// Expected time until each engine has done its loads; idle ones are left out.
    pub queued: BTreeMap<BackendName, Duration>,
    /// Loads from the store.
    pub from_store: usize,
}

impl LoadsUnderWay {
    /// Adds one load.
    pub fn add(&mut self, backend: &BackendName, time: Duration, tier: Option<CheckpointTier>) {
        *self.queued.entry(backend.clone()).or_default() += time;
        if tier.unwrap_or(CheckpointTier::Remote) == CheckpointTier::Remote {
            self.from_store += 1;
        }
    }
}

/// Time to move these bytes from a tier at its stated rate.
pub fn transfer_time(settings: &SchedulerSettings, tier: CheckpointTier, bytes: u64) -> Duration {
    let rate = match tier {
        CheckpointTier::Remote => settings.store_bytes_per_second,
        CheckpointTier::Disk => settings.disk_bytes_per_second,
        CheckpointTier::Memory => settings.memory_bytes_per_second,
    };
    Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
}
