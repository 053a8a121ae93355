//! Runs of one instance over departures and a change of leader.
//!
//! What users would see: a server that leaves, ends and starts again under its id is kept away for good, by the members that
//! remember its departure; or a word of its life before comes late and takes the later one away.

mod harness;

use harness::announced::{gateway_report, instance_record};
use harness::{World, seconds};
use millpass_control_plane::{AdministrationRequest, FleetSettings};
use millpass_proto::*;
use rstest::rstest;
use std::collections::BTreeMap;

const EARLIER: u64 = 1_000;
const LATER: u64 = 2_000;

fn run(incarnation: u64) -> InstanceId {
    InstanceId::of_run("i-1", incarnation)
}

fn announce(incarnation: u64, sequence: u64, draining: bool) -> AdministrationRequest {
    AdministrationRequest::Announce(instance_record(run(incarnation), sequence, draining))
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

/// Runs that a gateway which comes to this member is told of, and whether each drains.
fn told(world: &mut World, leader: MemberId) -> BTreeMap<InstanceId, bool> {
    let connection = world.connect(leader);
    let report = gateway_report(0);
    world.router_sends(connection, RouterToControl::Gateway(report));
    world.run(seconds(1));
    let mut told = BTreeMap::new();
    for message in world.received(connection) {
        if let ControlToRouter::Gateway(update) = message {
            for record in update.instances {
                told.insert(record.instance, record.draining);
            }
            for removed in &update.removed {
                told.remove(removed);
            }
        }
    }
    told
}

#[rstest]
#[case::left(false)]
#[case::ended(true)]
fn a_run_begins_whatever_the_one_before_had_said(
    #[case] ended: bool,
    #[values(false, true)] elects: bool,
) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.call(leader, depart(run(EARLIER), ended));
    world.run(seconds(2));
    if elects {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, announce(LATER, 0, false));
    assert_eq!(
        told(&mut world, leader),
        BTreeMap::from([(run(LATER), false)])
    );
}

#[rstest]
#[case::heartbeat(announce(EARLIER, 901, false))]
#[case::word_that_it_leaves(announce(EARLIER, 901, true))]
#[case::departure(depart(run(EARLIER), true))]
fn a_late_word_of_an_earlier_run_changes_nothing(
    #[case] late: AdministrationRequest,
    #[values(false, true)] elects: bool,
) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.run(seconds(2));
    world.call(leader, announce(LATER, 0, false));
    // The log notes instances once a second.
    world.run(seconds(2));
    if elects {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, late);
    world.run(seconds(1));
    assert_eq!(
        told(&mut world, leader),
        BTreeMap::from([(run(LATER), false)])
    );
}

/// A departure that does not say which run it is of.
#[rstest]
fn a_departure_without_a_run_is_of_the_latest(#[values(false, true)] elects: bool) {
    let (mut world, mut leader) = world();
    world.call(leader, announce(EARLIER, 900, false));
    world.call(leader, announce(LATER, 0, false));
    world.run(seconds(2));
    if elects {
        world.halt(leader);
        leader = world.elect();
    }
    world.call(leader, depart(run(0), true));
    world.run(seconds(1));
    assert_eq!(told(&mut world, leader), BTreeMap::new());
    world.call(leader, announce(LATER, 1, false));
    world.run(seconds(1));
    assert_eq!(told(&mut world, leader), BTreeMap::new(), "it has ended");
}
