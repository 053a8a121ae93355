//! Threads of the router process, from start to stop.

use crate::backend::BackendClient;
use crate::driver::Driver;
use crate::handler::{CallerHandler, ObservationHandler};
use crate::link::{Link, LinkStopper};
use crate::metrics::Metrics;
use crate::models::ModelsView;
use crate::settings::{CallerLimits, RouterProcessSettings};
use crate::watch::Watcher;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use millpass_http::{DrainReport, Server, ServerHandle, ServerSettings};
use millpass_proto::{Incarnation, RouterName};
use millpass_routing::{RequestNumber, RoutingInput};
use millpass_telemetry::ProcessClock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const OBSERVATION_THREADS: usize = 4;
/// Maximum connections of the observation API.
const OBSERVATION_CONNECTIONS: usize = 64;
/// Time for which a drained router keeps its link, to send its last report and claims.
const LINK_DRAIN_TIME: Duration = Duration::from_millis(100);

/// State shared by the request handlers.
pub(crate) struct Shared {
    pub(crate) name: RouterName,
    pub(crate) incarnation: Incarnation,
    pub(crate) driver: Arc<Driver>,
    pub(crate) backends: BackendClient,
    pub(crate) limits: CallerLimits,
    pub(crate) models: Arc<ModelsView>,
    next_request: AtomicU64,
    draining: AtomicBool,
}

