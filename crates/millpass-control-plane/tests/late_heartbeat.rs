//! A departure that was acknowledged, and a word of the instance that comes late.
//!
//! Requests were sent to an instance that had said that it leaves, for as long as its next leader believed it to be
//! ready: the leader that acknowledged it was lost; the next one took a late heartbeat after its election, before
//! it had applied what the log holds, and then neither the departure nor the greeting of gateways corrected
//! the record. 4 of 40 runs with late heartbeats, none without.

mod harness;

use harness::World;
use harness::announced::{announcing_world, gateway_report, instance_record};
use harness::network::Network;
use millpass_consensus::Role;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::*;
use rstest::rstest;
use std::time::Duration as Time;

/// Longest delay of a message, in milliseconds.
const DELAY: u64 = 100;

fn announce(sequence: u64) -> AdministrationRequest {
    AdministrationRequest::Announce(instance_record("i-1".into(), sequence, false))
}

/// The departure is acknowledged by a leader that is lost at once.
fn departs(world: &mut World, ended: bool, seed: u64) {
    let leader = world.elect();
    world.call(leader, announce(1));
    world.run(Time::from_secs(3));
    world.network = Network {
        seed,
        delayed: DELAY,
        ..Network::default()
    };
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    let acknowledged = (0..400).any(|_| {
        world.run(Time::from_millis(1));
        matches!(world.last_answer(), Some(AdministrationResponse::Done))
    });
    assert!(acknowledged, "the departure is acknowledged");
    world.halt(leader);
}

/// The next leader in charge; until then late heartbeats reach whoever is elected.
fn next_leader(world: &mut World) -> MemberId {
    for _ in 0..4_000 {
        world.run(Time::from_millis(1));
        if let Some(found) = world.leader() {
            return found;
        }
        let mut members = world.members.iter().filter(|(_, member)| member.up);
        let elected =
            members.find(|(_, member)| member.plane.consensus_status().role == Role::Leader);
        if let Some(elected) = elected.map(|(id, _)| *id) {
            world.call(elected, announce(2));
        }
    }
    panic!("no leader");
}

/// Whether a gateway that comes to the leader may send to the instance, by what it is told.
fn is_usable(world: &mut World, leader: MemberId) -> bool {
    let connection = world.connect(leader);
    let report = gateway_report(1);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(Time::from_secs(6));
    let mut usable = true;
    for message in world.received(connection) {
        if let ControlToRouter::Gateway(update) = message {
            let records = update.instances.iter();
            for record in records.filter(|record| record.instance == "i-1".into()) {
                usable = !record.draining;
            }
            usable &= !update.removed.contains(&"i-1".into());
        }
    }
    usable
}

#[rstest]
fn a_departure_outlasts_a_late_heartbeat_at_a_leader_not_yet_in_charge(
    #[values(true, false)] ended: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut world = announcing_world(3);
    departs(&mut world, ended, seed);
    let next = next_leader(&mut world);
    assert!(world.state(next).departed(&"i-1".into()).is_some());
    assert!(!is_usable(&mut world, next));
}
