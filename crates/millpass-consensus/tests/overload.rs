//! Elections and leases of members that do not get enough CPU time.
//!
//! Guards against groups without a leader because a slow but required voter responds later than the
//! election timeout, and against leaders deposed during short pauses of their process.

mod harness;

use harness::checks::Rule;
use harness::cluster::{CALM, Cluster, MILLISECOND};
use millpass_consensus::CandidacyEnd;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SECOND: u64 = 1_000 * MILLISECOND;
/// The harness's election timeout.
const TIMEOUT: u64 = 100 * MILLISECOND;
const SEEDS: u64 = 30;

/// Starts five voters of which two are lost and one lags.
fn three_of_five_with_slow_voter(seed: u64, lag: (u64, u64)) -> Cluster {
    let mut cluster = Cluster::new(seed, 5, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let leader = cluster.leader().expect("leader");
    cluster.lag((leader + 1) % 5, lag);
    cluster.crash(leader);
    cluster.crash((leader + 2) % 5);
    cluster
}

/// The group elects a leader that commits within 40 election timeouts.
#[rstest]
#[case::slightly_late((5, 30))]
#[case::late((40, 180))]
#[case::later_than_the_timeout((110, 120))]
#[case::later_than_the_longest_first_wait((210, 220))]
fn a_group_that_requires_a_slow_voter_elects_a_leader(#[case] lag: (u64, u64)) {
    let lag = (lag.0 * MILLISECOND, lag.1 * MILLISECOND);
    let mut late = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = three_of_five_with_slow_voter(seed, lag);
        if !cluster.propose_until_acknowledged(40 * TIMEOUT) {
            late.push(seed);
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(late.is_empty(), "no leader in time with seeds {late:?}");
}

/// All processes pause at once, as on machines that share a CPU, so that heartbeats and responses
/// stay unread.
#[test]
fn a_simultaneous_pause_of_all_members_keeps_the_leader() {
    let mut deposed = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 5, CALM);
        assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
        cluster.run(SECOND);
        for _ in 0..10 {
            (0..5).for_each(|machine| cluster.freeze(machine));
            cluster.run(3 * TIMEOUT + seed * MILLISECOND);
            (0..5).for_each(|machine| cluster.wake(machine));
            cluster.run(TIMEOUT);
        }
        if cluster.checks.elections() > 1 {
            deposed.push((seed, cluster.checks.elections()));
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(deposed.is_empty(), "(seed, elections): {deposed:?}");
}

/// Each process alternates between a few milliseconds of running and pauses of up to half an
/// election timeout.
#[test]
fn short_pauses_of_members_keep_the_leader() {
    let mut deposed = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 5, CALM);
        assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
        run_with_pauses(&mut cluster, seed, 20 * SECOND);
        if cluster.checks.elections() > 1 {
            deposed.push((seed, cluster.checks.elections()));
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(deposed.is_empty(), "(seed, elections): {deposed:?}");
}

fn run_with_pauses(cluster: &mut Cluster, seed: u64, micros: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut switch_at = [cluster.now; 5];
    let end = cluster.now + micros;
    while cluster.now < end {
        for (machine, at) in switch_at.iter_mut().enumerate() {
            if cluster.now < *at {
                continue;
            }
            let is_running = !cluster.machines[machine].frozen;
            let millis = match is_running {
                true => random.random_range(10..=50),
                false => random.random_range(2..=10),
            };
            *at = cluster.now + millis * MILLISECOND;
            match is_running {
                true => cluster.freeze(machine),
                false => cluster.wake(machine),
            }
        }
        cluster.run(MILLISECOND);
    }
}

#[test]
fn an_isolated_leader_with_pauses_steps_down_and_loses_the_lease() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 5, CALM);
        assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
        let leader = cluster.leader().expect("leader");
        cluster.partition(&[leader].into());
        for _ in 0..40 {
            cluster.freeze(leader);
            cluster.run(TIMEOUT);
            cluster.wake(leader);
            assert!(!cluster.machines[leader].holds_lease(cluster.now));
            cluster.run(TIMEOUT / 20);
        }
        assert!(!cluster.machines[leader].leads(), "seed {seed}");
        assert!(!cluster.checks.has(Rule::LeaseExclusive), "seed {seed}");
        cluster.settle();
        cluster.assert_clean(seed);
    }
}

/// Heartbeats of a lagging leader still arrive, but it holds no lease.
#[test]
fn a_lagging_leader_is_replaced() {
    let mut stuck = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 5, CALM);
        assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
        let slow = cluster.leader().expect("leader");
        cluster.lag(slow, (3 * TIMEOUT, 3 * TIMEOUT + 10 * MILLISECOND));
        let replaced = |cluster: &Cluster| {
            let leader = cluster.leader().filter(|leader| *leader != slow);
            leader.is_some_and(|leader| cluster.machines[leader].holds_lease(cluster.now))
        };
        if !cluster.run_until(20 * TIMEOUT, replaced) {
            stuck.push(seed);
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(
        stuck.is_empty(),
        "the lagging leader was not replaced with seeds {stuck:?}"
    );
}

/// After failed elections, the next loss of a leader must not take longer than the first one.
#[test]
fn the_election_backoff_is_reset_once_a_leader_is_in_contact() {
    for seed in 0..SEEDS {
        let lag = (150 * MILLISECOND, 200 * MILLISECOND);
        let mut cluster = three_of_five_with_slow_voter(seed, lag);
        cluster.run(20 * TIMEOUT);
        cluster.heal();
        cluster.run(20 * TIMEOUT);
        let leader = cluster.leader().expect("leader");
        cluster.crash(leader);
        assert!(
            cluster.propose_until_acknowledged(8 * TIMEOUT),
            "seed {seed}: the election backoff was not reset"
        );
        cluster.settle();
        cluster.assert_clean(seed);
    }
}

#[test]
fn a_candidacy_without_responses_is_reported_as_timed_out() {
    let mut cluster = Cluster::new(1, 3, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let isolated = (cluster.leader().expect("leader") + 1) % 3;
    cluster.partition(&[isolated].into());
    cluster.run(10 * TIMEOUT);
    let ended: Vec<_> = cluster.candidacies.iter().map(|(_, ended)| ended).collect();
    assert!(!ended.is_empty());
    for ended in ended {
        assert_eq!(ended.end, CandidacyEnd::TimedOut);
        assert!(ended.is_pre_vote && ended.responses.is_empty());
    }
}

/// A member that receives no heartbeats is refused by members in contact with the leader.
#[test]
fn a_candidacy_against_a_leader_is_reported_as_refused() {
    let mut cluster = Cluster::new(2, 3, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let leader = cluster.leader().expect("leader");
    let unreachable = (leader + 1) % 3;
    cluster.severed_links.insert((leader, unreachable));
    cluster.run(10 * TIMEOUT);
    let other = cluster.machines[(leader + 2) % 3].member;
    assert!(!cluster.candidacies.is_empty());
    for (machine, ended) in &cluster.candidacies {
        assert_eq!((*machine, ended.end), (unreachable, CandidacyEnd::Refused));
        let response = ended
            .responses
            .iter()
            .find(|response| response.member == other);
        let response = response.expect("response of the third member");
        assert!(!response.is_granted && response.latency <= ended.duration);
    }
    assert_eq!(cluster.leader(), Some(leader));
}
