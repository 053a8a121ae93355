//! A stand-in process: one engine, web back end, weight store or platform list.

use super::{read_settings, stop_signals, wait_for_signal};
use anyhow::{Result, bail};
use millpass_proto::{Duration, Incarnation};
use millpass_standin::engine::{
    CheckpointSettings, EngineFront, EngineHandle, EngineSettings, start as start_engine,
};
use millpass_standin::platform::{PlatformSettings, start as start_platform};
use millpass_standin::run::{FrontSettings, RunJournal, Served, TimedModel};
use millpass_standin::web::{WebSettings, start as start_web};
use millpass_standin::weight_store::{
    StoreAccess, WeightStoreSettings, start as start_weight_store,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a journal.
const MAXIMUM_JOURNAL_LINES: u64 = 1_000_000;
/// Time for which a draining machine keeps serving, until all routers have received its departure.
const LEAVE_NOTICE: Duration = Duration::from_secs(5);
/// Maximum wait for requests in flight during a planned stop.
const LEAVE_GRACE: Duration = Duration::from_secs(60);

/// Kind of stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandInKind {
    /// Model engine.
    Engine,
    /// Web back end.
    Web,
    /// Weight store.
    Store,
    /// Platform list.
    Platform,
}

impl StandInKind {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            StandInKind::Engine => "engine",
            StandInKind::Web => "web",
            StandInKind::Store => "store",
            StandInKind::Platform => "platform",
        }
    }
}

impl std::str::FromStr for StandInKind {
    type Err = anyhow::Error;

    fn from_str(name: &str) -> Result<Self> {
        let kinds = [
            StandInKind::Engine,
            StandInKind::Web,
            StandInKind::Store,
            StandInKind::Platform,
        ];
        match kinds.into_iter().find(|kind| kind.name() == name) {
            Some(kind) => Ok(kind),
            None => bail!("unknown stand-in {name}; use engine, web, store or platform"),
        }
    }
}

/// Settings of an engine process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFile {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Advertised address.
    pub advertise: SocketAddr,
    /// Memory of each accelerator.
    pub accelerator_bytes: Vec<u64>,
    /// Capacity for checkpoints in host memory.
    pub checkpoint_memory_bytes: u64,
    /// Capacity for checkpoints on disk.
    pub checkpoint_disk_bytes: u64,
    /// Weight store.
    pub store: SocketAddr,
    /// Platform list.
    pub platform: SocketAddr,
    /// Journal of runs.
    pub journal: PathBuf,
}

/// Settings of a web back end process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WebFile {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Group.
    pub group: String,
    /// Path prefixes of non-idempotent requests.
    pub once_prefixes: Vec<String>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Advertised address.
    pub advertise: SocketAddr,
    /// Platform list.
    pub platform: SocketAddr,
    /// Journal of runs.
    pub journal: PathBuf,
}

/// Settings of a weight store process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreFile {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Loads that may start per second.
    pub loads_per_second: u32,
    /// Concurrent loads at full speed.
    pub full_speed_loads: u32,
    /// Throughput of one load, in bytes per second.
    pub bytes_per_second: u64,
}

/// Settings of a platform list process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFile {
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Runs a stand-in until SIGTERM.
pub fn run_stand_in(kind: StandInKind, file: &Path) -> Result<()> {
    let signals = stop_signals()?;
    match kind {
        StandInKind::Engine => {
            let engine = engine(&read_settings(file)?)?;
            wait_for_signal(signals);
            leave_gracefully(&engine);
        }
        StandInKind::Web => {
            let web = web(&read_settings(file)?)?;
            wait_for_signal(signals);
            leave_gracefully(&web);
        }
        StandInKind::Store => {
            let store = store(&read_settings(file)?)?;
            wait_for_signal(signals);
            store.stop();
        }
        StandInKind::Platform => {
            let settings: PlatformFile = read_settings(file)?;
            let list = start_platform(PlatformSettings::default(), &listen_at(settings.listen))?;
            wait_for_signal(signals);
            list.stop();
        }
    }
    Ok(())
}

/// Performs a planned stop as the platform does.
fn leave_gracefully<M: TimedModel>(served: &Served<M>) {
    served.leave(LEAVE_NOTICE, LEAVE_GRACE);
}

fn listen_at(listen: SocketAddr) -> FrontSettings {
    FrontSettings {
        listen,
        ..FrontSettings::default()
    }
}

fn front(listen: SocketAddr, advertise: SocketAddr, journal: &Path) -> Result<FrontSettings> {
    Ok(FrontSettings {
        advertise: Some(advertise),
        journal: Some(RunJournal::open(journal, MAXIMUM_JOURNAL_LINES)?),
        ..listen_at(listen)
    })
}

/// Returns an incarnation greater than those of earlier process runs.
fn new_incarnation() -> Incarnation {
    Incarnation(uuid::Uuid::now_v7().as_u64_pair().0)
}

fn engine(file: &EngineFile) -> Result<EngineHandle> {
    let settings = EngineSettings {
        backend: file.name.as_str().into(),
        incarnation: new_incarnation(),
        zone: file.zone.as_str().into(),
        accelerator_bytes: file.accelerator_bytes.clone(),
        checkpoints: CheckpointSettings {
            memory_bytes: file.checkpoint_memory_bytes,
            disk_bytes: file.checkpoint_disk_bytes,
            initial: Vec::new(),
        },
        ..EngineSettings::default()
    };
    let front = EngineFront {
        front: front(file.listen, file.advertise, &file.journal)?,
        store: StoreAccess::At(file.store.to_string()),
        platform: Some(file.platform.to_string()),
    };
    start_engine(settings, &front)
}

fn web(file: &WebFile) -> Result<millpass_standin::web::WebHandle> {
    let settings = WebSettings {
        backend: file.name.as_str().into(),
        incarnation: new_incarnation(),
        zone: file.zone.as_str().into(),
        group: file.group.as_str().into(),
        once_prefixes: file.once_prefixes.clone(),
        ..WebSettings::default()
    };
    let front = front(file.listen, file.advertise, &file.journal)?;
    start_web(settings, &front, Some(&file.platform.to_string()))
}

fn store(file: &StoreFile) -> Result<millpass_standin::weight_store::WeightStoreHandle> {
    let settings = WeightStoreSettings {
        loads_per_second: file.loads_per_second,
        full_speed_loads: file.full_speed_loads,
        bytes_per_second: file.bytes_per_second,
        ..WeightStoreSettings::default()
    };
    start_weight_store(settings, &listen_at(file.listen))
}
