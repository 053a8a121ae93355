//! LRU caches of checkpoints on the engine's machine, in memory and on disk.

use super::settings::{CheckpointSettings, InitialCheckpoint};
use millpass_proto::{CheckpointReport, CheckpointTier};
use std::collections::BTreeMap;

/// One LRU cache tier, bounded in bytes.
#[derive(Clone, Debug)]
struct Tier {
    capacity: u64,
    used: u64,
    entries: BTreeMap<String, (u64, u64)>,
}

impl Tier {
    fn new(capacity: u64) -> Self {
        Tier {
            capacity,
            used: 0,
            entries: BTreeMap::new(),
        }
    }

    fn touch(&mut self, checkpoint: &str, recency: u64) -> bool {
        let Some(entry) = self.entries.get_mut(checkpoint) else {
            return false;
        };
        entry.1 = recency;
        true
    }

    fn insert(&mut self, checkpoint: &str, bytes: u64, recency: u64) {
        if bytes > self.capacity {
            return;
        }
        self.remove(checkpoint);
        while self.used + bytes > self.capacity {
            self.evict_oldest();
        }
        self.entries.insert(checkpoint.to_owned(), (bytes, recency));
        self.used += bytes;
    }

    /// Returns the entries, least recently used first.
    fn contents(&self, tier: CheckpointTier) -> impl Iterator<Item = InitialCheckpoint> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, (_, recency))| *recency);
        entries
            .into_iter()
            .map(move |(name, (bytes, _))| InitialCheckpoint {
                checkpoint: name.clone(),
                bytes: *bytes,
                tier,
            })
    }

    fn remove(&mut self, checkpoint: &str) {
        if let Some((bytes, _)) = self.entries.remove(checkpoint) {
            self.used -= bytes;
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, (_, recency))| *recency);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.remove(&name);
        }
    }
}

/// Checkpoint caches of the machine.
#[derive(Clone, Debug)]
pub struct CheckpointCache {
    memory: Tier,
    disk: Tier,
    recency: u64,
}

impl CheckpointCache {
    /// Creates the caches with their initial contents.
    pub fn new(settings: &CheckpointSettings) -> Self {
        let mut cache = CheckpointCache {
            memory: Tier::new(settings.memory_bytes),
            disk: Tier::new(settings.disk_bytes),
            recency: 0,
        };
        for initial in &settings.initial {
            cache.recency += 1;
            match initial.tier {
                CheckpointTier::Memory => {
                    cache
                        .memory
                        .insert(&initial.checkpoint, initial.bytes, cache.recency);
                }
                CheckpointTier::Disk => {
                    cache
                        .disk
                        .insert(&initial.checkpoint, initial.bytes, cache.recency);
                }
                CheckpointTier::Remote => {}
            }
        }
        cache
    }

    /// Returns the fastest tier that has the checkpoint, marks it as most recently used, and copies it from
    /// disk to memory.
    pub fn use_checkpoint(&mut self, checkpoint: &str, bytes: u64) -> CheckpointTier {
        self.recency += 1;
        let on_disk = self.disk.touch(checkpoint, self.recency);
        if self.memory.touch(checkpoint, self.recency) {
            return CheckpointTier::Memory;
        }
        if on_disk {
            self.memory.insert(checkpoint, bytes, self.recency);
            return CheckpointTier::Disk;
        }
        CheckpointTier::Remote
    }

    /// Caches a checkpoint fetched from the weight store in both tiers.
    pub fn store(&mut self, checkpoint: &str, bytes: u64) {
        self.recency += 1;
        self.disk.insert(checkpoint, bytes, self.recency);
        self.memory.insert(checkpoint, bytes, self.recency);
    }

    /// Returns the cached checkpoints, for the next engine process on this machine.
    pub fn contents(&self) -> Vec<InitialCheckpoint> {
        let disk = self.disk.contents(CheckpointTier::Disk);
        let memory = self.memory.contents(CheckpointTier::Memory);
        disk.chain(memory).collect()
    }

    /// Returns the cached checkpoints, each with its fastest tier.
    pub fn report(&self) -> Vec<CheckpointReport> {
        let mut tiers: BTreeMap<&String, CheckpointTier> = BTreeMap::new();
        for name in self.disk.entries.keys() {
            tiers.insert(name, CheckpointTier::Disk);
        }
        for name in self.memory.entries.keys() {
            tiers.insert(name, CheckpointTier::Memory);
        }
        tiers
            .into_iter()
            .map(|(checkpoint, tier)| CheckpointReport {
                checkpoint: checkpoint.clone(),
                tier,
            })
            .collect()
    }
}
