//! Bound on the bytes of large request bodies that are read or handled at once.

use event_listener::Event;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bodies up to this size are not counted.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Bytes of large bodies, shared by all connections of a server.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    used: Mutex<usize>,
    released: Event,
}

impl BodyBudget {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(BodyBudget {
            limit,
            used: Mutex::default(),
            released: Event::new(),
        })
    }

    /// Waits until a body of this size fits. One that is larger than the whole budget fits alone.
    pub(crate) async fn reserve(self: &Arc<Self>, bytes: usize) -> BodyReservation {
        loop {
            let released = self.released.listen();
            {
                let mut used = self.lock();
                if *used == 0 || used.saturating_add(bytes) <= self.limit {
                    *used = used.saturating_add(bytes);
                    let budget = self.clone();
                    return BodyReservation { budget, bytes };
                }
            }
            released.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved for one body; released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        *self.budget.lock() -= self.bytes;
        self.budget.released.notify(usize::MAX);
    }
}
