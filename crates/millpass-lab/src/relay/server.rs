//! The relay process: links, their listeners and the executor threads.

use super::connection::{Carried, carry};
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

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Threads that carry all connections.
const EXECUTOR_THREADS: usize = 2;

/// One link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Name in the status.
    pub name: String,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address to connect on to.
    pub target: SocketAddr,
    /// Zone of the target.
    pub target_zone: String,
    /// Zone of the connecting side.
    pub source: SourceRule,
}

/// What a relay process carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Address of the control port.
    pub control_listen: SocketAddr,
    /// Most connections at once over all links; one more is closed at once.
    pub maximum_connections: usize,
    /// Delay inside a zone.
    pub within_zone: PathSettings,
    /// Delay between zones.
    pub between_zones: PathSettings,
    /// Delays of single ordered pairs.
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

/// Why a relay could not start.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// A link's address cannot be listened on.
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
    #[error("cannot start a relay thread: {0}; raise the limit of threads")]
    Thread(io::Error),
}

struct Link {
    settings: LinkSettings,
    address: SocketAddr,
    carried: Carried,
    accepted: AtomicU64,
    unknown: AtomicU64,
}

struct Shared {
    paths: PathTable,
    sources: SourceZones,
    links: Vec<Arc<Link>>,
    open: AtomicUsize,
    refused: AtomicU64,
    maximum: usize,
}

/// A running relay; dropping it ends its threads and connections.
pub struct Relay {
    shared: Arc<Shared>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Listens on all links and starts carrying. The control port is served separately.
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
                carried: Carried::default(),
                accepted: AtomicU64::new(0),
                unknown: AtomicU64::new(0),
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
                    // The channel closes when the relay is dropped; that is the only message.
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

    /// Address of the link of this name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let mut links = self.shared.links.iter();
        let found = links.find(|link| link.settings.name == name)?;
        Some(found.address)
    }

    /// Delays and cuts.
    pub fn paths(&self) -> &PathTable {
        &self.shared.paths
    }

    /// Zones of processes.
    pub fn sources(&self) -> &SourceZones {
        &self.shared.sources
    }

    /// Counters of all links.
    pub fn status(&self) -> RelayStatus {
        let link_status = |link: &Arc<Link>| LinkStatus {
            name: link.settings.name.clone(),
            address: link.address,
            accepted: link.accepted.load(Ordering::Relaxed),
            unknown_sources: link.unknown.load(Ordering::Relaxed),
            forward_bytes: link.carried.forward.load(Ordering::Relaxed),
            backward_bytes: link.carried.backward.load(Ordering::Relaxed),
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
            // A relay thread that panicked has nothing left to wait for.
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
        let carrying = async move {
            carry_from(stream, from, &link, &shared, number).await;
            shared.open.fetch_sub(1, Ordering::Relaxed);
        };
        executor.spawn(carrying).detach();
    }
}

async fn carry_from(
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
        link.unknown.fetch_add(1, Ordering::Relaxed);
    }
    let pair = PathKey::new(&zone, &link.settings.target_zone);
    let target = link.settings.target;
    let paths = shared.paths.clone();
    // A connection that breaks is seen by its two ends; the relay has nothing to add.
    let _ = carry(stream, target, pair, paths, &link.carried, number).await;
}
