//! Open-loop callers: a schedule made up front from a seed, carried out by a bounded pool of
//! threads, with each answer checked, each request recorded, and latency counted from the time at
//! which the request was due, so that a slow system cannot slow the measurement down.
//!
//! * [`workload`]: what a trace looks like, as data, with the named traces.
//! * [`schedule`]: from a workload, a population and a seed to a list of planned requests.
//! * [`caller`]: one request over HTTP; [`answer`] and [`refusal`] check what comes back.
//! * [`runner`]: the bounded pool that carries a schedule out.
//! * [`history`]: one JSON line a request, in a file of bounded size.
//! * [`summary`]: histograms and counts.

pub mod answer;
pub mod arrivals;
pub mod caller;
pub mod expected;
pub mod history;
pub mod identity;
pub mod population;
pub mod refusal;
pub mod runner;
pub mod schedule;
pub mod stream;
pub mod summary;
pub mod wire;
pub mod workload;

pub use history::{HistoryRecord, HistoryWriter, Outcome};
pub use population::Population;
pub use runner::{RunSettings, run};
pub use schedule::{PlannedRequest, Schedule, Target};
pub use summary::Summary;
pub use workload::Workload;
