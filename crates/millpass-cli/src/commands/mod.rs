//! One module per command or family of commands.

mod offline;

use crate::options::Options;
use anyhow::Result;
use std::process::ExitCode;

/// Runs a parsed command.
pub fn run(options: Options) -> Result<ExitCode> {
    match options {
        Options::Check { file } => offline::check(&file),
        Options::Template { kind } => offline::template(&kind),
        Options::Key => offline::key(),
        other => anyhow::bail!("not built yet: {other:?}"),
    }
}
