//! What the fleet itself did and saw, as events for the checkers.

use millpass_checkers::{Event, ProcessName, Record};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Events of a run, with the machine's wall clock as their one clock.
#[derive(Debug, Default)]
pub struct EventLog {
    records: Mutex<Vec<Record>>,
}

impl EventLog {
    /// Notes an event now.
    pub fn push(&self, event: Event) {
        let mut records = self.lock();
        // Read under the lock, so that times never go back.
        let at_micros = unix_micros();
        records.push(Record { at_micros, event });
    }

    /// Notes something broken or mended.
    pub fn disturbed(&self, what: impl Into<String>) {
        let what = what.into();
        self.push(Event::Disturbed { what });
    }

    /// All events so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A process by name.
pub fn process(name: &str) -> ProcessName {
    ProcessName(name.to_owned())
}

/// Microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
