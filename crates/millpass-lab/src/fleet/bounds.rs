//! Memory limits: checked before a fleet starts and while it runs.

use crate::deployment::Deployment;
use procfs::Current;

/// Memory reserved for other programs on the machine.
const RESERVED_BYTES: u64 = 1_000_000_000;

/// Reason why a fleet is not started or is stopped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BoundsError {
    /// Not enough free memory.
    #[error(
        "{available} bytes of memory are free, the fleet may use {bound} and {RESERVED_BYTES} must \
         stay free; stop other programs, or lower bounds.resident_bytes and the zones"
    )]
    NotEnoughMemory {
        /// Available memory, in bytes.
        available: u64,
        /// Memory bound of the deployment, in bytes.
        bound: u64,
    },
    /// The bound exceeds half of the memory of the machine.
    #[error(
        "bounds.resident_bytes ({bound}) is more than half of the {total} bytes of the machine; lower it"
    )]
    MoreThanHalf {
        /// Total memory of the machine, in bytes.
        total: u64,
        /// Memory bound of the deployment, in bytes.
        bound: u64,
    },
    /// The fleet exceeds its bound.
    #[error(
        "the fleet uses {resident} bytes of memory, more than bounds.resident_bytes ({bound}); \
         it is stopped"
    )]
    TooLarge {
        /// Resident memory, in bytes.
        resident: u64,
        /// Memory bound of the deployment, in bytes.
        bound: u64,
    },
}

/// Memory of a machine, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineMemory {
    /// Total memory.
    pub total: u64,
    /// Available memory.
    pub available: u64,
}

/// Checks the memory limits before a fleet starts.
pub fn check_before(deployment: &Deployment, machine: MachineMemory) -> Result<(), BoundsError> {
    let bound = deployment.bounds.resident_bytes;
    let MachineMemory { total, available } = machine;
    if bound > total / 2 {
        return Err(BoundsError::MoreThanHalf { total, bound });
    }
    if available < bound.saturating_add(RESERVED_BYTES) {
        return Err(BoundsError::NotEnoughMemory { available, bound });
    }
    Ok(())
}

/// Checks the memory bound of a running fleet.
pub fn check_running(deployment: &Deployment, resident: u64) -> Result<(), BoundsError> {
    let bound = deployment.bounds.resident_bytes;
    if resident > bound {
        return Err(BoundsError::TooLarge { resident, bound });
    }
    Ok(())
}

/// Reads the memory of this machine; 0 for values that are unavailable.
pub fn machine_memory() -> MachineMemory {
    let memory = procfs::Meminfo::current().ok();
    MachineMemory {
        total: memory.as_ref().map_or(0, |memory| memory.mem_total),
        available: memory.and_then(|memory| memory.mem_available).unwrap_or(0),
    }
}
