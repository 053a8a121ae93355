//! Instances announce themselves at any member; the leader and its successors receive them.

mod harness;

use harness::World;
use harness::announced::{announcing_world, gateway_report, instance_record};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::*;
use std::collections::BTreeSet;
use std::time::Duration as Time;

fn announce(name: &str, sequence: u64, draining: bool) -> AdministrationRequest {
    AdministrationRequest::Announce(instance_record(name.into(), sequence, draining))
}

fn others(world: &World, leader: MemberId) -> Vec<MemberId> {
    let members = world.members.keys().copied();
    members.filter(|member| *member != leader).collect()
}

/// Returns the instances listed to a gateway that connects to the leader.
fn listed_instances(world: &mut World, leader: MemberId) -> BTreeSet<String> {
    let connection = world.connect(leader);
    let report = gateway_report(1);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(Time::from_millis(50));
    let mut listed_instances = BTreeSet::new();
    for message in world.take_received(connection) {
        if let ControlToRouter::Gateway(update) = message {
            listed_instances.extend(update.instances.into_iter().map(|it| it.instance.0));
        }
    }
    listed_instances
}

#[test]
fn any_member_accepts_announcements_and_forwards_them() {
    let mut world = announcing_world(5);
    let leader = world.elect();
    for (place, member) in others(&world, leader).into_iter().enumerate() {
        world.call(member, announce(&format!("i-{place}"), 1, false));
        assert!(matches!(
            world.last_response(),
            Some(AdministrationResponse::Done)
        ));
    }
    world.run(Time::from_millis(300));
    assert_eq!(listed_instances(&mut world, leader).len(), 4);
}

/// A departure must be committed, so other members name the leader.
#[test]
fn only_the_leader_accepts_a_drain_announcement() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    let member = others(&world, leader)[0];
    world.call(member, announce("i-1", 1, false));
    world.call(member, announce("i-1", 2, true));
    let response = world.last_response();
    let Some(AdministrationResponse::NotLeader { leader_address }) = response else {
        panic!("{response:?}");
    };
    assert!(leader_address.is_some());
}

/// Checked with the leader that recorded the departure and with its successor.
#[test]
fn share_report_never_reverts_a_departure() {
    let mut world = announcing_world(5);
    let leader = world.elect();
    let member = others(&world, leader)[0];
    world.call(member, announce("i-1", 1, false));
    world.call(member, announce("i-2", 1, false));
    world.run(Time::from_millis(500));
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended: true,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    world.run(Time::from_millis(500));
    // A delayed heartbeat.
    world.call(member, announce("i-1", 2, false));
    world.run(Time::from_millis(500));
    assert_eq!(
        listed_instances(&mut world, leader),
        BTreeSet::from(["i-2".to_owned()])
    );
    world.halt(leader);
    world.run(Time::from_secs(3));
    let next = world.leader().expect("a leader");
    world.call(member, announce("i-1", 3, false));
    world.run(Time::from_millis(500));
    assert_eq!(
        listed_instances(&mut world, next),
        BTreeSet::from(["i-2".to_owned()])
    );
}

/// Instances do not announce themselves anew after a leader change; the members report their
/// shares.
#[test]
fn new_leader_receives_all_shares() {
    let mut world = announcing_world(5);
    let leader = world.elect();
    let members = others(&world, leader);
    for number in 0..40 {
        let member = members[number % members.len()];
        world.call(member, announce(&format!("i-{number:02}"), 1, false));
    }
    world.run(Time::from_secs(1));
    world.halt(leader);
    let next = loop {
        world.run(Time::from_millis(5));
        if let Some(next) = world.leader() {
            break next;
        }
    };
    world.run(Time::from_millis(600));
    assert_eq!(listed_instances(&mut world, next).len(), 40);
}

/// A process that requests to join also accepts announcements, and names the leader.
#[test]
fn process_outside_the_group_accepts_announcements() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    world.boot_joiner(9);
    let outside = MemberId(9);
    world.run(Time::from_secs(2));
    world.call(outside, announce("i-1", 1, false));
    assert!(matches!(
        world.last_response(),
        Some(AdministrationResponse::Done)
    ));
    world.run(Time::from_millis(1_200));
    assert_eq!(
        listed_instances(&mut world, leader),
        BTreeSet::from(["i-1".to_owned()])
    );
    world.call(outside, announce("i-1", 2, true));
    let response = world.last_response();
    let Some(AdministrationResponse::NotLeader { leader_address }) = response else {
        panic!("{response:?}");
    };
    assert!(leader_address.is_some());
}

/// Rejected instances would retry with every member repeatedly.
#[test]
fn announcements_are_accepted_without_a_leader() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    let members = others(&world, leader);
    world.halt(leader);
    world.halt(members[0]);
    world.run(Time::from_secs(5));
    assert_eq!(world.leader(), None);
    world.call(members[1], announce("i-1", 1, false));
    assert!(matches!(
        world.last_response(),
        Some(AdministrationResponse::Done)
    ));
}
