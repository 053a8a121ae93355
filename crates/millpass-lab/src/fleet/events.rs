//! Events of the fleet, recorded for the checkers.

use millpass_checkers::{Event, ProcessName, Record};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Events of a run, timestamped with the wall clock of the machine.
#[derive(Debug, Default)]
pub struct EventLog {
    records: Mutex<Vec<Record>>,
}

impl EventLog {
    /// Records an event with the current time.
    pub fn push(&self, event: Event) {
        let mut records = self.lock();
        // Read under the lock, so that timestamps follow the order of events.
        let at_micros = unix_micros();
        records.push(Record { at_micros, event });
    }

    /// Records a fault or its recovery.
    pub fn disturbed(&self, what: impl Into<String>) {
        let what = what.into();
        self.push(Event::Disturbed { what });
    }

    /// Returns all events recorded so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a name to a [`ProcessName`].
pub fn process(name: &str) -> ProcessName {
    ProcessName(name.to_owned())
}

/// Returns the current time in Unix microseconds.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
