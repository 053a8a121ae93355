//! State machine of the platform's machine list.

use crate::lagged::Lagged;
use millpass_proto::{
    BackendName, BackendState, Duration, PlatformList, PlatformMachine, Timestamp,
};
use std::collections::BTreeMap;

/// Settings of the list, in simulated time.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Delay with which readers see the list.
    pub list_lag: Duration,
    /// Minimum time between two recorded lists; a list that is read may be older by this much.
    pub list_interval: Duration,
    /// Maximum number of machines.
    pub maximum_machines: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            list_lag: Duration::from_millis(1_000),
            list_interval: Duration::from_millis(50),
            maximum_machines: 16_384,
        }
    }
}

/// Input of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformInput {
    /// A machine started, or restarted at another address.
    Register(PlatformMachine),
    /// A machine is about to depart.
    Leaving(BackendName),
    /// A machine has departed.
    Remove(BackendName),
}

/// Reason for which an input was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformRefusal {
    /// The machine is not in the list.
    #[error("machine is not listed; register it first")]
    Unknown,
    /// The list is full.
    #[error("list is full; remove machines first")]
    Full,
}

/// Model of the platform's machine list.
#[derive(Clone, Debug)]
pub struct PlatformModel {
    settings: PlatformSettings,
    sequence: u64,
    machines: BTreeMap<BackendName, PlatformMachine>,
    lists: Lagged<PlatformList>,
}

impl PlatformModel {
    /// Creates an empty list.
    pub fn new(settings: PlatformSettings, now: Timestamp) -> Self {
        let empty = PlatformList {
            sequence: 0,
            machines: Vec::new(),
        };
        let lists = Lagged::new(settings.list_lag, settings.list_interval, now, empty);
        PlatformModel {
            settings,
            sequence: 0,
            machines: BTreeMap::new(),
            lists,
        }
    }

    /// Applies one input.
    pub fn step(&mut self, now: Timestamp, input: PlatformInput) -> Result<(), PlatformRefusal> {
        if self.lists.should_record(now) {
            let list = self.current();
            self.lists.record(now, list);
        }
        match input {
            PlatformInput::Register(machine) => self.register(machine)?,
            PlatformInput::Leaving(name) => {
                let machine = self.machines.get_mut(&name);
                machine.ok_or(PlatformRefusal::Unknown)?.state = BackendState::Leaving;
            }
            PlatformInput::Remove(name) => {
                self.machines
                    .remove(&name)
                    .ok_or(PlatformRefusal::Unknown)?;
            }
        }
        self.sequence += 1;
        self.lists.mark_changed(now);
        Ok(())
    }

    /// Returns the list that a reader sees at `now`.
    pub fn list(&self, now: Timestamp) -> PlatformList {
        self.lists.read(now, || self.current())
    }

    /// Returns the list without lag; for checkers.
    pub fn current(&self) -> PlatformList {
        PlatformList {
            sequence: self.sequence,
            machines: self.machines.values().cloned().collect(),
        }
    }

    fn register(&mut self, machine: PlatformMachine) -> Result<(), PlatformRefusal> {
        let is_known = self.machines.contains_key(&machine.backend);
        if !is_known && self.machines.len() >= self.settings.maximum_machines {
            return Err(PlatformRefusal::Full);
        }
        self.machines.insert(machine.backend.clone(), machine);
        Ok(())
    }
}
