//! Stand-ins for external systems: engine, web back end, weight store, platform list.
//!
//! Each consists of a model, a deterministic state machine without I/O, clock or threads, and a
//! front end (`start`) that serves the model over loopback HTTP.

pub mod content;
pub mod crashing;
pub mod engine;
pub mod lagged;
pub mod platform;
pub mod run;
mod run_counts;
pub mod web;
pub mod weight_store;
