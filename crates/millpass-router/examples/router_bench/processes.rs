//! Child processes and their resource usage.

use anyhow::{Context, Result};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A child process, stopped when dropped.
pub struct Role {
    child: Child,
    pub address: SocketAddr,
}

impl Role {
    /// Starts this program with other arguments, and reads the address that it prints.
    pub fn start(arguments: &[String]) -> Result<Role> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().context("its output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().parse()?;
        Ok(Role { child, address })
    }

    /// Returns a memory value of the process status, in MiB.
    pub fn memory(&self, key: &str) -> Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with(key));
        let word = line.and_then(|line| line.split_whitespace().nth(1));
        let kibibytes: f64 = word.context("a memory line")?.parse()?;
        Ok(kibibytes / 1024.0)
    }

    /// Returns the processor time used so far.
    pub fn processor_time(&self) -> Result<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, rest) = stat.rsplit_once(')').context("a stat line")?;
        let words: Vec<&str> = rest.split_whitespace().collect();
        let ticks = words[11].parse::<u64>()? + words[12].parse::<u64>()?;
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

/// Returns the load averages over 1, 5 and 15 minutes.
pub fn load_average() -> Result<String> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let words: Vec<&str> = text.split_whitespace().take(3).collect();
    Ok(words.join(" "))
}
