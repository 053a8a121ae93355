//! Open-loop load generator. Latency is measured from the time a request is due, which avoids
//! coordinated omission.
//!
//! * [`workload`]: trace parameters and the named traces.
//! * [`schedule`]: generates planned requests from a workload, a population and a seed.
//! * [`caller`]: sends one request over HTTP; [`answer`] and [`refusal`] check the response.
//! * [`runner`]: executes a schedule on a bounded thread pool.
//! * [`history`]: records requests as JSON lines in a file of bounded size.
//! * [`summary`]: latency histograms and counters.

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
