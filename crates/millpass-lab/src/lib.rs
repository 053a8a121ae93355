//! The emulator and experiment tool: fleets, link relays, fault plans, reports.

pub mod deployment;
pub mod fleet;
pub mod options;
pub mod programs;
pub mod relay;
