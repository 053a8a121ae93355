//! Runs every scenario over fixed seeds and verifies that runs are deterministic.

use millpass_sim::run::{run_scenario, run_seeds};
use millpass_sim::scenario::{SCENARIOS, Scenario};
use rstest::rstest;
use std::collections::BTreeSet;

const THREADS: usize = 3;
const SEEDS: u64 = 5;
const COMBINED_SCENARIO_SEEDS: u64 = 40;

fn failed_runs(scenario: &'static Scenario, seeds: u64) -> Vec<String> {
    let summary = run_seeds(scenario, 0..seeds, THREADS);
    assert_eq!(summary.runs, seeds);
    let lines = summary.broken.iter().map(|report| {
        let breaches: Vec<String> = report.breaches.iter().map(ToString::to_string).collect();
        let (name, seed) = (scenario.name, report.seed);
        format!("{name} seed {seed}: {:?} {breaches:?}", report.failure)
    });
    lines.collect()
}

#[test]
fn every_scenario_passes() {
    for scenario in SCENARIOS {
        assert_eq!(failed_runs(scenario, SEEDS), Vec::<String>::new());
    }
}

#[test]
fn combined_scenario_passes() {
    let everything = Scenario::named("everything").expect("scenario exists");
    let broken = failed_runs(everything, COMBINED_SCENARIO_SEEDS);
    assert_eq!(broken, Vec::<String>::new());
}

/// Regression seeds: loads must not be sent to the weight store above its rate limit.
#[rstest]
// Loads queued behind other orders must not be sent in one burst.
#[case("everything", 1055)]
#[case("everything", 1721)]
#[case("everything", 1913)]
#[case("everything", 2274)]
// Loads of two rate windows must not be sent within one second.
#[case("everything", 1227)]
#[case("storm", 1845)]
fn regression_seed_passes(#[case] name: &str, #[case] seed: u64) {
    let scenario = Scenario::named(name).expect("scenario exists");
    let report = run_scenario(scenario, seed, false);
    let breaches: Vec<String> = report.breaches.iter().map(ToString::to_string).collect();
    assert_eq!(breaches, Vec::<String>::new());
}

#[rstest]
#[case("everything", 7)]
#[case("bad-network", 3)]
fn same_seed_gives_the_same_run(#[case] name: &str, #[case] seed: u64) {
    let scenario = Scenario::named(name).expect("scenario exists");
    let first = run_scenario(scenario, seed, true);
    let second = run_scenario(scenario, seed, true);
    assert_eq!(first.trace_hash, second.trace_hash);
    assert_eq!(first.statistics, second.statistics);
    assert_eq!(first.lines, second.lines);
    let other = run_scenario(scenario, seed + 1, false);
    assert_ne!(first.trace_hash, other.trace_hash);
}

#[test]
fn scenario_names_are_unique() {
    let names: BTreeSet<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    assert_eq!(names.len(), SCENARIOS.len());
}
