//! Checkers of what must always hold, over histories of simulated and real runs.
//!
//! A [`History`] is a list of timed [`Event`]s. Simulator and lab write the same events, so one
//! set of checkers judges both. [`check`] runs every checker; each lives in a module of its own
//! and has a test in which it reports the breach that it is there for.

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

/// One thing that must hold and did not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Checker that reports it.
    pub checker: &'static str,
    /// When, in microseconds of the history's clock.
    pub at_micros: u64,
    /// What happened, with the names involved.
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

/// One checker: reads a history and reports what it finds.
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

/// Runs every checker.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    CHECKERS
        .iter()
        .flat_map(|(_, checker)| checker(history, limits))
        .collect()
}
