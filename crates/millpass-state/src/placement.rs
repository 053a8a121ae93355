//! Replicas and adapters: the tables and the commands that change them.
//!
//! Invariant: a replica is counted and its memory reserved from its placement until the engine confirms
//! the unload under the latest fence, or the engine's incarnation is confirmed to have ended.

use crate::State;
use crate::ledger::{adapter_bytes_each, replica_bytes_each, version_bytes_each};
use crate::orders::{OrderSubject, Outstanding};
use crate::refusal::Refusal;
use millpass_proto::{
    AdapterAttachment, AdapterDecision, AdapterName, AdapterPhase, AdapterSpec, BackendName,
    LogPosition, ModelName, ModelSpec, OrderResult, OrderSettlement, PlaceReplica, Replica,
    ReplicaPhase, RetireReplica, SlotId, VersionSpec,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum adapters attached to one replica, in every phase.
pub const MAXIMUM_ADAPTERS_PER_REPLICA: usize = 256;

/// Replicas with their indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Placement {
    pub(crate) replicas: BTreeMap<SlotId, Replica>,
    pub(crate) by_model: BTreeMap<ModelName, BTreeSet<SlotId>>,
    pub(crate) outstanding: Outstanding,
}

impl Placement {
    pub(crate) fn slots_of(&self, model: &ModelName) -> impl Iterator<Item = SlotId> + '_ {
        self.by_model.get(model).into_iter().flatten().copied()
    }

    pub(crate) fn slot_count(&self, model: &ModelName) -> u32 {
        self.by_model
            .get(model)
            .map_or(0, |slots| slots.len() as u32)
    }

    fn insert(&mut self, replica: Replica) {
        let slots = self.by_model.entry(replica.model.clone()).or_default();
        slots.insert(replica.slot);
        self.replicas.insert(replica.slot, replica);
    }

    fn remove(&mut self, slot: SlotId) -> Option<Replica> {
        let replica = self.replicas.remove(&slot)?;
        if let Some(slots) = self.by_model.get_mut(&replica.model) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.by_model.remove(&replica.model);
            }
        }
        Some(replica)
    }
}

impl State {
    /// Checks whether a placement would be accepted, without applying it.
    pub fn check_place(&self, place: &PlaceReplica) -> Result<(), Refusal> {
        let (model, version) = self.placeable_version(place)?;
        let found = self.placement.slot_count(&place.model);
        if found != place.expected_slots {
            return Err(Refusal::SlotCount {
                found,
                expected: place.expected_slots,
            });
        }
        if found >= model.maximum_replicas {
            return Err(Refusal::MaximumReplicas);
        }
        let record = self.backends.get(&place.backend);
        let record = record.ok_or(Refusal::UnknownBackend)?;
        record.check_live_engine(place.incarnation)?;
        let available = record.ledger.free().len();
        check_accelerators(&place.accelerators, model, available)?;
        let each = version_bytes_each(version, model.accelerators_per_replica);
        if !record.ledger.fits(&place.accelerators, each) {
            return Err(Refusal::InsufficientMemory);
        }
        Ok(())
    }

    /// Checks whether an adapter could be attached, without applying it.
    pub fn check_attach(&self, decision: &AdapterDecision) -> Result<(), Refusal> {
        let replica = self.replica(decision.slot).ok_or(Refusal::UnknownSlot)?;
        let adapter = self.adapter_of(&replica.model, &decision.adapter)?;
        if replica.phase != ReplicaPhase::Loaded {
            return Err(Refusal::WrongPhase);
        }
        if attachment(replica, &decision.adapter).is_some() {
            return Err(Refusal::AdapterPresent);
        }
        if replica.adapters.len() >= MAXIMUM_ADAPTERS_PER_REPLICA {
            return Err(Refusal::TableFull("adapters of the replica"));
        }
        let record = self.backends.get(&replica.backend);
        let record = record.ok_or(Refusal::UnknownBackend)?;
        record.check_live_engine(replica.incarnation)?;
        let each = adapter_bytes_each(adapter.bytes, replica.accelerators.len());
        if !record.ledger.fits(&replica.accelerators, each) {
            return Err(Refusal::InsufficientMemory);
        }
        Ok(())
    }

    pub(crate) fn place_replica(
        &mut self,
        at: LogPosition,
        place: &PlaceReplica,
    ) -> Result<SlotId, Refusal> {
        self.check_place(place)?;
        let (_, version) = self.placeable_version(place)?;
        let slot = SlotId(at.index);
        let replica = Replica {
            slot,
            model: place.model.clone(),
            version: place.version.clone(),
            backend: place.backend.clone(),
            incarnation: place.incarnation,
            accelerators: place.accelerators.clone(),
            weights_bytes: version.weights_bytes,
            cache_bytes: version.cache_bytes,
            checkpoint: version.checkpoint.clone(),
            phase: ReplicaPhase::Loading,
            fence: at,
            adapters: Vec::new(),
        };
        if let Some(record) = self.backends.get_mut(&place.backend) {
            let each = replica_bytes_each(&replica);
            record.ledger.reserve(&place.accelerators, each);
            record.slots.insert(slot);
        }
        let outstanding = &mut self.placement.outstanding;
        outstanding.insert(&place.backend, at, OrderSubject::Replica(slot));
        self.placement.insert(replica);
        self.routes.touch_slot(slot);
        Ok(slot)
    }

