//! The `millpass-sim` command.

use anyhow::{Context, bail};
use bpaf::Bpaf;
use millpass_sim::run::{RunReport, Summary, run_scenario, run_seeds};
use millpass_sim::scenario::{SCENARIOS, Scenario};
use std::ops::Range;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Instant;

/// Maximum number of failed runs printed in full.
const MAXIMUM_SHOWN: usize = 5;

/// Runs the control plane and routing cores of millpass in virtual time under faults, and checks
/// invariants. The same scenario and seed give the same run.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// List the scenarios and end
    list: bool,
    /// Scenario to run, or `all`
    #[bpaf(argument("NAME"), fallback("everything".to_owned()), display_fallback)]
    scenario: String,
    /// Seeds to run, the last one left out
    #[bpaf(argument("A..B"), fallback(Seeds(0..100)))]
    seeds: Seeds,
    /// Print the trace of each run, event by event; best with one seed
    trace: bool,
    /// Threads to run seeds on
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    threads: usize,
}

/// A range of seeds, written `A..B`.
#[derive(Clone, Debug)]
struct Seeds(Range<u64>);

impl FromStr for Seeds {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, end) = match text.split_once("..") {
            Some((first, end)) => (first.parse()?, end.parse()?),
            None => {
                let only: u64 = text.parse().context("write seeds as A..B, or one number")?;
                (only, only + 1)
            }
        };
        if first >= end {
            bail!("seed range {text} is empty; write the smaller number first");
        }
        Ok(Seeds(first..end))
    }
}

fn main() -> anyhow::Result<ExitCode> {
    let options = options().run();
    if options.list {
        for scenario in SCENARIOS {
            println!("{:<26} {}", scenario.name, scenario.summary);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let scenarios: Vec<&'static Scenario> = match options.scenario.as_str() {
        "all" => SCENARIOS.iter().collect(),
        name => vec![
            Scenario::named(name).context("unknown scenario; use --list to list all scenarios")?,
        ],
    };
    let mut broken = 0;
    for scenario in scenarios {
        broken += run_one(scenario, &options);
    }
    if broken > 0 {
        println!("{broken} runs failed");
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a scenario and returns the number of failed runs.
fn run_one(scenario: &'static Scenario, options: &Options) -> usize {
    if options.trace {
        return trace_seeds(scenario, options.seeds.0.clone());
    }
    let started = Instant::now();
    let summary = run_seeds(scenario, options.seeds.0.clone(), options.threads);
    print_summary(scenario, &summary, started.elapsed().as_millis());
    for report in summary.broken.iter().take(MAXIMUM_SHOWN) {
        print_report(scenario, report);
    }
    summary.broken.len()
}

fn trace_seeds(scenario: &Scenario, seeds: Range<u64>) -> usize {
    let mut broken = 0;
    for seed in seeds {
        let report = run_scenario(scenario, seed, true);
        for line in &report.lines {
            println!("{line}");
        }
        println!("seed={seed} trace_hash={:016x}", report.trace_hash);
        println!("{:?}", report.statistics);
        print_report(scenario, &report);
        broken += usize::from(!report.passed());
    }
    broken
}

fn print_summary(scenario: &Scenario, summary: &Summary, millis: u128) {
    let counts = &summary.statistics;
    println!(
        "scenario={} runs={} broken={} requests={} whole={} refused={} loads={} orders={} \
         changes={} faults={} disturbed_messages={} millis={millis}",
        scenario.name,
        summary.runs,
        summary.broken.len(),
        counts.requests,
        counts.whole_answers,
        counts.refusals.values().sum::<u64>(),
        counts.loads,
        counts.orders,
        counts.accepted_changes,
        counts.all_faults(),
        counts.disturbed_messages,
    );
}

fn print_report(scenario: &Scenario, report: &RunReport) {
    if let Some(failure) = &report.failure {
        println!(
            "scenario={} seed={} failure={failure:?}",
            scenario.name, report.seed
        );
    }
    for breach in &report.breaches {
        println!("scenario={} seed={} {breach}", scenario.name, report.seed);
    }
    if !report.passed() {
        println!(
            "to print its trace, run: millpass-sim --scenario {} --seeds {} --trace",
            scenario.name, report.seed
        );
    }
}
