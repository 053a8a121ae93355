//! Report of a run, as JSON and as text.

use super::figures::{BurstFigures, Quantiles, ServiceFigures};
use millpass_load::Summary;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Report of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Deployment.
    pub deployment: String,
    /// Seed of the traffic.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: u64,
    /// Processes started.
    pub processes: usize,
    /// Seconds from the first process start until the leader lists every router and back end.
    pub ready_seconds: f64,
    /// Seconds from then until every router had applied the catalog.
    pub catalog_seconds: f64,
    /// Summary of the callers.
    pub callers: Summary,
    /// Requests sent to a router while it was stopped or killed.
    pub unreached: u64,
    /// Burst of requests for cold models.
    pub burst: BurstFigures,
    /// Time to the first token of all streamed answers.
    pub first_token: Quantiles,
    /// Loads and accelerator time.
    pub loads: LoadFigures,
    /// Catalog changes during the run.
    pub changes: ChangeFigures,
    /// Injected fault, if any.
    pub fault: Option<FaultFigures>,
    /// Resident memory by kind of process, at the peak of the total.
    pub memory: BTreeMap<String, KindMemory>,
    /// Failed checks.
    pub breaches: Vec<String>,
}

/// Loads and accelerator time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadFigures {
    /// Distinct models requested.
    pub models_asked: usize,
    /// Distinct replicas in the reports of the engines.
    pub replicas: usize,
    /// Successful model loads.
    pub model_loads: u64,
    /// Successful adapter loads.
    pub adapter_loads: u64,
    /// Failed loads.
    pub failed_loads: u64,
    /// Transfers started by the weight store.
    pub store_transfers: u64,
    /// Transfers refused by the weight store at its limit.
    pub store_refusals: u64,
    /// Maximum concurrent transfers.
    pub store_most_at_once: u64,
    /// Accelerator hours with weights loaded.
    pub loaded_accelerator_hours: f64,
    /// Of these, hours without a running request.
    pub idle_accelerator_hours: f64,
}

/// Changes submitted every 100 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeFigures {
    /// Accepted.
    pub accepted: usize,
    /// Not accepted before the deadline; nothing was changed.
    pub not_taken: u64,
    /// With an unknown outcome.
    pub unknown: u64,
    /// Time until accepted.
    pub acceptance: Quantiles,
    /// Longest time without an accepted change.
    pub longest_without_millis: f64,
    /// Time from acceptance until every reachable router has applied it, polled every 50 ms.
    pub in_force: Quantiles,
    /// Changes not applied by every reachable router before observation ended.
    pub not_seen_in_force: u64,
}

/// Figures of a fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultFigures {
    /// Plan.
    pub plan: String,
    /// Steps, in order.
    pub steps: Vec<String>,
    /// Zones excluded from the service figures.
    pub unhealthy_zones: Vec<String>,
    /// Service in the healthy zones from the fault on, by kind of request.
    pub service: BTreeMap<String, ServiceFigures>,
}

/// Memory of one kind of process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindMemory {
    /// Processes.
    pub processes: usize,
    /// Total resident memory, in bytes.
    pub bytes: u64,
}

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

impl fmt::Display for FleetReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{}: {} processes, {} s of load, seed {}; ready after {:.1} s, catalog in force after \
             {:.1} s more",
            self.deployment,
            self.processes,
            self.seconds,
            self.seed,
            self.ready_seconds,
            self.catalog_seconds
        )?;
        writeln!(out, "\n{}", self.callers)?;
        writeln!(
            out,
            "requests to a router that was down: {}",
            self.unreached
        )?;
        let burst = &self.burst;
        writeln!(
            out,
            "burst: {} requests, {} served, {} refused",
            burst.requests, burst.served, burst.refused
        )?;
        writeln!(out, "{}", header())?;
        quantiles(out, "burst, first token or answer", &burst.wait)?;
        quantiles(out, "first token, all streams", &self.first_token)?;
        quantiles(out, "change accepted", &self.changes.acceptance)?;
        quantiles(out, "change in force everywhere", &self.changes.in_force)?;
        self.write_changes(out)?;
        self.write_loads(out)?;
        self.write_fault(out)?;
        self.write_memory(out)?;
        self.write_breaches(out)
    }
}

/// Maximum number of breaches printed; the JSON report has all.
const PRINTED_BREACHES: usize = 20;

fn header() -> String {
    format!(
        "{:<30} {:>7} {:>10} {:>10} {:>10} {:>10}",
        "milliseconds", "count", "p50", "p95", "p99", "max"
    )
}

fn quantiles(out: &mut fmt::Formatter<'_>, name: &str, row: &Quantiles) -> fmt::Result {
    writeln!(
        out,
        "{name:<30} {:>7} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
        row.count, row.p50_millis, row.p95_millis, row.p99_millis, row.max_millis
    )
}

impl FleetReport {
    fn write_changes(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let changes = &self.changes;
        writeln!(
            out,
            "changes: {} accepted, {} not taken, {} unknown; longest time without an accepted \
             one {:.0} ms; {} not seen in force",
            changes.accepted,
            changes.not_taken,
            changes.unknown,
            changes.longest_without_millis,
            changes.not_seen_in_force
        )
    }

    fn write_loads(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let loads = &self.loads;
        writeln!(
            out,
            "loads: {} models asked for, {} replicas, {} model loads, {} adapter loads, {} failed",
            loads.models_asked,
            loads.replicas,
            loads.model_loads,
            loads.adapter_loads,
            loads.failed_loads
        )?;
        writeln!(
            out,
            "store: {} transfers, {} refused, {} at once at most",
            loads.store_transfers, loads.store_refusals, loads.store_most_at_once
        )?;
        writeln!(
            out,
            "accelerator hours: {:.3} loaded, {:.3} of them idle",
            loads.loaded_accelerator_hours, loads.idle_accelerator_hours
        )
    }

    fn write_fault(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(fault) = &self.fault else {
            return Ok(());
        };
        writeln!(out, "\nfault {}:", fault.plan)?;
        for step in &fault.steps {
            writeln!(out, "  {step}")?;
        }
        let zones = fault.unhealthy_zones.join(", ");
        writeln!(out, "service from the fault on, without zones [{zones}]:")?;
        for (kind, service) in &fault.service {
            writeln!(
                out,
                "  {kind}: {} requests, {} served, {} refused as not run, {} failed; longest time \
                 without service {:.0} ms",
                service.requests,
                service.served,
                service.refused,
                service.failed,
                service.longest_without_service_millis
            )?;
        }
        Ok(())
    }

    fn write_breaches(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "\nbreaches: {}", self.breaches.len())?;
        for breach in self.breaches.iter().take(PRINTED_BREACHES) {
            writeln!(out, "  {breach}")?;
        }
        match self.breaches.len().checked_sub(PRINTED_BREACHES) {
            Some(more @ 1..) => writeln!(out, "  and {more} more, in report.json"),
            _ => Ok(()),
        }
    }

    fn write_memory(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mebibytes = |bytes: u64| bytes as f64 / BYTES_PER_MEBIBYTE;
        let sum: u64 = self.memory.values().map(|memory| memory.bytes).sum();
        writeln!(out, "\nresident memory: {:.0} MiB", mebibytes(sum))?;
        for (kind, memory) in &self.memory {
            let each = memory.bytes / memory.processes.max(1) as u64;
            writeln!(
                out,
                "  {kind:<9} {:>3} x {:>6.1} MiB",
                memory.processes,
                mebibytes(each)
            )?;
        }
        Ok(())
    }
}
