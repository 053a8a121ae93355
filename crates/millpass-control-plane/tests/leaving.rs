//! A back end that the platform lists as leaving is marked at once, and before a new leader grants
//! leases.

mod harness;

use harness::router::rounds;
use harness::{TestRouter, World};
use millpass_proto::*;

/// Interval at which a leader reads the list.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
const SHORT_WAIT: Duration = Duration::from_millis(20);

fn engine() -> BackendName {
    BackendName::from("engine-1")
}

fn state_of_engine(world: &World, member: MemberId) -> BackendState {
    let backend = world.state(member).backend(&engine());
    backend.expect("engine is registered").state
}

fn list_as_leaving(world: &mut World) {
    world.platform.sequence += 1;
    world.platform.machines[0].state = BackendState::Leaving;
}

/// Creates a group of three with a router and a registered engine.
fn with_engine() -> (World, MemberId, TestRouter) {
    let mut world = World::new(3);
    let leader = world.elect();
    world.add_engine("engine-1", "zone-1");
    let mut routers = [TestRouter::new(&mut world, leader, "router-1", "zone-1")];
    rounds(&mut world, &mut routers, 6);
    let [router] = routers;
    (world, leader, router)
}

#[test]
fn leaving_engine_is_marked_when_the_list_is_read() {
    let (mut world, leader, _router) = with_engine();
    assert_eq!(state_of_engine(&world, leader), BackendState::Live);
    list_as_leaving(&mut world);
    world.run(READ_INTERVAL + SHORT_WAIT);
    assert_eq!(state_of_engine(&world, leader), BackendState::Leaving);
}

#[test]
fn new_leader_marks_leaving_back_ends_before_granting_leases() {
    let (mut world, old, mut router) = with_engine();
    world.members.get_mut(&old).unwrap().up = false;
    list_as_leaving(&mut world);
    let new = world.elect();
    router.reconnect(&mut world, new, 1);
    router.updates.clear();
    for _ in 0..100 {
        router.report(&mut world);
        if !router.updates.is_empty() {
            break;
        }
        world.run(Duration::from_millis(5));
    }
    assert_eq!(router.updates.len(), 1);
    assert_eq!(state_of_engine(&world, new), BackendState::Leaving);
}

#[test]
fn new_incarnation_on_a_leaving_machine_is_never_live() {
    let (mut world, leader, mut router) = with_engine();
    list_as_leaving(&mut world);
    world.run(READ_INTERVAL + SHORT_WAIT);
    let restarted = world.engines.get_mut(&engine()).unwrap();
    restarted.incarnation = Incarnation(2);
    for _ in 0..100 {
        router.report(&mut world);
        assert_ne!(state_of_engine(&world, leader), BackendState::Live);
        world.run(SHORT_WAIT);
    }
    assert_eq!(state_of_engine(&world, leader), BackendState::Gone);
}

#[test]
fn without_the_list_leases_are_granted_after_a_bounded_wait() {
    let (mut world, old, mut router) = with_engine();
    world.platform_is_down = true;
    world.members.get_mut(&old).unwrap().up = false;
    let new = world.elect();
    router.reconnect(&mut world, new, 1);
    router.updates.clear();
    router.report(&mut world);
    assert_eq!(router.updates.len(), 0);
    world.run(Duration::from_millis(600));
    router.report(&mut world);
    assert_eq!(router.updates.len(), 1);
}
