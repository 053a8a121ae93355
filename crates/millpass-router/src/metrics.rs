//! Prometheus metrics of the router.

use millpass_routing::RoutingSnapshot;
use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Upper bounds of the histogram buckets, in seconds.
const SECONDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

pub(crate) struct Metrics {
    registry: Registry,
    /// Completed requests by outcome: `answered`, `replayed`, `caller_gone`, `broken_off`,
    /// `panicked`, or the code of an error.
    pub(crate) requests: IntCounterVec,
    /// Completed attempts at backends by result.
    pub(crate) attempts: IntCounterVec,
    /// Link events by name.
    pub(crate) link: IntCounterVec,
    /// Time from arrival to the first dispatch.
    pub(crate) wait_seconds: Histogram,
    /// Time from arrival to the first response byte.
    pub(crate) first_byte_seconds: Histogram,
    /// Open requests.
    pub(crate) in_flight: IntGauge,
    /// Milliseconds since the leader's last update; -1 before the first.
    pub(crate) lease_age_millis: IntGauge,
    /// Number of polled backends.
    pub(crate) watched: IntGauge,
    /// Sizes of the decision core by name.
    core: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = millpass_telemetry::registry();
        let requests = counters("router_requests_total", "Ended requests", "outcome")?;
        let attempts = counters("router_attempts_total", "Ended attempts", "result")?;
        let link = counters("router_link_events_total", "Events of the link", "event")?;
        let wait_seconds = histogram("router_wait_seconds", "Arrival to dispatch")?;
        let first_byte_seconds = histogram("router_first_byte_seconds", "Arrival to first byte")?;
        let in_flight = IntGauge::new("router_in_flight", "Requests not ended")?;
        let lease_age_millis = IntGauge::new("router_lease_age_millis", "Age of the lease")?;
        let watched = IntGauge::new("router_watched_backends", "Back ends watched")?;
        let core = Opts::new("router_core", "Sizes of the decision core");
        let core = IntGaugeVec::new(core, &["size"])?;
        registry.register(Box::new(core.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(link.clone()))?;
        registry.register(Box::new(wait_seconds.clone()))?;
        registry.register(Box::new(first_byte_seconds.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(lease_age_millis.clone()))?;
        registry.register(Box::new(watched.clone()))?;
        lease_age_millis.set(-1);
        Ok(Metrics {
            registry,
            requests,
            attempts,
            link,
            wait_seconds,
            first_byte_seconds,
            in_flight,
            lease_age_millis,
            watched,
            core,
        })
    }

    /// Returns all metrics in the text format.
    pub(crate) fn exposition(&self) -> String {
        millpass_telemetry::exposition(&self.registry)
    }

    pub(crate) fn set_snapshot(&self, snapshot: &RoutingSnapshot) {
        let sizes = [
            ("waiting", snapshot.waiting as i64),
            ("attempts_in_flight", snapshot.in_flight as i64),
            ("claims", snapshot.claims as i64),
            ("open_circuits", snapshot.open_circuits as i64),
            ("retries", snapshot.retries as i64),
            (
                "lease_left_millis",
                snapshot.lease_remaining.as_millis() as i64,
            ),
            ("term", snapshot.term as i64),
            ("configuration_revision", snapshot.configuration as i64),
            ("placement_revision", snapshot.placement as i64),
        ];
        for (name, size) in sizes {
            self.core.with_label_values(&[name]).set(size);
        }
    }

    pub(crate) fn count_request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    pub(crate) fn count_link(&self, event: &str) {
        self.link.with_label_values(&[event]).inc();
    }
}

fn counters(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(SECONDS.to_vec()))
}
