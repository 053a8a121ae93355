//! Leases, reports out of order, full tables, and routers that missed many changes.

mod harness;

use harness::{Fleet, TestRouter, World, change, seconds, tenant};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ConnectionId, ControlInput,
};
use millpass_proto::*;
use millpass_state::MAXIMUM_TOMBSTONES;
use rstest::rstest;

/// Sessions that a leader keeps.
const SESSIONS: u64 = 2_048;
/// Connections that a member keeps.
const CONNECTIONS: u64 = 4_096;

/// Changes a tenant and gives its new version.
fn change_tenant(world: &mut World, name: &str, version: u64, spec: Option<ObjectSpec>) -> u64 {
    let id = format!("{name}-{version}-{}", spec.is_some());
    let mut change = change(ObjectKind::Tenant, name, version, &id, tenant(1));
    change.spec = spec;
    let leader = world.leader().unwrap();
    let answer = world.call(leader, AdministrationRequest::Change(change));
    match answer {
        Some(AdministrationResponse::Change(ObjectChangeOutcome::Accepted(done))) => done.version,
        other => panic!("{other:?}"),
    }
}

fn report(sequence: u64) -> RouterToControl {
    RouterToControl::Report(RouterReport {
        sequence,
        configuration: ConfigurationRevision(0),
        placement: PlacementRevision(0),
        demand: Vec::new(),
        observations: Vec::new(),
        draining: false,
    })
}

/// Sequences of the updates among the messages.
fn answered(messages: &[ControlToRouter]) -> Vec<u64> {
    let updates = messages.iter().filter_map(|message| match message {
        ControlToRouter::Update(update) => Some(update.sequence),
        _ => None,
    });
    updates.collect()
}

/// Whether the only message says that the member does not lead, naming this address.
fn turned_away(messages: &[ControlToRouter], expected: Option<String>) -> bool {
    let answer = NotLeader {
        leader_address: expected,
    };
    messages == [ControlToRouter::NotLeader(answer)]
}

#[rstest]
fn a_leader_gives_leases_only_while_it_holds_its_own() {
    let mut fleet = Fleet::small(&["e-1"]);
    let update = fleet.routers[0].updates.last().unwrap();
    assert_eq!(update.sequence, fleet.routers[0].sequence);
    assert_eq!(update.lease_millis, 3_000);
    let leader = fleet.leader;
    let connection = fleet.routers[0].connection;
    // Cut off from the other members only: its routers still reach it.
    for (id, member) in &mut fleet.world.members {
        member.cut = *id != leader;
    }
    fleet.world.run(Duration::from_millis(850));
    fleet.world.router_sends(connection, report(1_000));
    let answers = fleet.world.received(connection);
    assert!(turned_away(&answers, None), "{answers:?}");
}

#[rstest]
fn a_deposed_leader_tells_its_routers_at_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let old = fleet.leader;
    fleet.world.members.get_mut(&old).unwrap().frozen = true;
    assert_ne!(fleet.world.elect(), old);
    let connection = fleet.routers[0].connection;
    fleet.world.received(connection);
    fleet.world.thaw(old);
    let answers = fleet.world.received(connection);
    let told = answers
        .iter()
        .any(|answer| matches!(answer, ControlToRouter::NotLeader(_)));
    assert!(told, "{answers:?}");
}

#[rstest]
fn a_follower_names_the_leader_to_routers() {
    let mut world = World::new(3);
    let leader = world.elect();
    let follower = world.follower(leader);
    let router = TestRouter::new(&mut world, follower, "r-1", "zone-1");
    let answers = world.received(router.connection);
    let expected = harness::address(leader.0).peer_address;
    assert!(turned_away(&answers, Some(expected)), "{answers:?}");
}

#[rstest]
fn doubled_and_reordered_reports_are_answered_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let connection = fleet.routers[0].connection;
    for sequence in [50, 50, 49, 1, 51, 50] {
        fleet.world.router_sends(connection, report(sequence));
    }
    assert_eq!(answered(&fleet.world.received(connection)), vec![50, 51]);
}

#[rstest]
#[case::same_run(1)]
#[case::new_run(2)]
fn leftovers_of_an_older_connection_do_nothing(#[case] run: u64) {
    let mut fleet = Fleet::small(&["e-1"]);
    let old = fleet.routers[0].connection;
    let leader = fleet.leader;
    fleet.routers[0].reconnect(&mut fleet.world, leader, run);
    fleet.routers[0].report(&mut fleet.world);
    let watch = fleet.routers[0].updates.last().unwrap().watch.clone();
    assert_eq!(watch.map(|watch| watch.backends.len()), Some(1));
    fleet.world.router_sends(old, report(1_000));
    assert_eq!(fleet.world.received(old), Vec::new());
    let disconnected = ControlInput::RouterDisconnected(old);
    fleet.world.give(leader, disconnected);
    let sequence = fleet.routers[0].sequence + 1;
    fleet.routers[0].report(&mut fleet.world);
    let update = fleet.routers[0].updates.last().unwrap();
    assert_eq!(update.sequence, sequence);
    assert!(update.watch.is_none(), "the share was sent already");
}

