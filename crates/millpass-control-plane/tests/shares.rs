//! Instances announce themselves at any member; what the leader is told, and what the next one knows.

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

/// Instances that a gateway which connects to the leader is told of.
fn told(world: &mut World, leader: MemberId) -> BTreeSet<String> {
    let connection = world.connect(leader);
    let report = gateway_report(1);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(Time::from_millis(50));
    let mut told = BTreeSet::new();
    for message in world.received(connection) {
        if let ControlToRouter::Gateway(update) = message {
            told.extend(update.instances.into_iter().map(|it| it.instance.0));
        }
    }
    told
}

#[test]
fn any_member_takes_an_announcement_and_the_leader_hears_of_it() {
    let mut world = announcing_world(5);
    let leader = world.elect();
    for (place, member) in others(&world, leader).into_iter().enumerate() {
        world.call(member, announce(&format!("i-{place}"), 1, false));
        assert!(matches!(
            world.last_answer(),
            Some(AdministrationResponse::Done)
        ));
    }
    world.run(Time::from_millis(300));
    assert_eq!(told(&mut world, leader).len(), 4);
}

/// That an instance leaves is promised by the log: who does not lead names the leader.
#[test]
fn only_the_leader_takes_the_word_that_an_instance_leaves() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    let member = others(&world, leader)[0];
    world.call(member, announce("i-1", 1, false));
    world.call(member, announce("i-1", 2, true));
    let answer = world.last_answer();
    let Some(AdministrationResponse::NotLeader { leader_address }) = answer else {
        panic!("{answer:?}");
    };
    assert!(leader_address.is_some());
}

/// The share's word never undoes a departure: neither before the leader ends nor after it.
#[test]
fn a_share_never_undoes_a_departure() {
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
    // A heartbeat that was held up on its way.
    world.call(member, announce("i-1", 2, false));
    world.run(Time::from_millis(500));
    assert_eq!(told(&mut world, leader), BTreeSet::from(["i-2".to_owned()]));
    world.halt(leader);
    world.run(Time::from_secs(3));
    let next = world.leader().expect("a leader");
    world.call(member, announce("i-1", 3, false));
    world.run(Time::from_millis(500));
    assert_eq!(told(&mut world, next), BTreeSet::from(["i-2".to_owned()]));
}

/// After a change of leader nothing announces itself anew: the members tell what they know.
#[test]
fn the_next_leader_is_told_all_shares() {
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
    assert_eq!(told(&mut world, next).len(), 40);
}

/// A process that asks to join, and is in no membership, takes a share as well, and names the leader.
#[test]
fn a_process_outside_the_group_takes_a_share() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    world.boot_joiner(9);
    let outside = MemberId(9);
    world.run(Time::from_secs(2));
    world.call(outside, announce("i-1", 1, false));
    assert!(matches!(
        world.last_answer(),
        Some(AdministrationResponse::Done)
    ));
    world.run(Time::from_millis(1_200));
    assert_eq!(told(&mut world, leader), BTreeSet::from(["i-1".to_owned()]));
    world.call(outside, announce("i-1", 2, true));
    let answer = world.last_answer();
    let Some(AdministrationResponse::NotLeader { leader_address }) = answer else {
        panic!("{answer:?}");
    };
    assert!(leader_address.is_some());
}

/// While nobody leads, announcements are taken: instances that were turned away would try every member, again and again.
#[test]
fn announcements_are_taken_while_nobody_leads() {
    let mut world = announcing_world(3);
    let leader = world.elect();
    let members = others(&world, leader);
    world.halt(leader);
    world.halt(members[0]);
    world.run(Time::from_secs(5));
    assert_eq!(world.leader(), None);
    world.call(members[1], announce("i-1", 1, false));
    assert!(matches!(
        world.last_answer(),
        Some(AdministrationResponse::Done)
    ));
}
