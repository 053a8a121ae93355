//! Runs whole deployments on one machine: emulated links, fault plans, load and reports.

pub mod deployment;
pub mod fleet;
pub mod options;
pub mod programs;
pub mod relay;
