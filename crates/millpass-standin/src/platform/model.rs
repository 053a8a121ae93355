//! The platform's machine list as a state machine.

use crate::lagged::Lagged;
use millpass_proto::{
    BackendName, BackendState, Duration, PlatformList, PlatformMachine, Timestamp,
};
use std::collections::BTreeMap;

/// Everything that shapes the list, in simulated time.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Age of the list that is read.
    pub list_lag: Duration,
    /// Least time between two lists kept; a list read may be older by this much.
    pub list_interval: Duration,
    /// Most machines.
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

/// What happens to the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformInput {
    /// A machine came up, or came back at another address.
    Register(PlatformMachine),
    /// A machine will go.
    Leaving(BackendName),
    /// A machine is gone.
    Remove(BackendName),
}

/// Why an input changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformRefusal {
    /// No such machine.
    #[error("machine is not listed; register it first")]
    Unknown,
    /// The list is full.
    #[error("list is full; remove machines first")]
    Full,
}

/// The list.
#[derive(Clone, Debug)]
pub struct PlatformModel {
    settings: PlatformSettings,
    sequence: u64,
    machines: BTreeMap<BackendName, PlatformMachine>,
    lists: Lagged<PlatformList>,
}

impl PlatformModel {
    /// An empty list.
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

    /// Takes one input.
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

    /// The list as read at `now`.
    pub fn list(&self, now: Timestamp) -> PlatformList {
        self.lists.read(now, || self.current())
    }

    /// The list as it is, without lag: for checkers.
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
