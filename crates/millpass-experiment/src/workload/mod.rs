//! Seeded generators of the example deployments' workloads.
//!
//! Requests come in sessions: an opening burst at several routers, then follow-ups separated by
//! think times. Most models are idle most of the time and receive bursts when cold.

mod generator;
mod pnw;
mod sicilia;

pub use generator::{Population, SessionShape};

use crate::trace::Trace;

/// Seconds in a day.
pub const DAY_SECONDS: f64 = 86_400.0;
/// Days before measurement begins.
pub const WARM_UP_DAYS: usize = 1;

/// Workload of an example deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Cascade: bursts of cold models, jobs at regular times, an election night.
    Pnw,
    /// Trinacria: counter hours, chats, nightly batches.
    Sicilia,
}

impl Workload {
    /// Returns the workload of a deployment; `None` if it has no generator.
    pub fn of_deployment(name: &str) -> Option<Self> {
        match name {
            "pnw" => Some(Workload::Pnw),
            "sicilia" => Some(Workload::Sicilia),
            _ => None,
        }
    }

    /// Generates a trace; deterministic for equal arguments.
    pub fn trace(self, population: Population, measured_days: usize, seed: u64) -> Trace {
        let days = WARM_UP_DAYS + measured_days;
        match self {
            Workload::Pnw => pnw::trace(population, days, seed),
            Workload::Sicilia => sicilia::trace(population, days, seed),
        }
    }
}
