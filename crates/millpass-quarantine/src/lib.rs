//! Detection and quarantine of work that crashes the instances that run it, without I/O, clock or threads. The
//! leader evaluates requests across all gateways and loads across all engines; a gateway evaluates what it has
//! observed itself while no leader is reachable.
//!
//! | module | contents |
//! |---|---|
//! | `crashes` | crashes of instances and the items in flight at each |
//! | `quarantine` | quarantined and suspected items |
//! | `part_evidence` | crashes and responses of the parts of prompts |
//! | `part_quarantine` | refused and suspected parts of prompts |

mod crashes;
mod part_evidence;
mod part_quarantine;
mod quarantine;

pub use crashes::{CrashLedger, MAXIMUM_CRASHES, MAXIMUM_ITEMS};
pub use part_evidence::{MAXIMUM_PARTS, MAXIMUM_PARTS_PER_PROMPT, MAXIMUM_PROMPTS};
pub use part_quarantine::{
    MAXIMUM_REFUSED_PARTS, PartChange, PartQuarantine, PartQuarantineSettings, PartThreshold,
    RefusedSet, ReleaseReason, is_covered_by,
};
pub use quarantine::{QUARANTINE_THRESHOLD, Quarantine, QuarantinedItem, quarantine_duration};
