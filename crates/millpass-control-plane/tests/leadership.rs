//! A new or returning leader acts on committed state only, not on soft state of an earlier
//! leadership.

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

fn session_count(world: &mut World, leader: MemberId) -> usize {
    match world.call(leader, AdministrationRequest::Status) {
        Some(AdministrationResponse::Status(status)) => status.routers.len(),
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn new_leader_leads_only_after_applying_acknowledged_entries(#[values(1, 2, 3, 4)] seed: u64) {
    let delayed_network = || Network {
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
    world.network = delayed_network();
    world.call(leader, put(300));
    let answered = (0..1_000).any(|_| {
        world.run(Duration::from_millis(5));
        world.last_response().is_some()
    });
    assert!(answered);
    // The other follower does not receive the commit index.
    world.halt(leader);
    world.network = delayed_network();
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
fn missing_machine_is_counted_anew_in_each_leadership() {
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
    fleet.make_leader(first);
    fleet.rounds(4);
    let known = fleet.state().backend(&BackendName::from("e-1")).unwrap();
    assert_eq!(known.state, BackendState::Live);
}

#[rstest]
fn returning_leader_has_no_sessions_and_sends_orders_at_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let first = fleet.leader;
    fleet.engine("e-1").responds = false;
    let fence = fleet.place().fence;
    // Reaches the maximum backoff.
    fleet.rounds(50);
    fleet.fail_over();
    let before = fleet.sent(fence)[&first];
    fleet.make_leader(first);
    assert_eq!(session_count(&mut fleet.world, first), 0);
    fleet.world.run(Duration::from_millis(200));
    assert!(fleet.sent(fence)[&first] > before);
    fleet.rounds(1);
    assert_eq!(session_count(&mut fleet.world, first), 1);
}

#[rstest]
fn abandon_timeout_restarts_in_each_leadership() {
    let mut fleet = Fleet::small(&["e-1"]);
    let first = fleet.leader;
    let claim = fleet.routers[0].claim("key", "digest", 1_700_000_000_000, 1);
    let Fleet { world, routers, .. } = &mut fleet;
    routers[0].begin(world, claim);
    world.step = Duration::from_millis(50);
    world.run(CLAIM_ABANDON_TIMEOUT - seconds(10));
    fleet.fail_over();
    fleet.rounds(40);
    // The router connects to the leader late.
    fleet.make_leader(first);
    fleet.world.run(seconds(12));
    assert_eq!(fleet.world.count_events("claims-abandoned"), 0);
    assert_eq!(fleet.state().open_claim_runs().count(), 1);
}

#[rstest]
fn call_with_a_replaced_entry_is_not_answered_as_done() {
    let mut world = World::new(3);
    let leader = world.elect();
    let mut router = TestRouter::new(&mut world, leader, "r-1", "zone-1");
    router.report(&mut world);
    world.members.get_mut(&leader).unwrap().partitioned = true;
    assert!(world.call(leader, put(0)).is_none());
    let call = world.responses.len() as u64 + 1;
    let next = world.elect();
    assert!(world.call(next, put(0)).is_some());
    world.members.get_mut(&leader).unwrap().partitioned = false;
    world.run(seconds(6));
    let response = &world.responses[&call];
    let not_done = matches!(
        response,
        AdministrationResponse::Unknown | AdministrationResponse::NotLeader { .. }
    );
    assert!(not_done, "{response:?}");
}
