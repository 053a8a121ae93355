//! Startup, serving and shutdown of the gateway process.

use crate::freshness;
use crate::interface::Interface;
use crate::link;
use crate::metrics::Metrics;
use crate::pauses;
use crate::probe;
use crate::server::{self, Service};
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future;
use millpass_dispatch::PeerEndpoint;
use millpass_telemetry::{Heartbeat, SuspensionDetector, event_line};
use rand::RngExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two sweeps of the connection pool.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the gateway could not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error(
        "cannot listen on {address}: {source}; stop the process that holds the port, or choose \
         another address in the settings"
    )]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Metrics could not be set up.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A gateway that is bound to its addresses but does not serve yet.
pub struct Gateway {
    shared: Arc<Shared>,
    listeners: Vec<(Async<TcpListener>, Service)>,
    heartbeat: Heartbeat,
}

impl Gateway {
    /// Binds the listeners; port 0 picks a free port.
    pub fn bind(
        settings: GatewaySettings,
        interface: Arc<dyn Interface>,
    ) -> Result<Gateway, GatewayError> {
        let addresses = [
            (settings.listen, Service::Callers),
            (settings.ready_listen, Service::Readiness),
            (settings.metrics_listen, Service::Metrics),
            (settings.peer_listen, Service::Peers),
        ];
        let mut listeners = Vec::new();
        for (address, service) in addresses {
            let listener = server::listen(address)
                .map_err(|source| GatewayError::Listen { address, source })?;
            listeners.push((listener, service));
        }
        // Leaked, as tasks need it for the lifetime of the process.
        let executor: &'static Executor<'static> = Box::leak(Box::new(Executor::new()));
        let peer_address = bound_address(&listeners, Service::Peers, settings.peer_listen);
        let endpoint = PeerEndpoint {
            address: peer_address.to_string(),
            key: random_key(),
        };
        let metrics = Metrics::new()?;
        let shared = Shared::new(settings, interface, metrics, executor, endpoint);
        Ok(Gateway {
            shared: Arc::new(shared),
            listeners,
            heartbeat: Heartbeat::default(),
        })
    }

    /// Returns the bound addresses for callers, readiness, metrics and other gateways, in this order.
    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.listeners
            .iter()
            .map(|(listener, _)| listener.get_ref().local_addr())
            .collect()
    }

    /// Returns the heartbeat of the serving thread, for a watchdog; it beats about once a second.
    pub fn heartbeat(&self) -> Heartbeat {
        self.heartbeat.clone()
    }

    /// Serves on this thread until `stop` completes, then drains requests in flight within the
    /// grace period.
    pub fn run(self, stop: impl Future<Output = ()>) {
        let shared = self.shared;
        let executor = shared.executor;
        for (listener, service) in self.listeners {
            let accepting = server::accept(listener, shared.clone(), service);
            executor.spawn(accepting).detach();
        }
        executor.spawn(link::run(shared.clone())).detach();
        executor.spawn(freshness::run(shared.clone())).detach();
        executor
            .spawn(sweep(shared.clone(), self.heartbeat))
            .detach();
        executor.spawn(probe::run(shared.clone())).detach();
        executor.spawn(pauses::run(shared.clone())).detach();
        let pairs = [
            ("gateway", shared.settings.dispatch.name.clone()),
            ("zone", shared.settings.dispatch.zone.0.clone()),
            ("listen", shared.settings.listen.to_string()),
            ("members", format!("{:?}", shared.settings.members)),
        ];
        log::info!("{}", event_line("gateway_started", &pairs));
        let serving = async {
            stop.await;
            drain(&shared).await;
        };
        async_io::block_on(executor.run(serving));
    }
}

/// Returns the address that a service is bound to, which differs from the settings for port 0.
fn bound_address(
    listeners: &[(Async<TcpListener>, Service)],
    service: Service,
    configured: SocketAddr,
) -> SocketAddr {
    let listener = listeners.iter().find(|(_, found)| *found == service);
    let bound = listener.and_then(|(listener, _)| listener.get_ref().local_addr().ok());
    bound.unwrap_or(configured)
}

/// Returns a secret of 128 random bits.
fn random_key() -> String {
    let bits: u128 = rand::rng().random();
    format!("{bits:032x}")
}

async fn sweep(shared: Arc<Shared>, heartbeat: Heartbeat) {
    let mut suspensions = SuspensionDetector::default();
    loop {
        heartbeat.beat();
        Timer::after(SWEEP_INTERVAL).await;
        shared.pool.sweep();
        shared.peer_pool.sweep();
        if let Some(time) = suspensions.check() {
            let millis = time.as_millis();
            log::warn!("event=machine_suspended suspended_ms={millis}");
        }
    }
}

/// Drains the gateway. At once it reports not ready and closes each connection after its response.
/// After `drain_accept` it accepts no new connections and closes idle ones. Returns when no
/// connection is left or `drain_grace` has elapsed.
async fn drain(shared: &Shared) {
    shared.draining.store(true, Ordering::Release);
    let started = shared.now();
    let end = started + shared.settings.drain_grace;
    shared.core().stop_at(end);
    // States that requests of other gateways are no longer taken.
    shared.report.notify(1);
    // Wake waiting requests, which must not wait any longer.
    shared.changed.notify(usize::MAX);
    shared.notify_called();
    let in_flight = shared.in_flight.load(Ordering::Acquire);
    log::info!("event=gateway_draining in_flight={in_flight}");
    loop {
        Timer::after(DRAIN_POLL_INTERVAL).await;
        let elapsed = shared.now().since(started);
        let no_requests = shared.in_flight.load(Ordering::Acquire) == 0;
        let no_connections = shared.connections.load(Ordering::Acquire) == 0;
        let accept_elapsed = elapsed >= shared.settings.drain_accept;
        if accept_elapsed {
            shared.start_closing();
        }
        if (no_requests && no_connections && accept_elapsed)
            || elapsed >= shared.settings.drain_grace
        {
            break;
        }
    }
    let cut = shared.in_flight.load(Ordering::Acquire);
    log::info!("event=gateway_stopped cut={cut}");
    future::yield_now().await;
}
