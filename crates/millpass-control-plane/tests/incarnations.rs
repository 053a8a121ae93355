//! Incarnations of one instance across departures and leader changes.
//!
//! Guards against a departure that also bars later incarnations, and against delayed messages of an
//! earlier incarnation that remove a later one.

mod harness;

use harness::announced::{gateway_report, instance_record};
use harness::{World, seconds};
use millpass_control_plane::{AdministrationRequest, FleetSettings};
use millpass_proto::*;
use rstest::rstest;
use std::collections::BTreeMap;

const EARLIER: u64 = 1_000;
const LATER: u64 = 2_000;

fn instance(incarnation: u64) -> InstanceId {
    InstanceId::of_run("i-1", incarnation)
}

fn announce(incarnation: u64, sequence: u64, draining: bool) -> AdministrationRequest {
    AdministrationRequest::Announce(instance_record(instance(incarnation), sequence, draining))
}

fn depart(instance: InstanceId, ended: bool) -> AdministrationRequest {
    AdministrationRequest::Depart(InstanceDeparture { instance, ended })
}

fn world() -> (World, MemberId) {
    let mut world = World::new(0);
    world.fleet = Some(FleetSettings::default());
    world.boot_voters(3);
    let leader = world.elect();
    (world, leader)
}

/// Returns the instances listed to a gateway that connects to this member, and whether each is
/// draining.
fn listed(world: &mut World, leader: MemberId) -> BTreeMap<InstanceId, bool> {
    let connection = world.connect(leader);
    let report = gateway_report(0);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(seconds(1));
    let mut listed = BTreeMap::new();
    for message in world.take_received(connection) {
        if let ControlToRouter::Gateway(update) = message {
            for record in update.instances {
                listed.insert(record.instance, record.draining);
            }
            for removed in &update.removed {
                listed.remove(removed);
            }
        }
    }
    listed
}

#[rstest]
#[case::left(false)]
#[case::ended(true)]
fn new_incarnation_starts_after_a_departure_of_the_previous(
    #[case] ended: bool,
    #[values(false, true)] leader_changes: bool,
) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.call(leader, depart(instance(EARLIER), ended));
    world.run(seconds(2));
    if leader_changes {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, announce(LATER, 0, false));
    assert_eq!(
        listed(&mut world, leader),
        BTreeMap::from([(instance(LATER), false)])
    );
}

#[rstest]
#[case::heartbeat(announce(EARLIER, 901, false))]
#[case::drain_announcement(announce(EARLIER, 901, true))]
#[case::departure(depart(instance(EARLIER), true))]
fn delayed_message_of_an_earlier_incarnation_is_ignored(
    #[case] late: AdministrationRequest,
    #[values(false, true)] leader_changes: bool,
) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.run(seconds(2));
    world.call(leader, announce(LATER, 0, false));
    // Instances are recorded in the log once per second.
    world.run(seconds(2));
    if leader_changes {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, late);
    world.run(seconds(1));
    assert_eq!(
        listed(&mut world, leader),
        BTreeMap::from([(instance(LATER), false)])
    );
}

/// A departure without an incarnation.
#[rstest]
fn departure_without_incarnation_applies_to_the_latest(
    #[values(false, true)] leader_changes: bool,
) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.call(leader, announce(LATER, 0, false));
    world.run(seconds(2));
    if leader_changes {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, depart(instance(0), true));
    world.run(seconds(1));
    assert_eq!(listed(&mut world, leader), BTreeMap::new());
    world.call(leader, announce(LATER, 1, false));
    world.run(seconds(1));
    assert_eq!(
        listed(&mut world, leader),
        BTreeMap::new(),
        "an ended instance is not listed"
    );
}
