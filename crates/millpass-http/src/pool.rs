//! Bounded pool of handler threads, grown on demand.

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a handler thread. Handlers keep large values on the heap.
const STACK_BYTES: usize = 256 * 1024;
/// How long an idle thread waits for work before it ends.
const IDLE_TIME: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs on at most `maximum` threads; more jobs wait. Their number is bounded by the
/// server's limit of connections, each of which has one request at a time.
pub(crate) struct Pool {
    shared: Arc<Shared>,
    maximum: usize,
    name: String,
}

struct Shared {
    jobs: Sender<Job>,
    waiting: Receiver<Job>,
    counts: Mutex<Counts>,
}

/// Counts kept so that a job never waits while a thread could be added.
struct Counts {
    threads: usize,
    /// Idle threads less the jobs queued for them; negative when jobs wait for busy threads.
    available: isize,
}

impl Pool {
    pub(crate) fn new(name: &str, maximum: usize) -> Self {
        let (jobs, waiting) = unbounded();
        let counts = Mutex::new(Counts {
            threads: 0,
            available: 0,
        });
        Pool {
            shared: Arc::new(Shared {
                jobs,
                waiting,
                counts,
            }),
            maximum: maximum.max(1),
            name: name.to_owned(),
        }
    }

    /// Runs a job on an idle thread, on a new one, or later when all are busy.
    pub(crate) fn run(&self, job: Job) {
        let mut counts = self.shared.lock_counts();
        if counts.available <= 0 && counts.threads < self.maximum {
            counts.threads += 1;
            drop(counts);
            self.start_thread(job);
            return;
        }
        counts.available -= 1;
        drop(counts);
        self.shared.queue(job);
    }

    fn start_thread(&self, first: Job) {
        let shared = self.shared.clone();
        // The job sits in a shared place, so that it isn't lost when no thread can be started.
        let first = Arc::new(Mutex::new(Some(first)));
        let taken = first.clone();
        let builder = thread::Builder::new()
            .name(format!("{}-handler", self.name))
            .stack_size(STACK_BYTES);
        let started = builder.spawn(move || shared.work(take_job(&taken)));
        if let Err(error) = started {
            log::warn!(
                "event=handler_thread_failed pool={} error=\"{error}\"",
                self.name
            );
            let mut counts = self.shared.lock_counts();
            counts.threads -= 1;
            // With no thread at all the job is dropped, and its caller gets 500.
            if counts.threads == 0 {
                return;
            }
            counts.available -= 1;
            drop(counts);
            if let Some(job) = take_job(&first) {
                self.shared.queue(job);
            }
        }
    }
}

fn take_job(place: &Mutex<Option<Job>>) -> Option<Job> {
    place.lock().unwrap_or_else(PoisonError::into_inner).take()
}

impl Shared {
    fn lock_counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self, job: Job) {
        // Both ends live in this value, so the channel cannot be closed.
        drop(self.jobs.send(job));
    }

    /// Body of a handler thread.
    fn work(&self, first: Option<Job>) {
        if let Some(job) = first {
            run_caught(job);
        }
        self.lock_counts().available += 1;
        loop {
            match self.waiting.recv_timeout(IDLE_TIME) {
                Ok(job) => {
                    run_caught(job);
                    self.lock_counts().available += 1;
                }
                Err(RecvTimeoutError::Timeout) if !self.may_end() => {}
                Err(_) => return,
            }
        }
    }

    /// Lets an idle thread end, unless a job is on its way to it.
    fn may_end(&self) -> bool {
        let mut counts = self.lock_counts();
        if counts.available <= 0 {
            return false;
        }
        counts.available -= 1;
        counts.threads -= 1;
        true
    }
}

/// Runs a job; a panic ends the job, not the thread. Dropping its responder answers 500.
fn run_caught(job: Job) {
    if catch_unwind(AssertUnwindSafe(job)).is_err() {
        log::error!("event=handler_panicked");
    }
}
