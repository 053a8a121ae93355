//! Refuses to start what the machine or the deployment's bounds do not hold.

use crate::deployment::Deployment;
use procfs::Current;

/// Free memory left for everything else on the machine.
const SPARE_BYTES: u64 = 1_000_000_000;

/// Why a fleet is not started or goes no further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BoundsError {
    /// Not enough free memory.
    #[error(
        "{available} bytes of memory are free, the fleet may take {bound} and {SPARE_BYTES} must \
         stay free; stop other programs, or lower bounds.resident_bytes and the zones"
    )]
    NotEnoughMemory {
        /// Free now.
        available: u64,
        /// What the deployment allows the fleet.
        bound: u64,
    },
    /// The fleet grew too large.
    #[error(
        "the fleet holds {resident} bytes of memory, more than bounds.resident_bytes ({bound}); \
         it is stopped"
    )]
    TooLarge {
        /// Held now.
        resident: u64,
        /// Bound.
        bound: u64,
    },
}

/// Checks before the start, given the machine's available memory.
pub fn check_before(deployment: &Deployment, available: u64) -> Result<(), BoundsError> {
    let bound = deployment.bounds.resident_bytes;
    if available < bound.saturating_add(SPARE_BYTES) {
        return Err(BoundsError::NotEnoughMemory { available, bound });
    }
    Ok(())
}

/// Checks while the fleet runs.
pub fn check_running(deployment: &Deployment, resident: u64) -> Result<(), BoundsError> {
    let bound = deployment.bounds.resident_bytes;
    if resident > bound {
        return Err(BoundsError::TooLarge { resident, bound });
    }
    Ok(())
}

/// Memory that programs may still take on this machine; 0 if it cannot be told.
pub fn available_memory() -> u64 {
    let memory = procfs::Meminfo::current().ok();
    memory.and_then(|memory| memory.mem_available).unwrap_or(0)
}
