//! A stand-in process: one engine, web back end, weight store or platform list.

use super::{read_settings, stop_signals, wait};
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

/// Lines of a journal.
const MAXIMUM_JOURNAL_LINES: u64 = 1_000_000;
/// Time that a machine which leaves in a planned way serves on for those that have not heard.
const LEAVE_NOTICE: Duration = Duration::from_secs(5);
/// Longest wait for requests in flight when it leaves.
const LEAVE_GRACE: Duration = Duration::from_secs(60);

/// Which stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandInKind {
    /// Model engine.
    Engine,
    /// Web back end.
    Web,
    /// Weight store.
    Store,
    /// Platform's list.
    Platform,
}

impl StandInKind {
    /// The word on the command line.
    pub fn word(self) -> &'static str {
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

    fn from_str(word: &str) -> Result<Self> {
        let kinds = [
            StandInKind::Engine,
            StandInKind::Web,
            StandInKind::Store,
            StandInKind::Platform,
        ];
        match kinds.into_iter().find(|kind| kind.word() == word) {
            Some(kind) => Ok(kind),
            None => bail!("{word} is no stand-in; write engine, web, store or platform"),
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
    /// Address that others reach it at.
    pub advertise: SocketAddr,
    /// Memory of each accelerator.
    pub accelerator_bytes: Vec<u64>,
    /// Room for checkpoints in host memory.
    pub checkpoint_memory_bytes: u64,
    /// Room for checkpoints on disk.
    pub checkpoint_disk_bytes: u64,
    /// Weight store.
    pub store: SocketAddr,
    /// Platform's list.
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
    /// Paths of requests that may not be repeated.
    pub once_prefixes: Vec<String>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that others reach it at.
    pub advertise: SocketAddr,
    /// Platform's list.
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
    /// Loads that may start a second.
    pub loads_per_second: u32,
    /// Loads at once at full speed.
    pub full_speed_loads: u32,
    /// Speed of one load.
    pub bytes_per_second: u64,
}

/// Settings of a platform list process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFile {
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// Serves as a stand-in until SIGTERM.
pub fn run_stand_in(kind: StandInKind, file: &Path) -> Result<()> {
    let signals = stop_signals()?;
    match kind {
        StandInKind::Engine => {
            let engine = engine(&read_settings(file)?)?;
            wait(signals);
            leave(&engine);
        }
        StandInKind::Web => {
            let web = web(&read_settings(file)?)?;
            wait(signals);
            leave(&web);
        }
        StandInKind::Store => {
            let store = store(&read_settings(file)?)?;
            wait(signals);
            store.stop();
        }
        StandInKind::Platform => {
            let settings: PlatformFile = read_settings(file)?;
            let list = start_platform(PlatformSettings::default(), &listen_at(settings.listen))?;
            wait(signals);
            list.stop();
        }
    }
    Ok(())
}

/// A planned stop, as the platform does it.
fn leave<M: TimedModel>(served: &Served<M>) {
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

/// A new run of a back end has a number that none before had.
fn fresh_incarnation() -> Incarnation {
    Incarnation(uuid::Uuid::now_v7().as_u64_pair().0)
}

fn engine(file: &EngineFile) -> Result<EngineHandle> {
    let settings = EngineSettings {
        backend: file.name.as_str().into(),
        incarnation: fresh_incarnation(),
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
        incarnation: fresh_incarnation(),
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
