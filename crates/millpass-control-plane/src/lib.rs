//! Decision core of a control member: combines consensus, replicated state, scheduler, router sessions and order
//! delivery, without I/O, clock or threads.
//!
//! The control process and the simulator both drive [`ControlPlane::step`].
//!
//! | module | contents |
//! |---|---|
//! | `plane` | the core: handles inputs and runs periodic jobs |
//! | `replication` | executes the consensus core's outputs, applies committed commands |
//! | `proposals` | pending proposals and who waits for them |
//! | `addresses` | addresses of members |
//! | `administration` | calls of the administration API |
//! | `deployment` | deployments configured by one document, with instances that announce themselves |
//! | `freshness` | freshness responses to gateways, without a leader |
//! | `sessions` | routers connected to this member and their leases |
//! | `reports` | responses to routers' reports and claims |
//! | `watch` | assignment of back ends to the routers that watch them |
//! | `notifications` | notifications to routers about newer revisions |
//! | `observations` | registrations and settled orders, derived from reports of back ends |
//! | `overload` | detection of processor starvation |
//! | `platform` | the platform's machine list |
//! | `orders` | delivery of orders to engines |
//! | `claims` | expiry of claims, and abandonment of those of dead routers |
//! | `credit` | grants of credit from tenants' quotas |
//! | `term_history` | starts of terms that this member has seen |
//! | `shares` | forwarding of announced instances to the leader |
//! | `repair` | replacement of dead members |
//! | `missing_voters` | voters that do not respond to the leader |
//! | `snapshots` | when to take a snapshot |
//! | `drain` | graceful shutdown |

mod addresses;
mod administration;
mod claims;
mod credit;
mod deployment;
mod drain;
mod freshness;
pub mod interface;
mod missing_voters;
mod notifications;
mod observations;
mod orders;
mod outputs;
mod overload;
mod plane;
mod platform;
mod proposals;
mod repair;
mod replication;
mod reports;
mod sessions;
mod shares;
mod snapshots;
mod term_history;
mod watch;

pub use claims::CLAIM_ABANDON_TIMEOUT;
pub use freshness::FreshnessState;
pub use interface::*;
pub use millpass_fleet::{
    CallResult, FleetSettings, FleetSizes, PartQuarantineSettings, PartThreshold, TableSettings,
};
pub use plane::ControlPlane;
