//! Relay server: links, their listeners and the executor threads.

use super::connection::{ForwardedBytes, forward_connection};
use super::control::{LinkStatus, RelayStatus};
use super::paths::{PathKey, PathSettings, PathTable};
use super::sources::{SourceRule, SourceZones};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Threads that serve all connections.
const EXECUTOR_THREADS: usize = 2;

/// Settings of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Name in the status.
    pub name: String,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
    /// Zone of the target.
    pub target_zone: String,
    /// Zone of the connecting side.
    pub source: SourceRule,
}

/// Settings of a relay process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Address of the control port.
    pub control_listen: SocketAddr,
    /// Maximum open connections over all links; further ones are closed immediately.
    pub maximum_connections: usize,
    /// Delay inside a zone.
    pub within_zone: PathSettings,
    /// Delay between zones.
    pub between_zones: PathSettings,
    /// Delays of individual ordered pairs.
    #[serde(default)]
    pub paths: Vec<PathEntry>,
    /// Links.
    pub links: Vec<LinkSettings>,
}

/// Delay of one ordered pair of zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathEntry {
    /// Pair.
    pub pair: PathKey,
    /// Delay.
    pub settings: PathSettings,
}

/// Reason why a relay cannot start.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The listen address of a link is unavailable.
    #[error("link {name}: cannot listen on {address}: {source}; choose a free address")]
    Listen {
        /// Link.
        name: String,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a relay thread: {0}; raise the thread limit")]
    Thread(io::Error),
}

struct Link {
    settings: LinkSettings,
    address: SocketAddr,
    forwarded: ForwardedBytes,
    accepted: AtomicU64,
    unknown_sources: AtomicU64,
}

struct Shared {
    paths: PathTable,
    sources: SourceZones,
    links: Vec<Arc<Link>>,
    open: AtomicUsize,
    refused: AtomicU64,
    maximum: usize,
}

/// A running relay; dropping it stops its threads and closes its connections.
pub struct Relay {
    shared: Arc<Shared>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Binds all links and starts forwarding. The control port is served separately.
    pub fn start(settings: &RelaySettings) -> Result<Self, RelayError> {
        let paths = PathTable::new(settings.within_zone, settings.between_zones);
        for entry in &settings.paths {
            paths.set(entry.pair.clone(), entry.settings);
        }
        let mut links = Vec::new();
        let mut listeners = Vec::new();
        for link in &settings.links {
            let listener = listen(link)?;
            let address = listener.get_ref().local_addr();
            let address = address.map_err(|source| listen_error(link, source))?;
            listeners.push(listener);
            links.push(Arc::new(Link {
                settings: link.clone(),
                address,
                forwarded: ForwardedBytes::default(),
                accepted: AtomicU64::new(0),
                unknown_sources: AtomicU64::new(0),
            }));
        }
        let shared = Arc::new(Shared {
            paths,
            sources: SourceZones::start().map_err(RelayError::Thread)?,
            links,
            open: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            maximum: settings.maximum_connections,
        });
        Self::start_threads(shared, listeners)
    }

    fn start_threads(
        shared: Arc<Shared>,
        listeners: Vec<Async<TcpListener>>,
    ) -> Result<Self, RelayError> {
        let executor = Arc::new(Executor::new());
        for (listener, link) in listeners.into_iter().zip(&shared.links) {
            let accepting = accept(
                listener,
                link.clone(),
                shared.clone(),
                Arc::downgrade(&executor),
            );
            executor.spawn(accepting).detach();
        }
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut threads = Vec::new();
        for number in 0..EXECUTOR_THREADS {
            let (executor, stopped) = (executor.clone(), stopped.clone());
            let thread = thread::Builder::new()
                .name(format!("relay-{number}"))
                .spawn(move || {
                    // Returns when the channel closes; nothing is ever sent on it.
                    let _ = future::block_on(executor.run(stopped.recv()));
                })
                .map_err(RelayError::Thread)?;
            threads.push(thread);
        }
        Ok(Relay {
            shared,
            stop: Some(stop),
            threads,
        })
    }

    /// Returns the listen address of a link.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let mut links = self.shared.links.iter();
        let found = links.find(|link| link.settings.name == name)?;
        Some(found.address)
    }

    /// Returns the table of delays and cuts.
    pub fn paths(&self) -> &PathTable {
        &self.shared.paths
    }

    /// Returns the zones of processes.
    pub fn sources(&self) -> &SourceZones {
        &self.shared.sources
    }

    /// Returns the counters of all links.
    pub fn status(&self) -> RelayStatus {
        let link_status = |link: &Arc<Link>| LinkStatus {
            name: link.settings.name.clone(),
            address: link.address,
            accepted: link.accepted.load(Ordering::Relaxed),
            unknown_sources: link.unknown_sources.load(Ordering::Relaxed),
            forward_bytes: link.forwarded.forward.load(Ordering::Relaxed),
            backward_bytes: link.forwarded.backward.load(Ordering::Relaxed),
        };
        RelayStatus {
            links: self.shared.links.iter().map(link_status).collect(),
            cuts: self.shared.paths.cuts(),
            open_connections: self.shared.open.load(Ordering::Relaxed) as u64,
            refused_connections: self.shared.refused.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        drop(self.stop.take());
        for thread in self.threads.drain(..) {
            // The panic message of the thread is already printed.
            let _ = thread.join();
        }
    }
}

fn listen(link: &LinkSettings) -> Result<Async<TcpListener>, RelayError> {
    Async::<TcpListener>::bind(link.listen).map_err(|source| listen_error(link, source))
}

fn listen_error(link: &LinkSettings, source: io::Error) -> RelayError {
    RelayError::Listen {
        name: link.name.clone(),
        address: link.listen,
        source,
    }
}

async fn accept(
    listener: Async<TcpListener>,
    link: Arc<Link>,
    shared: Arc<Shared>,
    executor: std::sync::Weak<Executor<'static>>,
) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(executor) = executor.upgrade() else {
            return;
        };
        if shared.open.load(Ordering::Relaxed) >= shared.maximum {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let number = link.accepted.fetch_add(1, Ordering::Relaxed);
        shared.open.fetch_add(1, Ordering::Relaxed);
        let (link, shared) = (link.clone(), shared.clone());
        let connection = async move {
            handle_connection(stream, from, &link, &shared, number).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        };
        executor.spawn(connection).detach();
    }
}

async fn handle_connection(
    stream: Async<TcpStream>,
    from: SocketAddr,
    link: &Link,
    shared: &Shared,
    number: u64,
) {
    let zone = match &link.settings.source {
        SourceRule::Zone(zone) => zone.clone(),
        SourceRule::Process => shared.sources.find(from, link.address).await,
    };
    if zone == super::UNKNOWN_ZONE {
        link.unknown_sources.fetch_add(1, Ordering::Relaxed);
    }
    let pair = PathKey::new(&zone, &link.settings.target_zone);
    let target = link.settings.target;
    let paths = shared.paths.clone();
    // The two ends observe a broken connection themselves.
    let _ = forward_connection(stream, target, pair, paths, &link.forwarded, number).await;
}
