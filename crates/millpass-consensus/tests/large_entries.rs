//! Entries of very different sizes: requests and windows are bounded in bytes, slow paths carry large
//! entries, and lagging members catch up.

mod harness;

use harness::cluster::{CALM, Cluster, MILLISECOND};
use harness::faults::FaultPlan;
use harness::values::{MAXIMUM_APPEND_BYTES, MAXIMUM_UNCOMMITTED_BYTES};
use millpass_proto::codec::MAXIMUM_ENTRY_BYTES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000 * MILLISECOND;

fn started(seed: u64, voters: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, voters, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    cluster
}

fn followers(cluster: &Cluster) -> Vec<usize> {
    let leader = cluster.leader();
    let machines = 0..cluster.machines.len();
    machines.filter(|number| Some(*number) != leader).collect()
}

/// Guards against requests bounded only in the number of their entries, which fit no frame.
#[rstest]
#[case::small(200)]
#[case::medium(1_500)]
#[case::at_the_bound(MAXIMUM_APPEND_BYTES - 200)]
#[case::large(3 * MAXIMUM_APPEND_BYTES)]
fn requests_to_a_lagging_member_are_bounded_in_bytes(#[case] bytes: usize) {
    let mut cluster = started(1, 3);
    let lagging = followers(&cluster)[0];
    cluster.crash(lagging);
    for _ in 0..40 {
        cluster.propose_sized(bytes);
        cluster.run(5 * MILLISECOND);
    }
    cluster.start(lagging);
    cluster.settle();
    cluster.assert_clean(1);
    assert!(
        cluster.sent.largest_batch <= MAXIMUM_APPEND_BYTES,
        "{:?}",
        cluster.sent
    );
}

/// Guards against a leader that loses its lease, or sends a large entry again before it has arrived,
/// while a slow path carries it: nothing would ever be committed.
#[test]
fn a_large_entry_is_committed_over_a_slow_path() {
    let mut cluster = started(2, 3);
    let followers = followers(&cluster);
    cluster.crash(followers[0]);
    cluster.bytes_per_second = Some(40_000);
    let elections = cluster.checks.elections();
    let ticket = cluster.propose_sized(10 * MAXIMUM_APPEND_BYTES);
    let is_acknowledged = |cluster: &Cluster| cluster.acknowledged_tickets.contains(&ticket);
    assert!(
        cluster.run_until(3 * SECOND, is_acknowledged),
        "{:?}",
        cluster.sent
    );
    assert_eq!(cluster.checks.elections(), elections);
    cluster.bytes_per_second = None;
    cluster.settle();
    cluster.assert_clean(2);
}

/// Guards against a slow path on which a lagging member is sent the same large entry without end.
#[test]
fn a_lagging_member_catches_up_over_a_slow_path() {
    let mut cluster = started(3, 3);
    let lagging = followers(&cluster)[0];
    cluster.crash(lagging);
    cluster.machines[lagging].trailing_entries = 100;
    for _ in 0..5 {
        cluster.propose_sized(10 * MAXIMUM_APPEND_BYTES);
        cluster.run(50 * MILLISECOND);
    }
    cluster.bytes_per_second = Some(100_000);
    cluster.sent.large_requests = 0;
    cluster.start(lagging);
    let applied = cluster.checks.acknowledged;
    let has_caught_up = |cluster: &Cluster| cluster.machines[lagging].applied >= applied;
    assert!(
        cluster.run_until(10 * SECOND, has_caught_up),
        "{:?}",
        cluster.sent
    );
    assert!(cluster.sent.large_requests <= 20, "{:?}", cluster.sent);
    cluster.bytes_per_second = None;
    cluster.settle();
    cluster.assert_clean(3);
}

/// Guards against an entry that fits no frame: it would be built and refused for ever.
#[test]
fn an_entry_too_large_to_send_is_refused_and_the_group_goes_on() {
    let mut cluster = started(4, 3);
    cluster.propose_sized(MAXIMUM_ENTRY_BYTES + 1);
    let refusal = cluster.refusals.last().expect("a refusal");
    assert!(refusal.contains("submit a smaller one"), "{refusal}");
    cluster.settle();
    cluster.assert_clean(4);
}

/// Guards against a leader without a quorum that takes changes without a bound on their bytes.
#[test]
fn uncommitted_entries_are_bounded_in_bytes() {
    let mut cluster = started(5, 3);
    let leader = cluster.leader().expect("leader");
    cluster.partition(&BTreeSet::from([leader]));
    let bytes = 2 * MAXIMUM_APPEND_BYTES;
    let admitted = MAXIMUM_UNCOMMITTED_BYTES / bytes;
    for _ in 0..2 * admitted {
        cluster.propose_sized(bytes);
    }
    assert!(
        cluster.refusals.len() >= admitted - 1,
        "{} refused",
        cluster.refusals.len()
    );
    cluster.settle();
    cluster.assert_clean(5);
}

/// Guards against a member that never catches up by snapshot because the next entries are compacted
/// before it is installed, and against logs bounded only in number.
#[rstest]
fn a_member_catches_up_by_snapshot_while_large_entries_are_committed(
    #[values(0, 1, 2, 3)] seed: u64,
) {
    let mut cluster = started(seed, 3);
    let lagging = followers(&cluster)[0];
    cluster.crash(lagging);
    let commit = |cluster: &mut Cluster| {
        cluster.propose_sized(3 * MAXIMUM_APPEND_BYTES);
        cluster.run(5 * MILLISECOND);
        if let Some(leader) = cluster.leader() {
            cluster.snapshot(leader);
        }
    };
    for _ in 0..20 {
        commit(&mut cluster);
    }
    cluster.start(lagging);
    let applied = cluster.checks.acknowledged;
    for _ in 0..200 {
        commit(&mut cluster);
    }
    assert!(cluster.machines[lagging].applied > applied);
    cluster.settle();
    cluster.assert_clean(seed);
}

/// Members crash, restart, lose their disks and links while entries of all sizes are proposed.
#[rstest]
fn all_checks_hold_under_faults_with_entries_of_all_sizes(#[values(0, 1, 2, 3)] case: u64) {
    for seed in 20_000 + case * 6..20_000 + (case + 1) * 6 {
        let mut cluster = Cluster::new(seed, 5, CALM);
        let mut sizes = ChaCha8Rng::seed_from_u64(seed);
        cluster.run(400 * MILLISECOND);
        let mut plan = FaultPlan::default();
        for _ in 0..30 {
            cluster.bytes_per_second = sizes.random_bool(0.5).then_some(200_000);
            for _ in 0..sizes.random_range(0..6) {
                cluster.propose_sized(sizes.random_range(0..6 * MAXIMUM_APPEND_BYTES));
            }
            plan.run(&mut cluster, 1);
        }
        cluster.bytes_per_second = None;
        plan.finish(&mut cluster);
        cluster.assert_clean(seed);
        assert!(
            cluster.sent.largest_batch <= MAXIMUM_APPEND_BYTES,
            "{:?}",
            cluster.sent
        );
    }
}
