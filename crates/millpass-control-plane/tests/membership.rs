//! Repair with joiners, graceful shutdown and snapshots.

mod harness;

use harness::{TestRouter, World, address, change, seconds, tenant};
use millpass_consensus::MembershipChange;
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, ControlInput, FinalState,
};
use millpass_proto::*;
use rstest::rstest;
use std::collections::BTreeSet;

/// Changes that a member has missed: more than a leader keeps beside its snapshot.
const MISSED: u64 = 1_200;

fn put(id: u64, version: u64) -> AdministrationRequest {
    let id = format!("change-{id}");
    let change = change(ObjectKind::Tenant, "news", version, &id, tenant(1));
    AdministrationRequest::Change(change)
}

/// Makes changes, each of which must be accepted.
fn put_all(world: &mut World, leader: MemberId, versions: std::ops::Range<u64>) {
    for version in versions {
        let response = world.call(leader, put(version, version));
        let Some(AdministrationResponse::Change(ObjectChangeOutcome::Accepted(_))) = response
        else {
            panic!("{response:?}");
        };
    }
}

fn members(list: &[MemberAddress]) -> BTreeSet<MemberId> {
    list.iter().map(|address| address.member).collect()
}

/// Asserts that the number of voters is constant and that one member is replaced at a time.
fn assert_one_at_a_time(world: &World, voters: usize) {
    let memberships = world.audit.memberships();
    for pair in memberships.windows(2) {
        let [old, new] = pair else { unreachable!() };
        assert_eq!(new.voters.len(), voters, "{new:?}");
        let moved = members(&old.voters)
            .symmetric_difference(&members(&new.voters))
            .count();
        assert!(moved <= 2, "{old:?} {new:?}");
        if moved > 0 {
            assert_eq!(
                new.outgoing_voters, old.voters,
                "voters changed without joint consensus"
            );
        }
    }
}

#[rstest]
#[case::with_hello(true, vec![1, 2, 4])]
#[case::without_hello(false, vec![1, 2, 3])]
fn joiner_replaces_a_dead_voter_if_members_send_hellos(
    #[case] hellos: bool,
    #[case] voters: Vec<u64>,
) {
    let mut world = World::new(3);
    world.hellos = hellos;
    let leader = world.elect();
    put_all(&mut world, leader, 0..5);
    world.halt(MemberId(3));
    let leader = world.elect();
    world.boot_joiner(4);
    world.join(&[4], 15);
    assert_eq!(world.voters(leader), voters);
    assert_one_at_a_time(&world, 3);
    if hellos {
        assert_eq!(
            world.state(MemberId(4)).encode(),
            world.state(leader).encode()
        );
    }
}

#[rstest]
fn dead_members_are_replaced_one_at_a_time() {
    let mut world = World::new(5);
    world.elect();
    world.halt(MemberId(4));
    world.halt(MemberId(5));
    let leader = world.elect();
    world.boot_joiner(6);
    world.boot_joiner(7);
    world.join(&[6, 7], 25);
    assert_eq!(world.voters(leader), vec![1, 2, 3, 6, 7]);
    assert_one_at_a_time(&world, 5);
}

#[rstest]
#[case::address(4, 8)]
#[case::zone(8, 4)]
fn joiner_replaces_the_voter_of_its_address_or_zone_first(#[case] listens: u64, #[case] zone: u64) {
    let mut world = World::new(5);
    world.elect();
    // The other dead voter has been unreachable for longer.
    world.halt(MemberId(5));
    world.run(seconds(2));
    world.halt(MemberId(4));
    let leader = world.elect();
    let joiner = MemberAddress {
        member: MemberId(6),
        zone: address(zone).zone,
        ..address(listens)
    };
    let membership = world.members[&leader].plane.consensus_status().membership;
    world.boot(
        joiner.clone(),
        Membership {
            voters: Vec::new(),
            ..membership
        },
    );
    world.run(seconds(6));
    for _ in 0..10 {
        let leader = world.elect();
        world.input(leader, ControlInput::Join(joiner.clone()));
        world.run(seconds(1));
    }
    assert_eq!(world.voters(leader), vec![1, 2, 3, 5, 6]);
}

#[rstest]
#[case::leader_next(true)]
#[case::follower_next(false)]
fn loss_right_after_a_repair_is_repaired(#[case] leader_next: bool) {
    let mut world = World::new(3);
    let leader = world.elect();
    let dead = world.follower(leader);
    world.halt(dead);
    world.boot_joiner(4);
    for _ in 0..20 {
        if !world.voters(leader).contains(&4) {
            world.join(&[4], 1);
        }
    }
    assert!(world.voters(leader).contains(&4));
    let old_voters = [1, 2, 3].map(MemberId);
    let up = world.up();
    let follower = up
        .iter()
        .find(|id| **id != leader && old_voters.contains(id));
    let second = if leader_next {
        leader
    } else {
        *follower.unwrap()
    };
    world.run(Duration::from_millis(100));
    world.halt(second);
    let leader = world.elect();
    put_all(&mut world, leader, 0..3);
    world.boot_joiner(5);
    world.join(&[5], 15);
    let leader = world.elect();
    let voters = world.voters(leader);
    assert!(voters.contains(&4) && voters.contains(&5), "{voters:?}");
    put_all(&mut world, leader, 3..5);
    assert_one_at_a_time(&world, 3);
}

