//! `losses` and `quota-use`: read log files of gateways and print what was lost or used.

use crate::losses::{EndedRequest, LossAnalysis, LossOptions};
use crate::quota_use::{QuotaSend, QuotaUseAnalysis, QuotaUseOptions};
use anyhow::{Context, Result, bail};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

/// Reads the files and prints the report.
pub fn losses(files: &[PathBuf], options: &LossOptions) -> Result<ExitCode> {
    let mut analysis = LossAnalysis::default();
    let mut requests = 0_usize;
    for_each_line(files, |line| {
        if let Some(request) = EndedRequest::parse(line) {
            analysis.add(request, options.slow_ms);
            requests += 1;
        }
    })?;
    if requests == 0 {
        bail!("no request_ended line in these files; give log files of gateways at level info");
    }
    print!("{}", analysis.report(options));
    Ok(ExitCode::SUCCESS)
}

/// Reads the files and prints the window in which each tenant used most of its quota.
pub fn quota_use(files: &[PathBuf], options: &QuotaUseOptions) -> Result<ExitCode> {
    let mut analysis = QuotaUseAnalysis::default();
    for_each_line(files, |line| {
        for send in QuotaSend::parse(line) {
            analysis.add(send);
        }
    })?;
    if analysis.is_empty() {
        bail!(
            "no request with quota units in these files; give log files of gateways at level info, \
             of a deployment whose tenants have limits"
        );
    }
    print!("{}", analysis.report(options));
    Ok(ExitCode::SUCCESS)
}

/// Calls `handle` with each line of the files.
fn for_each_line(files: &[PathBuf], mut handle: impl FnMut(&str)) -> Result<()> {
    for file in files {
        let name = file.display();
        let opened =
            File::open(file).with_context(|| format!("{name}: cannot be read; check the path"))?;
        let mut reader = BufReader::new(opened);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            // A process that is killed may leave part of a line.
            handle(&String::from_utf8_lossy(&line));
            line.clear();
        }
    }
    Ok(())
}
