//! Request traces.

use millpass_proto::{Duration, Timestamp, Urgency};

/// One request. Models, adapters, tenants and zones are catalog indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceRequest {
    /// Arrival time.
    pub at: Timestamp,
    /// Tenant.
    pub tenant: usize,
    /// Model; 0 is the most popular.
    pub model: usize,
    /// Adapter, as an index into those of the model.
    pub adapter: Option<usize>,
    /// Zone of the router that receives the request.
    pub zone: usize,
    /// Urgency.
    pub urgency: Urgency,
    /// Time from arrival to deadline.
    pub timeout: Duration,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Completion length.
    pub completion_tokens: u32,
}

/// A request trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Requests in order of arrival.
    pub requests: Vec<TraceRequest>,
    /// Start of the measurement; earlier requests only warm up the scheduler.
    pub measured_from: Timestamp,
    /// End of the run.
    pub end: Timestamp,
}

impl Trace {
    /// Returns the number of measured days.
    pub fn measured_days(&self) -> f64 {
        self.end.since(self.measured_from).as_secs_f64() / crate::workload::DAY_SECONDS
    }
}