    pub(crate) fn retire_replica(
        &mut self,
        at: LogPosition,
        retire: &RetireReplica,
    ) -> Result<(), Refusal> {
        let replica = self.placement.replicas.get_mut(&retire.slot);
        let replica = replica.ok_or(Refusal::UnknownSlot)?;
        if replica.phase == ReplicaPhase::Unloading {
            return Err(Refusal::NoChange);
        }
        let outstanding = &mut self.placement.outstanding;
        outstanding.remove(&replica.backend, replica.fence);
        replica.phase = ReplicaPhase::Unloading;
        replica.fence = at;
        // The unload includes the adapters, so it supersedes their orders.
        for attachment in &mut replica.adapters {
            outstanding.remove(&replica.backend, attachment.fence);
            attachment.phase = AdapterPhase::Unloading;
            attachment.fence = at;
        }
        outstanding.insert(&replica.backend, at, OrderSubject::Replica(retire.slot));
        self.routes.remove_slot(retire.slot);
        Ok(())
    }

    pub(crate) fn attach_adapter(
        &mut self,
        at: LogPosition,
        decision: &AdapterDecision,
    ) -> Result<(), Refusal> {
        self.check_attach(decision)?;
        let replica = self.replica(decision.slot).ok_or(Refusal::UnknownSlot)?;
        let adapter = self.adapter_of(&replica.model, &decision.adapter)?;
        let (bytes, checkpoint) = (adapter.bytes, adapter.checkpoint.clone());
        let Some(replica) = self.placement.replicas.get_mut(&decision.slot) else {
            return Err(Refusal::UnknownSlot);
        };
        replica.adapters.push(AdapterAttachment {
            adapter: decision.adapter.clone(),
            bytes,
            phase: AdapterPhase::Loading,
            fence: at,
            checkpoint,
        });
        if let Some(record) = self.backends.get_mut(&replica.backend) {
            let each = adapter_bytes_each(bytes, replica.accelerators.len());
            record.ledger.reserve(&replica.accelerators, each);
        }
        let subject = OrderSubject::Adapter(decision.slot, decision.adapter.clone());
        let outstanding = &mut self.placement.outstanding;
        outstanding.insert(&replica.backend, at, subject);
        Ok(())
    }

    pub(crate) fn detach_adapter(
        &mut self,
        at: LogPosition,
        decision: &AdapterDecision,
    ) -> Result<(), Refusal> {
        let replica = self.placement.replicas.get_mut(&decision.slot);
        let replica = replica.ok_or(Refusal::UnknownSlot)?;
        if replica.phase == ReplicaPhase::Unloading {
            return Err(Refusal::WrongPhase);
        }
        let backend = replica.backend.clone();
        let attachment = attachment_mut(replica, &decision.adapter);
        let attachment = attachment.ok_or(Refusal::AdapterAbsent)?;
        if attachment.phase == AdapterPhase::Unloading {
            return Err(Refusal::NoChange);
        }
        let was_loaded = attachment.phase == AdapterPhase::Loaded;
        let outstanding = &mut self.placement.outstanding;
        outstanding.remove(&backend, attachment.fence);
        attachment.phase = AdapterPhase::Unloading;
        attachment.fence = at;
        let subject = OrderSubject::Adapter(decision.slot, decision.adapter.clone());
        outstanding.insert(&backend, at, subject);
        if was_loaded {
            self.routes.touch_slot(decision.slot);
        }
        Ok(())
    }

    pub(crate) fn settle_order(&mut self, settlement: &OrderSettlement) -> Result<(), Refusal> {
        let replica = self.replica(settlement.slot).ok_or(Refusal::UnknownSlot)?;
        if replica.backend != settlement.backend {
            return Err(Refusal::UnknownBackend);
        }
        if replica.incarnation != settlement.incarnation {
            return Err(Refusal::OtherIncarnation);
        }
        match &settlement.adapter {
            Some(adapter) => self.settle_adapter(settlement, adapter),
            None => self.settle_replica(settlement),
        }
    }

    fn settle_replica(&mut self, settlement: &OrderSettlement) -> Result<(), Refusal> {
        let slot = settlement.slot;
        let replica = self.placement.replicas.get_mut(&slot);
        let replica = replica.ok_or(Refusal::UnknownSlot)?;
        if replica.fence != settlement.fence {
            return Err(Refusal::StaleFence);
        }
        match settlement.result {
            OrderResult::Loaded if replica.phase == ReplicaPhase::Loading => {
                replica.phase = ReplicaPhase::Loaded;
                let outstanding = &mut self.placement.outstanding;
                outstanding.remove(&settlement.backend, settlement.fence);
                self.routes.touch_slot(slot);
                Ok(())
            }
            OrderResult::Loaded => Err(Refusal::NoChange),
            // In both cases the memory is free. Under the latest fence that is final in every phase,
            // since no earlier order can make the engine load this slot again.
            OrderResult::Unloaded | OrderResult::Failed(_) => {
                self.release_slot(slot);
                Ok(())
            }
        }
    }

