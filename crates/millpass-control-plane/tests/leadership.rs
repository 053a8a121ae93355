//! A member that comes to lead, or leads again, acts on what was committed and on nothing older.

mod harness;

use harness::{Fleet, TestRouter, World, change, network::Network, seconds, tenant};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, CLAIM_ABANDON_TIMEOUT,
};
use millpass_proto::*;
use rstest::rstest;

fn put(version: u64) -> AdministrationRequest {
    let id = format!("change-{version}");
    let change = change(ObjectKind::Tenant, "news", version, &id, tenant(1));
    AdministrationRequest::Change(change)
}

fn routers_known(world: &mut World, leader: MemberId) -> usize {
    match world.call(leader, AdministrationRequest::Status) {
        Some(AdministrationResponse::Status(status)) => status.routers.len(),
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn a_new_leader_is_in_charge_only_once_it_applied_what_was_acknowledged(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let slow = || Network {
        seed,
        delayed: 100,
        ..Network::default()
    };
    let mut world = World::new(3);
    let leader = world.elect();
    let behind = world.follower(leader);
    world.halt(behind);
    for version in 0..300 {
        assert!(world.call(leader, put(version)).is_some());
    }
    world.network = slow();
    world.call(leader, put(300));
    let answered = (0..1_000).any(|_| {
        world.run(Duration::from_millis(5));
        world.last_answer().is_some()
    });
    assert!(answered);
    // The other follower does not learn that it was committed.
    world.halt(leader);
    world.network = slow();
    world.restart(behind.0);
    let mut leading_checks = 0;
    for _ in 0..3_000 {
        world.run(Duration::from_millis(5));
        if let Some(next) = world.leader() {
            leading_checks += 1;
            let revision = world.state(next).configuration_revision();
            assert_eq!(revision, ConfigurationRevision(301));
        }
    }
    assert!(leading_checks > 0);
}

#[rstest]
fn a_machine_missing_in_an_earlier_leadership_is_counted_anew() {
    let mut fleet = Fleet::small(&["e-1", "e-2"]);
    let first = fleet.leader;
    let full = fleet.world.platform.machines.clone();
    let lag = |fleet: &mut Fleet| {
        fleet.world.platform.sequence += 1;
        fleet.world.platform.machines.remove(0);
    };
    lag(&mut fleet);
    fleet.rounds(10);
    fleet.fail_over();
    fleet.world.platform.sequence += 1;
    fleet.world.platform.machines = full;
    fleet.rounds(12);
    lag(&mut fleet);
    fleet.lead(first);
    fleet.rounds(4);
    let known = fleet.state().backend(&BackendName::from("e-1")).unwrap();
    assert_eq!(known.state, BackendState::Live);
}

#[rstest]
fn a_leader_that_returns_knows_no_routers_and_sends_orders_at_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let first = fleet.leader;
    fleet.engine("e-1").answers = false;
    let fence = fleet.place().fence;
    // Long enough for the longest back-off.
    fleet.rounds(50);
    fleet.fail_over();
    let before = fleet.sent(fence)[&first];
    fleet.lead(first);
    assert_eq!(routers_known(&mut fleet.world, first), 0);
    fleet.world.run(Duration::from_millis(200));
    assert!(fleet.sent(fence)[&first] > before);
    fleet.rounds(1);
    assert_eq!(routers_known(&mut fleet.world, first), 1);
}

#[rstest]
fn silence_in_an_earlier_leadership_abandons_nothing() {
    let mut fleet = Fleet::small(&["e-1"]);
    let first = fleet.leader;
    let claim = fleet.routers[0].claim("key", "digest", 1_700_000_000_000, 1);
    let Fleet { world, routers, .. } = &mut fleet;
    routers[0].begin(world, claim);
    world.step = Duration::from_millis(50);
    world.run(CLAIM_ABANDON_TIMEOUT - seconds(10));
    fleet.fail_over();
    fleet.rounds(40);
    // The router finds the leader late.
    fleet.lead(first);
    fleet.world.run(seconds(12));
    assert_eq!(fleet.world.count_events("claims-abandoned"), 0);
    assert_eq!(fleet.state().open_claim_runs().count(), 1);
}

#[rstest]
fn an_entry_that_was_replaced_is_answered_as_not_done() {
    let mut world = World::new(3);
    let leader = world.elect();
    let mut router = TestRouter::new(&mut world, leader, "r-1", "zone-1");
    router.report(&mut world);
    world.members.get_mut(&leader).unwrap().cut = true;
    assert!(world.call(leader, put(0)).is_none());
    let call = world.answers.len() as u64 + 1;
    let next = world.elect();
    assert!(world.call(next, put(0)).is_some());
    world.members.get_mut(&leader).unwrap().cut = false;
    world.run(seconds(6));
    let answer = &world.answers[&call];
    let unknown = matches!(
        answer,
        AdministrationResponse::Unknown | AdministrationResponse::NotLeader { .. }
    );
    assert!(unknown, "{answer:?}");
}
