//! Leases, reordered reports, full tables, and routers that missed many changes.

mod harness;

use harness::{Fleet, TestRouter, World, change, seconds, tenant};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ConnectionId, ControlInput,
};
use millpass_proto::*;
use millpass_state::MAXIMUM_TOMBSTONES;
use rstest::rstest;

/// Maximum number of sessions of a leader.
const SESSIONS: u64 = 2_048;
/// Maximum number of connections of a member.
const CONNECTIONS: u64 = 4_096;

/// Changes a tenant and returns its new version.
fn change_tenant(world: &mut World, name: &str, version: u64, spec: Option<ObjectSpec>) -> u64 {
    let id = format!("{name}-{version}-{}", spec.is_some());
    let mut change = change(ObjectKind::Tenant, name, version, &id, tenant(1));
    change.spec = spec;
    let leader = world.leader().unwrap();
    let response = world.call(leader, AdministrationRequest::Change(change));
    match response {
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

/// Returns the sequence numbers of the updates among the messages.
fn update_sequences(messages: &[ControlToRouter]) -> Vec<u64> {
    let updates = messages.iter().filter_map(|message| match message {
        ControlToRouter::Update(update) => Some(update.sequence),
        _ => None,
    });
    updates.collect()
}

/// Returns true if the only message is a redirect to this address.
fn is_redirect(messages: &[ControlToRouter], expected: Option<String>) -> bool {
    let response = NotLeader {
        leader_address: expected,
    };
    messages == [ControlToRouter::NotLeader(response)]
}

#[rstest]
fn leader_grants_leases_only_under_its_own_lease() {
    let mut fleet = Fleet::small(&["e-1"]);
    let update = fleet.routers[0].updates.last().unwrap();
    assert_eq!(update.sequence, fleet.routers[0].sequence);
    assert_eq!(update.lease_millis, 3_000);
    let leader = fleet.leader;
    let connection = fleet.routers[0].connection;
    // Partitioned from the other members only; its routers can still reach it.
    for (id, member) in &mut fleet.world.members {
        member.partitioned = *id != leader;
    }
    fleet.world.run(Duration::from_millis(850));
    fleet.world.router_sends(connection, report(1_000));
    let messages = fleet.world.take_received(connection);
    assert!(is_redirect(&messages, None), "{messages:?}");
}

#[rstest]
fn deposed_leader_redirects_its_routers_at_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let old = fleet.leader;
    fleet.world.members.get_mut(&old).unwrap().frozen = true;
    assert_ne!(fleet.world.elect(), old);
    let connection = fleet.routers[0].connection;
    fleet.world.take_received(connection);
    fleet.world.resume(old);
    let messages = fleet.world.take_received(connection);
    let redirected = messages
        .iter()
        .any(|response| matches!(response, ControlToRouter::NotLeader(_)));
    assert!(redirected, "{messages:?}");
}

#[rstest]
fn follower_redirects_routers_to_the_leader() {
    let mut world = World::new(3);
    let leader = world.elect();
    let follower = world.follower(leader);
    let router = TestRouter::new(&mut world, follower, "r-1", "zone-1");
    let messages = world.take_received(router.connection);
    let expected = harness::address(leader.0).peer_address;
    assert!(is_redirect(&messages, Some(expected)), "{messages:?}");
}

#[rstest]
fn duplicate_and_reordered_reports_are_answered_once() {
    let mut fleet = Fleet::small(&["e-1"]);
    let connection = fleet.routers[0].connection;
    for sequence in [50, 50, 49, 1, 51, 50] {
        fleet.world.router_sends(connection, report(sequence));
    }
    assert_eq!(
        update_sequences(&fleet.world.take_received(connection)),
        vec![50, 51]
    );
}

#[rstest]
#[case::same_run(1)]
#[case::new_run(2)]
fn messages_of_an_older_connection_are_ignored(#[case] run: u64) {
    let mut fleet = Fleet::small(&["e-1"]);
    let old = fleet.routers[0].connection;
    let leader = fleet.leader;
    fleet.routers[0].reconnect(&mut fleet.world, leader, run);
    fleet.routers[0].report(&mut fleet.world);
    let watch = fleet.routers[0].updates.last().unwrap().watch.clone();
    assert_eq!(watch.map(|watch| watch.backends.len()), Some(1));
    fleet.world.router_sends(old, report(1_000));
    assert_eq!(fleet.world.take_received(old), Vec::new());
    let disconnected = ControlInput::RouterDisconnected(old);
    fleet.world.input(leader, disconnected);
    let sequence = fleet.routers[0].sequence + 1;
    fleet.routers[0].report(&mut fleet.world);
    let update = fleet.routers[0].updates.last().unwrap();
    assert_eq!(update.sequence, sequence);
    assert!(update.watch.is_none(), "the assignment was already sent");
}

#[rstest]
fn connection_without_hello_or_of_another_group_is_rejected() {
    let mut world = World::new(3);
    let leader = world.elect();
    let connection = world.connect(leader);
    world.router_sends(connection, report(1));
    assert!(is_redirect(&world.take_received(connection), None));
    let hello = RouterHello {
        group: GroupId(2),
        router: RouterName::from("r-1"),
        incarnation: Incarnation(1),
        zone: ZoneName::from("zone-1"),
        address: "127.0.0.1:1".to_owned(),
    };
    world.router_sends(connection, RouterToControl::Hello(hello));
    world.router_sends(connection, report(2));
    let messages = world.take_received(connection);
    assert_eq!(messages.len(), 2);
    assert!(is_redirect(&messages[..1], None) && is_redirect(&messages[1..], None));
}

#[rstest]
fn full_table_rejects_routers_until_a_lease_expires() {
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
    assert!(is_redirect(&world.take_received(refused.connection), None));
    world.input(leader, ControlInput::RouterDisconnected(ConnectionId(1)));
    let taken = TestRouter::new(&mut world, leader, "taken", "zone-1");
    assert_eq!(world.take_received(taken.connection), Vec::new());
}

#[rstest]
#[case::changes_only(300, 0, false)]
#[case::with_removals(300, 100, false)]
#[case::more_removals_than_are_remembered(10, MAXIMUM_TOMBSTONES as u64 + 1, true)]
fn router_that_missed_changes_catches_up_with_one_update(
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
    assert_eq!(
        update.configuration, None,
        "nothing changed since the last update"
    );
}

#[rstest]
fn update_of_a_deposed_leader_does_not_revert_a_router() {
    let mut fleet = Fleet::small(&["e-1"]);
    change_tenant(&mut fleet.world, "news", 0, Some(tenant(1)));
    let old = fleet.routers[0].connection;
    // Only the update is delayed; the notification has arrived.
    fleet.routers[0].receive(&mut fleet.world);
    fleet.routers[0].sequence += 1;
    let sequence = fleet.routers[0].sequence;
    fleet.world.router_sends(old, report(sequence));
    let late = fleet.world.take_received(old);
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
