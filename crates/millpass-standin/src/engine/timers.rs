//! Timers of the engine model.

use super::messages::RequestHandle;
use millpass_proto::{AdapterName, SlotId, Timestamp};
use std::collections::BTreeSet;

/// Action of a timer. Expired timers that no longer apply are ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Completes the load of the weights or, with a name, of an adapter.
    Load(SlotId, Option<AdapterName>),
    /// Retries a fetch from the weight store.
    RetryFetch(SlotId, Option<AdapterName>),
    /// Completes an unload and frees its memory.
    Unload(SlotId, Option<AdapterName>),
    /// Aborts the requests that an unload still waits for.
    UnloadTimeout(SlotId),
    /// Ends a step of the slot's batch.
    Step(SlotId),
    /// Enforces a request's deadline.
    Deadline(RequestHandle),
}

/// Timers ordered by expiry.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Timestamp, Timer)>,
}

impl Timers {
    pub fn set(&mut self, at: Timestamp, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub fn clear(&mut self, at: Timestamp, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// Returns the next expiry time.
    pub fn next(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due by `now`.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, Timer)> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first()
    }
}
