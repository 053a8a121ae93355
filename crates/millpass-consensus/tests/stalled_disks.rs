//! Leadership transfer from a leader with a stalled disk.
//!
//! Guards against changes that are not acknowledged while a stalled leader's heartbeats suppress elections.

mod harness;

use harness::cluster::{CALM, Cluster, Conditions, MILLISECOND};
use rstest::rstest;

const SECOND: u64 = 1_000 * MILLISECOND;
/// Covers the stall limit of the settings (`values.rs`), a leadership transfer and an election.
const ACKNOWLEDGED_WITHIN: u64 = SECOND;

fn started(seed: u64, voters: u64, conditions: Conditions) -> Cluster {
    let mut cluster = Cluster::new(seed, voters, conditions);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    // A new leader does not transfer leadership yet.
    cluster.run(2 * SECOND);
    cluster
}

#[rstest]
fn changes_are_acknowledged_in_time_although_the_disk_of_the_leader_stalls(
    #[values(3, 5)] voters: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = started(seed, voters, CALM);
    let leader = cluster.leader().expect("leader");
    cluster.stall_disk(leader);
    assert!(cluster.propose_until_acknowledged(ACKNOWLEDGED_WITHIN));
    assert_ne!(cluster.leader(), Some(leader));
    // The recovered member must not regain leadership.
    let next = cluster.leader();
    cluster.resume_disk(leader);
    for _ in 0..40 {
        cluster.propose();
        cluster.run(50 * MILLISECOND);
        assert_eq!(cluster.leader(), next);
    }
    cluster.settle();
    cluster.assert_clean(seed);
}

#[test]
fn the_leader_stays_if_all_disks_stall() {
    let mut cluster = started(5, 3, CALM);
    let leader = cluster.leader();
    for machine in 0..3 {
        cluster.stall_disk(machine);
    }
    for _ in 0..100 {
        cluster.propose();
        cluster.run(50 * MILLISECOND);
        assert_eq!(cluster.leader(), leader);
    }
    for machine in 0..3 {
        cluster.resume_disk(machine);
    }
    assert!(cluster.propose_until_acknowledged(SECOND));
    assert_eq!(cluster.checks.elections(), 1);
    cluster.settle();
    cluster.assert_clean(5);
}

/// Disks 30 and 60 times slower than usual, with queued writes, are not stalled.
#[rstest]
fn slow_disks_keep_the_leader(#[values(30, 60)] factor: u64) {
    let slow = Conditions {
        sync_micros: (1_000 * factor, 2_000 * factor),
        ..CALM
    };
    let mut cluster = started(6, 3, slow);
    let elections = cluster.checks.elections();
    for _ in 0..1_000 {
        cluster.propose();
        cluster.run(20 * MILLISECOND);
    }
    assert_eq!(cluster.checks.elections(), elections);
    cluster.settle();
    cluster.assert_clean(6);
}

/// The disk of each new leader stalls for two seconds.
#[test]
fn alternating_disk_stalls_change_the_leader_at_most_once_per_stall() {
    const ROUNDS: u64 = 20;
    let mut cluster = started(7, 3, CALM);
    let first = cluster.checks.elections();
    for _ in 0..ROUNDS {
        let leader = cluster.leader();
        if let Some(leader) = leader {
            cluster.stall_disk(leader);
        }
        for _ in 0..40 {
            cluster.propose();
            cluster.run(50 * MILLISECOND);
        }
        if let Some(leader) = leader {
            cluster.resume_disk(leader);
        }
    }
    // At most one transfer per stall, each with one election.
    let elections = cluster.checks.elections() - first;
    assert!(elections <= ROUNDS as usize, "{elections} elections");
    cluster.settle();
    cluster.assert_clean(7);
}
