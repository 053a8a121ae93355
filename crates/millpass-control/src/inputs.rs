//! Bounded queues to the core, by priority.
//!
//! Inputs of one class keep their order. Credit requests, permit requests and crash reports may
//! overtake other messages of their connection, and may be processed after its end, as they do not
//! depend on them.
//! The end of a connection never overtakes its reports or claims. Reports of a gateway that wait are
//! merged into one.

use crate::backlog::{Backlog, Next};
use crate::coalescing::{self, WaitingReports};
use crate::priority::Priority;
use millpass_control_plane::ControlInput;
use millpass_storage::StorageError;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Next action of the core's thread.
pub(crate) enum CoreInput {
    /// A tick is due.
    Tick,
    /// Process this input.
    Input(WaitingInput),
    /// A write failed: the member must stop.
    DiskFailed(StorageError),
    /// A snapshot is requested, to truncate the log on disk.
    SnapshotRequested,
    /// A critical thread has ended.
    ThreadEnded(&'static str),
    /// Stop without draining.
    Halt,
}

/// An input of the core with its time of arrival.
pub(crate) struct WaitingInput {
    pub(crate) class: Priority,
    pub(crate) since: Instant,
    pub(crate) input: ControlInput,
}

/// Why an input was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Its class is full.
    Full,
    /// The core has ended.
    Ended,
}

#[derive(Default)]
struct State {
    backlog: Backlog<Box<WaitingInput>>,
    reports: WaitingReports,
    disk_failure: Option<StorageError>,
    ended_thread: Option<&'static str>,
    snapshot_requested: bool,
    is_halted: bool,
    /// The core accepts no more inputs.
    has_ended: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Wakes the core's thread.
    filled: Condvar,
    /// Wakes senders that wait for capacity, by class.
    emptied: [Condvar; Priority::ALL.len()],
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends inputs to the core's thread.
#[derive(Clone)]
pub(crate) struct Inputs {
    shared: Arc<Shared>,
}

/// Receiving end of the queues.
pub(crate) struct InputQueue {
    shared: Arc<Shared>,
}

impl Inputs {
    /// Creates both ends of the queues.
    pub(crate) fn new() -> (Inputs, InputQueue) {
        let shared = Arc::new(Shared::default());
        let inputs = Inputs {
            shared: shared.clone(),
        };
        (inputs, InputQueue { shared })
    }

    /// Adds an input, blocking until its class has capacity. Returns false once the core has ended.
    pub(crate) fn send(&self, input: ControlInput) -> bool {
        let class = Priority::of(&input);
        let mut state = self.shared.lock();
        let input = match state.reports.merge(input) {
            Ok(()) => return !state.has_ended,
            Err(input) => *input,
        };
        while !state.has_ended && !state.backlog.has_capacity(class) {
            let woken = self.shared.emptied[class as usize].wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
        self.push(&mut state, input).is_ok()
    }

    /// Adds an input, or returns it if its class is full. Returns `Ok(false)` once the core has
    /// ended.
    pub(crate) fn try_send(&self, input: ControlInput) -> Result<bool, Box<ControlInput>> {
        let mut state = self.shared.lock();
        let input = match state.reports.merge(input) {
            Ok(()) => return Ok(true),
            Err(input) => input,
        };
        if !state.has_ended && !state.backlog.has_capacity(Priority::of(&input)) {
            return Err(input);
        }
        Ok(self.push(&mut state, *input).is_ok())
    }

    /// Adds an input, or refuses it at once if its class is full. For inputs that the sender
    /// repeats.
    pub(crate) fn offer(&self, input: ControlInput) -> Result<(), SendError> {
        self.push(&mut self.shared.lock(), input)
    }

    /// Adds an input caused by the core's thread, regardless of capacity. The thread cannot block,
    /// and bounds these inputs by its calls in progress.
    pub(crate) fn send_unbounded(&self, input: ControlInput) {
        let waiting = waiting(input);
        self.shared
            .lock()
            .backlog
            .push_unbounded(waiting.class, waiting);
    }

    fn push(&self, state: &mut State, input: ControlInput) -> Result<(), SendError> {
        if state.has_ended {
            return Err(SendError::Ended);
        }
        let reporting = coalescing::reporting_connection(&input);
        let waiting = waiting(input);
        let pushed = state.backlog.push(waiting.class, waiting);
        pushed.map_err(|_| SendError::Full)?;
        if let Some(connection) = reporting {
            state.reports.begin(connection);
        }
        self.shared.filled.notify_one();
        Ok(())
    }

    /// Reports a failed write.
    pub(crate) fn disk_failed(&self, error: StorageError) {
        self.shared.lock().disk_failure = Some(error);
        self.shared.filled.notify_one();
    }

    pub(crate) fn request_snapshot(&self) {
        self.shared.lock().snapshot_requested = true;
        self.shared.filled.notify_one();
    }

    /// Reports the end of a critical thread. Has no effect once the core has ended.
    pub(crate) fn thread_ended(&self, name: &'static str) {
        self.shared.lock().ended_thread = Some(name);
        self.shared.filled.notify_one();
    }

    /// Stops the core without draining.
    pub(crate) fn halt(&self) {
        self.shared.lock().is_halted = true;
        self.shared.filled.notify_one();
    }
}

impl InputQueue {
    /// Waits for the next action, at most until the tick is due.
    pub(crate) fn next(&self, tick_due: Instant) -> CoreInput {
        let mut state = self.shared.lock();
        loop {
            if let Some(error) = state.disk_failure.take() {
                return CoreInput::DiskFailed(error);
            }
            if state.is_halted {
                return CoreInput::Halt;
            }
            if std::mem::take(&mut state.snapshot_requested) {
                return CoreInput::SnapshotRequested;
            }
            if let Some(name) = state.ended_thread.take() {
                return CoreInput::ThreadEnded(name);
            }
            let now = Instant::now();
            match state.backlog.next(now, tick_due) {
                Next::Tick => return CoreInput::Tick,
                Next::Input(class, mut waiting) => {
                    state.reports.complete(&mut waiting.input);
                    self.shared.emptied[class as usize].notify_one();
                    return CoreInput::Input(*waiting);
                }
                Next::Idle => {}
            }
            let left = tick_due.saturating_duration_since(now);
            let woken = self.shared.filled.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Closes the queues and wakes senders that wait for capacity.
    pub(crate) fn close(&self) {
        let mut state = self.shared.lock();
        state.has_ended = true;
        state.backlog = Backlog::default();
        state.reports = WaitingReports::default();
        drop(state);
        self.shared.emptied.iter().for_each(Condvar::notify_all);
    }

    /// Returns for how long the oldest waiting input of any class has waited.
    pub(crate) fn oldest_wait(&self, now: Instant) -> Duration {
        let state = self.shared.lock();
        let oldest = state.backlog.oldest().map(|waiting| waiting.since).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the number of gateway reports merged into waiting ones since startup.
    pub(crate) fn merged_reports(&self) -> u64 {
        self.shared.lock().reports.merged()
    }

    /// Returns the waiting inputs, and the inputs refused since startup, by class.
    pub(crate) fn lengths(&self) -> [(Priority, usize, u64); Priority::ALL.len()] {
        let state = self.shared.lock();
        let backlog = &state.backlog;
        Priority::ALL.map(|class| (class, backlog.length(class), backlog.refused(class)))
    }
}

impl Drop for InputQueue {
    fn drop(&mut self) {
        self.close();
    }
}

fn waiting(input: ControlInput) -> Box<WaitingInput> {
    Box::new(WaitingInput {
        class: Priority::of(&input),
        since: Instant::now(),
        input,
    })
}
