//! Traces: what is asked for, and when.

use millpass_proto::{Duration, Timestamp, Urgency};

/// One request. Models, adapters, tenants and zones are numbers of the catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceRequest {
    /// When it arrives.
    pub at: Timestamp,
    /// Tenant.
    pub tenant: usize,
    /// Model, the most popular first.
    pub model: usize,
    /// Adapter, among those of the model.
    pub adapter: Option<usize>,
    /// Zone whose router it reaches.
    pub zone: usize,
    /// Urgency.
    pub urgency: Urgency,
    /// Time from arrival to deadline.
    pub patience: Duration,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer.
    pub answer_tokens: u32,
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Requests by time.
    pub requests: Vec<TraceRequest>,
    /// Measurement begins here; what comes before only teaches the scheduler.
    pub measured_from: Timestamp,
    /// The run ends here.
    pub end: Timestamp,
}

impl Trace {
    /// Days that are measured.
    pub fn measured_days(&self) -> f64 {
        self.end.since(self.measured_from).as_secs_f64() / crate::workload::DAY_SECONDS
    }
}
