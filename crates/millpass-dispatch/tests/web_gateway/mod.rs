//! A gateway with one repeatable route to eight instances of a web service.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use millpass_dispatch::{DispatchSettings, Dispatcher, FreshnessSettings};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;

/// A point in time.
pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Route of the requests.
pub fn route() -> RouteSpec {
    RouteSpec {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis: 5_000,
        objective_millis: 800,
        gap_objective_millis: 0,
        priority: 1,
        maximum_attempts: 2,
        prompt_affinity: false,
        targets: vec![RouteTarget {
            service: "web".into(),
            weight: 1,
        }],
        first_event_millis: 0,
        anonymous: false,
    }
}

fn record(instance: &str) -> InstanceRecord {
    InstanceRecord {
        instance: instance.into(),
        service: "web".into(),
        address: format!("{instance}:80"),
        zone: "z".into(),
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

/// Creates a gateway that knows one route and eight instances of its service.
pub fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        name: "g".to_owned(),
        zone: "z".into(),
        retry_ratio: 1.0,
        retry_slack: 100.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_timeout: Duration::from_secs(15),
        quota: QuotaTolerance::default(),
        key_lifetime: None,
        reach: millpass_dispatch::ReachSettings::default(),
        parts: millpass_dispatch::PartSettings::default(),
        origins: millpass_dispatch::BegunSettings::default(),
        freshness: FreshnessSettings {
            max_staleness: Duration::from_secs(3_600),
            max_departure_staleness: Duration::from_secs(3_600),
            ..FreshnessSettings::default()
        },
    });
    let document = DeploymentDocument {
        version: 1,
        routes: vec![route()],
        services: vec![ServiceSpec {
            name: "web".into(),
            health_path: String::new(),
            maximum_connections: 0,
            engine: None,
        }],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    };
    let update = GatewayUpdate {
        term: 1,
        complete: true,
        first: true,
        document: Some(document.into()),
        instances: (0..8).map(|it| record(&format!("i-{it}"))).collect(),
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 2,
        members: Vec::new(),
        provisional: false,
        loads: Vec::new(),
        acknowledged_report: dispatcher.report(at(0)).sequence,
        as_of: 0,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: 0,
        paces: Vec::new(),
        contents: Vec::new(),
        moved_estimates: Vec::new(),
        ended_estimates: Vec::new(),
        partial: false,
    };
    dispatcher.update(at(0), update);
    dispatcher
}
