//! The platform's list of machines, which shows each change some time after it happened.

use millpass_proto::{BackendName, BackendState, PlatformList, PlatformMachine};

/// One change of the list.
struct Change {
    visible_at: u64,
    backend: BackendName,
    /// The machine as it is from then on; none when it is gone.
    machine: Option<PlatformMachine>,
}

/// The list with its history.
#[derive(Default)]
pub struct Platform {
    changes: Vec<Change>,
}

impl Platform {
    /// Records a change; it becomes visible no earlier than the ones before it. Gives the time at
    /// which it does.
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

    /// The list as read at a time.
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

    /// The machine as last recorded, visible or not.
    pub fn latest(&self, backend: &BackendName) -> Option<&PlatformMachine> {
        let of_backend = |change: &&Change| change.backend == *backend;
        let last = self.changes.iter().rev().find(of_backend)?;
        last.machine.as_ref()
    }

    /// Whether the machine is listed as leaving, visible or not yet.
    pub fn is_leaving(&self, backend: &BackendName) -> bool {
        self.latest(backend)
            .is_some_and(|machine| machine.state == BackendState::Leaving)
    }
}
