//! Starts and stops an engine's front end.

use super::fetches::Fetches;
use super::service::Service;
use crate::engine::model::EngineModel;
use crate::engine::settings::EngineSettings;
use crate::platform::PlatformClient;
use crate::run::{Alarms, Driver, FrontSettings, ScaledClock};
use crate::weight_store::StoreAccess;
use anyhow::Result;
use millpass_http::{Server, ServerHandle};
use millpass_proto::{
    BackendKind, BackendState, Duration, EngineAudit, EngineReport, PlatformMachine,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// What an engine's front end needs beside the model's settings.
#[derive(Clone, Debug)]
pub struct EngineFront {
    /// Where and how it serves.
    pub front: FrontSettings,
    /// Where checkpoints come from.
    pub store: StoreAccess,
    /// Address of the platform's list to register at, if any.
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
pub struct EngineHandle {
    server: ServerHandle,
    driver: Arc<Driver<EngineModel>>,
    platform: Option<PlatformClient>,
}

impl EngineHandle {
    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// What it counted.
    pub fn audit(&self) -> EngineAudit {
        self.driver.read(EngineModel::audit)
    }

    /// Its state without lag, for checkers.
    pub fn current_report(&self) -> EngineReport {
        self.driver.read(|model, _| model.current_report())
    }

    /// Leaves in a planned way: is marked as leaving, serves on for `notice`, waits at most
    /// `grace` for requests in flight, and is taken off the list.
    pub fn leave(&self, notice: Duration, grace: Duration) {
        PlatformClient::leave(self.platform.as_ref(), &self.server, notice, grace);
        self.driver.stop();
    }

    /// Stops at once, as a machine that is reclaimed: streams are cut, the list isn't told.
    pub fn stop(&self) {
        self.driver.stop();
        self.server.stop();
    }
}

/// Starts an engine with its own thread for alarms.
pub fn start(settings: EngineSettings, front: &EngineFront) -> Result<EngineHandle> {
    let alarms = Alarms::start(ScaledClock::start(front.front.time_scale))?;
    start_with(settings, front, alarms)
}

/// Starts an engine that shares the thread for alarms with others; the clock is theirs.
pub fn start_with(
    settings: EngineSettings,
    front: &EngineFront,
    alarms: Arc<Alarms>,
) -> Result<EngineHandle> {
    let mut machine = PlatformMachine {
        backend: settings.backend.clone(),
        kind: BackendKind::Engine,
        group: None,
        zone: settings.zone.clone(),
        address: String::new(),
        state: BackendState::Live,
    };
    let model = EngineModel::new(settings, alarms.clock().now());
    let driver = Driver::new(model, alarms);
    let fetches = Arc::new(Fetches::new(Arc::downgrade(&driver), front.store.clone()));
    let for_alarms = fetches.clone();
    driver.on_unclaimed(move |outputs| for_alarms.start_all(outputs));
    let name = machine.backend.as_str().to_owned();
    let server = Server::bind(front.front.listen, front.front.server(&name))?;
    machine.address = server.local_address().to_string();
    let service = Service {
        driver: driver.clone(),
        fetches,
    };
    let server = server.serve(Arc::new(service));
    let platform = front.platform.as_deref();
    Ok(EngineHandle {
        server,
        driver,
        platform: platform.map(|address| PlatformClient::register(address, machine)),
    })
}
