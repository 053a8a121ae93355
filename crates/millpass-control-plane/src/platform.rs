//! What the platform's machine list means.
//!
//! The list lags. It says which back ends exist and which are leaving. A machine counts as gone
//! only after it has been missing for a stated time, counted anew by each leader.

use crate::watch::Watchable;
use millpass_proto::{
    BackendMark, BackendName, BackendState, Duration, PlatformList, PlatformMachine, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Time between two readings of the list.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a new leader that can't read the list holds back leases. Without a list
/// nobody knows who leaves, and routers would lose all their back ends for it.
const MAXIMUM_LIST_WAIT: Duration = Duration::from_millis(500);
/// Most machines taken from a list. Of a longer one the rest is ignored, and no machine counts as
/// missing.
const MAXIMUM_MACHINES: usize = 16_384;

/// The newest list, and since when registered back ends have been missing from it.
#[derive(Default)]
pub(crate) struct Platform {
    sequence: u64,
    machines: BTreeMap<BackendName, PlatformMachine>,
    missing_since: BTreeMap<BackendName, Timestamp>,
    read: bool,
    /// Since when leases have waited for the list and its marks.
    awaited_since: Option<Timestamp>,
    /// Whether leases need not wait any more.
    leases_may_go: bool,
}

impl Platform {
    /// Takes a list in. False when it is older than one already seen.
    pub(crate) fn listed(&mut self, now: Timestamp, list: PlatformList, state: &State) -> bool {
        if self.read && list.sequence < self.sequence {
            return false;
        }
        self.read = true;
        self.sequence = list.sequence;
        let whole = list.machines.len() <= MAXIMUM_MACHINES;
        self.machines = list
            .machines
            .into_iter()
            .take(MAXIMUM_MACHINES)
            .filter(|machine| machine.state != BackendState::Gone)
            .map(|machine| (machine.backend.clone(), machine))
            .collect();
        if whole {
            self.note_missing(now, state);
        } else {
            self.missing_since.clear();
        }
        true
    }

    fn note_missing(&mut self, now: Timestamp, state: &State) {
        let mut missing = BTreeMap::new();
        for backend in state.backends() {
            let name = &backend.registration.backend;
            if self.machines.contains_key(name) {
                continue;
            }
            let since = self.missing_since.get(name).copied().unwrap_or(now);
            missing.insert(name.clone(), since);
        }
        self.missing_since = missing;
    }

    /// One machine of the list.
    pub(crate) fn machine(&self, backend: &BackendName) -> Option<&PlatformMachine> {
        self.machines.get(backend)
    }

    /// Whether leases may be given to routers: a new leader first marks the back ends that leave,
    /// so that a chain of short-lived leaders doesn't prolong the use of one. The wait is bounded.
    pub(crate) fn leases_may_go(&mut self, now: Timestamp, state: &State) -> bool {
        if self.leases_may_go {
            return true;
        }
        let since = *self.awaited_since.get_or_insert(now);
        let marked = self.read && self.unmarked_leaving(state).next().is_none();
        self.leases_may_go = marked || now.since(since) >= MAXIMUM_LIST_WAIT;
        self.leases_may_go
    }

    fn unmarked_leaving<'a>(
        &'a self,
        state: &'a State,
    ) -> impl Iterator<Item = &'a PlatformMachine> {
        let leaving = self.machines.values().filter(|machine| is_leaving(machine));
        leaving.filter(|machine| {
            let backend = state.backend(&machine.backend);
            backend.is_some_and(|backend| backend.state == BackendState::Live)
        })
    }

    /// Marks to propose: back ends that leave, and those gone for longer than `gone_delay`.
    pub(crate) fn marks(
        &self,
        now: Timestamp,
        gone_delay: Duration,
        state: &State,
    ) -> Vec<BackendMark> {
        let mut marks = Vec::new();
        for backend in state.backends() {
            let name = &backend.registration.backend;
            let gone = self
                .missing_since
                .get(name)
                .is_some_and(|since| now.since(*since) >= gone_delay);
            let leaving = self.machines.get(name).is_some_and(is_leaving);
            let wanted = if gone {
                BackendState::Gone
            } else if leaving && backend.state == BackendState::Live {
                BackendState::Leaving
            } else {
                continue;
            };
            marks.push(BackendMark {
                backend: name.clone(),
                incarnation: backend.registration.incarnation,
                state: wanted,
            });
        }
        marks
    }

    /// All back ends to watch: those of the list, and registered ones that it does not have.
    pub(crate) fn watchable(&self, state: &State) -> BTreeMap<BackendName, Watchable> {
        let mut all = BTreeMap::new();
        for backend in state.backends() {
            let registration = &backend.registration;
            let watchable = Watchable {
                kind: registration.kind,
                zone: registration.zone.clone(),
                address: registration.address.clone(),
            };
            all.insert(registration.backend.clone(), watchable);
        }
        for machine in self.machines.values() {
            let watchable = Watchable {
                kind: machine.kind,
                zone: machine.zone.clone(),
                address: machine.address.clone(),
            };
            all.insert(machine.backend.clone(), watchable);
        }
        all
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = Platform::default();
    }
}

fn is_leaving(machine: &PlatformMachine) -> bool {
    machine.state == BackendState::Leaving
}
