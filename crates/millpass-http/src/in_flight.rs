//! Count of the requests in flight, and the point from which no more are taken.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Requests read whole and not yet answered whole.
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

    /// Whether no more requests are taken.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Counts one more request, unless no more are taken.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<InFlightGuard> {
        let mut state = self.lock();
        if state.closed {
            return None;
        }
        state.count += 1;
        let in_flight = self.clone();
        Some(InFlightGuard { in_flight })
    }

    /// Takes no more requests from now on; returns how many are in flight.
    pub(crate) fn close(&self) -> usize {
        let mut state = self.lock();
        state.closed = true;
        state.count
    }

    /// Waits until none is left, at most until `until`; returns how many are.
    pub(crate) fn wait_for_none(&self, until: Instant) -> usize {
        let mut state = self.lock();
        while state.count > 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.count
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request for as long as it lives.
pub(crate) struct InFlightGuard {
    in_flight: Arc<InFlight>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.lock().count -= 1;
        self.in_flight.ended.notify_all();
    }
}
