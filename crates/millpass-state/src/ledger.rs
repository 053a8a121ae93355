//! Memory accounting of replicas and adapters per accelerator.
//!
//! Sizes that do not divide evenly are rounded up on every accelerator, so that the ledger never
//! underestimates the memory in use.

use millpass_proto::{Replica, VersionSpec};

/// Free memory of an engine's accelerators, in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemoryLedger {
    free: Vec<u64>,
}

impl MemoryLedger {
    /// Creates a ledger with all memory free.
    pub fn new(capacity: &[u64]) -> Self {
        MemoryLedger {
            free: capacity.to_vec(),
        }
    }

    /// Returns the free memory per accelerator.
    pub fn free(&self) -> &[u64] {
        &self.free
    }

    /// Returns whether each of the accelerators has `bytes_each` free.
    pub fn fits(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|accelerator| {
            let free = self.free.get(*accelerator as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    /// Reserves memory on each of the accelerators. The caller must have checked that it fits.
    pub fn reserve(&mut self, accelerators: &[u32], bytes_each: u64) {
        debug_assert!(self.fits(accelerators, bytes_each));
        for accelerator in accelerators {
            self.free[*accelerator as usize] -= bytes_each;
        }
    }

    /// Releases reserved memory.
    pub fn release(&mut self, accelerators: &[u32], bytes_each: u64) {
        for accelerator in accelerators {
            self.free[*accelerator as usize] += bytes_each;
        }
    }
}

/// Returns the bytes of a version on each of `accelerators` accelerators, including caches.
pub fn version_bytes_each(version: &VersionSpec, accelerators: u32) -> u64 {
    let divisor = u64::from(accelerators.max(1));
    version.weights_bytes.div_ceil(divisor) + version.cache_bytes.div_ceil(divisor)
}

/// Returns the bytes of an adapter on each of `accelerators` accelerators.
pub fn adapter_bytes_each(bytes: u64, accelerators: usize) -> u64 {
    bytes.div_ceil(accelerators.max(1) as u64)
}

/// Returns the bytes of a replica on each of its accelerators, including adapters.
pub fn replica_bytes_each(replica: &Replica) -> u64 {
    let count = replica.accelerators.len();
    let divisor = count.max(1) as u64;
    let base = replica.weights_bytes.div_ceil(divisor) + replica.cache_bytes.div_ceil(divisor);
    let adapters = replica.adapters.iter();
    base + adapters
        .map(|attachment| adapter_bytes_each(attachment.bytes, count))
        .sum::<u64>()
}
