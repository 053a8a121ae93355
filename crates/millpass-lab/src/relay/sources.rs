//! Looks up the source zone of a connection through the process that opened it.

use super::UNKNOWN_ZONE;
use async_channel::Sender as ResponseSender;
use crossbeam::channel::{Receiver, Sender, bounded};
use procfs::net::{TcpNetEntries, TcpNetEntry};
use procfs::process::{FDTarget, Process};
use procfs::{FromBufReadSI, ProcResult};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Column of the socket state in `/proc/net/tcp`, and the value of `TIME_WAIT`.
const STATE_COLUMN: usize = 3;
const TIME_WAIT: &str = "06";
/// Maximum number of registered processes.
const MAXIMUM_PROCESSES: usize = 1_024;
/// Capacity of the query queue.
const QUEUE_CAPACITY: usize = 1_024;
/// Lookup attempts per connection.
const ATTEMPTS: usize = 20;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// How the source zone of a connection is determined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SourceRule {
    /// A fixed zone for all connections of the link.
    Zone(String),
    /// The zone registered for the connecting process over the control port.
    Process,
}

struct Query {
    from: SocketAddr,
    to: SocketAddr,
    responder: ResponseSender<String>,
}

/// Zones of registered processes, and a thread that maps connections to them.
///
/// Only the sockets of registered processes are inspected.
#[derive(Clone)]
pub struct SourceZones {
    processes: Arc<Mutex<BTreeMap<i32, String>>>,
    queries: Sender<Query>,
}

impl SourceZones {
    /// Starts the lookup thread; it ends when the last clone is dropped.
    pub fn start() -> std::io::Result<Self> {
        let processes: Arc<Mutex<BTreeMap<i32, String>>> = Arc::default();
        let (queries, received) = bounded(QUEUE_CAPACITY);
        let known = processes.clone();
        thread::Builder::new()
            .name("relay-sources".to_owned())
            .spawn(move || resolve_queries(&known, &received))?;
        Ok(SourceZones { processes, queries })
    }

    /// Registers the zone of a process. Returns false if the table is full.
    pub fn set(&self, process: i32, zone: &str) -> bool {
        let mut processes = lock(&self.processes);
        let has_capacity = processes.len() < MAXIMUM_PROCESSES;
        if has_capacity || processes.contains_key(&process) {
            processes.insert(process, zone.to_owned());
            return true;
        }
        false
    }

    /// Removes a process that ended.
    pub fn remove(&self, process: i32) {
        lock(&self.processes).remove(&process);
    }

    /// Returns the zone of the process that opened a connection, or [`UNKNOWN_ZONE`].
    pub async fn find(&self, from: SocketAddr, to: SocketAddr) -> String {
        let (responder, response) = async_channel::bounded(1);
        let query = Query {
            from,
            to,
            responder,
        };
        if self.queries.try_send(query).is_err() {
            return UNKNOWN_ZONE.to_owned();
        }
        let zone = response.recv().await;
        zone.unwrap_or_else(|_| UNKNOWN_ZONE.to_owned())
    }
}

fn lock(processes: &Mutex<BTreeMap<i32, String>>) -> MutexGuard<'_, BTreeMap<i32, String>> {
    processes.lock().unwrap_or_else(PoisonError::into_inner)
}

fn resolve_queries(processes: &Mutex<BTreeMap<i32, String>>, received: &Receiver<Query>) {
    while let Ok(first) = received.recv() {
        let mut pending: Vec<Query> = std::iter::once(first).chain(received.try_iter()).collect();
        for _ in 0..ATTEMPTS {
            resolve_found(processes, &mut pending);
            if pending.is_empty() {
                break;
            }
            thread::sleep(RETRY_DELAY);
            pending.extend(received.try_iter());
        }
        // Dropping the remaining queries resolves them as unknown.
    }
}

/// Resolves the queries whose process is found and keeps the others.
fn resolve_found(processes: &Mutex<BTreeMap<i32, String>>, pending: &mut Vec<Query>) {
    let known = lock(processes).clone();
    let inodes = socket_inodes(pending);
    let zones = zones_of_inodes(&known, &inodes);
    pending.retain(|query| {
        let inode = inodes.get(&(query.from, query.to));
        let Some(zone) = inode.and_then(|inode| zones.get(inode)) else {
            return true;
        };
        // Fails if the connection has already closed.
        let _ = query.responder.try_send(zone.clone());
        false
    });
}

/// Returns the inodes of the client sockets.
fn socket_inodes(pending: &[Query]) -> BTreeMap<(SocketAddr, SocketAddr), u64> {
    let wanted: BTreeSet<(SocketAddr, SocketAddr)> =
        pending.iter().map(|query| (query.from, query.to)).collect();
    open_sockets()
        .unwrap_or_else(|error| {
            log::warn!("event=sockets_unreadable error=\"{error}\"");
            Vec::new()
        })
        .into_iter()
        .map(|entry| ((entry.local_address, entry.remote_address), entry.inode))
        .filter(|(pair, inode)| *inode != 0 && wanted.contains(pair))
        .collect()
}

/// Reads the TCP sockets of the machine. Skips those in `TIME_WAIT`: parsing tens of thousands of
/// them would delay new connections.
fn open_sockets() -> ProcResult<Vec<TcpNetEntry>> {
    let text = std::fs::read_to_string("/proc/net/tcp")?;
    let is_open = |line: &&str| line.split_whitespace().nth(STATE_COLUMN) != Some(TIME_WAIT);
    let open: Vec<&str> = text.lines().filter(is_open).collect();
    let open = open.join("\n");
    let entries = TcpNetEntries::from_buf_read(open.as_bytes(), procfs::current_system_info())?;
    Ok(entries.0)
}

fn zones_of_inodes(
    known: &BTreeMap<i32, String>,
    inodes: &BTreeMap<(SocketAddr, SocketAddr), u64>,
) -> BTreeMap<u64, String> {
    let wanted: BTreeSet<u64> = inodes.values().copied().collect();
    let mut zones = BTreeMap::new();
    for (process, zone) in known {
        let descriptors = Process::new(*process).and_then(|process| process.fd());
        for descriptor in descriptors.into_iter().flatten().flatten() {
            if let FDTarget::Socket(inode) = descriptor.target
                && wanted.contains(&inode)
            {
                zones.insert(inode, zone.clone());
            }
        }
    }
    zones
}
