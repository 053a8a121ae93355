//! Runs all hollow routers on a few threads and collects their counters.

use crate::engines::Engines;
use crate::router::{HollowRouter, RequestTarget};
use async_executor::Executor;
use millpass_proto::{RouterUpdate, codec};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration as StdDuration, Instant};

/// Threads that run all routers.
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
    /// Time of application.
    pub at: Instant,
}

/// Samples collected during a phase.
#[derive(Default)]
pub struct Records {
    /// Time from each report to its update.
    pub response_times: Vec<StdDuration>,
    /// Catalog deltas applied.
    pub applied: Vec<Applied>,
    /// Time from each waiting request to a loaded replica in the routes.
    pub loads: Vec<StdDuration>,
    /// Time from each claim to its grant.
    pub claims: Vec<StdDuration>,
    /// Claims not granted.
    pub claims_refused: u64,
}

/// Byte counters by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    /// Sent by routers.
    pub sent: u64,
    /// Received by routers.
    pub received: u64,
    /// Of `received`, catalog deltas.
    pub configuration: u64,
    /// Of `received`, route deltas.
    pub placement: u64,
    /// Of `received`, watch lists.
    pub watch: u64,
    /// Number of watch lists received.
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
    /// By router: newest term of a response, and time of the first response in it.
    first_responses: Vec<Mutex<(u64, Option<Instant>)>>,
    bytes: Mutex<Bytes>,
    records: Mutex<Records>,
    reports: AtomicU64,
    claiming: AtomicBool,
}

impl Routers {
    /// Creates `count` routers that are not running yet.
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
            first_responses: (0..count).map(|_| Mutex::default()).collect(),
            bytes: Mutex::default(),
            records: Mutex::default(),
            reports: AtomicU64::new(0),
            claiming: AtomicBool::new(false),
        })
    }

    /// Runs the routers with these numbers until the handle is dropped.
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
                    // Returns an error when the channel is closed; nothing is ever sent.
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

    /// Returns the number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Returns whether there are no routers.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns a router; the number wraps around.
    pub fn router(&self, number: usize) -> &HollowRouter {
        &self.routers[number % self.routers.len()]
    }

    /// Adds a waiting request at one router.
    pub fn add_waiting(&self, router: usize, target: RequestTarget) {
        self.router(router).add_waiting(target);
    }

    /// Returns when each of the first `count` routers received its first response in a term above
    /// `term`; `None` until all have received one.
    pub fn responded_above_term(&self, term: u64, count: usize) -> Option<Vec<Instant>> {
        let first_responses = self.first_responses.iter().take(count).map(lock);
        first_responses
            .map(|first| first.1.filter(|_| first.0 > term))
            .collect()
    }

    /// Returns the highest term in which a router received a response.
    pub fn term(&self) -> u64 {
        let terms = self.first_responses.iter().map(|first| lock(first).0);
        terms.max().unwrap_or(0)
    }

    /// Returns the total number of back ends watched by all routers.
    pub fn watched(&self) -> usize {
        self.routers.iter().map(HollowRouter::watched).sum()
    }

    /// Returns the byte counters and the number of reports with a response.
    pub fn bytes(&self) -> (Bytes, u64) {
        (*lock(&self.bytes), self.reports.load(Ordering::Relaxed))
    }

    /// Returns and resets the samples.
    pub fn take_records(&self) -> Records {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Sets whether a finished claim is followed by another.
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

    pub(crate) fn loaded(&self, time: StdDuration) {
        lock(&self.records).loads.push(time);
    }

    pub(crate) fn claim_granted(&self, time: StdDuration) {
        lock(&self.records).claims.push(time);
    }

    pub(crate) fn claim_refused(&self) {
        lock(&self.records).claims_refused += 1;
    }

    pub(crate) fn record_update(
        &self,
        router: usize,
        update: &RouterUpdate,
        sent: Option<Instant>,
        at: Instant,
    ) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        self.record_term(router, update.term, at);
        self.record_bytes(update);
        let mut records = lock(&self.records);
        records
            .response_times
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

    /// Records the first response in each term.
    fn record_term(&self, router: usize, term: u64, at: Instant) {
        let mut first = lock(&self.first_responses[router]);
        if term > first.0 {
            *first = (term, Some(at));
        }
    }

    fn record_bytes(&self, update: &RouterUpdate) {
        let mut bytes = lock(&self.bytes);
        bytes.configuration += encoded_bytes(&update.configuration);
        bytes.placement += encoded_bytes(&update.placement);
        bytes.watch += encoded_bytes(&update.watch);
        bytes.watch_lists += u64::from(update.watch.is_some());
    }
}

/// Returns the encoded size of a part; 0 if absent.
fn encoded_bytes<T: serde::Serialize>(part: &Option<T>) -> u64 {
    let encoded = part.as_ref().map(codec::encode);
    encoded
        .and_then(Result::ok)
        .map_or(0, |bytes| bytes.len() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running routers; dropping it stops them.
pub struct RoutersHandle {
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for RoutersHandle {
    fn drop(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                eprintln!("a hollow router thread panicked");
            }
        }
    }
}
