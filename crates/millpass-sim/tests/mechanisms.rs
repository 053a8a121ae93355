//! Verifies each checker: with a mechanism disabled it reports a violation for some seed, and with
//! all mechanisms enabled nothing is reported for the same plan and seeds.

use millpass_sim::faults::Fault;
use millpass_sim::run::{RunReport, run_plan, run_seeds_with};
use millpass_sim::scenario::Scenario;
use millpass_sim::settings::{MILLIS, Mechanisms, SECONDS, Settings};
use rstest::rstest;
use std::ops::Range;

const THREADS: usize = 3;
const SEEDS: Range<u64> = 0..3;
/// Seeds for violations that occur only in some runs.
const MORE_SEEDS: Range<u64> = 0..8;

/// Faults, seeds and settings of a test case.
struct Case {
    /// Scenario, or a custom plan.
    faults: Faults,
    /// Seeds.
    seeds: Range<u64>,
    /// Settings of the runs with and without the mechanism.
    settings: fn(&mut Settings),
}

enum Faults {
    Scenario(&'static str),
    Plan(fn() -> Vec<(u64, Fault)>),
}

fn scenario(name: &'static str) -> Case {
    Case {
        faults: Faults::Scenario(name),
        seeds: SEEDS,
        settings: |_| {},
    }
}

/// Answers of cancelled attempts arrive late.
fn late_answers() -> Case {
    Case {
        settings: |settings| settings.times.attempt_timeout = 120 * MILLIS,
        ..scenario("bad-network")
    }
}

/// All web back ends leave, and routers freeze before they send an attempt.
fn frozen_at_dispatch() -> Case {
    let plan = || {
        let leaving = (0..3).map(|web| (2_500 * MILLIS, Fault::LeaveWeb(web)));
        let freezing = (0..4).map(|r| (2_500 * MILLIS, Fault::FreezeRouterAtDispatch(r)));
        let waking = (0..4).map(|router| (9 * SECONDS, Fault::WakeRouter(router)));
        leaving.chain(freezing).chain(waking).collect()
    };
    Case {
        faults: Faults::Plan(plan),
        seeds: SEEDS,
        settings: |_| {},
    }
}

/// A zone is partitioned for eleven seconds.
fn long_partition() -> Case {
    let plan = || {
        let cut = [(0, 1), (1, 0), (0, 2), (2, 0)];
        let cuts = cut.map(|(from, to)| (3 * SECONDS, Fault::Cut(from, to)));
        cuts.into()
    };
    Case {
        faults: Faults::Plan(plan),
        seeds: MORE_SEEDS,
        settings: |settings| {
            settings.times.healed = 14 * SECONDS;
            settings.times.audit = 22 * SECONDS;
            settings.times.run_end = 24 * SECONDS;
        },
    }
}

/// All control members are killed, and start when all faults end.
fn all_control_killed() -> Case {
    Case {
        faults: Faults::Plan(|| vec![(5 * SECONDS, Fault::KillAllControl)]),
        seeds: SEEDS,
        settings: |_| {},
    }
}

impl Case {
    fn seeds(self, seeds: Range<u64>) -> Case {
        Case { seeds, ..self }
    }

    /// Returns the failed runs with these mechanisms disabled.
    fn broken(&self, disable: fn(&mut Mechanisms)) -> Vec<RunReport> {
        let mut settings = Settings::default();
        (self.settings)(&mut settings);
        disable(&mut settings.mechanisms);
        match self.faults {
            Faults::Scenario(name) => {
                let scenario = Scenario::named(name).expect("scenario exists");
                run_seeds_with(scenario, self.seeds.clone(), THREADS, &settings).broken
            }
            Faults::Plan(plan) => {
                let run = |seed| run_plan(settings.clone(), plan(), seed, false);
                let reports = self.seeds.clone().map(run);
                reports.filter(|report| !report.passed()).collect()
            }
        }
    }
}

fn reports(runs: &[RunReport], checker: &str) -> bool {
    let mut breaches = runs.iter().flat_map(|run| &run.breaches);
    breaches.any(|breach| breach.checker == checker)
}

fn descriptions(runs: &[RunReport]) -> Vec<String> {
    let lines = runs.iter().flat_map(|run| {
        let breaches = run.breaches.iter().map(ToString::to_string);
        let failure = run.failure.clone();
        breaches
            .chain(failure)
            .map(|text| format!("seed={} {text}", run.seed))
    });
    lines.collect()
}

#[rstest]
#[case::log_entries_lost("agreement", scenario("kill-all-control"), |m: &mut Mechanisms| m.synced_writes = false)]
#[case::stale_orders_executed("replicas", scenario("memory-pressure"), |m: &mut Mechanisms| m.engine.fences = false)]
#[case::memory_reported_free_too_early("replicas", scenario("memory-pressure"), |m: &mut Mechanisms| m.engine.frees_after_use = false)]
#[case::wrong_memory_reported("memory", scenario("cold-burst"), |m: &mut Mechanisms| m.engine.reports_true_memory = false)]
#[case::never_refused("answers", scenario("calm"), |m: &mut Mechanisms| m.refusals = false)]
#[case::late_answer_parts_forwarded("integrity", late_answers(), |m: &mut Mechanisms| m.drops_stale_attempts = false)]
#[case::wrongly_reported_as_not_sent("refusals", scenario("machine-reclaimed").seeds(MORE_SEEDS), |m: &mut Mechanisms| m.accurate_failures = false)]
#[case::no_claims("once", scenario("calm"), |m: &mut Mechanisms| m.claims = false)]
#[case::no_claims_linearizable("claims-linearizable", scenario("calm"), |m: &mut Mechanisms| m.claims = false)]
#[case::no_send_deadline("leaving", frozen_at_dispatch(), |m: &mut Mechanisms| m.send_before = false)]
#[case::no_drain("drain", scenario("planned-stops").seeds(MORE_SEEDS), |m: &mut Mechanisms| m.drains = false)]
#[case::changes_lost("configuration", scenario("kill-all-control"), |m: &mut Mechanisms| m.synced_writes = false)]
#[case::changes_not_sent("configuration", scenario("racing-operators"), |m: &mut Mechanisms| m.catalog_changes = false)]
#[case::changes_not_linearizable("configuration-linearizable", scenario("kill-all-control"), |m: &mut Mechanisms| m.synced_writes = false)]
#[case::leases_never_expire("enforcement", long_partition().seeds(0..80), |m: &mut Mechanisms| m.leases_expire = false)]
#[case::no_permits("store", scenario("memory-pressure"), |m: &mut Mechanisms| m.store_permits = false)]
#[case::faults_never_end("liveness", all_control_killed(), |m: &mut Mechanisms| m.healing = false)]
fn checker_reports_violation_without_mechanism(
    #[case] checker: &str,
    #[case] case: Case,
    #[case] disable: fn(&mut Mechanisms),
) {
    let without_mechanism = case.broken(disable);
    assert!(
        reports(&without_mechanism, checker),
        "{:?}",
        descriptions(&without_mechanism)
    );
    let with_mechanism = case.broken(|_| {});
    assert_eq!(descriptions(&with_mechanism), Vec::<String>::new());
}

#[test]
fn every_checker_has_a_case() {
    let source = include_str!("mechanisms.rs");
    for (name, _) in millpass_checkers::CHECKERS {
        let case = format!("(\"{name}\", ");
        assert!(
            source.contains(&case),
            "no case disables the mechanism that {name} checks"
        );
    }
}
