//! Decision core of a control member: consensus, replicated state, scheduler, router sessions and
//! order delivery put together, without input/output, clock or threads.
//!
//! The control process and the simulator both drive [`ControlPlane::step`]. Each module has one
//! job; `plane` calls them:
//!
//! | module | job |
//! |---|---|
//! | `plane` | the core itself: takes inputs, runs what is due |
//! | `replication` | carries out the consensus core's outputs, applies committed commands |
//! | `proposals` | what waits for a proposal to commit |
//! | `addresses` | where members listen |
//! | `administration` | calls of the administration API |
//! | `deployment` | a deployment configured by one document, with instances that announce themselves |
//! | `freshness` | what a member says of how new a gateway's knowledge is, without a leader |
//! | `sessions` | routers connected to this member and their leases |
//! | `reports` | answers routers' reports and claims |
//! | `watch` | which router watches which back end |
//! | `news` | routers are told to report at once |
//! | `observations` | what reports of back ends mean: registrations and settled orders |
//! | `pace` | how much less processor this member has than it needs |
//! | `platform` | what the platform's machine list means |
//! | `orders` | when to deliver which order |
//! | `claims` | when claims expire and when those of a dead router are abandoned |
//! | `repair` | replaces dead members by joiners |
//! | `missing_voters` | which voters the leader misses, since when and what is done about it |
//! | `snapshots` | when to take a snapshot |
//! | `drain` | the planned stop |

mod addresses;
mod administration;
mod claims;
mod credit;
mod deployment;
mod drain;
mod freshness;
pub mod interface;
mod missing_voters;
mod news;
mod observations;
mod orders;
mod outputs;
mod pace;
mod plane;
mod platform;
mod proposals;
mod repair;
mod replication;
mod reports;
mod sessions;
mod shares;
mod snapshots;
mod watch;

pub use claims::CLAIM_ABANDON_TIMEOUT;
pub use freshness::FreshnessState;
pub use interface::*;
pub use millpass_fleet::{CallAnswer, FleetSettings, FleetSizes};
pub use plane::ControlPlane;
