//! Compares keep-alive strategies over traces of several days, in virtual time.
//!
//! Uses the production scheduler and replicated state, and the engine and weight store models of
//! the stand-ins. Results are deterministic for equal arguments.

pub mod catalog;
pub mod curve;
pub mod deployment;
pub mod experiment;
pub mod fleet;
pub mod metrics;
pub mod options;
pub mod replica_pool;
pub mod report;
pub mod routers;
pub mod simulation;
pub mod strategies;
pub mod trace;
pub mod workload;

pub use options::{Options, Seeds, options};

use anyhow::{Context, Result};
use deployment::Deployment;
use experiment::Comparison;
use report::{Figures, markdown};
use workload::Workload;

/// Runs the experiment, prints the report, and writes it if an output folder is set.
pub fn run(options: &Options) -> Result<()> {
    let deployment = Deployment::read(&options.deployment.join("deployment.toml"))?;
    let workload = Workload::of_deployment(&deployment.name).with_context(|| {
        let name = &deployment.name;
        format!("no workload for deployment {name}; use the deployment pnw or sicilia")
    })?;
    let comparison = Comparison::run(
        deployment,
        workload,
        options.seeds,
        options.days,
        options.threads,
    );
    println!("{}", markdown(&Figures::new(&comparison)));
    if options.by_model {
        print_model_counts(&comparison);
    }
    if let Some(folder) = &options.output {
        report::write(&comparison, folder)?;
    }
    Ok(())
}

fn print_model_counts(comparison: &Comparison) {
    let Some(stated) = comparison.stated() else {
        return;
    };
    let models = comparison.deployment.models();
    for ((name, _), counts) in models.iter().zip(&stated.measurements.models) {
        println!(
            "model={name} requests={} cold={} cold_p99_seconds={:.1}",
            counts.requests,
            counts.cold,
            counts
                .cold_start
                .quantile_seconds(experiment::COMPARED_QUANTILE),
        );
    }
}
