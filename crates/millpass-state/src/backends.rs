//! Back ends: registration of runs, marks of the platform, and their memory ledgers.

use crate::ledger::MemoryLedger;
use crate::refusal::Refusal;
use millpass_proto::{
    BackendKind, BackendName, BackendRegistration, BackendState, EngineRole, Incarnation,
    LogPosition, SlotId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Back ends kept, gone ones included.
pub const MAXIMUM_BACKENDS: usize = 65_536;
/// Back ends that are gone and still known by name.
pub const MAXIMUM_GONE_BACKENDS: usize = 1_024;
/// Ended runs remembered per back end, so that their late registration is refused.
pub const MAXIMUM_PAST_INCARNATIONS: usize = 16;

/// A back end as the state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Registration of its current run.
    pub registration: BackendRegistration,
    /// Whether it may take new work.
    pub state: BackendState,
    /// Role, as last decided.
    pub role: EngineRole,
}

/// A back end with what the state keeps beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendRecord {
    pub(crate) backend: Backend,
    /// Runs that ended, oldest first.
    past: VecDeque<Incarnation>,
    /// Fence of the role order that is not settled.
    pub(crate) role_fence: Option<LogPosition>,
    pub(crate) ledger: MemoryLedger,
    pub(crate) slots: BTreeSet<SlotId>,
}

impl BackendRecord {
    fn new(registration: &BackendRegistration) -> Self {
        BackendRecord {
            backend: Backend {
                registration: registration.clone(),
                state: BackendState::Live,
                role: EngineRole::Mixed,
            },
            past: VecDeque::new(),
            role_fence: None,
            ledger: MemoryLedger::new(&registration.accelerator_bytes),
            slots: BTreeSet::new(),
        }
    }

    fn end_run(&mut self) {
        self.past.push_back(self.backend.registration.incarnation);
        if self.past.len() > MAXIMUM_PAST_INCARNATIONS {
            self.past.pop_front();
        }
    }

    /// Whether the back end is an engine that may take new work under this incarnation.
    pub(crate) fn check_live_engine(&self, incarnation: Incarnation) -> Result<(), Refusal> {
        if self.backend.registration.incarnation != incarnation {
            return Err(Refusal::OtherIncarnation);
        }
        let engine = self.backend.registration.kind == BackendKind::Engine;
        if !engine || self.backend.state != BackendState::Live {
            return Err(Refusal::NotLiveEngine);
        }
        Ok(())
    }
}

/// What a registration means to what the back end held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Registered {
    /// A first or a new run: what the old one held is gone.
    NewRun,
    /// The known run at another address or zone.
    Moved,
    /// Nothing new.
    Unchanged,
}

/// All back ends by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Backends {
    records: BTreeMap<BackendName, BackendRecord>,
    /// Names of back ends marked gone, oldest first.
    gone: VecDeque<BackendName>,
}

impl Backends {
    pub(crate) fn get(&self, name: &BackendName) -> Option<&BackendRecord> {
        self.records.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &BackendName) -> Option<&mut BackendRecord> {
        self.records.get_mut(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendName, &BackendRecord)> {
        self.records.iter()
    }

    /// The record of a back end that runs under this incarnation.
    pub(crate) fn running(
        &self,
        name: &BackendName,
        incarnation: Incarnation,
    ) -> Result<&BackendRecord, Refusal> {
        let record = self.get(name).ok_or(Refusal::UnknownBackend)?;
        if record.backend.registration.incarnation != incarnation {
            return Err(Refusal::OtherIncarnation);
        }
        if record.backend.state == BackendState::Gone {
            return Err(Refusal::IncarnationEnded);
        }
        Ok(record)
    }

    /// Whether the registration would be taken, and how. Changes nothing.
    pub(crate) fn classify(
        &self,
        registration: &BackendRegistration,
    ) -> Result<Registered, Refusal> {
        let Some(record) = self.get(&registration.backend) else {
            if self.records.len() >= MAXIMUM_BACKENDS {
                return Err(Refusal::TableFull("back ends"));
            }
            return Ok(Registered::NewRun);
        };
        let known = &record.backend.registration;
        if record.past.contains(&registration.incarnation) {
            return Err(Refusal::IncarnationEnded);
        }
        if known.incarnation != registration.incarnation {
            return Ok(Registered::NewRun);
        }
        if record.backend.state == BackendState::Gone {
            return Err(Refusal::IncarnationEnded);
        }
        let same = known.address == registration.address && known.zone == registration.zone;
        Ok(if same {
            Registered::Unchanged
        } else {
            Registered::Moved
        })
    }

    /// Puts a new run in place of the old one, whose slots the caller has released.
    pub(crate) fn start_run(&mut self, registration: &BackendRegistration) {
        let name = &registration.backend;
        let mut fresh = BackendRecord::new(registration);
        if let Some(old) = self.records.get_mut(name) {
            old.end_run();
            fresh.past = std::mem::take(&mut old.past);
        }
        self.gone.retain(|gone| gone != name);
        self.records.insert(name.clone(), fresh);
    }

    /// Takes the address and zone of a known run.
    pub(crate) fn move_run(&mut self, registration: &BackendRegistration) {
        if let Some(record) = self.records.get_mut(&registration.backend) {
            record.backend.registration.address = registration.address.clone();
            record.backend.registration.zone = registration.zone.clone();
        }
    }

    /// Sets the state; the caller checked the change. Drops the oldest gone ones over the bound.
    pub(crate) fn set_state(&mut self, name: &BackendName, state: BackendState) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.backend.state = state;
        if state != BackendState::Gone {
            return;
        }
        record.role_fence = None;
        self.gone.push_back(name.clone());
        while self.gone.len() > MAXIMUM_GONE_BACKENDS {
            if let Some(oldest) = self.gone.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }
}
