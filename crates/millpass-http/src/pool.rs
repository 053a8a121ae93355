//! Bounded pool of handler threads, grown on demand.
//!
//! A job is assigned to the thread that became idle last, so that its caches are warm and surplus
//! threads time out. Idle threads are parked instead of receiving from a shared channel, which would
//! make them spin.

use crossbeam::sync::{Parker, Unparker};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs on at most `maximum` threads and queues the rest. The queue is bounded by the
/// connection limit: each connection has one request at a time.
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
    /// Number of threads, including idle ones.
    threads: usize,
    /// Idle threads, most recent last. Empty while jobs are queued.
    idle: Vec<Arc<IdleThread>>,
    /// Queued jobs, oldest first.
    queued: VecDeque<Job>,
}

struct IdleThread {
    /// The next job. Only set after the thread was removed from `idle`.
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

    /// Runs a job on an idle or new thread, or queues it if all threads are busy.
    pub(crate) fn run(&self, job: Job) {
        let mut state = self.shared.lock();
        if let Some(thread) = state.idle.pop() {
            drop(state);
            thread.assign(job);
        } else if state.threads < self.maximum {
            state.threads += 1;
            drop(state);
            self.start_thread(job);
        } else {
            state.queued.push_back(job);
        }
    }

    fn start_thread(&self, first: Job) {
        let shared = self.shared.clone();
        // Shared, so that the job is not lost if the thread cannot be started.
        let first = Arc::new(Mutex::new(Some(first)));
        let job = first.clone();
        let builder = thread::Builder::new()
            .name(format!("{}-handler", self.name))
            .stack_size(STACK_BYTES);
        let started = builder.spawn(move || shared.run_jobs(take_job(&job)));
        if let Err(error) = started {
            log::warn!(
                "event=handler_thread_failed pool={} error=\"{error}\"",
                self.name
            );
            self.shared.handle_failed_start(take_job(&first));
        }
    }
}

impl IdleThread {
    fn assign(&self, job: Job) {
        *self.job.lock().unwrap_or_else(PoisonError::into_inner) = Some(job);
        self.unparker.unpark();
    }
}

fn take_job(slot: &Mutex<Option<Job>>) -> Option<Job> {
    slot.lock().unwrap_or_else(PoisonError::into_inner).take()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a failed thread start: reassigns or queues the job. If there are no other threads, the
    /// job is dropped and its caller receives 500.
    fn handle_failed_start(&self, job: Option<Job>) {
        let mut state = self.lock();
        state.threads -= 1;
        if state.threads == 0 {
            return;
        }
        let Some(thread) = state.idle.pop() else {
            state.queued.extend(job);
            return;
        };
        drop(state);
        if let Some(job) = job {
            thread.assign(job);
        }
    }

    /// Runs jobs until the thread has been idle for [`IDLE_TIMEOUT`].
    fn run_jobs(&self, first: Option<Job>) {
        let parker = Parker::new();
        let thread = Arc::new(IdleThread {
            job: Mutex::new(None),
            unparker: parker.unparker().clone(),
        });
        let mut next = first;
        while let Some(job) = next {
            run_catching_panics(job);
            next = self.next_job(&thread, &parker);
        }
    }

    /// Returns the oldest queued job, or the next one assigned within [`IDLE_TIMEOUT`].
    fn next_job(&self, thread: &Arc<IdleThread>, parker: &Parker) -> Option<Job> {
        let mut state = self.lock();
        let queued = state.queued.pop_front();
        if queued.is_some() {
            return queued;
        }
        state.idle.push(thread.clone());
        drop(state);
        let deadline = Instant::now() + IDLE_TIMEOUT;
        loop {
            parker.park_deadline(deadline);
            let assigned = take_job(&thread.job);
            if assigned.is_some() || (Instant::now() >= deadline && self.retire(thread)) {
                return assigned;
            }
        }
    }

    /// Removes an idle thread from the pool; returns false if a job is being assigned to it.
    fn retire(&self, thread: &Arc<IdleThread>) -> bool {
        let mut state = self.lock();
        let position = state.idle.iter().position(|idle| Arc::ptr_eq(idle, thread));
        let Some(position) = position else {
            return false;
        };
        state.idle.remove(position);
        state.threads -= 1;
        true
    }
}

/// Runs a job and catches its panic, so that the thread continues. The dropped responder returns
/// 500.
fn run_catching_panics(job: Job) {
    if catch_unwind(AssertUnwindSafe(job)).is_err() {
        log::error!("event=handler_panicked");
    }
}
