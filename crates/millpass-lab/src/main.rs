//! The `millpass-lab` command.

use millpass_lab::options::{self, Options};
use millpass_lab::programs;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match options::parse() {
        Options::Fleet { options } => millpass_lab::fleet::run::run(&options),
        Options::Experiment(options) => {
            millpass_experiment::run(&options).map(|()| ExitCode::SUCCESS)
        }
        Options::StandIn { settings, kind } => {
            run_with_logging(|| programs::run_stand_in(kind, &settings))
        }
        Options::Relay { settings } => run_with_logging(|| programs::run_relay(&settings)),
    };
    result.unwrap_or_else(|error: anyhow::Error| {
        eprintln!("millpass-lab: {error:#}");
        ExitCode::FAILURE
    })
}

fn run_with_logging(program: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<ExitCode> {
    millpass_telemetry::start_logging(&millpass_telemetry::LogSettings {
        level: "info".to_owned(),
        file: String::new(),
    })?;
    program()?;
    Ok(ExitCode::SUCCESS)
}
