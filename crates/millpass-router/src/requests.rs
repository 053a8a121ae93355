//! Table of open requests and the signals to their threads.

use crate::attempt::AttemptControl;
use crossbeam::channel::{Receiver, Sender, unbounded};
use millpass_proto::RecordedAnswer;
use millpass_routing::{Dispatch, Refusal, RequestNumber};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Signal to the thread of a request.
pub(crate) enum Signal {
    Dispatch(Box<Dispatch>, Arc<AttemptControl>),
    /// Respond with this refusal, or abort the stream with it.
    Refuse(Refusal),
    /// Respond with a recorded response.
    Replay(RecordedAnswer),
    /// The caller disconnected.
    CallerGone,
}

pub(crate) struct RequestEntry {
    signals: Sender<Signal>,
    attempt: Mutex<Option<Arc<AttemptControl>>>,
}

impl RequestEntry {
    /// Makes `control` the current attempt and signals the thread to send it.
    pub(crate) fn dispatch(&self, dispatch: Box<Dispatch>, control: Arc<AttemptControl>) {
        *self.lock_attempt() = Some(control.clone());
        self.send(Signal::Dispatch(dispatch, control));
    }

    /// Cancels the current attempt, if any.
    pub(crate) fn cancel(&self) {
        let attempt = self.lock_attempt().clone();
        if let Some(control) = attempt {
            control.cancel();
        }
    }

    /// Sends the thread the final signal and cancels an attempt that it may be waiting for.
    pub(crate) fn finish_with(&self, signal: Signal) {
        self.send(signal);
        self.cancel();
    }

    pub(crate) fn send(&self, signal: Signal) {
        // Fails if the thread has already exited.
        let _ = self.signals.send(signal);
    }

    fn lock_attempt(&self) -> MutexGuard<'_, Option<Arc<AttemptControl>>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Table of open requests, bounded by the connection limit of the server.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: Mutex<HashMap<RequestNumber, Arc<RequestEntry>>>,
}

impl RequestTable {
    /// Adds a request and returns the receiver for its thread.
    pub(crate) fn add(&self, request: RequestNumber) -> (Arc<RequestEntry>, Receiver<Signal>) {
        let (signals, received) = unbounded();
        let entry = Arc::new(RequestEntry {
            signals,
            attempt: Mutex::new(None),
        });
        self.lock().insert(request, entry.clone());
        (entry, received)
    }

    pub(crate) fn get(&self, request: RequestNumber) -> Option<Arc<RequestEntry>> {
        self.lock().get(&request).cloned()
    }

    pub(crate) fn remove(&self, request: RequestNumber) {
        self.lock().remove(&request);
    }

    /// Returns all requests, for an immediate stop.
    pub(crate) fn all(&self) -> Vec<Arc<RequestEntry>> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestNumber, Arc<RequestEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
