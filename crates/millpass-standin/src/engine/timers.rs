//! Times at which the model does something by itself.

use super::messages::RequestHandle;
use millpass_proto::{AdapterName, SlotId, Timestamp};
use std::collections::BTreeSet;

/// What is due. A timer whose cause is gone is ignored when it is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The weights (or, with a name, an adapter) may be complete.
    Load(SlotId, Option<AdapterName>),
    /// The weight store is asked again.
    RetryFetch(SlotId, Option<AdapterName>),
    /// The memory of an unload is free.
    Unload(SlotId, Option<AdapterName>),
    /// An unload waits no longer.
    UnloadTimeout(SlotId),
    /// A step of the slot's batch is over.
    Step(SlotId),
    /// A request's deadline.
    Deadline(RequestHandle),
}

/// Ordered timers.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    due: BTreeSet<(Timestamp, Timer)>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Timestamp, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// Takes one back.
    pub fn clear(&mut self, at: Timestamp, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// Time of the next one.
    pub fn next(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes the next one that is due by `now`.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, Timer)> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first()
    }
}
