//! Routes: the targets of routers, with the revision of each change.
//!
//! A replica has a route while it is loading or loaded, a web backend while it is not gone.

use crate::State;
use crate::changes::ChangeIndex;
use millpass_proto::{
    AdapterPhase, BackendName, BackendState, PlacementDelta, PlacementRevision, Replica,
    ReplicaRoute, SlotId, WebRoute,
};
use serde::{Deserialize, Serialize};

/// Maximum stored removals, for slots and for web backends each. Routers at an older revision get a
/// full copy.
pub const MAXIMUM_ROUTE_REMOVALS: usize = 16_384;

/// Revisions of routes. The routes themselves are derived from replicas and backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Routes {
    revision: u64,
    slots: ChangeIndex<SlotId>,
    web: ChangeIndex<BackendName>,
    /// Whether the command being applied changed a route.
    dirty: bool,
}

impl Routes {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Finishes a command and increments the revision if it changed a route.
    pub(crate) fn finish_command(&mut self) {
        if std::mem::take(&mut self.dirty) {
            self.revision += 1;
        }
    }

    pub(crate) fn touch_slot(&mut self, slot: SlotId) {
        let revision = self.next_revision();
        self.slots.touch(&slot, revision);
    }

    /// Records a change of a slot if it has a route.
    pub(crate) fn touch_live_slot(&mut self, slot: SlotId) {
        if self.slots.contains(&slot) {
            self.touch_slot(slot);
        }
    }

    pub(crate) fn remove_slot(&mut self, slot: SlotId) {
        if self.slots.contains(&slot) {
            let revision = self.next_revision();
            self.slots.remove(&slot, revision, MAXIMUM_ROUTE_REMOVALS);
        }
    }

    pub(crate) fn touch_web(&mut self, backend: &BackendName) {
        let revision = self.next_revision();
        self.web.touch(backend, revision);
    }

    pub(crate) fn remove_web(&mut self, backend: &BackendName) {
        if self.web.contains(backend) {
            let revision = self.next_revision();
            self.web.remove(backend, revision, MAXIMUM_ROUTE_REMOVALS);
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.dirty = true;
        self.revision + 1
    }
}

impl State {
    /// Returns the route changes after `from`, or `None` if `from` is current. Returns a full copy if
    /// `from` is 0 or ahead, or if removals since then are no longer kept.
    pub fn placement_since(&self, from: PlacementRevision) -> Option<PlacementDelta> {
        let current = self.routes.revision;
        if from.0 == current {
            return None;
        }
        let slots = self.routes.slots.since(from.0);
        let web = self.routes.web.since(from.0);
        let (Some(slots), Some(web)) = (slots, web) else {
            return Some(self.full_placement());
        };
        if from.0 == 0 || from.0 > current {
            return Some(self.full_placement());
        }
        Some(PlacementDelta {
            from,
            to: PlacementRevision(current),
            full: false,
            replicas: self.replica_routes(&slots.changed),
            web: self.web_routes(&web.changed),
            removed_slots: slots.removed,
            removed_backends: web.removed,
        })
    }

    /// Returns all routes.
    pub fn full_placement(&self) -> PlacementDelta {
        let slots: Vec<SlotId> = self.routes.slots.live_keys().copied().collect();
        let web: Vec<BackendName> = self.routes.web.live_keys().cloned().collect();
        PlacementDelta {
            from: PlacementRevision(0),
            to: PlacementRevision(self.routes.revision),
            full: true,
            replicas: self.replica_routes(&slots),
            web: self.web_routes(&web),
            removed_slots: Vec::new(),
            removed_backends: Vec::new(),
        }
    }

    /// Returns the route of a replica, if it has one.
    pub fn replica_route(&self, slot: SlotId) -> Option<ReplicaRoute> {
        if !self.routes.slots.contains(&slot) {
            return None;
        }
        let replica = self.replica(slot)?;
        let backend = self.backend(&replica.backend)?;
        let model = self.model(&replica.model);
        Some(ReplicaRoute {
            slot,
            model: replica.model.clone(),
            version: replica.version.clone(),
            backend: replica.backend.clone(),
            incarnation: replica.incarnation,
            address: backend.registration.address.clone(),
            zone: backend.registration.zone.clone(),
            role: backend.role,
            phase: replica.phase,
            leaving: backend.state != BackendState::Live,
            adapters: loaded_adapters(replica),
            concurrency: model.map_or(1, |model| model.concurrency_per_replica),
        })
    }

    fn replica_routes(&self, slots: &[SlotId]) -> Vec<ReplicaRoute> {
        let slots = slots.iter();
        slots.filter_map(|slot| self.replica_route(*slot)).collect()
    }

    fn web_routes(&self, names: &[BackendName]) -> Vec<WebRoute> {
        let names = names.iter();
        names.filter_map(|name| self.web_route(name)).collect()
    }

    fn web_route(&self, name: &BackendName) -> Option<WebRoute> {
        let backend = self.backend(name)?;
        Some(WebRoute {
            backend: name.clone(),
            group: backend.registration.group.clone()?,
            incarnation: backend.registration.incarnation,
            address: backend.registration.address.clone(),
            zone: backend.registration.zone.clone(),
            leaving: backend.state != BackendState::Live,
        })
    }
}

fn loaded_adapters(replica: &Replica) -> Vec<millpass_proto::AdapterName> {
    let adapters = replica.adapters.iter();
    adapters
        .filter(|one| one.phase == AdapterPhase::Loaded)
        .map(|one| one.adapter.clone())
        .collect()
}
