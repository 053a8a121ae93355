//! Whether a gateway's updates wait at its connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Waiting {
    /// Updates queued and not yet written.
    updates: usize,
    /// The core was told that one waits behind another.
    told: bool,
}

/// Counts the updates of one connection. The core's thread queues them, the connection's writer takes them.
#[derive(Default)]
pub(crate) struct RouterBacklog(Mutex<Waiting>);

impl RouterBacklog {
    /// An update is about to be queued. True when it is the first to wait behind another, which the core is to hear.
    pub(crate) fn queued(&self) -> bool {
        let mut waiting = self.lock();
        waiting.updates += 1;
        let begins = waiting.updates > 1 && !waiting.told;
        waiting.told |= begins;
        begins
    }

    /// An update was written. True when none is left, and the core is to hear it.
    pub(crate) fn written(&self) -> bool {
        let mut waiting = self.lock();
        waiting.updates = waiting.updates.saturating_sub(1);
        waiting.updates == 0 && std::mem::take(&mut waiting.told)
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
