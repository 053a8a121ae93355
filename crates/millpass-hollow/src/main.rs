//! The `millpass-hollow` command.

use millpass_hollow::options::Command;
use millpass_hollow::{member, options, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match options::parse() {
        Command::Measure(options) => run::run(&options),
        Command::Member(options) => member::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millpass-hollow: {error:#}");
            ExitCode::FAILURE
        }
    }
}
