//! Starts and stops an engine's front end.

use super::fetches::Fetches;
use super::service::Service;
use crate::engine::model::EngineModel;
use crate::engine::settings::EngineSettings;
use crate::run::{Alarms, Driver, FrontSettings, RunRecorder, ScaledClock, Served};
use crate::weight_store::StoreAccess;
use anyhow::Result;
use millpass_proto::{BackendKind, BackendState, EngineAudit, EngineReport, PlatformMachine};
use std::sync::Arc;

/// Settings of an engine's front end.
#[derive(Clone, Debug)]
pub struct EngineFront {
    /// Server settings.
    pub front: FrontSettings,
    /// Source of checkpoints.
    pub store: StoreAccess,
    /// Address of the platform list to register in, if any.
    pub platform: Option<String>,
}

impl Default for EngineFront {
    fn default() -> Self {
        EngineFront {
            front: FrontSettings::default(),
            store: StoreAccess::Instant,
            platform: None,
        }
    }
}

/// A running engine.
pub type EngineHandle = Served<EngineModel>;

impl Served<EngineModel> {
    /// Returns the counters.
    pub fn audit(&self) -> EngineAudit {
        self.read(EngineModel::audit)
    }

    /// Returns the report without lag; for checkers.
    pub fn current_report(&self) -> EngineReport {
        self.read(|model, _| model.current_report())
    }
}

/// Starts an engine with its own alarm thread.
pub fn start(settings: EngineSettings, front: &EngineFront) -> Result<EngineHandle> {
    let alarms = Alarms::start(ScaledClock::start(front.front.time_scale))?;
    start_with(settings, front, alarms)
}

/// Starts many engines in one process. Each has its own listener and connection threads; all share one alarm
/// thread. Each needs its own port, so `front` must name port 0.
pub fn start_many(
    engines: impl IntoIterator<Item = EngineSettings>,
    front: &EngineFront,
) -> Result<Vec<EngineHandle>> {
    let alarms = Alarms::start(ScaledClock::start(front.front.time_scale))?;
    let started = engines
        .into_iter()
        .map(|settings| start_with(settings, front, alarms.clone()));
    started.collect()
}

/// Starts an engine with a shared alarm thread and its clock.
pub fn start_with(
    settings: EngineSettings,
    front: &EngineFront,
    alarms: Arc<Alarms>,
) -> Result<EngineHandle> {
    let machine = PlatformMachine {
        backend: settings.backend.clone(),
        kind: BackendKind::Engine,
        group: None,
        zone: settings.zone.clone(),
        address: String::new(),
        state: BackendState::Live,
    };
    let runs = RunRecorder {
        journal: front.front.journal.clone(),
        backend: settings.backend.clone(),
        incarnation: settings.incarnation,
    };
    let model = EngineModel::new(settings, alarms.clock().now());
    let driver = Driver::new(model, alarms);
    let fetches = Arc::new(Fetches::new(Arc::downgrade(&driver), front.store.clone()));
    let alarm_fetches = fetches.clone();
    driver.on_unclaimed(move |outputs| alarm_fetches.start_all(outputs));
    let service = Arc::new(Service {
        driver: driver.clone(),
        fetches,
        runs,
    });
    let name = machine.backend.as_str();
    let served = Served::start(name, &front.front, driver, service)?;
    Ok(served.register(front.platform.as_deref(), machine))
}
