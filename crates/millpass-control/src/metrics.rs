//! Prometheus metrics of a control member.

use crate::priority::Priority;
use crate::work::WorkKind;
use millpass_consensus::{ConsensusStatus, Role};
use millpass_control_plane::FleetSizes;
use prometheus::{
    CounterVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry,
};
use std::time::Duration;

/// Buckets of the sync histogram.
const SYNC_SECONDS: [f64; 12] = [
    0.0001, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0,
];

/// Buckets of the histograms of documents and departures on their way to gateways.
const DELIVERY_SECONDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];
/// Buckets of the histograms of inputs and ticks waiting for the core.
const WAIT_SECONDS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

pub(crate) struct Metrics {
    registry: Registry,
    /// By event name.
    events: IntCounterVec,
    /// Inputs processed by the core.
    pub(crate) steps: IntGauge,
    sync_seconds: Histogram,
    document_seconds: Histogram,
    /// By class.
    input_wait_seconds: HistogramVec,
    tick_late_seconds: Histogram,
    /// By class.
    queues: IntGaugeVec,
    /// By class.
    refused_inputs: IntCounterVec,
    /// Gateway reports merged into a waiting one.
    merged_reports: IntCounter,
    /// Announcements refused because they had waited too long.
    pub(crate) expired_announcements: IntCounter,
    /// Invalid announcements, by reason.
    refused_announcements: IntCounterVec,
    /// By kind of work.
    work_steps: IntCounterVec,
    /// By kind of work.
    work_seconds: CounterVec,
    departure_seconds: Histogram,
    term: IntGauge,
    commit: IntGauge,
    leads: IntGauge,
    /// Open connections of members and routers.
    pub(crate) connections: IntGauge,
    /// Messages to members and routers dropped because a queue was full.
    pub(crate) dropped_messages: IntGauge,
    /// Messages to members dropped because they fit no frame.
    pub(crate) unsendable_messages: IntGauge,
    /// Responses to freshness queries.
    pub(crate) freshness_responses: IntGauge,
    /// Calls of the administration API refused because too many of their class waited.
    pub(crate) refused_calls: IntGauge,
    disk: DiskMetrics,
    missing_voters: IntGauge,
    /// By state.
    instances: IntGaugeVec,
    known_paces: IntGauge,
    slowest_pace: IntGauge,
    gateways_without_contact: IntGauge,
    stream_origins: IntGauge,
    dropped_origins: IntGauge,
}

