//! Counters and histograms of the gateway.

use millpass_dispatch::SendOutcome;
use millpass_proto::TenantName;
use millpass_telemetry::{exposition, registry};
use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0,
];

/// Maximum number of tenants with a label of their own, which bounds the metric's cardinality.
const MAXIMUM_TENANTS: usize = 64;
/// Lowest rank with a label of its own; less urgent ones share it.
const LOWEST_RANK: u32 = 9;
/// Label of all other tenants.
const OTHER_TENANTS: &str = "other";

pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    tenant_requests: IntCounterVec,
    /// Tenants with a label of their own.
    tenants: Mutex<BTreeSet<TenantName>>,
    pub(crate) first_byte: Histogram,
    credit_wait: Histogram,
    /// Requests denied units of their tenant's quota, by rank.
    quota_denials: IntCounterVec,
    denial_wait: Histogram,
    /// Requests that wait in a queue.
    pub(crate) waiting: IntGauge,
    queue_wait: Histogram,
    sends: IntCounterVec,
    pub(crate) connects: IntCounter,
    pub(crate) resumed: IntCounter,
    pub(crate) unconfirmed_ends: IntCounter,
    pub(crate) refused_bodies: IntCounter,
    pub(crate) body_bytes: IntGauge,
    pub(crate) unrecognized_responses: IntCounter,
    pub(crate) document_version: IntGauge,
    pub(crate) instances: IntGauge,
    /// Instances found ended after a broken send.
    pub(crate) instance_ends: IntCounter,
    /// Quarantined requests.
    pub(crate) quarantined: IntGauge,
    /// Refused sets of parts of prompts.
    pub(crate) refused_parts: IntGauge,
    pub(crate) link_changes: IntCounterVec,
    /// Changes of what instances state in their responses.
    pub(crate) statements: IntCounterVec,
    /// Instances with an active limit.
    pub(crate) limited: IntGauge,
    /// Slowest known time of an engine relative to its service's median.
    pub(crate) slowest_pace: Gauge,
    /// Instances whose relative time differs from the median.
    pub(crate) known_paces: IntGauge,
    /// Age of the last confirmation that the cached state is current.
    pub(crate) confirmation_age: Histogram,
    /// Freshness changes, by the new state.
    pub(crate) freshness_changes: IntCounterVec,
    /// Services of which no instance is reached.
    pub(crate) unreachable_services: IntGauge,
    /// Instances that could not be connected to.
    pub(crate) unreachable_instances: IntGauge,
    /// Changes of what is reached.
    pub(crate) path_changes: IntCounterVec,
    /// Streams that callers take up again, by outcome.
    pub(crate) stream_returns: IntCounterVec,
    /// Streams whose origins are kept.
    pub(crate) stream_origins: IntGauge,
    /// Response bodies that ended with their connection, by position.
    pub(crate) connection_ends: IntCounterVec,
    /// Requests forwarded to other gateways, by outcome.
    pub(crate) forwards: IntCounterVec,
    /// Requests of other gateways, by outcome.
    pub(crate) served_forwards: IntCounterVec,
    /// Gateways known to take requests of this one.
    pub(crate) peers: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Metrics> {
        let registry = registry();
        let counters = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let requests = counters("gateway_requests_total", "Requests by outcome", "outcome")?;
        let tenant_requests = IntCounterVec::new(
            Opts::new(
                "gateway_tenant_requests_total",
                "Requests by tenant and outcome",
            ),
            &["tenant", "outcome"],
        )?;
        registry.register(Box::new(tenant_requests.clone()))?;
        let sends = counters(
            "gateway_sends_total",
            "Sends to instances by their end",
            "end",
        )?;
        let link_changes = counters(
            "gateway_link_total",
            "Changes of the link to the leader",
            "change",
        )?;
        let freshness_changes = counters(
            "gateway_freshness_total",
            "Changes of what may be answered by what is known here",
            "to",
        )?;
        let statements = counters(
            "gateway_statements_total",
            "Changes of what instances state of themselves in their answers",
            "change",
        )?;
        let path_changes = counters(
            "gateway_path_changes_total",
            "Changes of the instances and services that this gateway reaches",
            "change",
        )?;
        let stream_returns = counters(
            "gateway_stream_returns_total",
            "Streams that callers take up again, by whether their origin is known",
            "outcome",
        )?;
        let connection_ends = counters(
            "gateway_connection_ends_total",
            "Response bodies that only the end of the connection ended, by position",
            "position",
        )?;
        let forwards = counters(
            "gateway_forwards_total",
            "Requests forwarded to other gateways, by outcome",
            "outcome",
        )?;
        let served_forwards = counters(
            "gateway_served_forwards_total",
            "Requests taken from other gateways, by outcome",
            "outcome",
        )?;
        let peers = IntGauge::new(
            "gateway_peers",
            "Gateways known to take requests of this one",
        )?;
        registry.register(Box::new(peers.clone()))?;
        let unreachable_services = IntGauge::new(
            "gateway_unreachable_services",
            "Services of which this gateway reaches no instance",
        )?;
        registry.register(Box::new(unreachable_services.clone()))?;
        let unreachable_instances = IntGauge::new(
            "gateway_unreachable_instances",
            "Instances that this gateway could not connect to",
        )?;
        registry.register(Box::new(unreachable_instances.clone()))?;
        let ages = HistogramOpts::new(
            "gateway_confirmation_age_seconds",
            "Time since what is known here was confirmed to be the newest",
        );
        let confirmation_age = Histogram::with_opts(ages.buckets(LATENCY_BUCKETS.to_vec()))?;
        registry.register(Box::new(confirmation_age.clone()))?;
        let connects = IntCounter::new("gateway_connects_total", "New connections to instances")?;
        let resumed = IntCounter::new("gateway_resumed_total", "Streams that went on elsewhere")?;
        let document_version = IntGauge::new("gateway_document_version", "Version in force")?;
        let instances = IntGauge::new("gateway_instances", "Instances known")?;
        let stream_origins = IntGauge::new(
            "gateway_stream_origins",
            "Streams whose origins this gateway keeps",
        )?;
        let instance_ends = IntCounter::new(
            "gateway_instance_ends_total",
            "Runs of instances that ended under requests of this gateway",
        )?;
        let quarantined = IntGauge::new(
            "gateway_requests_held_back",
            "Requests that are refused as they end the instances that run them",
        )?;
        let options = HistogramOpts::new("gateway_first_byte_seconds", "Time to the answer's head")
            .buckets(LATENCY_BUCKETS.to_vec());
        let first_byte = Histogram::with_opts(options)?;
        let limited = IntGauge::new(
            "gateway_limited_instances",
            "Instances that state a limit on the requests they take",
        )?;
        registry.register(Box::new(limited.clone()))?;
        let slowest_pace = Gauge::new(
            "gateway_slowest_engine_pace",
            "Longest time to the first byte of an engine relative to its service's median",
        )?;
        registry.register(Box::new(slowest_pace.clone()))?;
        let known_paces = IntGauge::new(
            "gateway_known_engine_paces",
            "Instances whose relative time is known to differ from the median",
        )?;
        registry.register(Box::new(known_paces.clone()))?;
        registry.register(Box::new(connects.clone()))?;
        let unconfirmed_ends = IntCounter::new(
            "gateway_unconfirmed_ends_total",
            "Bodies ended by their connection that are not known to be whole",
        )?;
        let unrecognized_responses = IntCounter::new(
            "gateway_unrecognized_responses_total",
            "Successful responses that are no answers of their instances",
        )?;
        let refused_bodies = IntCounter::new(
            "gateway_refused_bodies_total",
            "Requests refused because bodies of others use the memory",
        )?;
        let body_bytes = IntGauge::new("gateway_body_bytes", "Memory reserved for bodies")?;
        registry.register(Box::new(resumed.clone()))?;
        registry.register(Box::new(refused_bodies.clone()))?;
        registry.register(Box::new(body_bytes.clone()))?;
        registry.register(Box::new(unrecognized_responses.clone()))?;
        registry.register(Box::new(unconfirmed_ends.clone()))?;
        registry.register(Box::new(document_version.clone()))?;
        registry.register(Box::new(instances.clone()))?;
        registry.register(Box::new(stream_origins.clone()))?;
        registry.register(Box::new(instance_ends.clone()))?;
        registry.register(Box::new(quarantined.clone()))?;
        let refused_parts = IntGauge::new(
            "gateway_prompt_parts_refused",
            "Sets of parts of prompts that are refused as they end the instances that respond to them",
        )?;
        registry.register(Box::new(refused_parts.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        let options = HistogramOpts::new(
            "gateway_credit_wait_seconds",
            "Time until a request had the units of its tenant's quota",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let credit_wait = Histogram::with_opts(options)?;
        registry.register(Box::new(credit_wait.clone()))?;
        let quota_denials = counters(
            "gateway_quota_denials_total",
            "Requests denied units of their tenant's quota, by the priority of their route",
            "rank",
        )?;
        let options = HistogramOpts::new(
            "gateway_quota_denial_wait_seconds",
            "Time until a request was denied units of its tenant's quota",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let denial_wait = Histogram::with_opts(options)?;
        registry.register(Box::new(denial_wait.clone()))?;
        let waiting = IntGauge::new(
            "gateway_waiting_requests",
            "Requests that wait for a slot or for a model",
        )?;
        registry.register(Box::new(waiting.clone()))?;
        let options = HistogramOpts::new(
            "gateway_queue_wait_seconds",
            "Time for which sent requests waited for a slot or for a model",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let queue_wait = Histogram::with_opts(options)?;
        registry.register(Box::new(queue_wait.clone()))?;
        Ok(Metrics {
            registry,
            requests,
            tenant_requests,
            tenants: Mutex::default(),
            first_byte,
            credit_wait,
            quota_denials,
            denial_wait,
            waiting,
            queue_wait,
            sends,
            connects,
            resumed,
            unconfirmed_ends,
            refused_bodies,
            body_bytes,
            unrecognized_responses,
            document_version,
            instances,
            instance_ends,
            quarantined,
            refused_parts,
            confirmation_age,
            freshness_changes,
            link_changes,
            statements,
            limited,
            slowest_pace,
            known_paces,
            unreachable_services,
            unreachable_instances,
            path_changes,
            connection_ends,
            stream_returns,
            stream_origins,
            forwards,
            served_forwards,
            peers,
        })
    }

    /// Counts an ended request, also by tenant if known.
    pub(crate) fn count_request(&self, tenant: Option<&TenantName>, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
        let Some(tenant) = tenant else {
            return;
        };
        let mut named = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        if named.len() < MAXIMUM_TENANTS {
            named.insert(tenant.clone());
        }
        let label = match named.contains(tenant) {
            true => tenant.0.as_str(),
            false => OTHER_TENANTS,
        };
        self.tenant_requests
            .with_label_values(&[label, outcome])
            .inc();
    }

    pub(crate) fn count_send(&self, end: SendOutcome) {
        let label = match end {
            SendOutcome::Responded(time) => {
                self.first_byte.observe(time.as_secs_f64());
                "answered"
            }
            SendOutcome::Full => "full",
            SendOutcome::Misdirected => "misdirected",
            SendOutcome::Replaced => "replaced",
            SendOutcome::Unreachable => "unreachable",
            SendOutcome::ConnectionRefused => "ended",
            SendOutcome::Unsent => "unsent",
            SendOutcome::Failed => "failed",
            SendOutcome::Broken => "broken",
            SendOutcome::Abandoned => "given-up",
        };
        self.sends.with_label_values(&[label]).inc();
    }

    pub(crate) fn observe_credit_wait(&self, time: Duration) {
        self.credit_wait.observe(time.as_secs_f64());
    }

    /// Counts a request that was denied units after this time.
    pub(crate) fn count_quota_denial(&self, rank: u32, time: Duration) {
        let label = rank.min(LOWEST_RANK).to_string();
        self.quota_denials.with_label_values(&[&label]).inc();
        self.denial_wait.observe(time.as_secs_f64());
    }

    pub(crate) fn observe_queue_wait(&self, time: Duration) {
        self.queue_wait.observe(time.as_secs_f64());
    }

    pub(crate) fn exposition(&self) -> String {
        exposition(&self.registry)
    }
}

/// Formats a duration in whole milliseconds, for log lines.
pub(crate) fn millis(time: Duration) -> String {
    time.as_millis().to_string()
}
