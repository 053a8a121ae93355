//! A timer thread that wakes any number of models when they are due.

use super::clock::ScaledClock;
use millpass_proto::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::JoinHandle;

/// Target of an alarm. Waking it may set its next alarm.
pub trait Alarm: Send + Sync {
    /// Processes everything that is due.
    fn wake(&self);
}

/// The timer thread and its alarms. Lock order: a model's lock before the alarm table.
pub struct Alarms {
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    clock: ScaledClock,
    table: Mutex<Table>,
    changed: Condvar,
}

#[derive(Default)]
struct Table {
    next_id: u64,
    entries: BTreeMap<u64, Entry>,
    due: BTreeSet<(Timestamp, u64)>,
    is_stopped: bool,
}

struct Entry {
    alarm: Weak<dyn Alarm>,
    at: Option<Timestamp>,
}

impl Alarms {
    /// Starts the thread with the clock of all its alarms.
    pub fn start(clock: ScaledClock) -> std::io::Result<Arc<Alarms>> {
        let shared = Arc::new(Shared {
            clock,
            table: Mutex::default(),
            changed: Condvar::new(),
        });
        let in_thread = shared.clone();
        let builder = std::thread::Builder::new().name("stand-in-alarms".to_owned());
        let thread = builder.spawn(move || in_thread.run())?;
        Ok(Arc::new(Alarms {
            shared,
            thread: Mutex::new(Some(thread)),
        }))
    }

    /// Clock of the alarms.
    pub fn clock(&self) -> ScaledClock {
        self.shared.clock
    }

    /// Adds an alarm without a time and returns its id. The entry is removed after its target is dropped.
    pub fn add(&self, alarm: Weak<dyn Alarm>) -> u64 {
        let mut table = self.shared.lock();
        table.next_id += 1;
        let id = table.next_id;
        table.entries.insert(id, Entry { alarm, at: None });
        id
    }

    /// Sets or clears the time of an alarm.
    pub fn set(&self, id: u64, at: Option<Timestamp>) {
        let mut table = self.shared.lock();
        let Some(entry) = table.entries.get_mut(&id) else {
            return;
        };
        if entry.at == at {
            return;
        }
        let before = std::mem::replace(&mut entry.at, at);
        if let Some(before) = before {
            table.due.remove(&(before, id));
        }
        if let Some(at) = at {
            table.due.insert((at, id));
            let is_first = table.due.first() == Some(&(at, id));
            if is_first {
                self.shared.changed.notify_one();
            }
        }
    }

    /// Removes an alarm.
    pub fn remove(&self, id: u64) {
        self.set(id, None);
        self.shared.lock().entries.remove(&id);
    }
}

impl Drop for Alarms {
    fn drop(&mut self) {
        self.shared.lock().is_stopped = true;
        self.shared.changed.notify_one();
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let own = std::thread::current().id();
        if let Some(thread) = thread.filter(|thread| thread.thread().id() != own) {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut table = self.lock();
        while !table.is_stopped {
            let Some((at, id)) = table.due.first().copied() else {
                table = self
                    .changed
                    .wait(table)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let pause = self.clock.real_until(at);
            if !pause.is_zero() {
                let waited = self.changed.wait_timeout(table, pause);
                table = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            let alarm = table.pop_due(at, id);
            drop(table);
            if let Some(alarm) = alarm {
                alarm.wake();
            }
            table = self.lock();
        }
    }
}

impl Table {
    fn pop_due(&mut self, at: Timestamp, id: u64) -> Option<Arc<dyn Alarm>> {
        self.due.remove(&(at, id));
        let entry = self.entries.get_mut(&id)?;
        entry.at = None;
        let alarm = entry.alarm.upgrade();
        if alarm.is_none() {
            self.entries.remove(&id);
        }
        alarm
    }
}
