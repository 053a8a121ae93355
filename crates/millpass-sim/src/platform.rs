//! The platform's list of machines, which shows changes with a delay.

use millpass_proto::{BackendName, BackendState, PlatformList, PlatformMachine};

/// A change of the list.
struct Change {
    visible_at: u64,
    backend: BackendName,
    /// New state of the machine; `None` if it was removed.
    machine: Option<PlatformMachine>,
}

/// The list, with all its changes.
#[derive(Default)]
pub struct Platform {
    changes: Vec<Change>,
}

impl Platform {
    /// Records a change and returns the time at which it becomes visible, which is not earlier than
    /// that of previous changes.
    pub fn change(
        &mut self,
        visible_at: u64,
        backend: &BackendName,
        machine: Option<PlatformMachine>,
    ) -> u64 {
        let last = self.changes.last().map_or(0, |change| change.visible_at);
        let visible_at = visible_at.max(last);
        self.changes.push(Change {
            visible_at,
            backend: backend.clone(),
            machine,
        });
        visible_at
    }

    /// Returns the list as visible at a time.
    pub fn read(&self, now: u64) -> PlatformList {
        let mut machines: Vec<PlatformMachine> = Vec::new();
        let mut sequence = 0;
        for change in self
            .changes
            .iter()
            .filter(|change| change.visible_at <= now)
        {
            sequence += 1;
            machines.retain(|machine| machine.backend != change.backend);
            machines.extend(change.machine.clone());
        }
        machines.sort_by(|one, other| one.backend.cmp(&other.backend));
        PlatformList { sequence, machines }
    }

    /// Returns the last recorded state of a machine, visible or not.
    pub fn latest(&self, backend: &BackendName) -> Option<&PlatformMachine> {
        let of_backend = |change: &&Change| change.backend == *backend;
        let last = self.changes.iter().rev().find(of_backend)?;
        last.machine.as_ref()
    }

    /// Whether the last recorded state of the machine is leaving, visible or not.
    pub fn is_leaving(&self, backend: &BackendName) -> bool {
        self.latest(backend)
            .is_some_and(|machine| machine.state == BackendState::Leaving)
    }
}
