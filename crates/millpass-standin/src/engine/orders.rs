//! Fenced orders: which are taken, and what each begins.

use super::fences::FenceVerdict;
use super::memory::Reservation;
use super::messages::EngineOutput;
use super::model::EngineModel;
use super::slots::{Part, Slot};
use millpass_proto::{
    AdapterName, EngineOrder, EngineSlotPhase, LoadAdapterOrder, LoadModelOrder, LogPosition,
    OrderAction, OrderResponse, SlotId, Timestamp, UnloadAdapterOrder,
};
use std::collections::BTreeMap;

/// Result of carrying an order out; the error is the reason of a rejection.
type Carried = Result<(), String>;

impl EngineModel {
    /// Judges an order and, if it is new, carries it out.
    pub(super) fn take_order(&mut self, now: Timestamp, order: EngineOrder) {
        let answer = self.judge_order(now, order);
        self.outputs.push(EngineOutput::OrderResponse(answer));
    }

    fn judge_order(&mut self, now: Timestamp, order: EngineOrder) -> OrderResponse {
        if order.backend != self.settings.backend {
            self.counters.orders_rejected += 1;
            return OrderResponse::Rejected(format!(
                "this is engine {}; read the platform list again",
                self.settings.backend
            ));
        }
        if order.incarnation != self.settings.incarnation {
            self.counters.wrong_incarnations += 1;
            return OrderResponse::WrongIncarnation(self.settings.incarnation);
        }
        match self.fences.judge(&order) {
            FenceVerdict::New => self.carry_out_and_record(now, order),
            FenceVerdict::Resent(answer) => answer,
            FenceVerdict::Stale(highest) => {
                self.counters.stale_fences += 1;
                OrderResponse::StaleFence(highest)
            }
            FenceVerdict::Conflict => {
                self.counters.conflicting_fences += 1;
                OrderResponse::Rejected("another order came with this fence; use a new one".into())
            }
        }
    }

    fn carry_out_and_record(&mut self, now: Timestamp, order: EngineOrder) -> OrderResponse {
        self.mark_changed(now);
        let answer = match self.carry_out(now, &order) {
            Ok(()) => {
                self.counters.orders_accepted += 1;
                OrderResponse::Accepted
            }
            Err(reason) => {
                self.counters.orders_rejected += 1;
                OrderResponse::Rejected(reason)
            }
        };
        self.fences.record(order, answer.clone());
        self.forget_gone_slots();
        answer
    }

