//! Gateways that hold an earlier document receive only its changes, also from a new leader: every
//! member keeps the recently applied documents outside the replicated state.

mod harness;

use harness::announced::gateway_report;
use harness::{World, seconds};
use millpass_control_plane::{AdministrationRequest, ConnectionId, FleetSettings};
use millpass_proto::*;
use millpass_state::State;
use std::sync::Arc;

/// Creates three members that take a snapshot after this many entries.
fn world(snapshot_entries: u64) -> World {
    let mut world = World::with_snapshots(0, snapshot_entries);
    world.fleet = Some(FleetSettings::default());
    world.boot_voters(3);
    world
}

fn service(number: u64) -> ServiceSpec {
    ServiceSpec {
        name: format!("service-{number}").into(),
        health_path: "/health".to_owned(),
        maximum_connections: 0,
        engine: None,
    }
}

/// Ten services; the last one differs between versions.
fn put(version: u64) -> AdministrationRequest {
    let mut services: Vec<ServiceSpec> = (0..10).map(service).collect();
    services[9].maximum_connections = version as u32;
    AdministrationRequest::PutDocument(Box::new(PutDocument {
        document: Arc::new(DeploymentDocument {
            version,
            routes: Vec::new(),
            services,
            limits: CallerLimits {
                header_bytes: 0,
                body_bytes: 0,
                header_millis: 0,
                idle_millis: 0,
            },
            tenants: Vec::new(),
        }),
        source: Arc::default(),
    }))
}

fn report(world: &mut World, connection: ConnectionId, version: u64) {
    let report = GatewayReport {
        sequence: 41,
        version,
        ..gateway_report(0)
    };
    world.router_sends(connection, RouterToControl::Gateway(report));
}

/// Returns the first update on a new connection to a member, for a gateway that holds this version.
fn first_update(world: &mut World, member: MemberId, version: u64) -> GatewayUpdate {
    let connection = world.connect(member);
    report(world, connection, version);
    world.run(std::time::Duration::from_millis(50));
    let received = world.take_received(connection).into_iter();
    let mut updates = received.filter_map(|message| match message {
        ControlToRouter::Gateway(update) => Some(update),
        _ => None,
    });
    updates.next().expect("an update")
}

#[test]
fn former_follower_sends_document_changes() {
    let mut world = world(1_000_000);
    let leader = world.elect();
    for version in [1, 2] {
        world.call(leader, put(version));
    }
    world.run(seconds(1));
    world.halt(leader);
    let next = world.elect();
    let update = first_update(&mut world, next, 1);
    let change = update.document_change.expect("a change");
    assert_eq!((change.base, change.version), (1, 2));
    assert_eq!(change.services.len(), 1);
    assert_eq!(update.document, None);
    assert_eq!(update.acknowledged_report, 41);
}

#[test]
fn member_restarted_from_a_snapshot_sends_the_full_document() {
    let mut world = world(1);
    let leader = world.elect();
    for version in [1, 2] {
        world.call(leader, put(version));
    }
    world.run(seconds(1));
    let state = world.state(leader).clone();
    let restored = State::decode(&state.encode()).expect("a snapshot");
    assert_eq!(
        restored, state,
        "earlier documents are not part of the state"
    );
    for member in 1..=3 {
        world.restart(member);
    }
    let next = world.elect();
    let update = first_update(&mut world, next, 1);
    assert_eq!(update.document.map(|document| document.version), Some(2));
    assert_eq!(update.document_change, None);
}

/// A report confirms what was sent earlier on the same connection, so nothing is sent twice.
#[test]
fn reported_document_is_not_sent_again() {
    let mut world = world(1_000_000);
    let leader = world.elect();
    world.call(leader, put(1));
    let connection = world.connect(leader);
    report(&mut world, connection, 0);
    world.run(std::time::Duration::from_millis(50));
    report(&mut world, connection, 1);
    world.call(leader, put(2));
    world.run(std::time::Duration::from_millis(50));
    for _ in 0..5 {
        report(&mut world, connection, 2);
        world.run(seconds(1));
    }
    let received = world.take_received(connection);
    let documents = received.iter().filter(
        |message| matches!(message, ControlToRouter::Gateway(update) if update.document.is_some()),
    );
    let changes = received.iter().filter(|message| {
        matches!(message, ControlToRouter::Gateway(update) if update.document_change.is_some())
    });
    assert_eq!((documents.count(), changes.count()), (1, 1));
}