#[rstest]
fn unreachable_learner_is_removed() {
    let mut world = World::new(3);
    let leader = world.elect();
    world.boot_joiner(4);
    world.join(&[4], 3);
    let learners = |world: &World| {
        let status = world.members[&leader].plane.consensus_status();
        members(&status.membership.learners).len()
    };
    assert_eq!(learners(&world), 1);
    world.halt(MemberId(4));
    world.run(seconds(16));
    assert_eq!(learners(&world), 0);
    assert_eq!(world.voters(leader), vec![1, 2, 3]);
}

#[rstest]
fn membership_change_is_refused_while_another_is_pending() {
    let mut world = World::new(3);
    let leader = world.elect();
    let request = |member: u64| {
        AdministrationRequest::ChangeMembership(MembershipChange::AddLearner(address(member)))
    };
    // Partitioned, so that the first change stays pending.
    world.members.get_mut(&leader).unwrap().partitioned = true;
    assert!(world.call(leader, request(8)).is_none());
    let response = world.call(leader, request(9));
    let Some(AdministrationResponse::Refused(reason)) = response else {
        panic!("{response:?}");
    };
    assert!(reason.contains("under way"), "{reason}");
    world.run(seconds(6));
    assert_eq!(
        world.responses.len(),
        2,
        "the first call was not answered in time"
    );
}

#[rstest]
#[case::alone(1, false)]
#[case::nobody_answers(3, true)]
fn drain_answers_pending_calls_and_stops_in_time(#[case] voters: u64, #[case] partitioned: bool) {
    let mut world = World::new(voters);
    let leader = world.elect();
    let mut router = TestRouter::new(&mut world, leader, "r-1", "zone-1");
    router.report(&mut world);
    for (id, member) in &mut world.members {
        member.partitioned = partitioned && *id != leader;
    }
    let is_pending = world.call(leader, put(0, 0)).is_none();
    assert_eq!(is_pending, partitioned);
    world.input(leader, ControlInput::Drain);
    let refused = world.call(leader, put(1, 1));
    if let Some(response) = refused {
        assert!(
            matches!(response, AdministrationResponse::NotLeader { .. }),
            "{response:?}"
        );
    }
    let claim = router.claim("key", "digest", world.unix_millis(), 1);
    router.begin(&mut world, claim);
    assert_eq!(router.claims.len(), 0);
    assert_eq!(
        router.not_leader.len(),
        usize::from(partitioned),
        "claim not refused at once"
    );
    world.run(seconds(6));
    let member = &world.members[&leader];
    assert!(member.stopped);
    assert_eq!(member.plane.final_state(), Some(&FinalState::Drained));
    assert!(
        world.responses.contains_key(&1),
        "the pending call was not answered"
    );
}

#[rstest]
#[case::drained(true)]
#[case::in_service(false)]
fn call_with_an_unsynced_write_is_answered_unknown_in_time(#[case] drained: bool) {
    let mut world = World::new(1);
    let leader = world.elect();
    world.members.get_mut(&leader).unwrap().disk_stuck = true;
    assert!(world.call(leader, put(0, 0)).is_none());
    if drained {
        world.input(leader, ControlInput::Drain);
    }
    world.run(seconds(if drained { 2 } else { 6 }));
    let response = world.last_response();
    assert!(
        matches!(response, Some(AdministrationResponse::Unknown)),
        "{response:?}"
    );
    assert_eq!(world.members[&leader].stopped, drained);
}

#[rstest]
fn draining_follower_stops_at_once_and_the_leader_stays() {
    let mut world = World::new(3);
    let leader = world.elect();
    let follower = world.follower(leader);
    world.input(follower, ControlInput::Drain);
    assert!(world.members[&follower].stopped);
    world.run(seconds(5));
    assert_eq!(world.leader(), Some(leader));
}

#[rstest]
#[case(4)]
#[case(10)]
fn snapshot_is_taken_after_the_configured_number_of_entries(#[case] entries: u64) {
    let mut world = World::with_snapshots(3, entries);
    let leader = world.elect();
    put_all(&mut world, leader, 0..40);
    let applied = world.members[&leader].plane.consensus_status().commit;
    for member in world.members.values() {
        let snapshot = member.snapshot.as_ref().unwrap();
        assert!(applied - snapshot.meta.last.index < entries);
    }
    let taken = world.count_events("snapshot-taken") as u64;
    assert_eq!(taken, 3 * (applied / entries));
}

#[rstest]
#[case::restored(false)]
#[case::undecodable(true)]
fn lagging_member_restores_a_snapshot_or_stops(#[case] corrupt: bool) {
    let mut world = World::with_snapshots(3, 100);
    let leader = world.elect();
    let follower = world.follower(leader);
    world.halt(follower);
    put_all(&mut world, leader, 0..MISSED);
    world.corrupt_snapshots = corrupt;
    world.restart(follower.0);
    world.run(seconds(3));
    let member = &world.members[&follower];
    assert_eq!(member.stopped, corrupt);
    if corrupt {
        let reason = member.plane.final_state();
        assert!(
            matches!(reason, Some(FinalState::StateUnreadable(_))),
            "{reason:?}"
        );
        let events = world.events.len();
        world.input(follower, ControlInput::Drain);
        assert_eq!(world.events.len(), events, "a stopped core ignores inputs");
    } else {
        assert_eq!(world.count_events("state-restored"), 1);
        assert_eq!(world.state(follower).encode(), world.state(leader).encode());
    }
    put_all(&mut world, leader, MISSED..MISSED + 3);
}