impl Shared {
    pub(crate) fn next_request(&self) -> RequestNumber {
        RequestNumber(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Starts a router. It serves until drained or stopped; dropping the handle stops it.
pub fn start(mut settings: RouterProcessSettings) -> anyhow::Result<RouterHandle> {
    let server = Server::bind(settings.listen, caller_server(&settings))?;
    let observation = Server::bind(settings.metrics_listen, observation_server())?;
    if settings.routing.address.is_empty() {
        settings.routing.address = server.local_address().to_string();
    }
    settings.routing.incarnation = Incarnation(rand::random());
    let (drained, on_drained) = bounded(1);
    let driver = Arc::new(Driver::new(
        settings.routing.clone(),
        Metrics::new()?,
        drained,
    ));
    let shared = Arc::new(shared(&settings, driver.clone()));
    let (stop, stopping) = bounded(0);
    let (exited, on_thread_end) = bounded(1);
    let mut threads = Vec::new();
    let ticking = (driver.clone(), stopping.clone(), settings.tick_interval);
    threads.push(spawn("router-ticker", &exited, move || {
        tick(&ticking.0, &ticking.1, ticking.2);
    })?);
    for index in 0..settings.watch.threads.max(1) {
        let watcher = Watcher::new(driver.clone(), settings.watch.clone());
        let stopping = stopping.clone();
        let name = format!("router-watcher-{index}");
        threads.push(spawn(&name, &exited, move || watcher.run(&stopping))?);
    }
    let (link, link_stopper) = Link::new(
        driver.clone(),
        settings.link.clone(),
        settings.control_members.clone(),
        stopping,
    );
    threads.push(spawn("router-link", &exited, move || link.run())?);
    let observation = observation.serve(Arc::new(ObservationHandler {
        shared: shared.clone(),
    }));
    let server = server.serve(Arc::new(CallerHandler {
        shared: shared.clone(),
    }));
    log_start(&settings, &server, &observation);
    Ok(RouterHandle {
        shared,
        server,
        observation,
        drain_grace: settings.drain_grace,
        on_drained,
        link_stopper,
        stop: Mutex::new(Some(stop)),
        threads: Mutex::new(threads),
        on_thread_end,
    })
}

fn shared(settings: &RouterProcessSettings, driver: Arc<Driver>) -> Shared {
    let clock: ProcessClock = driver.clock;
    Shared {
        name: settings.routing.router.clone(),
        incarnation: settings.routing.incarnation,
        backends: BackendClient::new(settings.backends.clone(), clock),
        limits: settings.limits.clone(),
        models: driver.models.clone(),
        driver,
        next_request: AtomicU64::new(1),
        draining: AtomicBool::new(false),
    }
}

/// Allows one thread per connection, so that no request queues where the core cannot see it.
fn caller_server(settings: &RouterProcessSettings) -> ServerSettings {
    ServerSettings {
        name: "router-caller".to_owned(),
        handler_threads: settings.limits.maximum_connections,
        maximum_connections: settings.limits.maximum_connections,
        maximum_body_bytes: settings.limits.maximum_body_bytes,
        header_timeout: settings.limits.header_timeout,
        body_timeout: settings.limits.body_timeout,
        ..ServerSettings::default()
    }
}

fn observation_server() -> ServerSettings {
    ServerSettings {
        name: "router-observation".to_owned(),
        executor_threads: 1,
        handler_threads: OBSERVATION_THREADS,
        maximum_connections: OBSERVATION_CONNECTIONS,
        maximum_body_bytes: 0,
        ..ServerSettings::default()
    }
}

/// Spawns a thread that the router depends on; its exit is signalled on `exited`.
fn spawn(
    name: &str,
    exited: &Sender<()>,
    body: impl FnOnce() + Send + 'static,
) -> anyhow::Result<JoinHandle<()>> {
    let notifier = ExitNotifier(exited.clone());
    let body = move || {
        let _notifier = notifier;
        body();
    };
    Ok(thread::Builder::new().name(name.to_owned()).spawn(body)?)
}

/// Signals the exit of its thread when dropped.
struct ExitNotifier(Sender<()>);

impl Drop for ExitNotifier {
    fn drop(&mut self) {
        // Only the first exit is reported.
        let _ = self.0.try_send(());
    }
}

fn tick(driver: &Driver, stopping: &Receiver<()>, interval: Duration) {
    while stopping.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
        driver.step(RoutingInput::Tick);
    }
}

fn log_start(settings: &RouterProcessSettings, server: &ServerHandle, observation: &ServerHandle) {
    log::info!(
        "event=router_started router={} zone={} incarnation={} address={} metrics={}",
        settings.routing.router,
        settings.routing.zone,
        settings.routing.incarnation,
        server.local_address(),
        observation.local_address(),
    );
}

/// A running router.
pub struct RouterHandle {
    shared: Arc<Shared>,
    server: ServerHandle,
    observation: ServerHandle,
    drain_grace: Duration,
    on_drained: Receiver<()>,
    link_stopper: LinkStopper,
    stop: Mutex<Option<Sender<()>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
    /// Receives a message when the first thread has exited.
    on_thread_end: Receiver<()>,
}

impl RouterHandle {
    /// Calls `act` once a thread that the router depends on has exited, by a panic or a stop. The
    /// router then still accepts connections, but cannot serve them.
    pub fn on_thread_end(&self, act: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let exited = self.on_thread_end.clone();
        let watch = move || {
            // Disconnects without a message if no thread was started.
            let _ = exited.recv();
            act();
        };
        let builder = thread::Builder::new().name("router-end".to_owned());
        builder.spawn(watch).map(drop)
    }

    /// Address of the caller API.
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Address of metrics, health and explanations.
    pub fn metrics_address(&self) -> SocketAddr {
        self.observation.local_address()
    }

    /// Stops gracefully: accepts no new requests, waits for requests in flight for at most the
    /// configured grace period, notifies the control group and stops.
    pub fn drain(&self) -> DrainReport {
        self.shared.draining.store(true, Ordering::Release);
        self.shared.driver.step(RoutingInput::Drain);
        let report = self.server.drain(self.drain_grace);
        // The core's notification may arrive shortly after the last response.
        let _ = self.on_drained.recv_timeout(LINK_DRAIN_TIME);
        thread::sleep(LINK_DRAIN_TIME);
        let (finished, cut) = (report.finished, report.cut);
        log::info!("event=router_drained finished={finished} cut={cut}");
        self.stop();
        report
    }

    /// Stops immediately, aborting requests in flight.
    pub fn stop(&self) {
        self.shared.draining.store(true, Ordering::Release);
        self.server.stop();
        for entry in self.shared.driver.requests.all() {
            entry.finish_with(crate::requests::Signal::CallerGone);
        }
        self.observation.stop();
        let stop = self
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        drop(stop);
        self.link_stopper.shut_down();
        self.join();
    }

    /// Waits until the router's threads have exited.
    pub fn join(&self) {
        let threads = {
            let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *threads)
        };
        for thread in threads {
            if thread.join().is_err() {
                log::error!("event=router_thread_panicked");
            }
        }
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
