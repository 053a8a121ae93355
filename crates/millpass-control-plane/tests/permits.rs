//! Permits for instances that state a limit: lent by the member in charge alone.

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

/// A gateway's ask for a permit of an instance that stated a limit of two requests a second.
fn ask(world: &mut World, connection: ConnectionId) {
    let word = LimitObservation {
        instance: "i-1".into(),
        milli_per_second: Some(2_000),
        request_age_millis: 5,
        response_age_millis: 1,
    };
    let ask = InstancePermitRequest {
        instance: "i-1".into(),
        waiting: 1,
        prefetch: 0,
        refused: 0,
    };
    let request = PermitRequest {
        gateway: "gateway".to_owned(),
        sequence: 1,
        observations: vec![word],
        instances: vec![ask],
    };
    world.router_sends(connection, RouterToControl::Permits(request));
}

/// Permits that were lent on a connection.
fn lent(messages: &[ControlToRouter]) -> Option<u32> {
    let mut answers = messages.iter().filter_map(|message| match message {
        ControlToRouter::Permits(answer) => Some(answer),
        _ => None,
    });
    let answer = answers.next()?;
    Some(answer.grants.iter().map(|grant| grant.permits).sum())
}

fn connected(world: &mut World, member: MemberId) -> ConnectionId {
    let connection = world.connect(member);
    world.router_sends(connection, RouterToControl::Gateway(gateway_report(0)));
    world.run(seconds(1));
    world.received(connection);
    connection
}

#[test]
fn a_member_that_does_not_lead_lends_permits() {
    let mut world = world();
    let leader = world.elect();
    let follower = world.follower(leader);
    let connection = connected(&mut world, follower);
    ask(&mut world, connection);
    let messages = world.received(connection);
    assert_eq!(lent(&messages), None);
    let sent_away = |message: &ControlToRouter| matches!(message, ControlToRouter::NotLeader(_));
    assert!(messages.iter().any(sent_away), "{messages:?}");
}

#[test]
fn a_leader_lends_at_once_what_has_not_flowed_in_under_it() {
    let mut world = world();
    let leader = world.elect();
    let connection = connected(&mut world, leader);
    ask(&mut world, connection);
    assert_eq!(lent(&world.received(connection)), Some(0));
    world.run(seconds(1));
    ask(&mut world, connection);
    assert_eq!(lent(&world.received(connection)), Some(1));
    world.halt(leader);
    let next = world.elect();
    let connection = connected(&mut world, next);
    ask(&mut world, connection);
    assert_eq!(lent(&world.received(connection)), Some(0));
}

#[test]
fn a_leader_whose_lease_has_run_out_lends_permits_or_sends_gateways_away() {
    let mut world = world();
    let leader = world.elect();
    let connection = connected(&mut world, leader);
    let others = world.members.iter_mut().filter(|(id, _)| **id != leader);
    others.for_each(|(_, member)| member.cut = true);
    world.run(Duration::from_millis(850));
    world.received(connection);
    ask(&mut world, connection);
    assert!(world.received(connection).is_empty());
}
