//! Processor time and memory of a process, from procfs.

use anyhow::Result;
use procfs::process::Process;
use std::collections::BTreeMap;

/// Resources used by a process so far.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Processor time of the whole process, in milliseconds.
    pub cpu_millis: u64,
    /// Processor time by the names of its threads, in milliseconds; ended threads are missing.
    pub by_thread: BTreeMap<String, u64>,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory, in KiB.
    pub peak_kib: u64,
    /// Bytes written to disk.
    pub written_bytes: u64,
}

/// Reads the resource usage of a process.
pub fn read(process: u32) -> Result<Usage> {
    let process = Process::new(i32::try_from(process)?)?;
    let millis_per_tick = 1_000 / procfs::ticks_per_second();
    let stat = process.stat()?;
    let status = process.status()?;
    let mut by_thread = BTreeMap::new();
    for task in process.tasks()?.flatten() {
        let Ok(stat) = task.stat() else { continue };
        *by_thread.entry(stat.comm).or_default() += (stat.utime + stat.stime) * millis_per_tick;
    }
    Ok(Usage {
        cpu_millis: (stat.utime + stat.stime) * millis_per_tick,
        by_thread,
        resident_kib: status.vmrss.unwrap_or(0),
        peak_kib: status.vmhwm.unwrap_or(0),
        written_bytes: process.io().map(|io| io.write_bytes).unwrap_or(0),
    })
}

/// Formats the processor time of the busiest threads between two readings, in ms per second.
pub fn busiest_threads(before: &Usage, after: &Usage, seconds: f64) -> String {
    let mut rates: Vec<(f64, &String)> = after
        .by_thread
        .iter()
        .map(|(name, millis)| {
            let earlier = before.by_thread.get(name).copied().unwrap_or(0);
            (millis.saturating_sub(earlier) as f64 / seconds, name)
        })
        .collect();
    rates.sort_by(|one, other| other.0.total_cmp(&one.0));
    let named = rates.iter().filter(|(rate, _)| *rate >= 0.5).take(5);
    let named: Vec<String> = named
        .map(|(rate, name)| format!("{name}:{rate:.0}"))
        .collect();
    named.join(",")
}
