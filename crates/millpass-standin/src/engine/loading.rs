//! Loads and unloads of weights and adapters. A part is a slot's weights, or one of its adapters.

use super::messages::{EngineOutput, FetchId, FetchResult, FinishReason, Refusal};
use super::model::EngineModel;
use super::slots::Part;
use super::timers::Timer;
use millpass_proto::{AdapterName, CheckpointTier, Duration, EngineSlotPhase, SlotId, Timestamp};

impl EngineModel {
    /// Begins to load a part whose memory is reserved.
    pub(super) fn begin_load(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        let Some(part) = self.part_mut(slot, adapter.as_ref()) else {
            return;
        };
        let (checkpoint, bytes) = (part.checkpoint.clone(), part.bytes);
        let timing = &self.settings.timing;
        let (from_memory, from_disk) =
            (timing.memory_bytes_per_second, timing.disk_bytes_per_second);
        match self.checkpoints.use_checkpoint(&checkpoint, bytes) {
            CheckpointTier::Memory => self.begin_copy(now, slot, adapter, from_memory),
            CheckpointTier::Disk => self.begin_copy(now, slot, adapter, from_disk),
            CheckpointTier::Remote => self.fetch_again(slot, adapter),
        }
    }

    /// Asks the weight store for a part's checkpoint.
    pub(super) fn fetch_again(&mut self, slot: SlotId, adapter: Option<AdapterName>) {
        let fetch = FetchId(self.next_fetch);
        let Some(part) = self.part_mut(slot, adapter.as_ref()) else {
            return;
        };
        let wanted = part.phase == EngineSlotPhase::Loading
            && part.fetch.is_none()
            && part.ready_at.is_none();
        if !wanted {
            return;
        }
        part.fetch = Some(fetch);
        let output = EngineOutput::Fetch {
            fetch,
            checkpoint: part.checkpoint.clone(),
            bytes: part.bytes,
        };
        self.next_fetch += 1;
        self.fetches.insert(fetch, (slot, adapter));
        self.outputs.push(output);
    }

    /// Takes the end of a fetch; ends of abandoned ones are ignored.
    pub(super) fn fetch_ended(&mut self, now: Timestamp, fetch: FetchId, result: FetchResult) {
        let Some((slot, adapter)) = self.fetches.remove(&fetch) else {
            return;
        };
        let retries_allowed = self.settings.limits.fetch_retries;
        let from_memory = self.settings.timing.memory_bytes_per_second;
        let Some(part) = self.part_mut(slot, adapter.as_ref()) else {
            return;
        };
        part.fetch = None;
        match result {
            FetchResult::Done => {
                let (checkpoint, bytes) = (part.checkpoint.clone(), part.bytes);
                self.checkpoints.store(&checkpoint, bytes);
                self.begin_copy(now, slot, adapter, from_memory);
            }
            FetchResult::RetryAfter(pause) if part.retries < retries_allowed => {
                part.retries += 1;
                self.timers
                    .set(now + pause, Timer::FetchAgain(slot, adapter));
            }
            FetchResult::RetryAfter(_) => {
                let reason = "weight store stayed at its limit; order the load later".to_owned();
                self.fail_load(now, slot, adapter, reason);
            }
            FetchResult::Failed(reason) => self.fail_load(now, slot, adapter, reason),
        }
        self.mark_changed(now);
    }

