//! Deterministic simulator of a deployment in virtual time, with fault injection.
//!
//! A run is single-threaded and determined by its seed. It drives the production cores
//! [`millpass_control_plane::ControlPlane`] and [`millpass_routing::Routing`]; everything around
//! them is simulated. [`millpass_checkers`] checks the recorded history.

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
