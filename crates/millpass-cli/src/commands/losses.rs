//! `losses`: reads log files of gateways and prints what was lost.

use crate::losses::{EndedRequest, LossAnalysis, LossOptions};
use anyhow::{Context, Result, bail};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

/// Reads the files and prints the report.
pub fn losses(files: &[PathBuf], options: &LossOptions) -> Result<ExitCode> {
    let mut analysis = LossAnalysis::default();
    let mut requests = 0_usize;
    for file in files {
        let name = file.display();
        let opened =
            File::open(file).with_context(|| format!("{name}: cannot be read; check the path"))?;
        let mut reader = BufReader::new(opened);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            // A process that is killed may leave part of a line.
            if let Some(request) = EndedRequest::parse(&String::from_utf8_lossy(&line)) {
                analysis.add(request, options.slow_ms);
                requests += 1;
            }
            line.clear();
        }
    }
    if requests == 0 {
        bail!("no request_ended line in these files; give log files of gateways at level info");
    }
    print!("{}", analysis.report(options));
    Ok(ExitCode::SUCCESS)
}
