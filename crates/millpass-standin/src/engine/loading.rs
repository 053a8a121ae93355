//! Loads and unloads of artifacts: weights and adapters.

use super::messages::{EngineOutput, FetchId, FetchResult, FinishReason, Refusal};
use super::model::EngineModel;
use super::slots::Artifact;
use super::timers::Timer;
use millpass_proto::{AdapterName, CheckpointTier, Duration, EngineSlotPhase, SlotId, Timestamp};

impl EngineModel {
    /// Starts to load an artifact whose memory is reserved.
    pub(super) fn begin_load(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) else {
            return;
        };
        let (checkpoint, bytes) = (artifact.checkpoint.clone(), artifact.bytes);
        let timing = &self.settings.timing;
        let (from_memory, from_disk) =
            (timing.memory_bytes_per_second, timing.disk_bytes_per_second);
        match self.checkpoints.use_checkpoint(&checkpoint, bytes) {
            CheckpointTier::Memory => self.begin_copy(now, slot, adapter, from_memory),
            CheckpointTier::Disk => self.begin_copy(now, slot, adapter, from_disk),
            CheckpointTier::Remote => self.start_fetch(slot, adapter),
        }
    }

    /// Fetches an artifact's checkpoint from the weight store, if it is still needed.
    pub(super) fn start_fetch(&mut self, slot: SlotId, adapter: Option<AdapterName>) {
        let fetch = FetchId(self.next_fetch);
        let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) else {
            return;
        };
        let is_needed = artifact.phase == EngineSlotPhase::Loading
            && artifact.fetch.is_none()
            && artifact.ready_at.is_none();
        if !is_needed {
            return;
        }
        artifact.fetch = Some(fetch);
        let output = EngineOutput::Fetch {
            fetch,
            checkpoint: artifact.checkpoint.clone(),
            bytes: artifact.bytes,
        };
        self.next_fetch += 1;
        self.fetches.insert(fetch, (slot, adapter));
        self.outputs.push(output);
    }

    /// Handles the result of a fetch; ignores results of abandoned ones.
    pub(super) fn fetch_ended(&mut self, now: Timestamp, fetch: FetchId, result: FetchResult) {
        let Some((slot, adapter)) = self.fetches.remove(&fetch) else {
            return;
        };
        let retries_allowed = self.settings.limits.fetch_retries;
        let from_memory = self.settings.timing.memory_bytes_per_second;
        let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) else {
            return;
        };
        artifact.fetch = None;
        match result {
            FetchResult::Done => {
                let (checkpoint, bytes) = (artifact.checkpoint.clone(), artifact.bytes);
                self.checkpoints.store(&checkpoint, bytes);
                self.begin_copy(now, slot, adapter, from_memory);
            }
            FetchResult::RetryAfter(pause) if artifact.retries < retries_allowed => {
                artifact.retries += 1;
                self.timers
                    .set(now + pause, Timer::RetryFetch(slot, adapter));
            }
            FetchResult::RetryAfter(_) => {
                let reason = "weight store is at its limit after all retries; order the load later"
                    .to_owned();
                self.fail_load(now, slot, adapter, reason);
            }
            FetchResult::Failed(reason) => self.fail_load(now, slot, adapter, reason),
        }
        self.mark_changed(now);
    }

    /// Completes a load, or fails it if a fault is injected.
    pub(super) fn load_due(&mut self, now: Timestamp, slot: SlotId, adapter: Option<AdapterName>) {
        let is_due = self
            .artifact_mut(slot, adapter.as_ref())
            .is_some_and(|one| one.phase == EngineSlotPhase::Loading && one.ready_at == Some(now));
        if !is_due {
            return;
        }
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            let reason = "load failed by fault injection; order it again".to_owned();
            return self.fail_load(now, slot, adapter, reason);
        }
        self.complete_load(now, slot, adapter);
    }

    /// Starts to unload an artifact: refuses requests that have not started; running ones continue.
    pub(super) fn begin_unload(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        if let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) {
            artifact.phase = EngineSlotPhase::Unloading;
        }
        self.refuse_not_started(now, slot, adapter.as_ref());
        if adapter.is_none() {
            self.drop_loading_adapters(slot);
            self.set_unload_timeout(now, slot);
        }
        self.release_if_idle(now, slot);
    }

    /// Schedules the release of every unloading artifact that no request uses.
    pub(super) fn release_if_idle(&mut self, now: Timestamp, slot: SlotId) {
        let free_at = now + self.settings.timing.unload_time;
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let adapters: Vec<AdapterName> = state.adapters.keys().cloned().collect();
        let artifacts = adapters.into_iter().map(Some).chain([None]);
        for adapter in artifacts {
            let is_idle = !self.is_used(slot, adapter.as_ref());
            let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) else {
                continue;
            };
            let is_pending =
                artifact.phase == EngineSlotPhase::Unloading && artifact.free_at.is_none();
            if is_pending && is_idle {
                artifact.free_at = Some(free_at);
                self.timers.set(free_at, Timer::Unload(slot, adapter));
            }
        }
    }

    /// Completes an unload.
    pub(super) fn unload_due(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        let is_due = self
            .artifact_mut(slot, adapter.as_ref())
            .is_some_and(|one| one.phase == EngineSlotPhase::Unloading && one.free_at == Some(now));
        if is_due {
            self.finish_unload(now, slot, adapter);
        }
    }

    /// Aborts the requests that an unload still waits for.
    pub(super) fn unload_timeout_due(&mut self, now: Timestamp, slot: SlotId) {
        let Some(state) = self.slots.get(&slot) else {
            return;
        };
        let is_due = state.weights.phase == EngineSlotPhase::Unloading
            && state.weights.abort_at == Some(now);
        if !is_due {
            return;
        }
        let mut remaining = state.batch.running();
        remaining.extend(state.batch.waiting());
        for handle in remaining {
            self.counters.requests_cut += 1;
            self.finish(now, handle, FinishReason::Unloaded);
        }
    }

    /// Frees an artifact's memory and marks it as unloaded.
    pub(super) fn finish_unload(
        &mut self,
        now: Timestamp,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) {
        self.drop_artifact(slot, adapter.as_ref(), EngineSlotPhase::Unloaded);
        if adapter.is_none() {
            self.drop_all_adapters(slot, EngineSlotPhase::Unloaded);
            self.clear_prefix(now, slot);
        }
        self.mark_changed(now);
    }

    fn set_unload_timeout(&mut self, now: Timestamp, slot: SlotId) {
        let abort_at = self
            .settings
            .limits
            .unload_timeout
            .map(|timeout| now + timeout);
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        state.weights.abort_at = abort_at;
        if let Some(abort_at) = abort_at {
            self.timers.set(abort_at, Timer::UnloadTimeout(slot));
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
        let Some(artifact) = self.artifact_mut(slot, adapter.as_ref()) else {
            return;
        };
        let ready_at = now + setup + transfer_time(artifact.bytes, bytes_per_second);
        artifact.ready_at = Some(ready_at);
        self.timers.set(ready_at, Timer::Load(slot, adapter));
    }

    fn complete_load(&mut self, now: Timestamp, slot: SlotId, adapter: Option<AdapterName>) {
        let Some(state) = self.slots.get_mut(&slot) else {
            return;
        };
        if adapter.is_some() && !state.weights.is_loaded() {
            return; // Completed together with the weights.
        }
        let Some(artifact) = state.artifact_mut(adapter.as_ref()) else {
            return;
        };
        artifact.phase = EngineSlotPhase::Loaded;
        artifact.ready_at = None;
        self.mark_changed(now);
        if adapter.is_some() {
            self.counters.adapter_loads += 1;
            return;
        }
        self.counters.model_loads += 1;
        for name in self.adapters_where(slot, |one| one.ready_at.is_some_and(|at| at <= now)) {
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
        self.drop_artifact(slot, adapter.as_ref(), phase.clone());
        if adapter.is_none() {
            self.drop_all_adapters(slot, phase);
        }
        self.mark_changed(now);
    }

    fn drop_loading_adapters(&mut self, slot: SlotId) {
        let loading = self.adapters_where(slot, |one| one.phase == EngineSlotPhase::Loading);
        for name in loading {
            self.drop_artifact(slot, Some(&name), EngineSlotPhase::Unloaded);
        }
    }

    fn drop_all_adapters(&mut self, slot: SlotId, phase: EngineSlotPhase) {
        for name in self.adapters_where(slot, |one| !one.is_released()) {
            self.drop_artifact(slot, Some(&name), phase.clone());
        }
    }

    fn drop_artifact(
        &mut self,
        slot: SlotId,
        adapter: Option<&AdapterName>,
        phase: EngineSlotPhase,
    ) {
        let Some(artifact) = self.artifact_mut(slot, adapter) else {
            return;
        };
        artifact.phase = phase;
        artifact.ready_at = None;
        artifact.free_at = None;
        let held = std::mem::take(&mut artifact.reservation);
        let fetch = artifact.fetch.take();
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
            let is_affected = self.requests.get(handle).is_some_and(|state| {
                !state.started && (adapter.is_none() || state.request.adapter.as_ref() == adapter)
            });
            if is_affected {
                self.refuse(now, handle, refusal.clone());
            }
        }
    }

    /// Whether any request in the slot, with this adapter if given, is running or waiting.
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

    fn artifact_mut(
        &mut self,
        slot: SlotId,
        adapter: Option<&AdapterName>,
    ) -> Option<&mut Artifact> {
        self.slots.get_mut(&slot)?.artifact_mut(adapter)
    }

    fn adapters_where(&self, slot: SlotId, wanted: impl Fn(&Artifact) -> bool) -> Vec<AdapterName> {
        let Some(state) = self.slots.get(&slot) else {
            return Vec::new();
        };
        let found = state
            .adapters
            .iter()
            .filter(|(_, artifact)| wanted(artifact));
        found.map(|(name, _)| name.clone()).collect()
    }
}

fn transfer_time(bytes: u64, bytes_per_second: u64) -> Duration {
    const MICROS_PER_SECOND: u128 = 1_000_000;
    let micros = u128::from(bytes) * MICROS_PER_SECOND / u128::from(bytes_per_second.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
