//! Which zone a connection comes from.

use super::UNKNOWN_ZONE;
use async_channel::Sender as AnswerSender;
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

/// Column of a socket's state in the kernel's table, and the state of one whose connection is over.
const STATE_COLUMN: usize = 3;
const TIME_WAIT: &str = "06";
/// Most processes the relay is told of.
const MAXIMUM_PROCESSES: usize = 1_024;
/// Connections whose zone is being found.
const QUEUE: usize = 1_024;
/// Looks at a connection whose process is not yet known.
const ATTEMPTS: usize = 20;
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(25);

/// How the zone of a connecting process is found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SourceRule {
    /// All connections of the link come from this zone.
    Zone(String),
    /// The zone of the connecting process, as told over the control port.
    Process,
}

struct Query {
    from: SocketAddr,
    to: SocketAddr,
    answer: AnswerSender<String>,
}

/// Zones of processes, and the thread that finds the process behind a connection.
///
/// Only the sockets of processes told to the relay are looked at.
#[derive(Clone)]
pub struct SourceZones {
    processes: Arc<Mutex<BTreeMap<i32, String>>>,
    queries: Sender<Query>,
}

impl SourceZones {
    /// Starts the finding thread; it ends with the last clone.
    pub fn start() -> std::io::Result<Self> {
        let processes: Arc<Mutex<BTreeMap<i32, String>>> = Arc::default();
        let (queries, received) = bounded(QUEUE);
        let known = processes.clone();
        thread::Builder::new()
            .name("relay-sources".to_owned())
            .spawn(move || answer_queries(&known, &received))?;
        Ok(SourceZones { processes, queries })
    }

    /// Tells the zone of a process. False when the table is full.
    pub fn set(&self, process: i32, zone: &str) -> bool {
        let mut processes = lock(&self.processes);
        let has_room = processes.len() < MAXIMUM_PROCESSES;
        if has_room || processes.contains_key(&process) {
            processes.insert(process, zone.to_owned());
            return true;
        }
        false
    }

    /// Forgets a process that ended.
    pub fn forget(&self, process: i32) {
        lock(&self.processes).remove(&process);
    }

    /// Zone of the process that made a connection.
    pub async fn find(&self, from: SocketAddr, to: SocketAddr) -> String {
        let (answer, answered) = async_channel::bounded(1);
        let query = Query { from, to, answer };
        if self.queries.try_send(query).is_err() {
            return UNKNOWN_ZONE.to_owned();
        }
        let zone = answered.recv().await;
        zone.unwrap_or_else(|_| UNKNOWN_ZONE.to_owned())
    }
}

fn lock(processes: &Mutex<BTreeMap<i32, String>>) -> MutexGuard<'_, BTreeMap<i32, String>> {
    processes.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer_queries(processes: &Mutex<BTreeMap<i32, String>>, received: &Receiver<Query>) {
    while let Ok(first) = received.recv() {
        let mut open: Vec<Query> = std::iter::once(first).chain(received.try_iter()).collect();
        for _ in 0..ATTEMPTS {
            answer_found(processes, &mut open);
            if open.is_empty() {
                break;
            }
            thread::sleep(PAUSE);
            open.extend(received.try_iter());
        }
        // Dropping what is left answers it as unknown.
    }
}

/// Answers the queries whose process is found and leaves the others.
fn answer_found(processes: &Mutex<BTreeMap<i32, String>>, open: &mut Vec<Query>) {
    let known = lock(processes).clone();
    let inodes = socket_inodes(open);
    let zones = zones_of_inodes(&known, &inodes);
    open.retain(|query| {
        let inode = inodes.get(&(query.from, query.to));
        let Some(zone) = inode.and_then(|inode| zones.get(inode)) else {
            return true;
        };
        // The asking connection may have ended; then nobody needs the answer.
        let _ = query.answer.try_send(zone.clone());
        false
    });
}

/// Inodes of the sockets at the connecting ends.
fn socket_inodes(open: &[Query]) -> BTreeMap<(SocketAddr, SocketAddr), u64> {
    let wanted: BTreeSet<(SocketAddr, SocketAddr)> =
        open.iter().map(|query| (query.from, query.to)).collect();
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

/// Sockets of the machine, without those that only wait for late packets: several soaks side by side leave 60,000 of
/// them, and looks that read all of these held new connections back for 15 s.
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
