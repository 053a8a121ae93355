//! Counts requests in flight and rejects new ones while draining.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Requests that have been read and whose response is not yet complete.
#[derive(Default)]
pub(crate) struct InFlight {
    state: Mutex<State>,
    ended: Condvar,
}

#[derive(Default)]
struct State {
    count: usize,
    closed: bool,
}

impl InFlight {
    pub(crate) fn count(&self) -> usize {
        self.lock().count
    }

    /// Returns whether new requests are rejected.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Counts a new request; `None` if new requests are rejected.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<InFlightGuard> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        state.count += 1;
        let in_flight = self.clone();
        Some(InFlightGuard { in_flight })
    }

    /// Rejects new requests from now on and returns how many are in flight.
    pub(crate) fn close(&self) -> usize {
        let mut state = self.lock();
        state.closed = true;
        state.count
    }

    /// Waits until no request is in flight or the deadline has passed; returns how many remain.
    pub(crate) fn wait_until_idle(&self, deadline: Instant) -> usize {
        let mut state = self.lock();
        while state.count > 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let waited = self.ended.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.count
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request in flight until dropped.
pub(crate) struct InFlightGuard {
    in_flight: Arc<InFlight>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.lock().count -= 1;
        self.in_flight.ended.notify_all();
    }
}
