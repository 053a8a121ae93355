//! Invariants of the state, and a router's copy that is updated by deltas.

use millpass_proto::*;
use millpass_state::{State, replica_bytes_each};
use std::collections::BTreeMap;

/// Checks that the reported free memory equals the capacity minus the memory of the replicas.
pub fn check_ledger(capacity: &[u64], replicas: &[&Replica], free: &[u64]) -> Result<(), String> {
    let mut left = capacity.to_vec();
    for replica in replicas {
        for accelerator in &replica.accelerators {
            let bytes = replica_bytes_each(replica);
            let left = &mut left[*accelerator as usize];
            *left = left.checked_sub(bytes).ok_or("memory is overcommitted")?;
        }
    }
    if left != free {
        return Err(format!("free is {free:?}, recomputed {left:?}"));
    }
    Ok(())
}

pub fn check_engines(state: &State) -> Result<(), String> {
    for backend in state.backends() {
        let name = &backend.registration.backend;
        let capacity = &backend.registration.accelerator_bytes;
        let free = state.free_bytes(name);
        check_ledger(capacity, &state.replicas_on(name), &free)?;
    }
    for replica in state.replicas() {
        let backend = state.backend(&replica.backend).ok_or("engine is unknown")?;
        let current = backend.registration.incarnation == replica.incarnation;
        if !current || backend.state == BackendState::Gone {
            return Err(format!("slot {} outlived its incarnation", replica.slot));
        }
    }
    Ok(())
}

/// Checks that each unsettled phase has exactly one outstanding order and vice versa.
pub fn check_orders(state: &State) -> Result<(), String> {
    let mut open = 0;
    for replica in state.replicas() {
        let unloading = replica.phase == ReplicaPhase::Unloading;
        open += usize::from(replica.phase != ReplicaPhase::Loaded);
        let adapters = replica.adapters.iter();
        let waiting = adapters.filter(|one| one.phase != AdapterPhase::Loaded);
        open += if unloading { 0 } else { waiting.count() };
    }
    let orders = state.outstanding_orders();
    let of_slots = orders
        .iter()
        .filter(|order| !matches!(order.action, OrderAction::ChangeRole(_)));
    if of_slots.count() != open || orders.len() != state.outstanding_order_count() {
        return Err(format!("{open} open phases, orders {orders:?}"));
    }
    Ok(())
}

/// A router's copy of catalog and routes.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct Follower {
    objects: BTreeMap<ObjectKey, StoredObject>,
    replicas: BTreeMap<SlotId, ReplicaRoute>,
    web: BTreeMap<BackendName, WebRoute>,
    configuration: u64,
    placement: u64,
}

impl Follower {
    pub fn catch_up(&mut self, state: &State) {
        let revision = ConfigurationRevision(self.configuration);
        if let Some(delta) = state.configuration_since(revision) {
            self.apply_configuration(delta);
        }
        if let Some(delta) = state.placement_since(PlacementRevision(self.placement)) {
            self.apply_placement(delta);
        }
    }

    pub fn apply_configuration(&mut self, delta: ConfigurationDelta) {
        if delta.full {
            self.objects.clear();
        }
        let revisions: Vec<u64> = delta.objects.iter().map(|one| one.revision.0).collect();
        assert!(revisions.is_sorted());
        for key in &delta.removed {
            self.objects.remove(key);
        }
        for object in delta.objects {
            self.objects.insert(object.key.clone(), object);
        }
        self.configuration = delta.to.0;
    }

    pub fn apply_placement(&mut self, delta: PlacementDelta) {
        if delta.full {
            self.replicas.clear();
            self.web.clear();
        }
        for slot in &delta.removed_slots {
            self.replicas.remove(slot);
        }
        for backend in &delta.removed_backends {
            self.web.remove(backend);
        }
        for route in delta.replicas {
            self.replicas.insert(route.slot, route);
        }
        for route in delta.web {
            self.web.insert(route.backend.clone(), route);
        }
        self.placement = delta.to.0;
    }
}