    /// The copy of a part to the accelerators may be over.
    pub(super) fn load_due(&mut self, now: Timestamp, slot: SlotId, adapter: Option<AdapterName>) {
        let is_due = self.part_mut(slot, adapter.as_ref()).is_some_and(|part| {
            part.phase == EngineSlotPhase::Loading && part.ready_at == Some(now)
        });
        if !is_due {
            return;
        }
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            let reason = "fault ordered by the test; order the load again".to_owned();
            return self.fail_load(now, slot, adapter, reason);
        }
        self.complete_load(now, slot, adapter);
    }

    /// Begins to unload a loaded part: nothing new starts on it, what runs goes on.
    pub(super) fn begin_unload(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        if let Some(part) = self.part_mut(slot, adapter.as_ref()) {
            part.phase = EngineSlotPhase::Unloading;
        }
        self.refuse_not_started(now, slot, adapter.as_ref());
        if adapter.is_none() {
            self.drop_loading_adapters(slot);
            self.set_unload_bound(now, slot);
        }
        self.release_if_quiet(now, slot);
    }

    /// Sets the release timer of every unloading part that no request uses any more.
    pub(super) fn release_if_quiet(&mut self, now: Timestamp, slot: SlotId) {
        let free_at = now + self.settings.timing.unload_time;
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let adapters: Vec<AdapterName> = state.adapters.keys().cloned().collect();
        let parts = adapters.into_iter().map(Some).chain([None]);
        for adapter in parts {
            let quiet = !self.is_used(slot, adapter.as_ref());
            let Some(part) = self.part_mut(slot, adapter.as_ref()) else {
                continue;
            };
            let waits = part.phase == EngineSlotPhase::Unloading && part.free_at.is_none();
            if waits && quiet {
                part.free_at = Some(free_at);
                self.timers.set(free_at, Timer::Unload(slot, adapter));
            }
        }
    }

    /// The memory of an unloading part may be free.
    pub(super) fn unload_due(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        let is_due = self.part_mut(slot, adapter.as_ref()).is_some_and(|part| {
            part.phase == EngineSlotPhase::Unloading && part.free_at == Some(now)
        });
        if is_due {
            self.finish_unload(now, slot, adapter);
        }
    }

    /// An unload waits no longer: what still runs is cut.
    pub(super) fn unload_bound_due(&mut self, now: Timestamp, slot: SlotId) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let is_due =
            state.weights.phase == EngineSlotPhase::Unloading && state.weights.cut_at == Some(now);
        if !is_due {
            return;
        }
        let mut left = state.batch.running();
        left.extend(state.batch.waiting());
        for handle in left {
            self.counters.requests_cut += 1;
            self.finish(now, handle, FinishReason::Unloaded);
        }
    }

    /// A part is gone: gives its memory back.
    pub(super) fn finish_unload(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        self.drop_part(slot, adapter.as_ref(), EngineSlotPhase::Unloaded);
        if adapter.is_none() {
            self.drop_all_adapters(slot, EngineSlotPhase::Unloaded);
            self.clear_prefix(now, slot);
        }
        self.mark_changed(now);
    }

    fn set_unload_bound(&mut self, now: Timestamp, slot: SlotId) {
        let cut_at = self.settings.limits.unload_timeout.map(|bound| now + bound);
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        state.weights.cut_at = cut_at;
        if let Some(cut_at) = cut_at {
            self.timers.set(cut_at, Timer::UnloadBound(slot));
        }
    }

    fn begin_copy(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
        bytes_per_second: u64,
    ) {
        let setup = self.settings.timing.load_setup;
        let Some(part) = self.part_mut(slot, adapter.as_ref()) else {
            return;
        };
        let ready_at = now + setup + transfer_time(part.bytes, bytes_per_second);
        part.ready_at = Some(ready_at);
        self.timers.set(ready_at, Timer::Load(slot, adapter));
    }

    fn complete_load(&mut self, now: Timestamp, slot: SlotId, adapter: Option<AdapterName>) {
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        if adapter.is_some() && !state.weights.is_loaded() {
            return; // The weights' own completion takes this adapter along.
        }
        let Some(part) = state.part_mut(adapter.as_ref()) else {
            return;
        };
        part.phase = EngineSlotPhase::Loaded;
        part.ready_at = None;
        self.mark_changed(now);
        if adapter.is_some() {
            self.counters.adapter_loads += 1;
            return;
        }
        self.counters.model_loads += 1;
        for name in self.adapters_where(slot, |part| part.ready_at.is_some_and(|at| at <= now)) {
            self.complete_load(now, slot, Some(name));
        }
    }

    fn fail_load(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
        reason: String,
    ) {
        self.counters.failed_loads += 1;
        let phase = EngineSlotPhase::Failed(reason);
        self.drop_part(slot, adapter.as_ref(), phase.clone());
        if adapter.is_none() {
            self.drop_all_adapters(slot, phase);
        }
        self.mark_changed(now);
    }

    fn drop_loading_adapters(&mut self, slot: SlotId) {
        let loading = self.adapters_where(slot, |part| part.phase == EngineSlotPhase::Loading);
        for name in loading {
            self.drop_part(slot, Some(&name), EngineSlotPhase::Unloaded);
        }
    }

    fn drop_all_adapters(&mut self, slot: SlotId, phase: EngineSlotPhase) {
        for name in self.adapters_where(slot, |part| !part.is_gone()) {
            self.drop_part(slot, Some(&name), phase.clone());
        }
    }

    fn drop_part(&mut self, slot: SlotId, adapter: Option<&AdapterName>, phase: EngineSlotPhase) {
        let Some(part) = self.part_mut(slot, adapter) else {
            return;
        };
        part.phase = phase;
        part.ready_at = None;
        part.free_at = None;
        let held = std::mem::take(&mut part.reservation);
        let fetch = part.fetch.take();
        self.memory.release(&held);
        if let Some(fetch) = fetch {
            self.fetches.remove(&fetch);
            self.outputs.push(EngineOutput::AbandonFetch(fetch));
        }
    }

    fn refuse_not_started(&mut self, now: Timestamp, slot: SlotId, adapter: Option<&AdapterName>) {
        let refusal = match adapter {
            None => Refusal::SlotNotLoaded,
            Some(_) => Refusal::AdapterNotLoaded,
        };
        let waiting = self.slots.get(&slot).map(|state| state.batch.waiting());
        for handle in waiting.unwrap_or_default() {
            let concerned = self.requests.get(handle).is_some_and(|state| {
                !state.started && (adapter.is_none() || state.request.adapter.as_ref() == adapter)
            });
            if concerned {
                self.withdraw(now, handle, refusal.clone());
            }
        }
    }

    /// Whether a request in the slot (with this adapter, if one is named) runs or waits.
    fn is_used(&self, slot: SlotId, adapter: Option<&AdapterName>) -> bool {
        let Some(state) = self.slots.get(&slot) else {
            return false;
        };
        if adapter.is_none() {
            return !state.batch.is_empty();
        }
        self.requests
            .iter()
            .any(|one| one.request.slot == slot && one.request.adapter.as_ref() == adapter)
    }

    fn part_mut(&mut self, slot: SlotId, adapter: Option<&AdapterName>) -> Option<&mut Part> {
        self.slots.get_mut(&slot)?.part_mut(adapter)
    }

    fn adapters_where(&self, slot: SlotId, wanted: impl Fn(&Part) -> bool) -> Vec<AdapterName> {
        let Some(state) = self.slots.get(&slot) else {
            return Vec::new();
        };
        let found = state.adapters.iter().filter(|(_, part)| wanted(part));
        found.map(|(name, _)| name.clone()).collect()
    }
}

/// Time to move `bytes` at a rate.
fn transfer_time(bytes: u64, bytes_per_second: u64) -> Duration {
    const MICROS_PER_SECOND: u128 = 1_000_000;
    let micros = u128::from(bytes) * MICROS_PER_SECOND / u128::from(bytes_per_second.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