#[rstest]
fn a_connection_without_a_greeting_or_of_another_group_is_turned_away() {
    let mut world = World::new(3);
    let leader = world.elect();
    let connection = world.connect(leader);
    world.router_sends(connection, report(1));
    assert!(turned_away(&world.received(connection), None));
    let hello = RouterHello {
        group: GroupId(2),
        router: RouterName::from("r-1"),
        incarnation: Incarnation(1),
        zone: ZoneName::from("zone-1"),
        address: "127.0.0.1:1".to_owned(),
    };
    world.router_sends(connection, RouterToControl::Hello(hello));
    world.router_sends(connection, report(2));
    let answers = world.received(connection);
    assert_eq!(answers.len(), 2);
    assert!(turned_away(&answers[..1], None) && turned_away(&answers[1..], None));
}

#[rstest]
fn a_full_table_turns_routers_away_until_a_lease_ends() {
    let mut world = World::new(1);
    let leader = world.elect();
    for number in 0..SESSIONS {
        let mut router = TestRouter::new(&mut world, leader, &format!("r-{number}"), "zone-1");
        router.report(&mut world);
    }
    let mut late = TestRouter::new(&mut world, leader, "late", "zone-1");
    late.report(&mut world);
    assert_eq!(late.updates.len(), 0);
    assert_eq!(late.not_leader.len(), 1);
    world.run(seconds(4));
    late.report(&mut world);
    assert_eq!(late.updates.len(), 1);
    for number in SESSIONS + 1..CONNECTIONS {
        TestRouter::new(&mut world, leader, &format!("r-{number}"), "zone-1");
    }
    let refused = TestRouter::new(&mut world, leader, "refused", "zone-1");
    assert!(turned_away(&world.received(refused.connection), None));
    world.give(leader, ControlInput::RouterDisconnected(ConnectionId(1)));
    let taken = TestRouter::new(&mut world, leader, "taken", "zone-1");
    assert_eq!(world.received(taken.connection), Vec::new());
}

#[rstest]
#[case::changes_only(300, 0, false)]
#[case::with_removals(300, 100, false)]
#[case::more_removals_than_are_remembered(10, MAXIMUM_TOMBSTONES as u64 + 1, true)]
fn a_router_that_missed_changes_catches_up_with_one_answer(
    #[case] changed: u64,
    #[case] removed: u64,
    #[case] full: bool,
) {
    let mut world = World::new(1);
    let leader = world.elect();
    for number in 0..10 {
        change_tenant(&mut world, &format!("before-{number}"), 0, Some(tenant(1)));
    }
    let mut router = TestRouter::new(&mut world, leader, "r-1", "zone-1");
    router.report(&mut world);
    assert_eq!(router.catalog.len(), 10);
    change_tenant(&mut world, "before-3", 1, None);
    for version in 1..=changed {
        change_tenant(&mut world, "before-4", version, Some(tenant(2)));
    }
    for number in 0..removed {
        let name = format!("brief-{number}");
        let version = change_tenant(&mut world, &name, 0, Some(tenant(1)));
        change_tenant(&mut world, &name, version, None);
    }
    router.reconnect(&mut world, leader, 1);
    router.report(&mut world);
    let delta = router.updates.last().unwrap().configuration.as_ref();
    let delta = delta.unwrap();
    assert_eq!(delta.full, full);
    assert_eq!(delta.objects.len(), if full { 9 } else { 1 });
    let expected = world.state(leader).objects(ObjectKind::Tenant);
    assert!(router.catalog.values().eq(expected));
    router.report(&mut world);
    let update = router.updates.last().unwrap();
    assert_eq!(update.configuration, None, "nothing is new");
}

#[rstest]
fn what_a_deposed_leader_sent_does_not_revert_a_router() {
    let mut fleet = Fleet::small(&["e-1"]);
    change_tenant(&mut fleet.world, "news", 0, Some(tenant(1)));
    let old = fleet.routers[0].connection;
    // The change is news to it; only the answer to its report is held back.
    fleet.routers[0].receive(&mut fleet.world);
    fleet.routers[0].sequence += 1;
    let sequence = fleet.routers[0].sequence;
    fleet.world.router_sends(old, report(sequence));
    let late = fleet.world.received(old);
    fleet.fail_over();
    change_tenant(&mut fleet.world, "news", 1, Some(tenant(2)));
    fleet.rounds(2);
    let router = &mut fleet.routers[0];
    let (revision, catalog) = (router.configuration, router.catalog.clone());
    let [ControlToRouter::Update(late)] = late.as_slice() else {
        panic!("{late:?}");
    };
    assert!(late.configuration.as_ref().unwrap().to < revision);
    router.apply(late.clone());
    assert_eq!(router.ignored.len(), 1);
    assert_eq!(
        (router.configuration, &router.catalog),
        (revision, &catalog)
    );
    let expected = fleet.state().object(&ObjectKey {
        kind: ObjectKind::Tenant,
        name: "news".to_owned(),
    });
    assert_eq!(expected.map(|object| object.version), Some(2));
    assert!(catalog.values().any(|object| Some(object) == expected));
}
