//! A leader with instances, reporting gateways and a changing document.

#![allow(dead_code)]

pub mod calls;
pub mod documents;
pub mod engines;
pub mod shares;
pub mod steering;

use calls::Calls;
use millpass_dispatch::{DispatchSettings, Dispatcher, FreshnessSettings};
use millpass_fleet::{
    DocumentHistory, Fleet, FleetOutput, FleetSettings, GatewayContext, InstructionHistory,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;

/// Routes of the first document.
pub const ROUTES: u64 = 100;

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn record(number: u64) -> InstanceRecord {
    InstanceRecord {
        instance: format!("i-{number:09x}").as_str().into(),
        service: format!("service-{}", number % 20).as_str().into(),
        address: format!("10.1.64.{}:8461", number % 250),
        zone: "zone-a".into(),
        slots: 8,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

pub fn route(number: u64, timeout_millis: u64) -> RouteSpec {
    RouteSpec {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 10),
        path_prefix: format!("/path-{number}/"),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis,
        objective_millis: 300,
        gap_objective_millis: 0,
        priority: 1,
        maximum_attempts: 3,
        prompt_affinity: false,
        first_event_millis: 0,
        targets: vec![RouteTarget {
            service: format!("service-{}", number % 20).as_str().into(),
            weight: 100,
        }],
        anonymous: false,
    }
}

/// Returns a document with [`ROUTES`] routes to 20 services.
pub fn document(version: u64) -> DeploymentDocument {
    let service = |number: u64| ServiceSpec {
        name: format!("service-{number}").as_str().into(),
        health_path: "/health".to_owned(),
        maximum_connections: 0,
        engine: None,
    };
    DeploymentDocument {
        version,
        routes: (0..ROUTES).map(|number| route(number, 1_000)).collect(),
        services: (0..20).map(service).collect(),
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

/// The leader's core and the context of its runs.
pub struct Leader {
    pub fleet: Fleet,
    pub documents: DocumentHistory,
    pub version: u64,
    pub departed: Vec<InstanceId>,
    calls: Calls,
    sequence: u64,
}

impl Leader {
    /// Creates a leader with this many instances, and departed ones in the log.
    pub fn new(instances: u64, departed: u64) -> Leader {
        let mut leader = Leader {
            fleet: Fleet::new(FleetSettings {
                instance_timeout: Duration::from_secs(3_600),
                ..FleetSettings::default()
            }),
            documents: DocumentHistory::new(),
            version: 1,
            departed: (0..departed)
                .map(|number| format!("i-gone-{number:04x}").as_str().into())
                .collect(),
            calls: Calls::default(),
            sequence: 0,
        };
        leader.documents.record(at(0), &document(1).into());
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        let nothing = std::iter::empty;
        leader
            .fleet
            .start_leading(at(0), nothing(), std::iter::empty(), &history);
        for number in 0..instances {
            leader
                .fleet
                .handle_announcement(at(0), record(number), false);
        }
        leader
    }

    /// Commits the next version, in which one route has another timeout.
    pub fn commit_next_version(&mut self, now: u64) {
        let mut next = self
            .documents
            .document(self.version)
            .map(|document| DeploymentDocument::clone(document))
            .expect("the current version is kept");
        self.version += 1;
        next.version = self.version;
        next.routes[7].timeout_millis += 1;
        self.documents.record(at(now), &next.into());
    }

    /// Sends a report of gateway g-N on connection N.
    pub fn report(&mut self, now: u64, connection: u64, version: u64) {
        let gateway = format!("g-{connection}");
        self.report_of(now, connection, &gateway, version, Vec::new());
    }

    pub fn report_of(
        &mut self,
        now: u64,
        connection: u64,
        gateway: &str,
        version: u64,
        known_instances: Vec<u64>,
    ) {
        let report = self.report_with(gateway, version, known_instances);
        self.fleet.handle_report(at(now), connection, &report);
    }

    /// Sends a report of gateway g-N with unmet demand for an adapter.
    pub fn report_unmet_demand(&mut self, now: u64, connection: u64) {
        let mut report = self.report_with(&format!("g-{connection}"), 1, Vec::new());
        report.demand.push(GatewayModelDemand {
            service: "service-3".into(),
            model: "m".into(),
            adapter: Some("a1".into()),
            unserved: 1,
            arrivals: 1,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
            refused_full: 0,
        });
        self.fleet.handle_report(at(now), connection, &report);
    }

    /// Sends a report of gateway g-N with this demand.
    pub fn report_demand(&mut self, now: u64, connection: u64, demand: Vec<GatewayModelDemand>) {
        let mut report = self.report_with(&format!("g-{connection}"), self.version, Vec::new());
        report.demand = demand;
        self.fleet.handle_report(at(now), connection, &report);
    }

    /// Sends a report of gateway g-N that has received the log up to this index.
    pub fn report_as_of(&mut self, now: u64, connection: u64, as_of: u64) {
        let mut report = self.report_with(&format!("g-{connection}"), 1, Vec::new());
        report.as_of = as_of;
        self.fleet.handle_report(at(now), connection, &report);
    }

    fn report_with(
        &mut self,
        gateway: &str,
        version: u64,
        known_instances: Vec<u64>,
    ) -> GatewayReport {
        self.sequence += 1;
        GatewayReport {
            gateway: gateway.to_owned(),
            zone: "zone-a".into(),
            sequence: self.sequence,
            version,
            demand: Vec::new(),
            inconsistent: Vec::new(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: known_instances,
            paces: Vec::new(),
        }
    }

    pub fn run(&mut self, now: u64) -> Vec<FleetOutput> {
        let departed = |_| self.departed.clone();
        let context = GatewayContext {
            members: &Vec::new,
            departed: &departed,
            as_of: 0,
            documents: &self.documents,
        };
        let document = self.documents.document(self.version);
        let outputs = self.fleet.run(at(now), 3, document, &context);
        self.calls.record(&outputs);
        outputs
    }

    /// Responds to the newest call to an engine.
    pub fn respond(&mut self, now: u64, instance: &InstanceId, result: &InstructionResult) {
        let result = self.calls.response(instance, result);
        self.fleet.handle_call_result(at(now), &result);
    }

    /// Returns the sequence number of the newest report.
    pub fn newest_report(&self) -> u64 {
        self.sequence
    }

    /// Returns the updates sent by the next run.
    pub fn updates(&mut self, now: u64) -> Vec<(u64, GatewayUpdate)> {
        let outputs = self.run(now).into_iter();
        let updates = outputs.filter_map(|output| match output {
            FleetOutput::Update { connection, update } => Some((connection, *update)),
            _ => None,
        });
        updates.collect()
    }
}

/// Returns the encoded size of an update, in bytes.
pub fn encoded_size(update: &GatewayUpdate) -> usize {
    let message = ControlToRouter::Gateway(update.clone());
    let encoded = millpass_proto::codec::encode(&message);
    encoded.expect("the update can be encoded").len()
}

/// Returns a gateway core without limits.
pub fn gateway() -> Dispatcher {
    Dispatcher::new(DispatchSettings {
        name: "g".to_owned(),
        zone: "zone-a".into(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_timeout: Duration::from_secs(15),
        quota: QuotaTolerance::default(),
        key_lifetime: None,
        reach: millpass_dispatch::ReachSettings::default(),
        parts: millpass_dispatch::PartSettings::default(),
        origins: millpass_dispatch::BegunSettings::default(),
        freshness: FreshnessSettings::default(),
    })
}
