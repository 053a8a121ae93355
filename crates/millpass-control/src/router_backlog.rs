//! Whether a gateway's updates wait at its connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Counts {
    /// Updates queued and not yet written.
    updates: usize,
    /// The core was reported that one waits behind another.
    reported: bool,
}

/// Counts the updates of one connection. The core's thread queues them, the connection's writer takes them.
#[derive(Default)]
pub(crate) struct RouterBacklog(Mutex<Counts>);

impl RouterBacklog {
    /// An update is about to be queued. True when it is the first to wait behind another, which the core is to hear.
    pub(crate) fn queued(&self) -> bool {
        let mut counts = self.lock();
        counts.updates += 1;
        let is_first = counts.updates > 1 && !counts.reported;
        counts.reported |= is_first;
        is_first
    }

    /// An update was written. True when none is left, and the core is to hear it.
    pub(crate) fn written(&self) -> bool {
        let mut counts = self.lock();
        counts.updates = counts.updates.saturating_sub(1);
        counts.updates == 0 && std::mem::take(&mut counts.reported)
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
