//! Seeded generators of the two users' workloads.
//!
//! Requests come in sessions: an opening burst at several routers, then follow-ups with time to
//! think between them. The rates are invented; what they must show is stated by the users: most
//! models sit idle most of the time, and first requests come in bursts when a model is cold.

mod generator;
mod pnw;
mod sicilia;

pub use generator::{Population, SessionShape};

use crate::trace::Trace;

/// Seconds in a day.
pub const DAY_SECONDS: f64 = 86_400.0;
/// Days before measurement begins.
pub const WARM_UP_DAYS: usize = 1;

/// The two workloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Cascade's: bursts of cold models, jobs at regular times, an election night.
    Pnw,
    /// Trinacria's: counter hours, chats, batches over night.
    Sicilia,
}

impl Workload {
    /// The workload of a deployment; none if it has no generator.
    pub fn of_deployment(name: &str) -> Option<Self> {
        match name {
            "pnw" => Some(Workload::Pnw),
            "sicilia" => Some(Workload::Sicilia),
            _ => None,
        }
    }

    /// Makes a trace; the same arguments make the same trace.
    pub fn trace(self, population: Population, measured_days: usize, seed: u64) -> Trace {
        let days = WARM_UP_DAYS + measured_days;
        match self {
            Workload::Pnw => pnw::trace(population, days, seed),
            Workload::Sicilia => sicilia::trace(population, days, seed),
        }
    }
}