/// Disk usage and the duration of the write in progress.
struct DiskMetrics {
    bytes: IntGauge,
    most_bytes: IntGauge,
    free_bytes: IntGauge,
    state_bytes: IntGauge,
    write_millis: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = millpass_telemetry::registry();
        let events = Opts::new("control_events_total", "Events of the decision core");
        let events = IntCounterVec::new(events, &["event"])?;
        registry.register(Box::new(events.clone()))?;
        let syncs = HistogramOpts::new("control_sync_seconds", "Time of a write with its sync");
        let sync_seconds = Histogram::with_opts(syncs.buckets(SYNC_SECONDS.to_vec()))?;
        registry.register(Box::new(sync_seconds.clone()))?;
        let help = "Time that an input waited for the core";
        let waits = HistogramOpts::new("control_input_wait_seconds", help);
        let waits = waits.buckets(WAIT_SECONDS.to_vec());
        let input_wait_seconds = HistogramVec::new(waits, &["class"])?;
        registry.register(Box::new(input_wait_seconds.clone()))?;
        let help = "How much later than due the core's ticks come";
        let ticks = HistogramOpts::new("control_tick_late_seconds", help);
        let tick_late_seconds = Histogram::with_opts(ticks.buckets(WAIT_SECONDS.to_vec()))?;
        registry.register(Box::new(tick_late_seconds.clone()))?;
        let queues = Opts::new("control_input_queue", "Inputs that wait for the core");
        let queues = IntGaugeVec::new(queues, &["class"])?;
        registry.register(Box::new(queues.clone()))?;
        let help = "Inputs refused because their queue was full";
        let refused = Opts::new("control_inputs_refused_total", help);
        let refused_inputs = IntCounterVec::new(refused, &["class"])?;
        registry.register(Box::new(refused_inputs.clone()))?;
        let help = "Reports of gateways merged into one that waited";
        let merged_reports = IntCounter::new("control_merged_reports_total", help)?;
        registry.register(Box::new(merged_reports.clone()))?;
        let help = "Announcements refused because they had waited too long";
        let expired_announcements = IntCounter::new("control_outdated_announcements_total", help)?;
        registry.register(Box::new(expired_announcements.clone()))?;
        let help = "Announcements that could not be understood or used";
        let refused = Opts::new("control_refused_announcements_total", help);
        let refused_announcements = IntCounterVec::new(refused, &["reason"])?;
        registry.register(Box::new(refused_announcements.clone()))?;
        let steps = Opts::new(
            "control_work_steps_total",
            "Steps of the core, by kind of work",
        );
        let work_steps = IntCounterVec::new(steps, &["kind"])?;
        registry.register(Box::new(work_steps.clone()))?;
        let help = "Processor time of the core's thread, by kind of work";
        let seconds = Opts::new("control_work_seconds_total", help);
        let work_seconds = CounterVec::new(seconds, &["kind"])?;
        registry.register(Box::new(work_seconds.clone()))?;
        let states = Opts::new("control_instances", "Instances known here, by state");
        let instances = IntGaugeVec::new(states, &["state"])?;
        registry.register(Box::new(instances.clone()))?;
        let delivery = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let options = HistogramOpts::new(name, help).buckets(DELIVERY_SECONDS.to_vec());
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
            input_wait_seconds,
            tick_late_seconds,
            queues,
            refused_inputs,
            merged_reports,
            expired_announcements,
            refused_announcements,
            work_steps,
            work_seconds,
            document_seconds: delivery(
                "control_document_in_force_seconds",
                "Time from a document's commit to a gateway's report of it, as the leader sees it",
            )?,
            departure_seconds: delivery(
                "control_departure_told_seconds",
                "Time from a departure's commit to a gateway's report that it was told",
            )?,
            term: gauge("control_term", "Term of consensus")?,
            commit: gauge("control_commit_index", "Last committed log entry")?,
            leads: gauge("control_leads", "1 if this member believes to lead")?,
            connections: gauge("control_connections", "Open connections")?,
            dropped_messages: gauge("control_dropped_messages", "Messages dropped, queue full")?,
            unsendable_messages: gauge(
                "control_unsendable_messages",
                "Messages dropped, too large for a frame",
            )?,
            freshness_responses: gauge(
                "control_freshness_answers",
                "Questions of gateways answered",
            )?,
            refused_calls: gauge("control_refused_calls", "Calls refused, too many wait")?,
            disk: DiskMetrics {
                bytes: gauge("control_disk_bytes", "Bytes in the data folder")?,
                most_bytes: gauge("control_disk_most_bytes", "Bytes that it may come to hold")?,
                free_bytes: gauge(
                    "control_disk_free_bytes",
                    "Bytes left on its disk, 0 if unknown",
                )?,
                state_bytes: gauge(
                    "control_state_bytes",
                    "Bytes of the newest snapshot's state",
                )?,
                write_millis: gauge("control_disk_write_ms", "Age of the write under way")?,
            },
            instances,
            known_paces: gauge(
                "control_known_engine_paces",
                "Engines whose time to the first byte differs from their service's median",
            )?,
            stream_origins: gauge(
                "control_stream_origins",
                "Streams whose origins the leader keeps",
            )?,
            dropped_origins: gauge(
                "control_dropped_stream_origins",
                "Streams whose origins the leader did not keep for lack of room",
            )?,
            gateways_without_contact: gauge(
                "control_gateways_without_contact",
                "Gateways that state to reach no instance of a service",
            )?,
            slowest_pace: gauge(
                "control_slowest_engine_pace_percent",
                "Longest time to the first byte of an engine relative to its service's median",
            )?,
            missing_voters: gauge("control_missing_voters", "Voters that the leader misses")?,
            registry,
        })
    }

    pub(crate) fn count_event(&self, name: &str) {
        self.events.with_label_values(&[name]).inc();
    }

    pub(crate) fn count_work(&self, kind: WorkKind, steps: u64, time: Duration) {
        let labels = [kind.name()];
        self.work_steps.with_label_values(&labels).inc_by(steps);
        let seconds = self.work_seconds.with_label_values(&labels);
        seconds.inc_by(time.as_secs_f64());
    }

    pub(crate) fn observe_sync(&self, time: Duration) {
        self.sync_seconds.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_document_delay(&self, after: millpass_proto::Duration) {
        self.document_seconds.observe(after.as_secs_f64());
    }

    pub(crate) fn observe_input_wait(&self, class: Priority, time: Duration) {
        let histogram = self.input_wait_seconds.with_label_values(&[class.name()]);
        histogram.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_tick_lateness(&self, time: Duration) {
        self.tick_late_seconds.observe(time.as_secs_f64());
    }

    /// Records the queue of a class; returns how many inputs were refused since the last call.
    pub(crate) fn record_queue(&self, class: Priority, waiting: usize, refused: u64) -> u64 {
        let queue = self.queues.with_label_values(&[class.name()]);
        queue.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        let counter = self.refused_inputs.with_label_values(&[class.name()]);
        let new = refused.saturating_sub(counter.get());
        counter.inc_by(new);
        new
    }

    /// Records how many reports were merged since startup.
    pub(crate) fn record_merged_reports(&self, merged: u64) {
        let new = merged.saturating_sub(self.merged_reports.get());
        self.merged_reports.inc_by(new);
    }

    pub(crate) fn count_refused_announcement(&self, reason: &str) {
        let counter = self.refused_announcements.with_label_values(&[reason]);
        counter.inc();
    }

    pub(crate) fn observe_departure_delay(&self, after: millpass_proto::Duration) {
        self.departure_seconds.observe(after.as_secs_f64());
    }

    pub(crate) fn record_disk(&self, bytes: u64, most: u64, free: Option<u64>, state: u64) {
        self.disk.bytes.set(signed(bytes));
        self.disk.most_bytes.set(signed(most));
        self.disk.free_bytes.set(signed(free.unwrap_or(0)));
        self.disk.state_bytes.set(signed(state));
    }

    pub(crate) fn record_disk_write(&self, elapsed: Option<Duration>) {
        let millis = elapsed.map_or(0, |time| time.as_millis() as u64);
        self.disk.write_millis.set(signed(millis));
    }

    pub(crate) fn record_missing_voters(&self, voters: usize) {
        self.missing_voters.set(signed(voters as u64));
    }

    pub(crate) fn record_instances(&self, sizes: &FleetSizes) {
        let states = [
            ("heard", sizes.local),
            ("active", sizes.active),
            ("standby", sizes.standby),
        ];
        for (state, count) in states {
            self.instances
                .with_label_values(&[state])
                .set(signed(count as u64));
        }
        self.known_paces.set(signed(sizes.known_paces as u64));
        self.slowest_pace.set(i64::from(sizes.slowest_pace));
        let without_contact = sizes.gateways_without_contact;
        self.gateways_without_contact.set(without_contact as i64);
        self.stream_origins.set(sizes.stream_origins as i64);
        let dropped = i64::try_from(sizes.dropped_origins).unwrap_or(i64::MAX);
        self.dropped_origins.set(dropped);
    }

    pub(crate) fn record_consensus(&self, status: &ConsensusStatus) {
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
