//! `millpass dev`: runs a control member, a router and small stand-ins in one process, connected
//! over loopback.

use crate::commands::key_hash;
use crate::commands::online::apply_all;
use crate::commands::programs::wait_for_signal;
use crate::objects::parse_objects;
use crate::options::DevOptions;
use anyhow::{Context, Result};
use millpass_control::client::AdministrationClient;
use millpass_control::{ControlHandle, ControlProcessSettings};
use millpass_proto::{Duration, Incarnation};
use millpass_router::{RouterHandle, RouterProcessSettings};
use millpass_standin::engine::{EngineFront, EngineHandle, EngineSettings};
use millpass_standin::platform::{PlatformHandle, PlatformSettings};
use millpass_standin::run::FrontSettings;
use millpass_standin::web::{WebHandle, WebSettings};
use millpass_standin::weight_store::{StoreAccess, WeightStoreHandle, WeightStoreSettings};
use millpass_standin::{engine, platform, web, weight_store};
use millpass_telemetry::{LogSettings, start_logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Initial catalog.
const OBJECTS: &str = include_str!("../../../examples/dev.toml");
/// Bootstrap operator key.
const OPERATOR_KEY: &str = "dev-operator-key";
/// Zone of all processes.
const ZONE: &str = "local";
/// Number of engine stand-ins.
const ENGINE_COUNT: usize = 2;
/// Limit of the wait for a leader, and for the router to receive the catalog.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of a request for which no back end is available yet.
const UNAVAILABLE: u16 = 503;
/// Interval of readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running parts of a development deployment.
pub struct DevDeployment {
    router: RouterHandle,
    control: ControlHandle,
    engines: Vec<EngineHandle>,
    pages: WebHandle,
    platform: PlatformHandle,
    store: WeightStoreHandle,
}

/// Runs the deployment until a signal is received.
pub fn run(options: &DevOptions) -> Result<ExitCode> {
    start_logging(&LogSettings {
        level: options.log.clone(),
        file: String::new(),
    })?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signal handlers")?;
    let (folder, temporary) = data_folder(options)?;
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, options.port));
    let deployment = DevDeployment::start(listen, &folder)?;
    deployment.print_guide();
    wait_for_signal(&mut signals);
    println!("stopping: requests in flight finish first");
    deployment.stop();
    drop(temporary);
    Ok(ExitCode::SUCCESS)
}

fn data_folder(options: &DevOptions) -> Result<(PathBuf, Option<tempfile::TempDir>)> {
    if let Some(folder) = &options.data {
        return Ok((folder.clone(), None));
    }
    let temporary = tempfile::tempdir().context("temporary data folder; give --data FOLDER")?;
    Ok((temporary.path().join("control"), Some(temporary)))
}

impl DevDeployment {
    /// Starts all parts and returns once requests can be served.
    pub fn start(listen: SocketAddr, folder: &Path) -> Result<Self> {
        let front = FrontSettings::default();
        let store = weight_store::start(WeightStoreSettings::default(), &front)?;
        let platform = platform::start(PlatformSettings::default(), &front)?;
        let platform_address = platform.address().to_string();
        let engines = start_engines(&front, &store, &platform_address)?;
        let pages = web::start(pages_settings(), &front, Some(&platform_address))?;
        let control = start_control(folder, platform_address)?;
        let router = start_router(listen, &control)?;
        let deployment = DevDeployment {
            router,
            control,
            engines,
            pages,
            platform,
            store,
        };
        deployment.create_objects()?;
        Ok(deployment)
    }

    /// Returns the address of the caller API.
    pub fn address(&self) -> SocketAddr {
        self.router.address()
    }

    /// Returns the address of the administration API.
    pub fn administration_address(&self) -> &str {
        self.control.administration_address()
    }

    /// Returns the address of the router's metrics and `explain` endpoints.
    pub fn metrics_address(&self) -> SocketAddr {
        self.router.metrics_address()
    }

    /// Returns the engines, for their audit counters.
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    fn create_objects(&self) -> Result<()> {
        let text = OBJECTS
            .replace("HASH_DEMO", &key_hash("demo-key"))
            .replace("HASH_GUEST", &key_hash("guest-key"));
        let objects = parse_objects("examples/dev.toml", &text)?;
        let addresses = vec![self.administration_address().to_string()];
        let mut client =
            AdministrationClient::new(addresses, OPERATOR_KEY).with_deadline(START_TIMEOUT);
        apply_all(&mut client, &objects)?;
        wait_for_router(&mut client)?;
        self.wait_for_pages()
    }

