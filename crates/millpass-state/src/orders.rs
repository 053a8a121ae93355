//! Outstanding (unsettled) orders, per engine in fence order.

use crate::State;
use millpass_proto::{
    AdapterName, AdapterPhase, BackendName, ChangeRole, EngineOrder, LoadAdapterOrder,
    LoadModelOrder, LogPosition, OrderAction, Replica, ReplicaPhase, RoleSettlement, SlotId,
    UnloadAdapterOrder,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::refusal::Refusal;

/// Subject of an outstanding order, from which the order is built on demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderSubject {
    /// Load or unload of a replica, depending on its phase.
    Replica(SlotId),
    /// Load or unload of an adapter, depending on its phase.
    Adapter(SlotId, AdapterName),
    /// Change to the assigned role of the engine.
    Role,
}

/// Outstanding orders. Engines without orders have no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outstanding {
    by_backend: BTreeMap<BackendName, BTreeMap<LogPosition, OrderSubject>>,
    count: usize,
}

impl Outstanding {
    pub(crate) fn insert(
        &mut self,
        backend: &BackendName,
        fence: LogPosition,
        subject: OrderSubject,
    ) {
        let orders = self.by_backend.entry(backend.clone()).or_default();
        if orders.insert(fence, subject).is_none() {
            self.count += 1;
        }
    }

    /// Removes an order, if it is still outstanding.
    pub(crate) fn remove(&mut self, backend: &BackendName, fence: LogPosition) {
        let Some(orders) = self.by_backend.get_mut(backend) else {
            return;
        };
        if orders.remove(&fence).is_some() {
            self.count -= 1;
        }
        if orders.is_empty() {
            self.by_backend.remove(backend);
        }
    }

    pub(crate) fn remove_backend(&mut self, backend: &BackendName) {
        if let Some(orders) = self.by_backend.remove(backend) {
            self.count -= orders.len();
        }
    }
}

impl State {
    /// Returns the outstanding orders by engine, in fence order. Orders must be delivered one at a
    /// time per engine, each until it is settled.
    pub fn outstanding_orders(&self) -> Vec<EngineOrder> {
        let engines = self.placement.outstanding.by_backend.keys();
        engines
            .flat_map(|backend| self.outstanding_orders_of(backend))
            .collect()
    }

    /// Returns the outstanding orders of an engine, in fence order.
    pub fn outstanding_orders_of(&self, backend: &BackendName) -> Vec<EngineOrder> {
        let orders = self.placement.outstanding.by_backend.get(backend);
        let orders = orders.into_iter().flatten();
        orders
            .filter_map(|(fence, subject)| self.order(backend, *fence, subject))
            .collect()
    }

    /// Returns the next order for an engine: the outstanding one with the lowest fence.
    pub fn next_order(&self, backend: &BackendName) -> Option<EngineOrder> {
        let orders = self.placement.outstanding.by_backend.get(backend)?;
        let (fence, subject) = orders.first_key_value()?;
        self.order(backend, *fence, subject)
    }

    /// Returns the engines with outstanding orders, by name, with the fence of the next order.
    pub fn next_fences(&self) -> impl Iterator<Item = (&BackendName, LogPosition)> {
        let engines = self.placement.outstanding.by_backend.iter();
        engines.filter_map(|(backend, orders)| Some((backend, *orders.first_key_value()?.0)))
    }

    /// Returns the engines with outstanding orders, by name.
    pub fn engines_with_orders(&self) -> impl Iterator<Item = &BackendName> {
        self.placement.outstanding.by_backend.keys()
    }

    /// Returns the number of outstanding orders.
    pub fn outstanding_order_count(&self) -> usize {
        self.placement.outstanding.count
    }

    pub(crate) fn change_role(
        &mut self,
        at: LogPosition,
        change: &ChangeRole,
    ) -> Result<(), Refusal> {
        let record = self.backends.get_mut(&change.backend);
        let record = record.ok_or(Refusal::UnknownBackend)?;
        record.check_live_engine(change.incarnation)?;
        if record.backend.role == change.role {
            return Err(Refusal::NoChange);
        }
        let outstanding = &mut self.placement.outstanding;
        if let Some(fence) = record.role_fence.replace(at) {
            outstanding.remove(&change.backend, fence);
        }
        record.backend.role = change.role;
        outstanding.insert(&change.backend, at, OrderSubject::Role);
        for slot in &record.slots {
            self.routes.touch_live_slot(*slot);
        }
        Ok(())
    }

    pub(crate) fn settle_role(&mut self, settlement: &RoleSettlement) -> Result<(), Refusal> {
        self.backends
            .running(&settlement.backend, settlement.incarnation)?;
        let record = self.backends.get_mut(&settlement.backend);
        let record = record.ok_or(Refusal::UnknownBackend)?;
        if record.role_fence != Some(settlement.fence) {
            return Err(Refusal::StaleFence);
        }
        record.role_fence = None;
        let outstanding = &mut self.placement.outstanding;
        outstanding.remove(&settlement.backend, settlement.fence);
        Ok(())
    }

    fn order(
        &self,
        backend: &BackendName,
        fence: LogPosition,
        subject: &OrderSubject,
    ) -> Option<EngineOrder> {
        let record = self.backends.get(backend)?;
        let action = match subject {
            OrderSubject::Role => OrderAction::ChangeRole(record.backend.role),
            OrderSubject::Replica(slot) => replica_action(self.replica(*slot)?),
            OrderSubject::Adapter(slot, adapter) => self.adapter_action(*slot, adapter)?,
        };
        Some(EngineOrder {
            fence,
            backend: backend.clone(),
            incarnation: record.backend.registration.incarnation,
            action,
        })
    }

    fn adapter_action(&self, slot: SlotId, adapter: &AdapterName) -> Option<OrderAction> {
        let replica = self.replica(slot)?;
        let mut adapters = replica.adapters.iter();
        let attachment = adapters.find(|one| one.adapter == *adapter)?;
        if attachment.phase == AdapterPhase::Unloading {
            return Some(OrderAction::UnloadAdapter(UnloadAdapterOrder {
                slot,
                adapter: adapter.clone(),
            }));
        }
        Some(OrderAction::LoadAdapter(LoadAdapterOrder {
            slot,
            adapter: adapter.clone(),
            bytes: attachment.bytes,
            checkpoint: attachment.checkpoint.clone(),
        }))
    }
}

fn replica_action(replica: &Replica) -> OrderAction {
    if replica.phase == ReplicaPhase::Unloading {
        return OrderAction::UnloadModel(replica.slot);
    }
    OrderAction::LoadModel(LoadModelOrder {
        slot: replica.slot,
        model: replica.model.clone(),
        version: replica.version.clone(),
        accelerators: replica.accelerators.clone(),
        weights_bytes: replica.weights_bytes,
        cache_bytes: replica.cache_bytes,
        checkpoint: replica.checkpoint.clone(),
    })
}