    fn settle_adapter(
        &mut self,
        settlement: &OrderSettlement,
        adapter: &AdapterName,
    ) -> Result<(), Refusal> {
        let replica = self.placement.replicas.get_mut(&settlement.slot);
        let replica = replica.ok_or(Refusal::UnknownSlot)?;
        if replica.phase == ReplicaPhase::Unloading {
            // The unload of the replica superseded the adapter's orders.
            return Err(Refusal::StaleFence);
        }
        let attachment = attachment_mut(replica, adapter).ok_or(Refusal::AdapterAbsent)?;
        if attachment.fence != settlement.fence {
            return Err(Refusal::StaleFence);
        }
        let outstanding = &mut self.placement.outstanding;
        match settlement.result {
            OrderResult::Loaded if attachment.phase == AdapterPhase::Loading => {
                attachment.phase = AdapterPhase::Loaded;
                outstanding.remove(&settlement.backend, settlement.fence);
                self.routes.touch_slot(settlement.slot);
                Ok(())
            }
            OrderResult::Loaded => Err(Refusal::NoChange),
            OrderResult::Unloaded | OrderResult::Failed(_) => {
                let was_routed = attachment.phase == AdapterPhase::Loaded;
                let bytes = attachment.bytes;
                outstanding.remove(&settlement.backend, settlement.fence);
                replica.adapters.retain(|one| one.adapter != *adapter);
                if let Some(record) = self.backends.get_mut(&settlement.backend) {
                    let each = adapter_bytes_each(bytes, replica.accelerators.len());
                    record.ledger.release(&replica.accelerators, each);
                }
                if was_routed {
                    self.routes.touch_slot(settlement.slot);
                }
                Ok(())
            }
        }
    }

    /// Removes a slot with its memory reservation, orders and route.
    pub(crate) fn release_slot(&mut self, slot: SlotId) {
        let Some(replica) = self.placement.remove(slot) else {
            return;
        };
        let outstanding = &mut self.placement.outstanding;
        outstanding.remove(&replica.backend, replica.fence);
        for attachment in &replica.adapters {
            outstanding.remove(&replica.backend, attachment.fence);
        }
        if let Some(record) = self.backends.get_mut(&replica.backend) {
            let each = replica_bytes_each(&replica);
            record.ledger.release(&replica.accelerators, each);
            record.slots.remove(&slot);
        }
        self.routes.remove_slot(slot);
    }

    /// Removes all slots of a backend whose incarnation has ended.
    pub(crate) fn release_backend(&mut self, name: &BackendName) {
        let record = self.backends.get(name);
        let slots = record.map(|record| record.slots.clone());
        for slot in slots.unwrap_or_default() {
            self.release_slot(slot);
        }
        self.placement.outstanding.remove_backend(name);
    }

    fn placeable_version(
        &self,
        place: &PlaceReplica,
    ) -> Result<(&ModelSpec, &VersionSpec), Refusal> {
        let model = self.model(&place.model).ok_or(Refusal::UnknownModel)?;
        let version = self.version(&place.model, &place.version);
        Ok((model, version.ok_or(Refusal::UnknownVersion)?))
    }

    fn adapter_of(&self, model: &ModelName, name: &AdapterName) -> Result<&AdapterSpec, Refusal> {
        let adapter = self.adapter(name).ok_or(Refusal::UnknownAdapter)?;
        if adapter.model != *model {
            return Err(Refusal::UnknownAdapter);
        }
        Ok(adapter)
    }
}

fn attachment<'a>(replica: &'a Replica, adapter: &AdapterName) -> Option<&'a AdapterAttachment> {
    replica.adapters.iter().find(|one| one.adapter == *adapter)
}

fn attachment_mut<'a>(
    replica: &'a mut Replica,
    adapter: &AdapterName,
) -> Option<&'a mut AdapterAttachment> {
    let mut adapters = replica.adapters.iter_mut();
    adapters.find(|one| one.adapter == *adapter)
}

fn check_accelerators(
    accelerators: &[u32],
    model: &ModelSpec,
    available: usize,
) -> Result<(), Refusal> {
    let distinct: BTreeSet<u32> = accelerators.iter().copied().collect();
    let wanted = model.accelerators_per_replica as usize;
    let in_range = distinct.iter().all(|one| (*one as usize) < available);
    if accelerators.len() != wanted || distinct.len() != wanted || !in_range {
        return Err(Refusal::InvalidAccelerators);
    }
    Ok(())
}
