//! Invariant checkers over histories of simulated and real runs.
//!
//! A [`History`] is a list of timed [`Event`]s, written by the simulator and by the lab. [`check`]
//! runs every checker over it.

pub mod agreement;
pub mod answers;
pub mod configuration;
pub mod drain;
pub mod enforcement;
pub mod event;
pub mod history;
pub mod integrity;
pub mod leaving;
pub mod limits;
pub mod linearizable;
pub mod liveness;
pub mod memory;
pub mod once;
pub mod process_times;
pub mod refusals;
pub mod replicas;
pub mod store;

pub use event::*;
pub use history::{History, HistoryError, Record};
pub use limits::Limits;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Name of the checker that reports it.
    pub checker: &'static str,
    /// Time of the violation, in microseconds of the history's clock.
    pub at_micros: u64,
    /// Description of the violation.
    pub detail: String,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "breach checker={} at_micros={} detail={:?}",
            self.checker, self.at_micros, self.detail
        )
    }
}

/// Reports the violations of one invariant in a history.
pub type Checker = fn(&History, &Limits) -> Vec<Breach>;

/// Every checker with its name.
pub const CHECKERS: &[(&str, Checker)] = &[
    (agreement::NAME, agreement::check),
    (replicas::NAME, replicas::check),
    (memory::NAME, memory::check),
    (answers::NAME, answers::check),
    (integrity::NAME, integrity::check),
    (refusals::NAME, refusals::check),
    (once::NAME, once::check),
    (leaving::NAME, leaving::check),
    (drain::NAME, drain::check),
    (configuration::NAME, configuration::check),
    (enforcement::NAME, enforcement::check),
    (store::NAME, store::check),
    (
        linearizable::CONFIGURATION,
        linearizable::check_configuration,
    ),
    (linearizable::CLAIMS, linearizable::check_claims),
    (liveness::NAME, liveness::check),
];

/// Runs every checker and returns all violations.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    CHECKERS
        .iter()
        .flat_map(|(_, checker)| checker(history, limits))
        .collect()
}
