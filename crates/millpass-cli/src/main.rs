//! The `millpass` command.

use millpass_cli::{commands, options};
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::parse();
    match commands::run(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("millpass: {error:#}");
            ExitCode::FAILURE
        }
    }
}
