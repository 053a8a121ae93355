//! Local copy of the routes. Deltas are applied in revision order; the revision never decreases.

use crate::catalog::DeltaOutcome;
use millpass_proto::{
    BackendName, GroupName, ModelName, PlacementDelta, PlacementRevision, ReplicaRoute, SlotId,
    WebRoute,
};
use std::collections::{BTreeMap, BTreeSet};

/// Routes with indexes by model and by group.
pub(crate) struct Routes {
    revision: PlacementRevision,
    replicas: BTreeMap<SlotId, ReplicaRoute>,
    slots_of_model: BTreeMap<ModelName, BTreeSet<SlotId>>,
    web: BTreeMap<BackendName, WebRoute>,
    backends_of_group: BTreeMap<GroupName, BTreeSet<BackendName>>,
}

impl Routes {
    /// No routes, at revision 0.
    pub fn new() -> Self {
        Routes {
            revision: PlacementRevision(0),
            replicas: BTreeMap::new(),
            slots_of_model: BTreeMap::new(),
            web: BTreeMap::new(),
            backends_of_group: BTreeMap::new(),
        }
    }

    pub fn revision(&self) -> PlacementRevision {
        self.revision
    }

    /// Applies a delta that starts at the current revision or replaces all routes.
    pub fn apply(&mut self, delta: &PlacementDelta) -> DeltaOutcome {
        if delta.to <= self.revision {
            return DeltaOutcome::AlreadyHeld;
        }
        if !delta.full && delta.from != self.revision {
            return DeltaOutcome::Gap;
        }
        if delta.full {
            self.replicas.clear();
            self.slots_of_model.clear();
            self.web.clear();
            self.backends_of_group.clear();
        }
        for slot in &delta.removed_slots {
            self.remove_replica(*slot);
        }
        for backend in &delta.removed_backends {
            self.remove_web(backend);
        }
        for replica in &delta.replicas {
            self.put_replica(replica);
        }
        for web in &delta.web {
            self.put_web(web);
        }
        self.revision = delta.to;
        DeltaOutcome::Applied
    }

    fn put_replica(&mut self, replica: &ReplicaRoute) {
        self.remove_replica(replica.slot);
        self.slots_of_model
            .entry(replica.model.clone())
            .or_default()
            .insert(replica.slot);
        self.replicas.insert(replica.slot, replica.clone());
    }

    fn remove_replica(&mut self, slot: SlotId) {
        let Some(replica) = self.replicas.remove(&slot) else {
            return;
        };
        if let Some(slots) = self.slots_of_model.get_mut(&replica.model) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.slots_of_model.remove(&replica.model);
            }
        }
    }

    fn put_web(&mut self, web: &WebRoute) {
        self.remove_web(&web.backend);
        self.backends_of_group
            .entry(web.group.clone())
            .or_default()
            .insert(web.backend.clone());
        self.web.insert(web.backend.clone(), web.clone());
    }

    fn remove_web(&mut self, backend: &BackendName) {
        let Some(web) = self.web.remove(backend) else {
            return;
        };
        if let Some(backends) = self.backends_of_group.get_mut(&web.group) {
            backends.remove(backend);
            if backends.is_empty() {
                self.backends_of_group.remove(&web.group);
            }
        }
    }

    /// Replicas of a model in any phase, ordered by slot.
    pub fn replicas_of(&self, model: &ModelName) -> impl Iterator<Item = &ReplicaRoute> {
        let slots = self.slots_of_model.get(model).into_iter().flatten();
        slots.filter_map(|slot| self.replicas.get(slot))
    }

    /// Web backends of a group, ordered by name.
    pub fn web_of(&self, group: &GroupName) -> impl Iterator<Item = &WebRoute> {
        let backends = self.backends_of_group.get(group).into_iter().flatten();
        backends.filter_map(|backend| self.web.get(backend))
    }
}
