//! Counts the updates queued at a gateway's connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Counts {
    /// Updates queued and not yet written.
    updates: usize,
    /// Whether the core was notified that an update waits behind another.
    reported: bool,
}

/// Updates of one connection. The core's thread queues them, the connection's writer removes them.
#[derive(Default)]
pub(crate) struct RouterBacklog(Mutex<Counts>);

impl RouterBacklog {
    /// Records a queued update. Returns true if it is the first to wait behind another: notify the core.
    pub(crate) fn queued(&self) -> bool {
        let mut counts = self.lock();
        counts.updates += 1;
        let is_first = counts.updates > 1 && !counts.reported;
        counts.reported |= is_first;
        is_first
    }

    /// Records a written update. Returns true if the reported backlog is now empty: notify the core.
    pub(crate) fn written(&self) -> bool {
        let mut counts = self.lock();
        counts.updates = counts.updates.saturating_sub(1);
        counts.updates == 0 && std::mem::take(&mut counts.reported)
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
