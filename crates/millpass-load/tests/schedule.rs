//! Schedules are deterministic and follow their workload.

use millpass_load::arrivals::{WeightedChoice, poisson_times};
use millpass_load::schedule::{PlannedRequest, ScheduleError};
use millpass_load::workload::{NAMED_WORKLOADS, RateShape};
use millpass_load::{Population, Schedule, Target, Workload};
use proptest::test_runner::{Config, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SECONDS: f64 = 60.0;

fn schedule(name: &str, seed: u64) -> Schedule {
    let workload = Workload::named(name, SECONDS).expect("a known name");
    let population = Population::numbered(6, 20, 8);
    Schedule::generate(&workload, &population, seed).expect("a valid workload")
}

#[rstest]
fn equal_seeds_generate_equal_schedules(#[values("burst-peak", "uneven-batch")] name: &str) {
    assert_eq!(schedule(name, 7), schedule(name, 7));
    assert_ne!(schedule(name, 7), schedule(name, 8));
}

#[test]
fn unknown_workload_names_are_rejected() {
    assert!(Workload::named("no-such", SECONDS).is_none());
    for name in NAMED_WORKLOADS {
        assert_eq!(Workload::named(name, SECONDS).expect("known").name, name);
    }
}

#[test]
fn requests_are_numbered_in_order_of_due_time() {
    let mut runner = TestRunner::deterministic();
    let cases = Config::with_cases(16).cases;
    for _ in 0..cases {
        let seed = rand::Rng::next_u64(&mut runner.new_rng());
        let schedule = schedule("uneven-batch", seed);
        let due: Vec<u64> = schedule
            .requests
            .iter()
            .map(|planned| planned.due_micros)
            .collect();
        assert!(due.is_sorted());
        let numbers = schedule.requests.iter().map(|planned| planned.request);
        assert!(numbers.eq(0..schedule.requests.len() as u64));
    }
}

#[test]
fn a_burst_reaches_every_router_for_every_cold_model() {
    let schedule = schedule("burst-peak", 3);
    let workload = Workload::burst_peak(SECONDS);
    let mut seen: BTreeMap<String, BTreeSet<usize>> = BTreeMap::new();
    for planned in schedule.requests.iter().filter(|planned| planned.burst) {
        let Target::Tokens { model, .. } = &planned.target else {
            panic!("bursts target models only");
        };
        seen.entry(model.to_string())
            .or_default()
            .insert(planned.router);
    }
    let most = workload.bursts.iter().map(|burst| burst.models).max();
    assert_eq!(Some(seen.len()), most);
    assert!(seen.values().all(|routers| routers.len() == 8));
}

#[test]
fn nonces_are_unique_except_in_repeats() {
    let schedule = schedule("uneven-batch", 11);
    let mut by_nonce: BTreeMap<&str, Vec<&PlannedRequest>> = BTreeMap::new();
    for planned in &schedule.requests {
        by_nonce.entry(&planned.nonce).or_default().push(planned);
    }
    let repeated: Vec<_> = by_nonce.values().filter(|same| same.len() > 1).collect();
    assert!(!repeated.is_empty(), "the workload contains repeats");
    for same in repeated {
        let mut same_keys = same.iter().map(|planned| match &planned.target {
            Target::WebWrite { key, body, .. } => (key, body, planned.tenant),
            other => panic!("only requests with a key are repeated, not {other:?}"),
        });
        let first = same_keys.next().expect("two of them");
        assert!(same_keys.all(|other| other == first));
    }
}

#[test]
fn keys_are_uuid_v7_with_their_creation_time() {
    let schedule = schedule("burst-peak", 5);
    let start_unix_millis = 1_800_000_000_000;
    let planned = schedule
        .requests
        .iter()
        .find_map(|planned| match &planned.target {
            Target::WebWrite { key, .. } => Some((planned.due_micros, key)),
            _ => None,
        });
    let (_, key) = planned.expect("a write");
    let text = key.render(start_unix_millis);
    let parsed = uuid::Uuid::parse_str(&text).expect("a UUID");
    assert_eq!(parsed.get_version_num(), 7);
    let (seconds, nanos) = parsed.get_timestamp().expect("a time").to_unix();
    let created = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    assert_eq!(created, start_unix_millis + key.born_at_micros / 1_000);
}

#[test]
fn the_rate_follows_the_shape() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let shape = RateShape::Diurnal {
        period_seconds: 100.0,
        swing: 0.9,
    };
    let times = poisson_times(&mut random, 100.0, 50.0, &shape);
    let middle = times
        .iter()
        .filter(|at| (40_000_000..60_000_000).contains(*at));
    let edge = times
        .iter()
        .filter(|at| **at < 10_000_000 || **at >= 90_000_000);
    assert!(middle.count() > 5 * edge.count());
    let expected = 100.0 * 50.0;
    assert!((times.len() as f64 - expected).abs() < 0.1 * expected);
}

#[test]
fn zipf_prefers_low_ranks() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let choice = WeightedChoice::zipf(10, 1.0).expect("ten items");
    let mut counts = [0_u32; 10];
    for _ in 0..10_000 {
        counts[choice.draw(&mut random)] += 1;
    }
    assert!(counts[0] > 4 * counts[9]);
    assert!(counts.iter().all(|count| *count > 0));
}

#[test]
fn a_population_without_models_is_rejected() {
    let workload = Workload::burst_peak(SECONDS);
    let population = Population::numbered(1, 0, 1);
    let refused = Schedule::generate(&workload, &population, 1);
    assert_eq!(refused, Err(ScheduleError::Empty("models")));
}
