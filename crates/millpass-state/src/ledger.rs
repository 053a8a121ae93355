//! Memory arithmetic: what a replica and its adapters take on each accelerator.
//!
//! A part that does not divide evenly is rounded up on every accelerator, so that the ledger never
//! counts less than an engine may use.

use millpass_proto::{Replica, VersionSpec};

/// Free and total memory of one engine's accelerators, in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemoryLedger {
    free: Vec<u64>,
}

impl MemoryLedger {
    /// A ledger with all memory free.
    pub fn new(capacity: &[u64]) -> Self {
        MemoryLedger {
            free: capacity.to_vec(),
        }
    }

    /// Free memory per accelerator.
    pub fn free(&self) -> &[u64] {
        &self.free
    }

    /// Whether each of the accelerators has this much free.
    pub fn fits(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|accelerator| {
            let free = self.free.get(*accelerator as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    /// Reserves memory on each of the accelerators; the caller checked that it fits.
    pub fn reserve(&mut self, accelerators: &[u32], bytes_each: u64) {
        debug_assert!(self.fits(accelerators, bytes_each));
        for accelerator in accelerators {
            self.free[*accelerator as usize] -= bytes_each;
        }
    }

    /// Releases what was reserved.
    pub fn release(&mut self, accelerators: &[u32], bytes_each: u64) {
        for accelerator in accelerators {
            self.free[*accelerator as usize] += bytes_each;
        }
    }
}

/// Bytes that a version takes on each of `accelerators` accelerators, caches included.
pub fn version_bytes_each(version: &VersionSpec, accelerators: u32) -> u64 {
    let share = u64::from(accelerators.max(1));
    version.weights_bytes.div_ceil(share) + version.cache_bytes.div_ceil(share)
}

/// Bytes that an adapter takes on each of `accelerators` accelerators.
pub fn adapter_bytes_each(bytes: u64, accelerators: usize) -> u64 {
    bytes.div_ceil(accelerators.max(1) as u64)
}

/// Bytes that a replica holds on each of its accelerators, with its adapters.
pub fn replica_bytes_each(replica: &Replica) -> u64 {
    let count = replica.accelerators.len();
    let share = count.max(1) as u64;
    let own = replica.weights_bytes.div_ceil(share) + replica.cache_bytes.div_ceil(share);
    let adapters = replica.adapters.iter();
    own + adapters
        .map(|attachment| adapter_bytes_each(attachment.bytes, count))
        .sum::<u64>()
}
