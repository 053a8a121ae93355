//! Validation and execution of fenced orders.

use super::fences::FenceVerdict;
use super::memory::Reservation;
use super::messages::EngineOutput;
use super::model::EngineModel;
use super::slots::{Artifact, Slot};
use millpass_proto::{
    AdapterName, EngineOrder, EngineSlotPhase, LoadAdapterOrder, LoadModelOrder, LogPosition,
    OrderAction, OrderResponse, SlotId, Timestamp, UnloadAdapterOrder,
};
use std::collections::BTreeMap;

/// Result of executing an order; the error is the reason for a rejection.
type OrderResult = Result<(), String>;

impl EngineModel {
    /// Responds to an order and executes it if it is new.
    pub(super) fn handle_order(&mut self, now: Timestamp, order: EngineOrder) {
        let response = self.evaluate_order(now, order);
        self.outputs.push(EngineOutput::OrderResponse(response));
    }

    fn evaluate_order(&mut self, now: Timestamp, order: EngineOrder) -> OrderResponse {
        if order.backend != self.settings.backend {
            self.counters.orders_rejected += 1;
            return OrderResponse::Rejected(format!(
                "order names another engine; this is {}; read the platform list again",
                self.settings.backend
            ));
        }
        if order.incarnation != self.settings.incarnation {
            self.counters.wrong_incarnations += 1;
            return OrderResponse::WrongIncarnation(self.settings.incarnation);
        }
        match self.fences.check(&order) {
            FenceVerdict::New => self.execute_and_record(now, order),
            FenceVerdict::Resent(response) => response,
            FenceVerdict::Stale(highest) => {
                self.counters.stale_fences += 1;
                OrderResponse::StaleFence(highest)
            }
            FenceVerdict::Conflict => {
                self.counters.conflicting_fences += 1;
                OrderResponse::Rejected("fence was used by another order; use a new one".into())
            }
        }
    }

    fn execute_and_record(&mut self, now: Timestamp, order: EngineOrder) -> OrderResponse {
        self.mark_changed(now);
        let response = match self.execute_order(now, &order) {
            Ok(()) => {
                self.counters.orders_accepted += 1;
                OrderResponse::Accepted
            }
            Err(reason) => {
                self.counters.orders_rejected += 1;
                OrderResponse::Rejected(reason)
            }
        };
        self.fences.record(order, response.clone());
        self.evict_released_slots();
        response
    }

    fn execute_order(&mut self, now: Timestamp, order: &EngineOrder) -> OrderResult {
        match &order.action {
            OrderAction::LoadModel(load) => self.load_model(now, order.fence, load),
            OrderAction::UnloadModel(slot) => self.unload_model(now, order.fence, *slot),
            OrderAction::LoadAdapter(load) => self.load_adapter(now, order.fence, load),
            OrderAction::UnloadAdapter(unload) => self.unload_adapter(now, order.fence, unload),
            OrderAction::ChangeRole(role) => {
                self.role = *role;
                Ok(())
            }
        }
    }

    fn load_model(
        &mut self,
        now: Timestamp,
        fence: LogPosition,
        load: &LoadModelOrder,
    ) -> OrderResult {
        self.check_accelerators(&load.accelerators)?;
        if let Some(slot) = self.slots.get_mut(&load.slot)
            && !slot.weights.is_released()
        {
            return accept_repeated_load(slot, fence, load);
        }
        self.check_slot_count()?;
        let total = load
            .weights_bytes
            .checked_add(load.cache_bytes)
            .ok_or("sizes exceed 64 bits; correct the order")?;
        let reservation = Reservation::spread(&load.accelerators, total);
        if !self.memory.reserve(&reservation) {
            return Err("not enough accelerator memory; unload something first".into());
        }
        let slot = Slot {
            model: load.model.clone(),
            version: load.version.clone(),
            accelerators: load.accelerators.clone(),
            cache_bytes: load.cache_bytes,
            weights: Artifact::loading(fence, reservation, load.weights_bytes, &load.checkpoint),
            ..Slot::unloaded(fence)
        };
        self.slots.insert(load.slot, slot);
        self.begin_load(now, load.slot, None);
        Ok(())
    }

    fn check_accelerators(&self, accelerators: &[u32]) -> OrderResult {
        let mut distinct = accelerators.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let exist = accelerators
            .iter()
            .all(|index| (*index as usize) < self.memory.accelerators());
        if distinct.is_empty() || distinct.len() != accelerators.len() || !exist {
            return Err(
                "accelerators are missing, repeated or unknown; read the report again".into(),
            );
        }
        Ok(())
    }

    fn check_slot_count(&self) -> OrderResult {
        let held = self
            .slots
            .values()
            .filter(|slot| !slot.weights.is_released());
        if held.count() >= self.settings.limits.slots {
            return Err("slot limit of the engine reached; unload something first".into());
        }
        Ok(())
    }

