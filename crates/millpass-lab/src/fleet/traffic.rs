//! The load of a run: a burst for cold models at all routers at once, then steady traffic.

use super::deployed::Fleet;
use super::events::unix_micros;
use crate::options::FleetOptions;
use anyhow::{Context, Result};
use millpass_load::runner::RunResult;
use millpass_load::workload::{Burst, RateShape};
use millpass_load::{RunSettings, Schedule, Workload, run};
use std::sync::atomic::AtomicBool;

/// When the burst comes, in seconds from the start.
const BURST_AT_SECONDS: f64 = 1.0;
/// Requests for each cold model at each router.
const BURST_REQUESTS_PER_ROUTER: usize = 3;
/// Time over which the burst arrives.
const BURST_SPREAD_SECONDS: f64 = 0.2;
/// Most requests at once.
const CALLERS: usize = 300;

/// What the callers saw.
pub struct TrafficResult {
    /// Start of the callers' clock, in Unix microseconds.
    pub start_micros: u64,
    /// Summary and records.
    pub run: RunResult,
}

/// The plan of a run.
pub fn schedule(fleet: &Fleet, options: &FleetOptions) -> Result<Schedule> {
    let deployment = &fleet.deployment;
    let mut workload =
        Workload::named(&deployment.workload, options.seconds as f64).with_context(|| {
            format!(
                "workload {} is not known; write one of {}",
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

/// Carries the plan out.
pub fn carry_out(fleet: &Fleet, schedule: &Schedule, stop: &AtomicBool) -> Result<TrafficResult> {
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
