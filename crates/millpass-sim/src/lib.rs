//! Deterministic simulator: the decision code in virtual time under faults.
//!
//! One run is one thread, one seed and one queue of events. The cores that the programs run,
//! [`millpass_control_plane::ControlPlane`] and [`millpass_routing::Routing`], are driven by hosts
//! that do in virtual time what the real processes do; engines, web back ends, weight store,
//! platform, callers, operators, disks, clocks and network are simulated. Everything that
//! happens is written to a history, which [`millpass_checkers`] judges.

mod back_ends;
mod callers;
mod catalog;
mod clock;
mod content;
mod control_host;
mod control_node;
mod control_process;
mod disk;
pub mod engine;
mod engine_host;
mod event;
pub mod faults;
mod injection;
mod network;
mod observer;
mod operators;
mod plans;
mod platform;
mod queue;
mod random;
mod reachability;
mod router_attempts;
mod router_claims;
mod router_host;
mod router_link;
mod router_node;
mod router_process;
pub mod run;
pub mod scenario;
pub mod settings;
pub mod statistics;
mod store;
mod trace;
mod web_host;
mod world;