    /// Waits until the router routes requests to the web back end.
    fn wait_for_pages(&self) -> Result<()> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let url = format!("http://{}/pages/", self.address());
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let request = agent.get(&url).header("Authorization", "Bearer demo-key");
            if request.call()?.status().as_u16() != UNAVAILABLE {
                return Ok(());
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "the router has no route to the web pages; see the log with --log info"
            );
            std::thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn print_guide(&self) {
        let address = self.address();
        println!("millpass dev is ready.\n");
        println!("callers          http://{address}");
        println!("administration   http://{}", self.administration_address());
        println!(
            "router metrics   http://{}/metrics\n",
            self.metrics_address()
        );
        println!("A streamed completion; the model is cold, so it is loaded first:\n");
        println!(
            "  curl -N http://{address}/v1/completions -H 'Authorization: Bearer demo-key' \\\n    \
             -d '{{\"model\":\"writer\",\"prompt\":\"Hello\",\"max_tokens\":20,\"stream\":true}}'\n"
        );
        println!("One that a policy refuses:\n");
        println!(
            "  curl -i http://{address}/v1/completions -H 'Authorization: Bearer guest-key' \\\n    \
             -d '{{\"model\":\"translator\",\"prompt\":\"Hello\"}}'\n"
        );
        println!("Why, by the X-Request-Id of the answer:\n");
        println!(
            "  millpass explain --router {} REQUEST-ID\n",
            self.metrics_address()
        );
        println!("The operator's view:\n");
        println!(
            "  millpass status --control {} --key {OPERATOR_KEY}\n",
            self.administration_address()
        );
        println!("Stop with Ctrl-C.");
    }

    /// Stops all parts in the order of a planned stop, the router first.
    pub fn stop(self) {
        self.router.drain();
        self.control.drain();
        if let Err(error) = self.control.join() {
            eprintln!("millpass: control: {error:#}");
        }
        for engine in &self.engines {
            engine.stop();
        }
        self.pages.stop();
        self.platform.stop();
        self.store.stop();
    }
}

fn start_engines(
    front: &FrontSettings,
    store: &WeightStoreHandle,
    platform: &str,
) -> Result<Vec<EngineHandle>> {
    let engine_front = EngineFront {
        front: front.clone(),
        store: StoreAccess::At(store.address().to_string()),
        platform: Some(platform.to_owned()),
    };
    let start_engine = |number: usize| {
        let settings = EngineSettings {
            backend: format!("engine-{number}").into(),
            incarnation: new_incarnation(),
            zone: ZONE.into(),
            ..EngineSettings::default()
        };
        engine::start(settings, &engine_front)
    };
    (1..=ENGINE_COUNT).map(start_engine).collect()
}

fn new_incarnation() -> Incarnation {
    Incarnation(uuid::Uuid::new_v4().as_u64_pair().0)
}

fn pages_settings() -> WebSettings {
    WebSettings {
        backend: "pages-1".into(),
        incarnation: new_incarnation(),
        zone: ZONE.into(),
        group: "pages".into(),
        once_prefixes: vec!["/pages/publish".to_owned()],
        ..WebSettings::default()
    }
}

fn start_control(folder: &Path, platform: String) -> Result<ControlHandle> {
    let mut settings = ControlProcessSettings::single(folder);
    settings.zone = ZONE.into();
    settings.platform_address = Some(platform);
    settings.bootstrap_key_hash = Some(key_hash(OPERATOR_KEY));
    settings.scheduling_interval = Duration::from_millis(20);
    Ok(millpass_control::start(settings)?)
}

fn start_router(listen: SocketAddr, control: &ControlHandle) -> Result<RouterHandle> {
    let mut settings = RouterProcessSettings {
        listen,
        ..RouterProcessSettings::default()
    };
    settings.routing.router = "router-1".into();
    settings.routing.zone = ZONE.into();
    settings.control_members = vec![control.peer_address().parse()?];
    millpass_router::start(settings)
}

/// Waits until every router has applied the newest revision.
fn wait_for_router(client: &mut AdministrationClient) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let status = client.status()?;
        let is_current = |router: &millpass_control::api::RouterBody| {
            router.configuration >= status.configuration
        };
        if !status.routers.is_empty() && status.routers.iter().all(is_current) {
            return Ok(());
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "the router received no catalog; see the log with --log info"
        );
        std::thread::sleep(READY_POLL_INTERVAL);
    }
}
