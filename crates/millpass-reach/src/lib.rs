//! Which instances a gateway reaches. No I/O, clock or threads.
//!
//! A failed connection shows that a path is broken, not that an instance has ended: the gateway's
//! machine may be partitioned while others reach the instance.
//!
//! | module | contents |
//! |---|---|
//! | `paths` | paths from this gateway to instances, and when to probe them |
//! | `ends` | refused connections that may mean the end of a process run |
//! | `peers` | gateways that serve requests of this one |
//! | `runs` | process runs that are known to be behind a connection |
//! | `assignment` | the leader's choice of these gateways |

mod assignment;
mod ends;
mod paths;
mod peers;
mod runs;

pub use assignment::{Candidate, MAX_PEERS, MAX_STATED_INSTANCES, choose_peers};
pub use ends::{Refusal, RunEnds};
pub use paths::{ConnectionFailure, KnownInstances, PathChange, Paths, ReachSettings};
pub use peers::{ForwardOutcome, Peers};
pub use runs::RunProofs;
