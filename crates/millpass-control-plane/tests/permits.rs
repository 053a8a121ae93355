//! Permits for instances that state a limit are granted only by the leading member.

mod harness;

use harness::announced::gateway_report;
use harness::{World, seconds};
use millpass_control_plane::{ConnectionId, FleetSettings};
use millpass_proto::*;
use std::time::Duration;

fn world() -> World {
    let mut world = World::with_snapshots(0, 1_000_000);
    world.fleet = Some(FleetSettings::default());
    world.boot_voters(3);
    world
}

/// Requests a permit for an instance that stated a limit of two requests per second.
fn request_permit(world: &mut World, connection: ConnectionId) {
    let limit = LimitObservation {
        instance: "i-1".into(),
        milli_per_second: Some(2_000),
        request_age_millis: 5,
        response_age_millis: 1,
    };
    let permit = InstancePermitRequest {
        instance: "i-1".into(),
        waiting: 1,
        prefetch: 0,
        refused: 0,
    };
    let request = PermitRequest {
        gateway: "gateway".to_owned(),
        sequence: 1,
        observations: vec![limit],
        instances: vec![permit],
    };
    world.router_sends(connection, RouterToControl::Permits(request));
}

/// Returns the number of permits granted on a connection; `None` without a response.
fn granted(messages: &[ControlToRouter]) -> Option<u32> {
    let mut responses = messages.iter().filter_map(|message| match message {
        ControlToRouter::Permits(response) => Some(response),
        _ => None,
    });
    let response = responses.next()?;
    Some(response.grants.iter().map(|grant| grant.permits).sum())
}

fn connect_gateway(world: &mut World, member: MemberId) -> ConnectionId {
    let connection = world.connect(member);
    world.router_sends(connection, RouterToControl::Gateway(gateway_report(0)));
    world.run(seconds(1));
    world.take_received(connection);
    connection
}

#[test]
fn follower_grants_no_permits_and_redirects() {
    let mut world = world();
    let leader = world.elect();
    let follower = world.follower(leader);
    let connection = connect_gateway(&mut world, follower);
    request_permit(&mut world, connection);
    let messages = world.take_received(connection);
    assert_eq!(granted(&messages), None);
    let is_redirect = |message: &ControlToRouter| matches!(message, ControlToRouter::NotLeader(_));
    assert!(messages.iter().any(is_redirect), "{messages:?}");
}

#[test]
fn new_leader_starts_without_permits() {
    let mut world = world();
    let leader = world.elect();
    let connection = connect_gateway(&mut world, leader);
    request_permit(&mut world, connection);
    assert_eq!(granted(&world.take_received(connection)), Some(0));
    world.run(seconds(1));
    request_permit(&mut world, connection);
    assert_eq!(granted(&world.take_received(connection)), Some(1));
    world.halt(leader);
    let next = world.elect();
    let connection = connect_gateway(&mut world, next);
    request_permit(&mut world, connection);
    assert_eq!(granted(&world.take_received(connection)), Some(0));
}

#[test]
fn leader_with_an_expired_lease_neither_grants_permits_nor_redirects() {
    let mut world = world();
    let leader = world.elect();
    let connection = connect_gateway(&mut world, leader);
    let others = world.members.iter_mut().filter(|(id, _)| **id != leader);
    others.for_each(|(_, member)| member.partitioned = true);
    world.run(Duration::from_millis(850));
    world.take_received(connection);
    request_permit(&mut world, connection);
    assert!(world.take_received(connection).is_empty());
}
