//! Bounded pool of handler threads, grown on demand.
//!
//! A job goes straight to the thread that became idle last: it is the likeliest to be still in
//! the processor's caches, and the others can end. Idle threads are parked; receiving from a
//! shared channel instead makes each of them spin before it sleeps.

use crossbeam::sync::{Parker, Unparker};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

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

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Threads, idle or not.
    threads: usize,
    /// Idle threads; the last one became idle last. Empty while jobs wait.
    idle: Vec<Arc<IdleThread>>,
    /// Jobs that wait for a thread, oldest first.
    waiting: VecDeque<Job>,
}

/// A thread as the pool sees it while it is idle.
struct IdleThread {
    /// Its next job. Given only by who took the thread out of `idle`.
    job: Mutex<Option<Job>>,
    unparker: Unparker,
}

impl Pool {
    pub(crate) fn new(name: &str, maximum: usize) -> Self {
        Pool {
            shared: Arc::default(),
            maximum: maximum.max(1),
            name: name.to_owned(),
        }
    }

    /// Runs a job on an idle thread, on a new one, or later when all are busy.
    pub(crate) fn run(&self, job: Job) {
        let mut state = self.shared.lock();
        if let Some(thread) = state.idle.pop() {
            drop(state);
            thread.give(job);
        } else if state.threads < self.maximum {
            state.threads += 1;
            drop(state);
            self.start_thread(job);
        } else {
            state.waiting.push_back(job);
        }
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
            self.shared.thread_failed(take_job(&first));
        }
    }
}

impl IdleThread {
    fn give(&self, job: Job) {
        *self.job.lock().unwrap_or_else(PoisonError::into_inner) = Some(job);
        self.unparker.unpark();
    }
}

fn take_job(place: &Mutex<Option<Job>>) -> Option<Job> {
    place.lock().unwrap_or_else(PoisonError::into_inner).take()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A thread could not be started: its job waits for another one. With no thread at all the
    /// job is dropped, and its caller gets 500.
    fn thread_failed(&self, job: Option<Job>) {
        let mut state = self.lock();
        state.threads -= 1;
        if state.threads == 0 {
            return;
        }
        let Some(thread) = state.idle.pop() else {
            state.waiting.extend(job);
            return;
        };
        drop(state);
        if let Some(job) = job {
            thread.give(job);
        }
    }

    /// Body of a handler thread.
    fn work(&self, first: Option<Job>) {
        let parker = Parker::new();
        let thread = Arc::new(IdleThread {
            job: Mutex::new(None),
            unparker: parker.unparker().clone(),
        });
        let mut next = first;
        while let Some(job) = next {
            run_caught(job);
            next = self.next_job(&thread, &parker);
        }
    }

    /// The oldest job that waits, or the next one given within [`IDLE_TIME`].
    fn next_job(&self, thread: &Arc<IdleThread>, parker: &Parker) -> Option<Job> {
        let mut state = self.lock();
        let waiting = state.waiting.pop_front();
        if waiting.is_some() {
            return waiting;
        }
        state.idle.push(thread.clone());
        drop(state);
        let until = Instant::now() + IDLE_TIME;
        loop {
            parker.park_deadline(until);
            let given = take_job(&thread.job);
            if given.is_some() || (Instant::now() >= until && self.may_end(thread)) {
                return given;
            }
        }
    }

    /// Lets an idle thread end, unless a job is on its way to it.
    fn may_end(&self, thread: &Arc<IdleThread>) -> bool {
        let mut state = self.lock();
        let place = state.idle.iter().position(|idle| Arc::ptr_eq(idle, thread));
        let Some(place) = place else {
            return false;
        };
        state.idle.remove(place);
        state.threads -= 1;
        true
    }
}

/// Runs a job; a panic ends the job, not the thread. Dropping its responder answers 500.
fn run_caught(job: Job) {
    if catch_unwind(AssertUnwindSafe(job)).is_err() {
        log::error!("event=handler_panicked");
    }
}
