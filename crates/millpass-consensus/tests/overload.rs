//! Elections and leases of members that get less processor than they want.
//!
//! The failure: two of five voters were lost. Each of the three that were left had to vote, and one of
//! them took up each message 0.2 to 0.9 s late, with an election timeout of 450 ms. The other two stood
//! by turns, each candidacy was over before the third member's vote was counted, and for half a minute,
//! until the play ended, nobody led: no change was taken, and no document could be read. Before that,
//! 17 leaders followed one another in ten seconds, each deposed 0.5 to 0.8 s after its election while its
//! process lived and merely did not get to run.
//!
//! The evidence: term after term, the slow member's line of the new term comes after the candidate's
//! next one; and the leaders have no line for 0.1 to 0.4 s before they step down.
//!
//! Times here are in shares of the election timeout, as there.

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

/// Two voters of five are lost, and one of the others lags.
fn three_of_five_with_a_slow_one(seed: u64, lag: (u64, u64)) -> Cluster {
    let mut cluster = Cluster::new(seed, 5, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let leader = cluster.leader().expect("leader");
    cluster.lag((leader + 1) % 5, lag);
    cluster.crash(leader);
    cluster.crash((leader + 2) % 5);
    cluster
}

/// The group elects a leader that commits, within 40 election timeouts (18 s of the failure's 450 ms,
/// where half a minute was not enough), and no rule is broken.
#[rstest]
#[case::hardly_late((5, 30))]
#[case::a_little_late((40, 180))]
#[case::later_than_the_timeout((110, 120))]
#[case::later_than_any_first_wait((210, 220))]
fn a_slow_voter_that_is_needed_elects_a_leader(#[case] lag: (u64, u64)) {
    let lag = (lag.0 * MILLISECOND, lag.1 * MILLISECOND);
    let mut late = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = three_of_five_with_a_slow_one(seed, lag);
        if !cluster.propose_until_acknowledged(40 * TIMEOUT) {
            late.push(seed);
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(late.is_empty(), "no leader in time with seeds {late:?}");
}

/// All processes stand still at once, as on machines that share a processor, and go on: the leader's
/// heartbeats lie unread and its own answers too. It stays the leader.
#[test]
fn a_pause_of_all_members_at_once_deposes_nobody() {
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

/// Each process runs for a few milliseconds and then stands still for up to half an election timeout,
/// each in its own rhythm: nobody is deposed, since the leader is heard each time.
#[test]
fn members_that_run_by_fits_depose_nobody() {
    let mut deposed = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(seed, 5, CALM);
        assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
        run_by_fits(&mut cluster, seed, 20 * SECOND);
        if cluster.checks.elections() > 1 {
            deposed.push((seed, cluster.checks.elections()));
        }
        cluster.settle();
        cluster.assert_clean(seed);
    }
    assert!(deposed.is_empty(), "(seed, elections): {deposed:?}");
}

fn run_by_fits(cluster: &mut Cluster, seed: u64, micros: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut switch_at = [cluster.now; 5];
    let end = cluster.now + micros;
    while cluster.now < end {
        for (machine, at) in switch_at.iter_mut().enumerate() {
            if cluster.now < *at {
                continue;
            }
            let runs = !cluster.machines[machine].frozen;
            let millis = match runs {
                true => random.random_range(10..=50),
                false => random.random_range(2..=10),
            };
            *at = cluster.now + millis * MILLISECOND;
            match runs {
                true => cluster.freeze(machine),
                false => cluster.wake(machine),
            }
        }
        cluster.run(MILLISECOND);
    }
}

/// A leader that is cut off and stands still by turns gives up in the end, and its lease ends as ever.
#[test]
fn a_leader_that_is_cut_off_and_starved_steps_down() {
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

/// A leader that comes to lag itself is heard by all and holds no lease: it must give way to one that does.
#[test]
fn a_leader_that_lags_gives_way() {
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
        "the slow one leads on with seeds {stuck:?}"
    );
}

/// Long waits end with the trouble: after elections that failed, the next loss of a leader costs no more
/// than the first one would.
#[test]
fn waits_are_short_again_once_a_leader_is_heard() {
    for seed in 0..SEEDS {
        let lag = (150 * MILLISECOND, 200 * MILLISECOND);
        let mut cluster = three_of_five_with_a_slow_one(seed, lag);
        cluster.run(20 * TIMEOUT);
        cluster.heal();
        cluster.run(20 * TIMEOUT);
        let leader = cluster.leader().expect("leader");
        cluster.crash(leader);
        assert!(
            cluster.propose_until_acknowledged(8 * TIMEOUT),
            "seed {seed}: the waits are still long"
        );
        cluster.settle();
        cluster.assert_clean(seed);
    }
}

/// Why a member that stood does not lead, and whose answer it lacked, is told: no answer at all.
#[test]
fn a_candidacy_without_answers_is_told_as_timed_out() {
    let mut cluster = Cluster::new(1, 3, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let alone = (cluster.leader().expect("leader") + 1) % 3;
    cluster.partition(&[alone].into());
    cluster.run(10 * TIMEOUT);
    let ended: Vec<_> = cluster.candidacies.iter().map(|(_, ended)| ended).collect();
    assert!(!ended.is_empty());
    for ended in ended {
        assert_eq!(ended.end, CandidacyEnd::TimedOut);
        assert!(ended.is_pre_vote && ended.responses.is_empty());
    }
}

/// A member that is heard but hears no heartbeats is refused by those that hear the leader.
#[test]
fn a_candidacy_against_a_leader_is_told_as_refused() {
    let mut cluster = Cluster::new(2, 3, CALM);
    assert!(cluster.propose_until_acknowledged(2 * SECOND), "no leader");
    let leader = cluster.leader().expect("leader");
    let deaf = (leader + 1) % 3;
    cluster.cut.insert((leader, deaf));
    cluster.run(10 * TIMEOUT);
    let other = cluster.machines[(leader + 2) % 3].member;
    assert!(!cluster.candidacies.is_empty());
    for (machine, ended) in &cluster.candidacies {
        assert_eq!((*machine, ended.end), (deaf, CandidacyEnd::Refused));
        let answer = ended.responses.iter().find(|answer| answer.member == other);
        let answer = answer.expect("the third member answers");
        assert!(!answer.is_granted && answer.latency <= ended.duration);
    }
    assert_eq!(cluster.leader(), Some(leader));
}
