//! Runs of a scenario under one seed, or under many seeds on several threads.

use crate::faults::Fault;
use crate::scenario::Scenario;
use crate::settings::Settings;
use crate::statistics::Statistics;
use crate::world::World;
use crossbeam::channel;
use millpass_checkers::{Breach, check};
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Result of a run.
pub struct RunReport {
    /// Seed.
    pub seed: u64,
    /// Violated invariants.
    pub breaches: Vec<Breach>,
    /// Panic or error of a core or of the simulator; `None` if the run completed.
    pub failure: Option<String>,
    /// Hash of the trace.
    pub trace_hash: u64,
    /// Event counts.
    pub statistics: Statistics,
    /// Lines of the trace; empty unless they were requested.
    pub lines: Vec<String>,
}

impl RunReport {
    /// Whether the run completed without a violation.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty() && self.failure.is_none()
    }
}

/// Runs a scenario under a seed.
pub fn run_scenario(scenario: &Scenario, seed: u64, keep_lines: bool) -> RunReport {
    run_with(scenario, seed, keep_lines, Settings::default())
}

/// Runs a scenario under a seed with custom settings.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    keep_lines: bool,
    mut settings: Settings,
) -> RunReport {
    let plan = scenario.prepare(seed, &mut settings);
    run_plan(settings, plan, seed, keep_lines)
}

/// Runs a custom fault plan.
pub fn run_plan(
    settings: Settings,
    plan: Vec<(u64, Fault)>,
    seed: u64,
    keep_lines: bool,
) -> RunReport {
    let attempt = catch_unwind(AssertUnwindSafe(|| {
        run_world(settings, plan, seed, keep_lines)
    }));
    match attempt {
        Ok(Ok(report)) => report,
        Ok(Err(error)) => failed(seed, error.to_string()),
        Err(panic) => failed(seed, panic_text(panic.as_ref())),
    }
}

fn run_world(
    settings: Settings,
    plan: Vec<(u64, Fault)>,
    seed: u64,
    keep_lines: bool,
) -> anyhow::Result<RunReport> {
    let limits = settings.limits.clone();
    let mut world = World::new(settings, seed, keep_lines)?;
    world.run(plan);
    world.statistics.disturbed_messages = world.network.disturbed_messages;
    Ok(RunReport {
        seed,
        breaches: check(&world.history, &limits),
        failure: world.failure.take(),
        trace_hash: world.trace.hash(),
        lines: world.trace.lines().cloned().collect(),
        statistics: world.statistics,
    })
}

fn failed(seed: u64, reason: String) -> RunReport {
    RunReport {
        seed,
        breaches: Vec::new(),
        failure: Some(reason),
        trace_hash: 0,
        statistics: Statistics::default(),
        lines: Vec::new(),
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    format!("panic: {}", text.unwrap_or_default())
}

/// Result of many runs.
#[derive(Default)]
pub struct Summary {
    /// Number of runs.
    pub runs: u64,
    /// Event counts of all runs.
    pub statistics: Statistics,
    /// Failed runs, by seed.
    pub broken: Vec<RunReport>,
}

/// Runs a scenario under each seed on several threads.
pub fn run_seeds(scenario: &'static Scenario, seeds: Range<u64>, threads: usize) -> Summary {
    run_seeds_with(scenario, seeds, threads, &Settings::default())
}

/// Runs a scenario under each seed on several threads, with custom settings.
pub fn run_seeds_with(
    scenario: &'static Scenario,
    seeds: Range<u64>,
    threads: usize,
    settings: &Settings,
) -> Summary {
    let (seed_sender, seed_receiver) = channel::unbounded();
    let (report_sender, report_receiver) = channel::bounded(threads.max(1));
    for seed in seeds {
        // Cannot fail: the receiver lives until the end of this function.
        let _ = seed_sender.send(seed);
    }
    drop(seed_sender);
    let mut summary = Summary::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (seeds, reports) = (seed_receiver.clone(), report_sender.clone());
            scope.spawn(move || {
                for seed in seeds {
                    let report = run_with(scenario, seed, false, settings.clone());
                    if reports.send(report).is_err() {
                        return;
                    }
                }
            });
        }
        drop(report_sender);
        for report in report_receiver {
            summary.runs += 1;
            summary.statistics.add(&report.statistics);
            if !report.passed() {
                summary.broken.push(report);
            }
        }
    });
    summary.broken.sort_by_key(|report| report.seed);
    summary
}
