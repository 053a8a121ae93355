//! Changes are accepted once, reads need the lease, a deposed leader says so.

mod harness;

use harness::{World, change, tenant};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse, ControlInput};
use millpass_proto::*;
use rstest::rstest;

fn accepted(answer: Option<AdministrationResponse>) -> ChangeAccepted {
    match answer {
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
fn change_is_accepted_once_and_a_resend_is_answered_the_same(#[case] members: u64) {
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
    world.members.get_mut(&leader).unwrap().cut = true;
    world.run(Duration::from_millis(850));
    let read = AdministrationRequest::Get(tenant_key("news"));
    let answer = world.call(leader, read);
    assert!(
        matches!(answer, Some(AdministrationResponse::NotLeader { .. })),
        "{answer:?}"
    );
}

#[rstest]
fn follower_names_the_leader() {
    let mut world = World::new(3);
    let leader = world.elect();
    let follower = *world.members.keys().find(|id| **id != leader).unwrap();
    let answer = world.call(follower, AdministrationRequest::Status);
    let Some(AdministrationResponse::NotLeader { leader_address }) = answer else {
        panic!("{answer:?}");
    };
    let expected = harness::address(leader.0).administration_address;
    assert_eq!(leader_address, Some(expected));
}

#[rstest]
fn change_at_a_cut_off_leader_is_answered_unknown_in_time() {
    let mut world = World::new(3);
    let leader = world.elect();
    world.members.get_mut(&leader).unwrap().cut = true;
    let answer = world.call(leader, put("change-1", 0, 1));
    assert!(answer.is_none(), "answered without a quorum: {answer:?}");
    world.run(Duration::from_secs(6));
    let answer = world.last_answer();
    assert!(
        matches!(
            answer,
            Some(AdministrationResponse::Unknown | AdministrationResponse::NotLeader { .. })
        ),
        "{answer:?}"
    );
}

#[rstest]
#[case(1)]
#[case(3)]
fn drain_hands_leadership_over_and_stops(#[case] members: u64) {
    let mut world = World::new(members);
    let leader = world.elect();
    world.give(leader, ControlInput::Drain);
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
