//! Prometheus metrics of a control member.

use millpass_consensus::{ConsensusStatus, Role};
use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};
use std::time::Duration;

/// Upper bounds, in seconds, of the histogram of syncs.
const SECONDS: [f64; 12] = [
    0.0001, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0,
];

/// Upper bounds, in seconds, of the histogram of documents on their way to gateways: from a round trip to a
/// gateway that was away for a minute.
const REACH_SECONDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Metrics of one process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Events of the core by name.
    events: IntCounterVec,
    /// Inputs that the core took.
    pub(crate) steps: IntGauge,
    sync_seconds: Histogram,
    document_seconds: Histogram,
    departure_seconds: Histogram,
    term: IntGauge,
    commit: IntGauge,
    leads: IntGauge,
    /// Open connections of members and routers.
    pub(crate) connections: IntGauge,
    /// Messages to members and routers that were dropped because a queue was full.
    pub(crate) dropped_messages: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = millpass_telemetry::registry();
        let events = Opts::new("control_events_total", "Events of the decision core");
        let events = IntCounterVec::new(events, &["event"])?;
        registry.register(Box::new(events.clone()))?;
        let syncs = HistogramOpts::new("control_sync_seconds", "Time of a write with its sync");
        let sync_seconds = Histogram::with_opts(syncs.buckets(SECONDS.to_vec()))?;
        registry.register(Box::new(sync_seconds.clone()))?;
        let reach = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let options = HistogramOpts::new(name, help).buckets(REACH_SECONDS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Metrics {
            events,
            steps: gauge("control_steps", "Inputs taken by the decision core")?,
            sync_seconds,
            document_seconds: reach(
                "control_document_in_force_seconds",
                "Time from a document's commit to a gateway's report of it, as the leader sees it",
            )?,
            departure_seconds: reach(
                "control_departure_told_seconds",
                "Time from a departure's commit to a gateway's report that it was told",
            )?,
            term: gauge("control_term", "Term of consensus")?,
            commit: gauge("control_commit_index", "Last committed log entry")?,
            leads: gauge("control_leads", "1 if this member believes to lead")?,
            connections: gauge("control_connections", "Open connections")?,
            dropped_messages: gauge("control_dropped_messages", "Messages dropped, queue full")?,
            registry,
        })
    }

    pub(crate) fn count_event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    pub(crate) fn sync_took(&self, time: Duration) {
        self.sync_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn document_reached(&self, after: millpass_proto::Duration) {
        self.document_seconds.observe(after.as_secs_f64());
    }

    pub(crate) fn departure_reached(&self, after: millpass_proto::Duration) {
        self.departure_seconds.observe(after.as_secs_f64());
    }

    pub(crate) fn show_consensus(&self, status: &ConsensusStatus) {
        self.term.set(signed(status.term));
        self.commit.set(signed(status.commit));
        self.leads.set(i64::from(status.role == Role::Leader));
    }

    pub(crate) fn exposition(&self) -> String {
        millpass_telemetry::exposition(&self.registry)
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
