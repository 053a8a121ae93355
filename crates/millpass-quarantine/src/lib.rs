//! What ends the instances that run it, and is held back: evidence and judgement, without input/output, clock or
//! threads. The leader judges requests over all gateways and loads over all engines; a gateway judges what it saw
//! itself while no leader answers.
//!
//! | module | job |
//! |---|---|
//! | `ends` | which runs of instances ended, and what was in flight there |
//! | `quarantine` | what is held back, and for how long |

mod crashes;
mod quarantine;

pub use crashes::{CrashLedger, MAXIMUM_CRASHES, MAXIMUM_ITEMS};
pub use quarantine::{QUARANTINE_THRESHOLD, Quarantine, QuarantinedItem, quarantine_duration};
