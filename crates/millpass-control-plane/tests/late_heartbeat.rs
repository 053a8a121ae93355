//! Guards against a delayed heartbeat that a new leader accepts before it has applied an
//! acknowledged departure: gateways would keep sending to the instance.

mod harness;

use harness::World;
use harness::announced::{announcing_world, gateway_report, instance_record};
use harness::network::Network;
use millpass_consensus::Role;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::*;
use rstest::rstest;
use std::time::Duration as Time;

/// Percentage of delayed messages.
const DELAYED_PERCENT: u64 = 100;

fn announce(sequence: u64) -> AdministrationRequest {
    AdministrationRequest::Announce(instance_record("i-1".into(), sequence, false))
}

/// Has a departure acknowledged by a leader that is lost immediately afterwards.
fn acknowledge_departure(world: &mut World, ended: bool, seed: u64) {
    let leader = world.elect();
    world.call(leader, announce(1));
    world.run(Time::from_secs(3));
    world.network = Network {
        seed,
        delayed: DELAYED_PERCENT,
        ..Network::default()
    };
    let departure = InstanceDeparture {
        instance: "i-1".into(),
        ended,
    };
    world.call(leader, AdministrationRequest::Depart(departure));
    let acknowledged = (0..400).any(|_| {
        world.run(Time::from_millis(1));
        matches!(world.last_response(), Some(AdministrationResponse::Done))
    });
    assert!(acknowledged, "departure not acknowledged");
    world.halt(leader);
}

/// Waits for the next leader; until then delayed heartbeats reach whichever member is elected.
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

/// Returns true if a gateway that connects to the leader would send to the instance.
fn is_usable(world: &mut World, leader: MemberId) -> bool {
    let connection = world.connect(leader);
    let report = gateway_report(1);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(Time::from_secs(6));
    let mut usable = true;
    for message in world.take_received(connection) {
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
fn departure_survives_a_delayed_heartbeat_at_a_new_leader(
    #[values(true, false)] ended: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)] seed: u64,
) {
    let mut world = announcing_world(3);
    acknowledge_departure(&mut world, ended, seed);
    let next = next_leader(&mut world);
    assert!(world.state(next).departed(&"i-1".into()).is_some());
    assert!(!is_usable(&mut world, next));
}
