//! Deterministic scenarios of elections, leases, transfers, membership changes and snapshots.

mod harness;

use harness::checks::Rule;
use harness::cluster::{BrokenRule, CALM, Cluster, MILLISECOND};
use harness::faults::{FaultPlan, Repair};
use harness::values::{DRIFT_BOUND_PER_MILLE, address, command};
use millpass_consensus::{ConsensusInput, MembershipChange, Role};
use millpass_proto::{GroupId, MemberId, PeerEnvelope, PeerMessage, VoteRequest};
use rstest::rstest;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000 * MILLISECOND;

/// Starts a group whose leader has committed an entry.
fn started(seed: u64, voters: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, voters, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    cluster
}

/// Moves leadership to a machine.
fn move_leadership_to(cluster: &mut Cluster, machine: usize) {
    for _ in 0..50 {
        if cluster.leader() == Some(machine) && cluster.machines[machine].holds_lease(cluster.now) {
            return;
        }
        cluster.transfer(cluster.machines[machine].member);
        cluster.run(100 * MILLISECOND);
    }
    panic!("machine {machine} did not become leader");
}

fn isolate(cluster: &mut Cluster, machine: usize) {
    cluster.partition(&BTreeSet::from([machine]));
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[case::five(5)]
fn a_group_elects_a_leader_and_commits(#[case] voters: u64) {
    let mut cluster = started(1, voters);
    cluster.settle();
    cluster.assert_clean(1);
    assert_eq!(cluster.checks.elections(), 1);
}

#[test]
fn a_healthy_group_keeps_its_leader_and_lease() {
    let mut cluster = started(2, 5);
    let leader = cluster.leader().expect("leader");
    for _ in 0..200 {
        cluster.run(25 * MILLISECOND);
        assert!(cluster.machines[leader].holds_lease(cluster.now));
    }
    assert_eq!(cluster.checks.elections(), 1);
}

#[test]
fn the_group_makes_progress_after_its_leader_crashed() {
    let mut cluster = started(3, 5);
    let leader = cluster.leader().expect("leader");
    cluster.crash(leader);
    assert!(cluster.propose_until_acknowledged(2 * SECOND));
    cluster.settle();
    cluster.assert_clean(3);
}

#[test]
fn a_leader_without_a_quorum_loses_the_lease_and_steps_down() {
    let mut cluster = started(4, 5);
    let leader = cluster.leader().expect("leader");
    isolate(&mut cluster, leader);
    cluster.run(90 * MILLISECOND);
    assert!(!cluster.machines[leader].holds_lease(cluster.now));
    cluster.run(40 * MILLISECOND);
    assert!(!cluster.machines[leader].leads());
    assert!(cluster.propose_until_acknowledged(2 * SECOND));
    cluster.settle();
    cluster.assert_clean(4);
}

#[test]
fn a_leader_resumed_after_a_pause_holds_no_lease_and_commits_nothing() {
    let mut cluster = started(5, 5);
    let leader = cluster.leader().expect("leader");
    cluster.freeze(leader);
    cluster.run(60 * SECOND);
    assert!(!cluster.machines[leader].holds_lease(cluster.now));
    assert!(cluster.propose_until_acknowledged(SECOND));
    let applied = cluster.machines[leader].applied;
    cluster.wake(leader);
    assert!(!cluster.machines[leader].leads());
    assert!(cluster.machines[leader].applied >= applied);
    cluster.settle();
    cluster.assert_clean(5);
}

/// An isolated leader with a slow clock loses its lease before members with fast clocks elect another.
/// Beyond the drift bound the check must report a violation.
#[rstest]
#[case::within_the_bound(DRIFT_BOUND_PER_MILLE, false)]
#[case::beyond_the_bound(4 * DRIFT_BOUND_PER_MILLE, true)]
fn leases_do_not_overlap_within_the_drift_bound(#[case] drift: i64, #[case] breach: bool) {
    let mut seen = false;
    for seed in 0..40 {
        let mut cluster = started(seed, 5);
        cluster.restart_with_clock(0, -drift);
        (1..5).for_each(|machine| cluster.restart_with_clock(machine, drift));
        cluster.run(SECOND);
        move_leadership_to(&mut cluster, 0);
        let before = cluster.now + seed * MILLISECOND;
        cluster.run(before - cluster.now);
        isolate(&mut cluster, 0);
        for _ in 0..100 {
            cluster.propose();
            cluster.run(3 * MILLISECOND);
        }
        assert!(cluster.checks.elections() > 1);
        seen |=
            cluster.checks.has(Rule::LeaseExclusive) && cluster.checks.has(Rule::LeaseReadsFresh);
    }
    assert_eq!(seen, breach);
}

/// All followers restart at once while the leader is isolated.
#[rstest]
#[case::promise_kept(BrokenRule::None, false)]
#[case::promise_forgotten(BrokenRule::ForgottenPromise, true)]
fn a_restarted_member_keeps_its_vote_promise(#[case] broken: BrokenRule, #[case] breach: bool) {
    let mut seen = false;
    for seed in 0..40 {
        let mut cluster = Cluster::with_broken_rule(seed, 5, CALM, broken);
        assert!(cluster.propose_until_acknowledged(2 * SECOND));
        let leader = cluster.leader().expect("leader");
        isolate(&mut cluster, leader);
        for machine in (0..5).filter(|machine| *machine != leader) {
            cluster.crash(machine);
            cluster.start(machine);
        }
        cluster.run(SECOND);
        assert!(cluster.checks.elections() > 1);
        seen |= cluster.checks.has(Rule::LeaseExclusive);
    }
    assert_eq!(seen, breach);
}

#[test]
fn a_member_rejoining_after_isolation_does_not_depose_the_leader() {
    let mut cluster = started(7, 5);
    let leader = cluster.leader().expect("leader");
    let isolated = (leader + 1) % 5;
    isolate(&mut cluster, isolated);
    cluster.run(5 * SECOND);
    cluster.severed_links.clear();
    cluster.run(SECOND);
    assert_eq!(cluster.checks.elections(), 1);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn a_member_without_inbound_messages_does_not_depose_the_leader() {
    let mut cluster = started(8, 5);
    let leader = cluster.leader().expect("leader");
    let unreachable = (leader + 2) % 5;
    (0..5).for_each(|from| {
        cluster.severed_links.insert((from, unreachable));
    });
    cluster.run(5 * SECOND);
    assert_eq!(cluster.checks.elections(), 1);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn a_removed_member_does_not_depose_the_leader() {
    let mut cluster = started(9, 5);
    let leader = cluster.leader().expect("leader");
    let removed = (leader + 1) % 5;
    cluster.change(MembershipChange::Remove(cluster.machines[removed].member));
    cluster.run(5 * SECOND);
    let membership = cluster.membership().expect("leader");
    assert_eq!(membership.voters.len(), 4);
    assert!(membership.outgoing_voters.is_empty());
    assert_eq!(cluster.checks.elections(), 1);
    assert!(cluster.propose_until_acknowledged(SECOND));
}

#[test]
fn a_leader_that_removes_itself_is_replaced_immediately() {
    let mut cluster = started(10, 5);
    let leader = cluster.leader().expect("leader");
    cluster.change(MembershipChange::Remove(cluster.machines[leader].member));
    let replaced = |cluster: &Cluster| {
        let now_leads = cluster.leader();
        now_leads.is_some_and(|new| new != leader && cluster.machines[new].holds_lease(cluster.now))
    };
    assert!(cluster.run_until(80 * MILLISECOND, replaced));
    cluster.settle();
    cluster.assert_clean(10);
}

#[test]
fn leadership_transfer_is_faster_than_an_election_timeout() {
    let mut cluster = started(11, 5);
    let leader = cluster.leader().expect("leader");
    let target = (leader + 1) % 5;
    cluster.transfer(cluster.machines[target].member);
    assert!(
        !cluster.machines[leader].holds_lease(cluster.now),
        "the lease must be forfeited"
    );
    let taken = |cluster: &Cluster| cluster.machines[target].holds_lease(cluster.now);
    assert!(cluster.run_until(50 * MILLISECOND, taken));
    cluster.settle();
    cluster.assert_clean(11);
}

/// If `TimeoutNow` is lost, the lease stays forfeited for the term.
#[test]
fn a_lost_leadership_transfer_does_not_restore_the_lease_in_its_term() {
    let mut cluster = started(12, 3);
    let leader = cluster.leader().expect("leader");
    let target = (leader + 1) % 3;
    cluster.severed_links.insert((leader, target));
    cluster.transfer(cluster.machines[target].member);
    let term = cluster.machines[leader].status().expect("runs").term;
    for _ in 0..100 {
        cluster.run(5 * MILLISECOND);
        let status = cluster.machines[leader].status().expect("runs");
        assert!(status.term > term || !cluster.machines[leader].holds_lease(cluster.now));
    }
    cluster.settle();
    cluster.assert_clean(12);
}

#[test]
fn proposals_are_rejected_by_followers_and_during_leadership_transfer() {
    let mut cluster = started(13, 3);
    let leader = cluster.leader().expect("leader");
    let target = (leader + 1) % 3;
    cluster.severed_links.insert((leader, target));
    cluster.transfer(cluster.machines[target].member);
    cluster.propose();
    let follower_command = command(99);
    let input = ConsensusInput::Propose {
        ticket: 99,
        command: follower_command,
    };
    cluster.input(target, input);
    let refusals = cluster.refusals.join("; ");
    assert!(refusals.contains("being handed over"), "{refusals}");
    assert!(refusals.contains("does not lead"), "{refusals}");
}

/// A lagging member receives a snapshot in several chunks over a lossy network.
#[test]
fn a_lagging_member_catches_up_by_snapshot() {
    let mut cluster = started(14, 3);
    let leader = cluster.leader().expect("leader");
    let lagging = (leader + 1) % 3;
    isolate(&mut cluster, lagging);
    for _ in 0..60 {
        cluster.propose();
        cluster.run(10 * MILLISECOND);
    }
    cluster.snapshot(leader);
    cluster.severed_links.clear();
    cluster.conditions.loss_per_mille = 200;
    let caught_up = |cluster: &Cluster| {
        cluster.machines[lagging].disk.snapshot.is_some()
            && cluster.machines[lagging].applied >= cluster.checks.acknowledged
    };
    // Lost requests whose entries were compacted must not block progress.
    assert!(cluster.run_until(2 * SECOND, caught_up));
    cluster.settle();
    cluster.assert_clean(14);
}

#[test]
fn a_learner_is_promoted_only_when_caught_up_and_alive() {
    let mut cluster = started(15, 5);
    for _ in 0..200 {
        cluster.propose();
        cluster.run(2 * MILLISECOND);
    }
    let lost = (cluster.leader().expect("leader") + 1) % 5;
    let old = cluster.lose_disk(lost);
    let joining = cluster.machines[lost].member;
    cluster.crash(lost);
    let promote = MembershipChange::Promote {
        learner: joining,
        replaces: Some(old),
    };
    cluster.change(promote.clone());
    cluster.change(MembershipChange::AddLearner(address(joining)));
    cluster.run(SECOND);
    cluster.change(promote.clone());
    let refusals = cluster.refusals.join("; ");
    assert!(
        refusals.contains("not a learner") || refusals.contains("not a member"),
        "{refusals}"
    );
    assert!(refusals.contains("does not answer"), "{refusals}");
    cluster.start(lost);
    cluster.run(SECOND);
    cluster.change(promote);
    cluster.run(SECOND);
    let membership = cluster.membership().expect("leader");
    let voters: Vec<MemberId> = membership.voters.iter().map(|voter| voter.member).collect();
    assert!(
        voters.contains(&joining) && !voters.contains(&old),
        "{voters:?}"
    );
    assert_eq!(voters.len(), 5);
    cluster.settle();
    cluster.assert_clean(15);
}

#[test]
fn a_second_membership_change_is_rejected_while_one_is_in_progress() {
    let mut cluster = started(16, 3);
    cluster.change(MembershipChange::AddLearner(address(MemberId(50))));
    cluster.change(MembershipChange::AddLearner(address(MemberId(51))));
    assert!(cluster.refusals.join("; ").contains("under way"));
}

/// Consecutive disk losses, each directly after the previous repair, keep five synced copies.
#[test]
fn consecutive_losses_and_repairs_lose_no_data() {
    for seed in 20..40 {
        let mut cluster = started(seed, 5);
        for round in 0..4 {
            cluster.propose_until_acknowledged(SECOND);
            let hit = match round % 2 {
                0 => cluster.leader().expect("leader"),
                _ => round as usize,
            };
            let lost = cluster.lose_disk(hit);
            let joining = cluster.machines[hit].member;
            let mut plan = FaultPlan {
                repair: Some(Repair { lost, joining }),
                ..FaultPlan::default()
            };
            for _ in 0..300 {
                if plan.repair.is_none() {
                    break;
                }
                cluster.propose();
                plan.advance_repair(&mut cluster);
                cluster.run(10 * MILLISECOND);
            }
            assert_eq!(plan.repaired, 1, "seed {seed}, round {round}");
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
}

/// Messages for another group or member and requests from non-members are ignored.
#[rstest]
#[case::other_group(GroupId(99), 0, 0)]
#[case::other_member(harness::values::GROUP, 0, 77)]
#[case::non_member(harness::values::GROUP, 88, 0)]
fn misaddressed_messages_are_ignored(#[case] group: GroupId, #[case] from: u64, #[case] to: u64) {
    let mut cluster = started(17, 3);
    cluster.run(200 * MILLISECOND);
    let leader = cluster.leader().expect("leader");
    let before = cluster.machines[leader].status().expect("runs");
    let own = cluster.machines[leader].member;
    let other = cluster.machines[(leader + 1) % 3].member;
    let request = VoteRequest {
        last: millpass_proto::LogPosition {
            term: 1_000,
            index: 1_000,
        },
        leadership_transfer: false,
    };
    let response = millpass_proto::AppendResponse {
        accepted: false,
        match_index: 0,
        sequence: 1,
    };
    for message in [
        PeerMessage::VoteRequest(request.clone()),
        PeerMessage::PreVoteRequest(request),
        PeerMessage::AppendResponse(response),
    ] {
        let envelope = PeerEnvelope {
            group,
            from: if from == 0 { other } else { MemberId(from) },
            to: if to == 0 { own } else { MemberId(to) },
            term: 1_000,
            message,
        };
        cluster.input(leader, ConsensusInput::Receive(envelope));
    }
    let after = cluster.machines[leader].status().expect("runs");
    assert_eq!((after.role, after.term), (Role::Leader, before.term));
    cluster.run(SECOND);
    assert_eq!(cluster.checks.elections(), 1);
}

/// A member with a stalled disk acknowledges heartbeats but no entries.
#[test]
fn members_with_stalled_disks_do_not_count_for_commits() {
    let mut cluster = started(18, 3);
    cluster.run(200 * MILLISECOND);
    cluster.conditions.sync_micros = (1_000 * SECOND, 1_000 * SECOND);
    let applied = cluster.checks.acknowledged;
    cluster.propose();
    cluster.run(SECOND);
    assert_eq!(cluster.checks.acknowledged, applied);
    assert!(cluster.leader().is_some(), "heartbeats must continue");
    cluster.assert_clean(18);
}
