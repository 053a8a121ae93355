//! Detection and quarantine of work that crashes the instances that run it, without I/O, clock or threads. The
//! leader evaluates requests across all gateways and loads across all engines; a gateway evaluates what it has
//! observed itself while no leader is reachable.
//!
//! | module | contents |
//! |---|---|
//! | `crashes` | crashes of instances and the items in flight at each |
//! | `quarantine` | quarantined and suspected items |

mod crashes;
mod quarantine;

pub use crashes::{CrashLedger, MAXIMUM_CRASHES, MAXIMUM_ITEMS};
pub use quarantine::{QUARANTINE_THRESHOLD, Quarantine, QuarantinedItem, quarantine_duration};
