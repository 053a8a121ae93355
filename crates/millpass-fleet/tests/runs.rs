//! What announcements prove of process runs, whose ID may pass to another process without a word.

mod harness;

use harness::{at, record};
use millpass_fleet::{Fleet, FleetSettings, InstructionHistory};
use millpass_proto::*;
use proptest::prelude::*;

const NAME: &str = "i-1";

fn leader() -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
    fleet.start_leading(at(0), std::iter::empty(), std::iter::empty(), &history);
    fleet
}

fn announce(fleet: &mut Fleet, now: u64, born: u64, sequence: u64) {
    let announcement = InstanceRecord {
        instance: InstanceId::of_run(NAME, born),
        sequence,
        ..record(1)
    };
    fleet.handle_announcement(at(now), announcement, false);
}

fn proof(fleet: &Fleet, now: u64, born: u64) -> Option<RunProof> {
    let query = RunQuery {
        number: 1,
        runs: vec![InstanceId::of_run(NAME, born)],
    };
    fleet.handle_runs(at(now), query).proofs.pop()
}

/// Returns until when a run is known to have been alive.
fn alive_at(fleet: &Fleet, now: u64, born: u64) -> Option<u64> {
    Some(now.saturating_sub(proof(fleet, now, born)?.alive_millis?))
}

/// Guards against an announcement that was held up by a cut and proves that its sender still runs.
#[test]
fn a_run_is_alive_at_an_announcement_that_another_follows() {
    let mut fleet = leader();
    announce(&mut fleet, 1_000, 7, 1);
    assert_eq!(alive_at(&fleet, 1_100, 7), None);
    announce(&mut fleet, 2_200, 7, 2);
    assert_eq!(alive_at(&fleet, 2_300, 7), Some(999));
    // Repeated by a caller that had no answer.
    announce(&mut fleet, 3_000, 7, 2);
    assert_eq!(alive_at(&fleet, 3_000, 7), Some(999));
}

/// Guards against announcements that waited while this process stood still.
#[test]
fn announcements_that_arrive_together_prove_nothing_newer() {
    let mut fleet = leader();
    announce(&mut fleet, 1_000, 7, 1);
    for sequence in 2..5 {
        announce(&mut fleet, 9_000 + sequence, 7, sequence);
    }
    assert_eq!(alive_at(&fleet, 9_100, 7), Some(999));
}

/// Guards against a process that announces itself as its predecessor, which stated no start time.
#[test]
fn a_lower_number_shows_another_process_of_a_run_without_start_time() {
    let mut fleet = leader();
    for sequence in 5..9 {
        announce(&mut fleet, sequence * 1_000, 0, sequence);
    }
    assert_eq!(alive_at(&fleet, 8_500, 0), Some(6_999));
    announce(&mut fleet, 10_000, 0, 1);
    let found = proof(&fleet, 10_300, 0).expect("known");
    assert_eq!(found.alive_millis, None);
    assert_eq!(found.restarted_millis, Some(300));
    for sequence in 9..12 {
        announce(&mut fleet, 2_000 + sequence * 1_000, 0, sequence);
    }
    let found = proof(&fleet, 13_500, 0).expect("known");
    assert!(found.restarted_millis > found.alive_millis, "{found:?}");
}

/// Guards against the same for a run that states its start time: late announcements of its own are no
/// other process.
#[test]
fn a_late_announcement_of_a_run_with_start_time_shows_no_other_process() {
    let mut fleet = leader();
    for sequence in 5..9 {
        announce(&mut fleet, sequence * 1_000, 7, sequence);
    }
    announce(&mut fleet, 9_000, 7, 4);
    let found = proof(&fleet, 9_000, 7).expect("known");
    assert_eq!(found.restarted_millis, None);
    assert_eq!(alive_at(&fleet, 9_000, 7), Some(6_999));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Guards against a proof for a time after the end of a process, wherever its announcements are held up.
    #[test]
    fn no_run_is_alive_after_its_end(
        interval in 40_u64..1_500,
        delays in prop::collection::vec(prop_oneof![4 => 1_u64..60, 1 => 60_u64..4_000], 2..20),
        end in 500_u64..8_000,
    ) {
        let mut fleet = leader();
        let mut sent_at = 100;
        let mut known = None;
        for (sequence, delay) in delays.into_iter().enumerate() {
            if sent_at >= end {
                break;
            }
            let arrived_at = sent_at + delay;
            announce(&mut fleet, arrived_at, 7, sequence as u64 + 1);
            known = alive_at(&fleet, arrived_at, 7);
            // The next one follows the acknowledgement of this one.
            sent_at = sent_at.max(arrived_at) + interval;
        }
        prop_assert!(known.is_none_or(|at| at <= end), "{known:?} after {end}");
    }

    /// Guards against announcements of an ended run that a cut held up, one after the other, and that prove that it
    /// was alive when the first arrived.
    #[test]
    fn announcements_that_a_cut_held_up_prove_nothing_after_the_end_of_their_run(
        cut in 3_000_u64..9_000,
        length in 1_000_u64..12_000,
        end in 2_000_u64..20_000,
        delays in prop::collection::vec(1_u64..60, 40),
        shares in prop::collection::vec(0.0..1.0_f64, 40),
    ) {
        let (interval, heal) = (1_200, cut + length);
        let mut arrivals = Vec::new();
        let mut sent_at = 100;
        for (number, (delay, share)) in delays.into_iter().zip(shares).enumerate() {
            if sent_at >= end {
                break;
            }
            let is_held_up = (cut..heal).contains(&sent_at);
            // Sent again after twice the time, each time.
            let arrived_at = match is_held_up {
                true => heal + ((heal - sent_at + 200) as f64 * share) as u64 + delay,
                false => sent_at + delay,
            };
            arrivals.push((arrived_at, number as u64 + 1));
            // Another member is called a second after one that was not acknowledged.
            let acknowledged_at = arrived_at.min(sent_at + 1_000);
            sent_at = match acknowledged_at == arrived_at {
                true => arrived_at + interval,
                false => acknowledged_at,
            };
        }
        arrivals.sort_unstable();
        let mut fleet = leader();
        for (arrived_at, sequence) in arrivals {
            announce(&mut fleet, arrived_at, 7, sequence);
            let known = alive_at(&fleet, arrived_at, 7);
            prop_assert!(known.is_none_or(|at| at <= end), "{known:?} after {end}");
        }
    }
}

/// Guards against runs that are never certain again after a cut.
#[test]
fn a_run_is_certain_again_some_time_after_a_silence() {
    let mut fleet = leader();
    for sequence in 1..4 {
        announce(&mut fleet, sequence * 1_200, 7, sequence);
    }
    for sequence in 4..12 {
        announce(&mut fleet, 4_000 + sequence * 1_200, 7, sequence);
    }
    let known = alive_at(&fleet, 17_300, 7).expect("certain");
    assert!(known >= 15_000, "{known}");
}
