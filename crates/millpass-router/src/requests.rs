//! Table of the requests that have arrived and not ended, and the signals to their threads.

use crate::attempt::AttemptControl;
use crossbeam::channel::{Receiver, Sender, unbounded};
use millpass_proto::RecordedAnswer;
use millpass_routing::{Dispatch, Refusal, RequestNumber};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the thread of a request is told.
pub(crate) enum Signal {
    /// Send this attempt.
    Dispatch(Box<Dispatch>, Arc<AttemptControl>),
    /// Answer with this refusal, or break the stream off with it.
    Refuse(Refusal),
    /// Answer with a recorded answer.
    Replay(RecordedAnswer),
    /// The caller hung up.
    CallerGone,
}

/// One request.
pub(crate) struct RequestEntry {
    signals: Sender<Signal>,
    attempt: Mutex<Option<Arc<AttemptControl>>>,
}

impl RequestEntry {
    /// Makes `control` the attempt that a cancellation ends, and tells the thread to send it.
    pub(crate) fn dispatch(&self, dispatch: Box<Dispatch>, control: Arc<AttemptControl>) {
        *self.lock_attempt() = Some(control.clone());
        self.send(Signal::Dispatch(dispatch, control));
    }

    /// Ends the current attempt, if any.
    pub(crate) fn cancel(&self) {
        let attempt = self.lock_attempt().clone();
        if let Some(control) = attempt {
            control.cancel();
        }
    }

    /// Gives the thread the final answer, and ends the attempt it may be waiting for.
    pub(crate) fn finish_with(&self, signal: Signal) {
        self.send(signal);
        self.cancel();
    }

    pub(crate) fn send(&self, signal: Signal) {
        // The thread may have ended already.
        let _ = self.signals.send(signal);
    }

    fn lock_attempt(&self) -> MutexGuard<'_, Option<Arc<AttemptControl>>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The table. Bounded by the server's limit of connections.
#[derive(Default)]
pub(crate) struct RequestTable {
    entries: Mutex<HashMap<RequestNumber, Arc<RequestEntry>>>,
}

impl RequestTable {
    /// Adds a request and gives its thread the signals.
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

    /// Every request, for a hard stop.
    pub(crate) fn all(&self) -> Vec<Arc<RequestEntry>> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestNumber, Arc<RequestEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