    fn carry_out(&mut self, now: Timestamp, order: &EngineOrder) -> Carried {
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

    fn load_model(&mut self, now: Timestamp, fence: LogPosition, load: &LoadModelOrder) -> Carried {
        self.check_accelerators(&load.accelerators)?;
        if let Some(slot) = self.slots.get_mut(&load.slot)
            && !slot.weights.is_gone()
        {
            return take_load_again(slot, fence, load);
        }
        self.check_slot_count()?;
        let total = load
            .weights_bytes
            .checked_add(load.cache_bytes)
            .ok_or("sizes exceed 64 bits; correct the order")?;
        let reservation = Reservation::spread(&load.accelerators, total);
        if !self.memory.reserve(&reservation) {
            return Err("accelerator memory lacks; unload something first".into());
        }
        let slot = Slot {
            model: load.model.clone(),
            version: load.version.clone(),
            accelerators: load.accelerators.clone(),
            cache_bytes: load.cache_bytes,
            weights: Part::loading(fence, reservation, load.weights_bytes, &load.checkpoint),
            ..Slot::gone(fence)
        };
        self.slots.insert(load.slot, slot);
        self.begin_load(now, load.slot, None);
        Ok(())
    }

    fn check_accelerators(&self, accelerators: &[u32]) -> Carried {
        let mut distinct = accelerators.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let exist = accelerators
            .iter()
            .all(|index| (*index as usize) < self.memory.accelerators());
        if distinct.is_empty() || distinct.len() != accelerators.len() || !exist {
            return Err("accelerators must be distinct and exist; read the report again".into());
        }
        Ok(())
    }

    fn check_slot_count(&self) -> Carried {
        let held = self.slots.values().filter(|slot| !slot.weights.is_gone());
        if held.count() >= self.settings.limits.slots {
            return Err("engine holds its most slots; unload something first".into());
        }
        Ok(())
    }

    fn unload_model(&mut self, now: Timestamp, fence: LogPosition, slot: SlotId) -> Carried {
        let Some(state) = self.slots.get_mut(&slot) else {
            self.slots.insert(slot, Slot::gone(fence));
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
    ) -> Carried {
        let slot = self
            .slots
            .get_mut(&load.slot)
            .ok_or("slot is not here; load its model first")?;
        let takes_adapters = matches!(
            slot.weights.phase,
            EngineSlotPhase::Loading | EngineSlotPhase::Loaded
        );
        if !takes_adapters {
            return Err("slot is not loaded; load its model first".into());
        }
        if let Some(part) = slot.adapters.get_mut(&load.adapter)
            && !part.is_gone()
        {
            return take_adapter_again(part, fence);
        }
        let held = slot.adapters.values().filter(|part| !part.is_gone());
        if held.count() >= self.settings.limits.adapters_per_slot {
            return Err("slot holds its most adapters; unload one first".into());
        }
        let reservation = Reservation::spread(&slot.accelerators, load.bytes);
        if !self.memory.reserve(&reservation) {
            return Err("accelerator memory lacks; unload something first".into());
        }
        let part = Part::loading(fence, reservation, load.bytes, &load.checkpoint);
        slot.adapters.insert(load.adapter.clone(), part);
        self.begin_load(now, load.slot, Some(load.adapter.clone()));
        Ok(())
    }

    fn unload_adapter(
        &mut self,
        now: Timestamp,
        fence: LogPosition,
        unload: &UnloadAdapterOrder,
    ) -> Carried {
        let adapter = Some(unload.adapter.clone());
        let slot = self
            .slots
            .entry(unload.slot)
            .or_insert_with(|| Slot::gone(fence));
        let part = slot
            .adapters
            .entry(unload.adapter.clone())
            .or_insert_with(|| Part::gone(fence));
        part.fence = fence;
        match part.phase {
            EngineSlotPhase::Loading => self.finish_unload(now, unload.slot, adapter),
            EngineSlotPhase::Loaded => self.begin_unload(now, unload.slot, adapter),
            EngineSlotPhase::Unloading => {}
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_) => {
                part.phase = EngineSlotPhase::Unloaded;
            }
        }
        Ok(())
    }

    /// Keeps the table of gone slots and adapters within its bound; the oldest fences go first.
    fn forget_gone_slots(&mut self) {
        let bound = self.settings.limits.reported_unloaded_slots;
        let gone = self.slots.iter().filter(|(_, slot)| slot.weights.is_gone());
        let mut by_fence: BTreeMap<(LogPosition, SlotId), ()> = gone
            .map(|(id, slot)| ((slot.weights.fence, *id), ()))
            .collect();
        while by_fence.len() > bound {
            if let Some(((_, oldest), ())) = by_fence.pop_first() {
                self.slots.remove(&oldest);
            }
        }
        for slot in self.slots.values_mut() {
            forget_gone_adapters(&mut slot.adapters, bound);
        }
    }
}

fn forget_gone_adapters(adapters: &mut BTreeMap<AdapterName, Part>, bound: usize) {
    loop {
        let gone = adapters.iter().filter(|(_, part)| part.is_gone());
        if gone.clone().count() <= bound {
            return;
        }
        let oldest = gone.min_by_key(|(_, part)| part.fence);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            adapters.remove(&name);
        }
    }
}

/// A load of a slot that is loading or loaded: the same one is fine, under its new fence.
fn take_load_again(slot: &mut Slot, fence: LogPosition, load: &LoadModelOrder) -> Carried {
    let same = slot.model == load.model
        && slot.version == load.version
        && slot.accelerators == load.accelerators
        && slot.cache_bytes == load.cache_bytes
        && slot.weights.bytes == load.weights_bytes;
    if !same {
        return Err("slot holds something else; use a new slot".into());
    }
    if slot.weights.phase == EngineSlotPhase::Unloading {
        return Err("slot is being unloaded; use a new slot".into());
    }
    slot.weights.fence = fence;
    Ok(())
}

fn take_adapter_again(part: &mut Part, fence: LogPosition) -> Carried {
    if part.phase == EngineSlotPhase::Unloading {
        return Err("adapter is being unloaded; order the load after that".into());
    }
    part.fence = fence;
    Ok(())
}
