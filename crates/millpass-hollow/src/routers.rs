//! All hollow routers on a few threads, and what they count.

use crate::engines::Engines;
use crate::router::{HollowRouter, Wanted};
use async_executor::Executor;
use millpass_proto::{RouterUpdate, codec};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration as Length, Instant};

/// Threads that carry all routers.
const THREADS: usize = 2;

/// A catalog delta that a router applied.
#[derive(Clone, Copy, Debug)]
pub struct Applied {
    /// Number of the router.
    pub router: usize,
    /// Revision before.
    pub from: u64,
    /// Revision after.
    pub to: u64,
    /// When.
    pub at: Instant,
}

/// Times and places that the phases look at.
#[derive(Default)]
pub struct Records {
    /// Time from a report to its update.
    pub answers: Vec<Length>,
    /// Catalog deltas applied.
    pub applied: Vec<Applied>,
    /// Time from a waiting request to a loaded replica in the routes.
    pub loads: Vec<Length>,
    /// Time from a claim to its grant.
    pub claims: Vec<Length>,
    /// Claims not granted.
    pub claims_refused: u64,
}

/// Bytes by what they are for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    /// Frames of routers.
    pub sent: u64,
    /// Frames of members.
    pub received: u64,
    /// Of `received`, catalog deltas.
    pub configuration: u64,
    /// Of `received`, route deltas.
    pub placement: u64,
    /// Of `received`, shares to watch.
    pub watch: u64,
    /// Shares to watch received.
    pub watch_lists: u64,
}

/// State that all routers share.
pub struct Routers {
    /// Peer addresses of the members.
    pub members: Vec<SocketAddr>,
    /// Engines that they watch.
    pub engines: Arc<Engines>,
    /// Models with demand in each report.
    pub demand: usize,
    /// Models of the catalog.
    pub models: usize,
    routers: Vec<HollowRouter>,
    /// Last term under which each router was answered, and when.
    answered: Vec<Mutex<(u64, Option<Instant>)>>,
    bytes: Mutex<Bytes>,
    records: Mutex<Records>,
    reports: AtomicU64,
    claiming: AtomicBool,
}

impl Routers {
    /// This many routers, not yet running.
    pub fn new(
        count: usize,
        members: Vec<SocketAddr>,
        engines: Arc<Engines>,
        demand: usize,
        models: usize,
    ) -> Arc<Self> {
        Arc::new(Routers {
            members,
            engines,
            demand,
            models,
            routers: (0..count).map(HollowRouter::new).collect(),
            answered: (0..count).map(|_| Mutex::default()).collect(),
            bytes: Mutex::default(),
            records: Mutex::default(),
            reports: AtomicU64::new(0),
            claiming: AtomicBool::new(false),
        })
    }

    /// Runs these until the handle is dropped.
    pub fn start(self: &Arc<Self>, numbers: Range<usize>) -> RoutersHandle {
        let executor = Arc::new(Executor::new());
        let (stop, stopping) = async_channel::bounded::<()>(1);
        for number in numbers {
            let routers = self.clone();
            let task = executor.spawn(async move { routers.routers[number].run(&routers).await });
            task.detach();
        }
        let threads = (0..THREADS).map(|_| {
            let (executor, stopping) = (executor.clone(), stopping.clone());
            thread::spawn(move || {
                let stopped = async {
                    // Ends with an error, as nothing is ever sent.
                    let _ = stopping.recv().await;
                };
                async_io::block_on(executor.run(stopped));
            })
        });
        RoutersHandle {
            stop: Some(stop),
            threads: threads.collect(),
        }
    }

    /// Number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// One router.
    pub fn router(&self, number: usize) -> &HollowRouter {
        &self.routers[number % self.routers.len()]
    }

    /// Lets a request wait at one router.
    pub fn want(&self, router: usize, wanted: Wanted) {
        self.router(router).want(wanted);
    }

    /// When the first answer under the newest term, if above `term`, reached each of the first
    /// `count` routers; none until all have one.
    pub fn answered_above(&self, term: u64, count: usize) -> Option<Vec<Instant>> {
        let answered = self.answered.iter().take(count).map(lock);
        answered
            .map(|answered| answered.1.filter(|_| answered.0 > term))
            .collect()
    }

    /// Highest term under which a router was answered.
    pub fn term(&self) -> u64 {
        let terms = self.answered.iter().map(|answered| lock(answered).0);
        terms.max().unwrap_or(0)
    }

    /// Back ends watched by all routers together.
    pub fn watched(&self) -> usize {
        self.routers.iter().map(HollowRouter::watched).sum()
    }

    /// Bytes so far, and reports answered.
    pub fn bytes(&self) -> (Bytes, u64) {
        (*lock(&self.bytes), self.reports.load(Ordering::Relaxed))
    }

    /// Takes what was recorded since the last call.
    pub fn take_records(&self) -> Records {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Begins or ends the phase in which each claim is followed by another.
    pub fn set_claiming(&self, claiming: bool) {
        self.claiming.store(claiming, Ordering::Relaxed);
    }

    pub(crate) fn claiming(&self) -> bool {
        self.claiming.load(Ordering::Relaxed)
    }

    pub(crate) fn sent(&self, bytes: usize) {
        lock(&self.bytes).sent += bytes as u64;
    }

    pub(crate) fn received(&self, bytes: usize) {
        lock(&self.bytes).received += bytes as u64;
    }

    pub(crate) fn loaded(&self, time: Length) {
        lock(&self.records).loads.push(time);
    }

    pub(crate) fn claim_granted(&self, time: Length) {
        lock(&self.records).claims.push(time);
    }

    pub(crate) fn claim_refused(&self) {
        lock(&self.records).claims_refused += 1;
    }

    pub(crate) fn updated(
        &self,
        router: usize,
        update: &RouterUpdate,
        sent: Option<Instant>,
        at: Instant,
    ) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        self.note_term(router, update.term, at);
        self.note_bytes(update);
        let mut records = lock(&self.records);
        records
            .answers
            .extend(sent.map(|sent| at.duration_since(sent)));
        if let Some(delta) = &update.configuration {
            records.applied.push(Applied {
                router,
                from: if delta.full { 0 } else { delta.from.0 },
                to: delta.to.0,
                at,
            });
        }
    }

    /// Keeps the first answer under each term.
    fn note_term(&self, router: usize, term: u64, at: Instant) {
        let mut answered = lock(&self.answered[router]);
        if term > answered.0 {
            *answered = (term, Some(at));
        }
    }

    fn note_bytes(&self, update: &RouterUpdate) {
        let mut bytes = lock(&self.bytes);
        bytes.configuration += encoded_bytes(&update.configuration);
        bytes.placement += encoded_bytes(&update.placement);
        bytes.watch += encoded_bytes(&update.watch);
        bytes.watch_lists += u64::from(update.watch.is_some());
    }
}

/// Length of the encoding of an optional part; its absence counts nothing.
fn encoded_bytes<T: serde::Serialize>(part: &Option<T>) -> u64 {
    let encoded = part.as_ref().map(codec::encode);
    encoded
        .and_then(Result::ok)
        .map_or(0, |bytes| bytes.len() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running routers. Dropping it ends them.
pub struct RoutersHandle {
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for RoutersHandle {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                eprintln!("a thread of the hollow routers panicked");
            }
        }
    }
}
