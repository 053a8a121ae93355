//! The platform's machine list.
//!
//! The list lags. It states which back ends exist and which are leaving. A machine is marked as
//! gone only after it has been missing for a configured time, which each leader counts anew.

use crate::watch::Watchable;
use millpass_proto::{
    BackendMark, BackendName, BackendState, Duration, PlatformList, PlatformMachine, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Interval between reads of the list.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a new leader withholds leases until it has read the list and marked leaving
/// back ends. Without a bound, routers would lose all back ends while the platform is unavailable.
const MAXIMUM_LIST_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of machines read from a list. The rest of a longer list is ignored, and no
/// machine counts as missing.
const MAXIMUM_MACHINES: usize = 16_384;

/// The newest list, and the registered back ends that are missing from it.
#[derive(Default)]
pub(crate) struct Platform {
    sequence: u64,
    machines: BTreeMap<BackendName, PlatformMachine>,
    missing_since: BTreeMap<BackendName, Timestamp>,
    has_list: bool,
    /// Time since which leases have been withheld until leaving back ends are marked.
    waiting_since: Option<Timestamp>,
    /// Whether leases are no longer withheld.
    leases_allowed: bool,
}

impl Platform {
    /// Applies a list. Returns false if it is older than the current one.
    pub(crate) fn update(&mut self, now: Timestamp, list: PlatformList, state: &State) -> bool {
        if self.has_list && list.sequence < self.sequence {
            return false;
        }
        self.has_list = true;
        self.sequence = list.sequence;
        let is_complete = list.machines.len() <= MAXIMUM_MACHINES;
        self.machines = list
            .machines
            .into_iter()
            .take(MAXIMUM_MACHINES)
            .filter(|machine| machine.state != BackendState::Gone)
            .map(|machine| (machine.backend.clone(), machine))
            .collect();
        if is_complete {
            self.record_missing(now, state);
        } else {
            self.missing_since.clear();
        }
        true
    }

    fn record_missing(&mut self, now: Timestamp, state: &State) {
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

    pub(crate) fn machine(&self, backend: &BackendName) -> Option<&PlatformMachine> {
        self.machines.get(backend)
    }

    /// Returns true if router leases may be granted. A new leader waits for a bounded time until
    /// leaving back ends are marked, so that a chain of short-lived leaders cannot prolong the use
    /// of one.
    pub(crate) fn leases_allowed(&mut self, now: Timestamp, state: &State) -> bool {
        if self.leases_allowed {
            return true;
        }
        let since = *self.waiting_since.get_or_insert(now);
        let marked = self.has_list && self.unmarked_leaving(state).next().is_none();
        self.leases_allowed = marked || now.since(since) >= MAXIMUM_LIST_WAIT;
        self.leases_allowed
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

    /// Returns the marks to propose: leaving back ends, and those missing for longer than
    /// `gone_delay`.
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
            let new_state = if gone {
                BackendState::Gone
            } else if leaving && backend.state == BackendState::Live {
                BackendState::Leaving
            } else {
                continue;
            };
            marks.push(BackendMark {
                backend: name.clone(),
                incarnation: backend.registration.incarnation,
                state: new_state,
            });
        }
        marks
    }

    /// Returns all back ends to watch: listed machines and registered back ends.
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

    pub(crate) fn clear(&mut self) {
        *self = Platform::default();
    }
}

fn is_leaving(machine: &PlatformMachine) -> bool {
    machine.state == BackendState::Leaving
}
