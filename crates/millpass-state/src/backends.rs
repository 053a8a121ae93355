//! Backends: registrations, states and memory ledgers.

use crate::ledger::MemoryLedger;
use crate::refusal::Refusal;
use millpass_proto::{
    BackendKind, BackendName, BackendRegistration, BackendState, EngineRole, Incarnation,
    LogPosition, SlotId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum stored backends, including gone ones.
pub const MAXIMUM_BACKENDS: usize = 65_536;
/// Maximum stored backends that are gone.
pub const MAXIMUM_GONE_BACKENDS: usize = 1_024;
/// Maximum ended incarnations tracked per backend, to refuse their late registrations.
pub const MAXIMUM_PAST_INCARNATIONS: usize = 16;

/// A registered backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Registration of the current incarnation.
    pub registration: BackendRegistration,
    /// State; only a live backend accepts new work.
    pub state: BackendState,
    /// Assigned role.
    pub role: EngineRole,
}

/// A backend with its ledger, slots and past incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendRecord {
    pub(crate) backend: Backend,
    /// Ended incarnations, oldest first.
    past: VecDeque<Incarnation>,
    /// Fence of the outstanding role order.
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

    fn end_incarnation(&mut self) {
        self.past.push_back(self.backend.registration.incarnation);
        if self.past.len() > MAXIMUM_PAST_INCARNATIONS {
            self.past.pop_front();
        }
    }

    /// Checks that the backend is a live engine with this incarnation.
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

/// Effect of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    /// A first or new incarnation; slots of the previous one are void.
    NewIncarnation,
    /// The current incarnation with another address or zone.
    Moved,
    /// The registration is already recorded.
    Unchanged,
}

/// All backends by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Backends {
    records: BTreeMap<BackendName, BackendRecord>,
    /// Names of backends marked gone, oldest first.
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

    /// Returns the record of a backend with this incarnation, unless it is gone.
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

    /// Returns the effect of a registration without applying it.
    pub(crate) fn classify(
        &self,
        registration: &BackendRegistration,
    ) -> Result<Registration, Refusal> {
        let Some(record) = self.get(&registration.backend) else {
            if self.records.len() >= MAXIMUM_BACKENDS {
                return Err(Refusal::TableFull("backends"));
            }
            return Ok(Registration::NewIncarnation);
        };
        let known = &record.backend.registration;
        if record.past.contains(&registration.incarnation) {
            return Err(Refusal::IncarnationEnded);
        }
        if known.incarnation != registration.incarnation {
            return Ok(Registration::NewIncarnation);
        }
        if record.backend.state == BackendState::Gone {
            return Err(Refusal::IncarnationEnded);
        }
        let same = known.address == registration.address && known.zone == registration.zone;
        Ok(if same {
            Registration::Unchanged
        } else {
            Registration::Moved
        })
    }

    /// Replaces the incarnation of a backend. The caller must have released the slots of the old one.
    pub(crate) fn start_incarnation(&mut self, registration: &BackendRegistration) {
        let name = &registration.backend;
        let mut record = BackendRecord::new(registration);
        if let Some(old) = self.records.get_mut(name) {
            old.end_incarnation();
            record.past = std::mem::take(&mut old.past);
        }
        self.gone.retain(|gone| gone != name);
        self.records.insert(name.clone(), record);
    }

    /// Updates the address and zone of the current incarnation.
    pub(crate) fn update_location(&mut self, registration: &BackendRegistration) {
        if let Some(record) = self.records.get_mut(&registration.backend) {
            record.backend.registration.address = registration.address.clone();
            record.backend.registration.zone = registration.zone.clone();
        }
    }

    /// Sets the state, which the caller has checked. Evicts the oldest gone backends over the limit.
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