    fn unload_model(&mut self, now: Timestamp, fence: LogPosition, slot: SlotId) -> OrderResult {
        let Some(state) = self.slots.get_mut(&slot) else {
            self.slots.insert(slot, Slot::unloaded(fence));
            return Ok(());
        };
        state.weights.fence = fence;
        match state.weights.phase {
            EngineSlotPhase::Loading => self.finish_unload(now, slot, None),
            EngineSlotPhase::Loaded => self.begin_unload(now, slot, None),
            EngineSlotPhase::Unloading => {}
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_) => {
                state.weights.phase = EngineSlotPhase::Unloaded;
            }
        }
        Ok(())
    }

    fn load_adapter(
        &mut self,
        now: Timestamp,
        fence: LogPosition,
        load: &LoadAdapterOrder,
    ) -> OrderResult {
        let slot = self
            .slots
            .get_mut(&load.slot)
            .ok_or("slot does not exist; load its model first")?;
        let accepts_adapters = matches!(
            slot.weights.phase,
            EngineSlotPhase::Loading | EngineSlotPhase::Loaded
        );
        if !accepts_adapters {
            return Err("slot is not loaded; load its model first".into());
        }
        if let Some(artifact) = slot.adapters.get_mut(&load.adapter)
            && !artifact.is_released()
        {
            return accept_repeated_adapter_load(artifact, fence);
        }
        let held = slot.adapters.values().filter(|one| !one.is_released());
        if held.count() >= self.settings.limits.adapters_per_slot {
            return Err("adapter limit of the slot reached; unload one first".into());
        }
        let reservation = Reservation::spread(&slot.accelerators, load.bytes);
        if !self.memory.reserve(&reservation) {
            return Err("not enough accelerator memory; unload something first".into());
        }
        let artifact = Artifact::loading(fence, reservation, load.bytes, &load.checkpoint);
        slot.adapters.insert(load.adapter.clone(), artifact);
        self.begin_load(now, load.slot, Some(load.adapter.clone()));
        Ok(())
    }

    fn unload_adapter(
        &mut self,
        now: Timestamp,
        fence: LogPosition,
        unload: &UnloadAdapterOrder,
    ) -> OrderResult {
        let adapter = Some(unload.adapter.clone());
        let slot = self
            .slots
            .entry(unload.slot)
            .or_insert_with(|| Slot::unloaded(fence));
        let artifact = slot
            .adapters
            .entry(unload.adapter.clone())
            .or_insert_with(|| Artifact::unloaded(fence));
        artifact.fence = fence;
        match artifact.phase {
            EngineSlotPhase::Loading => self.finish_unload(now, unload.slot, adapter),
            EngineSlotPhase::Loaded => self.begin_unload(now, unload.slot, adapter),
            EngineSlotPhase::Unloading => {}
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_) => {
                artifact.phase = EngineSlotPhase::Unloaded;
            }
        }
        Ok(())
    }

    /// Evicts unloaded and failed slots and adapters beyond the limit, lowest fences first.
    fn evict_released_slots(&mut self) {
        let limit = self.settings.limits.reported_unloaded_slots;
        let released = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.weights.is_released());
        let mut by_fence: BTreeMap<(LogPosition, SlotId), ()> = released
            .map(|(id, slot)| ((slot.weights.fence, *id), ()))
            .collect();
        while by_fence.len() > limit {
            if let Some(((_, oldest), ())) = by_fence.pop_first() {
                self.slots.remove(&oldest);
            }
        }
        for slot in self.slots.values_mut() {
            evict_released_adapters(&mut slot.adapters, limit);
        }
    }
}

fn evict_released_adapters(adapters: &mut BTreeMap<AdapterName, Artifact>, limit: usize) {
    loop {
        let released = adapters.iter().filter(|(_, one)| one.is_released());
        if released.clone().count() <= limit {
            return;
        }
        let oldest = released.min_by_key(|(_, artifact)| artifact.fence);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            adapters.remove(&name);
        }
    }
}

/// Accepts a repeated load of a loading or loaded slot under its new fence, if nothing else differs.
fn accept_repeated_load(slot: &mut Slot, fence: LogPosition, load: &LoadModelOrder) -> OrderResult {
    let same = slot.model == load.model
        && slot.version == load.version
        && slot.accelerators == load.accelerators
        && slot.cache_bytes == load.cache_bytes
        && slot.weights.bytes == load.weights_bytes;
    if !same {
        return Err("slot holds another model or size; use a new slot".into());
    }
    if slot.weights.phase == EngineSlotPhase::Unloading {
        return Err("slot is being unloaded; use a new slot".into());
    }
    slot.weights.fence = fence;
    Ok(())
}

fn accept_repeated_adapter_load(artifact: &mut Artifact, fence: LogPosition) -> OrderResult {
    if artifact.phase == EngineSlotPhase::Unloading {
        return Err("adapter is being unloaded; order the load after the unload".into());
    }
    artifact.fence = fence;
    Ok(())
}
