//! Administration calls: idempotent changes, reads under the lease, redirects and graceful
//! shutdown.

mod harness;

use harness::{World, change, tenant};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse, ControlInput};
use millpass_proto::*;
use rstest::rstest;

fn accepted(response: Option<AdministrationResponse>) -> ChangeAccepted {
    match response {
        Some(AdministrationResponse::Change(ObjectChangeOutcome::Accepted(accepted))) => accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

fn tenant_key(name: &str) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Tenant,
        name: name.to_owned(),
    }
}

fn put(id: &str, version: u64, weight: u32) -> AdministrationRequest {
    let change = change(ObjectKind::Tenant, "news", version, id, tenant(weight));
    AdministrationRequest::Change(change)
}

#[rstest]
#[case(1)]
#[case(3)]
fn resent_change_is_applied_once_with_the_same_response(#[case] members: u64) {
    let mut world = World::new(members);
    let leader = world.elect();
    let first = accepted(world.call(leader, put("change-1", 0, 1)));
    let again = accepted(world.call(leader, put("change-1", 0, 1)));
    assert_eq!(first, again);
    assert_eq!(first.version, 1);
    let other = world.call(leader, put("change-2", 0, 2));
    assert!(
        matches!(
            other,
            Some(AdministrationResponse::Change(
                ObjectChangeOutcome::VersionConflict(VersionConflict { current_version: 1 })
            ))
        ),
        "{other:?}"
    );
}

#[rstest]
fn accepted_change_survives_a_restart_of_every_member() {
    let mut world = World::with_snapshots(3, 3);
    let leader = world.elect();
    for version in 0..8 {
        let id = format!("change-{version}");
        accepted(world.call(leader, put(&id, version, 1)));
    }
    world.run(Duration::from_millis(500));
    for member in 1..=3 {
        world.restart(member);
    }
    let leader = world.elect();
    let object = world.state(leader).object(&tenant_key("news"));
    assert_eq!(object.map(|object| object.version), Some(8));
    assert!(world.count_events("snapshot-taken") > 0);
}

#[rstest]
fn reads_are_refused_without_the_lease() {
    let mut world = World::new(3);
    let leader = world.elect();
    world.members.get_mut(&leader).unwrap().partitioned = true;
    world.run(Duration::from_millis(850));
    let read = AdministrationRequest::Get(tenant_key("news"));
    let response = world.call(leader, read);
    assert!(
        matches!(response, Some(AdministrationResponse::NotLeader { .. })),
        "{response:?}"
    );
}

#[rstest]
fn follower_redirects_to_the_leader() {
    let mut world = World::new(3);
    let leader = world.elect();
    let follower = *world.members.keys().find(|id| **id != leader).unwrap();
    let response = world.call(follower, AdministrationRequest::Status);
    let Some(AdministrationResponse::NotLeader { leader_address }) = response else {
        panic!("{response:?}");
    };
    let expected = harness::address(leader.0).administration_address;
    assert_eq!(leader_address, Some(expected));
}

#[rstest]
fn change_at_a_partitioned_leader_is_answered_in_time() {
    let mut world = World::new(3);
    let leader = world.elect();
    world.members.get_mut(&leader).unwrap().partitioned = true;
    let response = world.call(leader, put("change-1", 0, 1));
    assert!(
        response.is_none(),
        "answered without a quorum: {response:?}"
    );
    world.run(Duration::from_secs(6));
    let response = world.last_response();
    assert!(
        matches!(
            response,
            Some(AdministrationResponse::Unknown | AdministrationResponse::NotLeader { .. })
        ),
        "{response:?}"
    );
}

#[rstest]
#[case(1)]
#[case(3)]
fn drain_transfers_leadership_and_stops(#[case] members: u64) {
    let mut world = World::new(members);
    let leader = world.elect();
    world.input(leader, ControlInput::Drain);
    world.run(Duration::from_secs(2));
    assert!(world.members[&leader].stopped);
    world.members.get_mut(&leader).unwrap().up = false;
    if members > 1 {
        let term = world.members[&leader].plane.consensus_status().term;
        let next = world.elect();
        assert_ne!(next, leader);
        let status = world.members[&next].plane.consensus_status();
        assert!(status.term <= term + 1, "more than one election");
    }
}
