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
    /// The bound is more than half of the machine.
    #[error(
        "bounds.resident_bytes ({bound}) is more than half of the machine's {total} bytes; lower it"
    )]
    MoreThanHalf {
        /// Memory of the machine.
        total: u64,
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

/// Memory of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineMemory {
    /// All of it.
    pub total: u64,
    /// What programs may still take.
    pub available: u64,
}

/// Checks before the start.
pub fn check_before(deployment: &Deployment, machine: MachineMemory) -> Result<(), BoundsError> {
    let bound = deployment.bounds.resident_bytes;
    let MachineMemory { total, available } = machine;
    if bound > total / 2 {
        return Err(BoundsError::MoreThanHalf { total, bound });
    }
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

/// Memory of this machine; 0 for what cannot be told.
pub fn machine_memory() -> MachineMemory {
    let memory = procfs::Meminfo::current().ok();
    MachineMemory {
        total: memory.as_ref().map_or(0, |memory| memory.mem_total),
        available: memory.and_then(|memory| memory.mem_available).unwrap_or(0),
    }
}
