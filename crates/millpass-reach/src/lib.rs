//! Which instances a gateway reaches. No I/O, clock or threads.
//!
//! A failed connection shows that a path is broken, not that an instance has ended: the gateway's
//! machine may be partitioned while others reach the instance.
//!
//! | module | contents |
//! |---|---|
//! | `paths` | paths from this gateway to instances, and when to probe them |
//! | `ends` | refused connections that may mean the end of a process run |

mod ends;
mod paths;

pub use ends::RunEnds;
pub use paths::{KnownInstances, PathChange, Paths, ReachSettings};
