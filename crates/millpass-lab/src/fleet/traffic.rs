//! Load of a run: a burst of requests for cold models at all routers, then steady traffic.

use super::deployed::Fleet;
use super::events::unix_micros;
use crate::options::FleetOptions;
use anyhow::{Context, Result};
use millpass_load::runner::RunResult;
use millpass_load::workload::{Burst, RateShape};
use millpass_load::{RunSettings, Schedule, Workload, run};
use std::sync::atomic::AtomicBool;

/// Time of the burst after the start.
const BURST_AT_SECONDS: f64 = 1.0;
/// Requests per cold model and router.
const BURST_REQUESTS_PER_ROUTER: usize = 3;
/// Duration of the burst.
const BURST_SPREAD_SECONDS: f64 = 0.2;
/// Maximum concurrent requests.
const CALLERS: usize = 300;

/// Results of the callers.
pub struct TrafficResult {
    /// Start of the clock of the callers, in Unix microseconds.
    pub start_micros: u64,
    /// Summary and records.
    pub run: RunResult,
}

/// Generates the request schedule of a run.
pub fn schedule(fleet: &Fleet, options: &FleetOptions) -> Result<Schedule> {
    let deployment = &fleet.deployment;
    let mut workload =
        Workload::named(&deployment.workload, options.seconds as f64).with_context(|| {
            format!(
                "unknown workload {}; use one of {}",
                deployment.workload,
                millpass_load::workload::NAMED_WORKLOADS.join(", ")
            )
        })?;
    if let Some(rate) = options.rate {
        workload.requests_per_second = rate.into();
        workload.shape = RateShape::Constant;
    }
    workload.bursts = vec![Burst {
        at_seconds: BURST_AT_SECONDS,
        models: options.burst_models,
        requests_per_router: BURST_REQUESTS_PER_ROUTER,
        spread_seconds: BURST_SPREAD_SECONDS,
    }];
    let population = deployment.population();
    Ok(Schedule::generate(&workload, &population, options.seed)?)
}

/// Sends the scheduled requests.
pub fn run_schedule(
    fleet: &Fleet,
    schedule: &Schedule,
    stop: &AtomicBool,
) -> Result<TrafficResult> {
    let settings = RunSettings {
        routers: fleet.layout.caller_addresses(),
        callers: CALLERS,
        history: Some(fleet.folder.callers_history()),
        ..RunSettings::default()
    };
    let start_micros = unix_micros();
    let population = fleet.deployment.population();
    let run = run(schedule, &population, &settings, stop)?;
    Ok(TrafficResult { start_micros, run })
}
