//! Scheduling decisions of the leader: which replicas to place, keep and retire.
//!
//! The scheduler only proposes commands; the replicated state checks each again when it is
//! applied. What it learned (demand, histories) is soft and is rebuilt after a leader change.

use millpass_proto::{
    Command, EngineReport, Incarnation, LoadOutlook, ModelName, RouterName, RouterReport, Timestamp,
};
use millpass_state::State;

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Weight of a second of cold start against idle accelerator time; see docs.
    pub cold_start_weight: u32,
    /// Weight of an idle accelerator hour.
    pub idle_weight: u32,
    /// Loads the weight store allows a second.
    pub store_loads_per_second: u32,
    /// Loads the weight store serves at once at full speed.
    pub store_concurrent_loads: u32,
    /// Bytes a second of one load at full speed, to estimate waits.
    pub store_bytes_per_second: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            cold_start_weight: 1,
            idle_weight: 1,
            store_loads_per_second: 3,
            store_concurrent_loads: 6,
            store_bytes_per_second: 2_000_000_000,
        }
    }
}

/// The scheduler of one leader.
pub struct Scheduler {}

impl Scheduler {
    /// Starts with no knowledge of demand.
    pub fn new(_settings: SchedulerSettings) -> Self {
        Scheduler {}
    }

    /// Takes a router's report of demand.
    pub fn observe_router(
        &mut self,
        _now: Timestamp,
        _router: &RouterName,
        _incarnation: Incarnation,
        _report: &RouterReport,
    ) {
    }

    /// Forgets a router whose lease ended.
    pub fn forget_router(&mut self, _router: &RouterName) {}

    /// Takes an engine's report: checkpoint tiers and load.
    pub fn observe_engine(&mut self, _now: Timestamp, _report: &EngineReport) {}

    /// Commands to propose now. Called a few times a second; commands proposed earlier and not
    /// yet applied must not be proposed twice within a short time.
    pub fn decide(&mut self, _now: Timestamp, _state: &State) -> Vec<Command> {
        Vec::new()
    }

    /// When a model is expected to serve.
    pub fn outlook(&self, _now: Timestamp, _state: &State, model: &ModelName) -> LoadOutlook {
        LoadOutlook {
            model: model.clone(),
            ready_in_millis: 0,
            placeable: true,
        }
    }
}
