//! The engine model: state, time and reports. Sibling modules implement orders, loads and requests.

use super::audit::empty_audit;
use super::checkpoints::CheckpointCache;
use super::events::EventLog;
use super::fences::FenceLedger;
use super::idle::{AcceleratorUse, IdleClock};
use super::memory::AcceleratorMemory;
use super::messages::{CacheUse, EngineInput, EngineOutput, FetchId, RequestHandle};
use super::requests::Requests;
use super::settings::{EngineSettings, InitialCheckpoint};
use super::slots::Slot;
use super::timers::{Timer, Timers};
use crate::lagged::Lagged;
use crate::run_counts::RunCounts;
use millpass_proto::{
    AdapterName, CacheEvents, EngineAudit, EngineReport, EngineRole, ModelName, SlotId, Timestamp,
    VersionLabel,
};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: u64 = 1_000;
/// Normal speed of decode steps, in percent.
pub(super) const NORMAL_STEP_PERCENT: u32 = 100;

/// Deterministic model of one engine. The time passed in must not decrease.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub(super) settings: EngineSettings,
    pub(super) role: EngineRole,
    pub(super) memory: AcceleratorMemory,
    pub(super) fences: FenceLedger,
    pub(super) slots: BTreeMap<SlotId, Slot>,
    pub(super) checkpoints: CheckpointCache,
    pub(super) fetches: BTreeMap<FetchId, (SlotId, Option<AdapterName>)>,
    pub(super) next_fetch: u64,
    pub(super) requests: Requests,
    pub(super) timers: Timers,
    pub(super) events: EventLog,
    pub(super) counters: EngineAudit,
    pub(super) request_runs: RunCounts,
    pub(super) key_runs: RunCounts,
    pub(super) failing_loads: u32,
    pub(super) step_percent: u32,
    pub(super) outputs: Vec<EngineOutput>,
    reports: Lagged<EngineReport>,
    idle: IdleClock,
}

impl EngineModel {
    /// Creates an engine with nothing loaded, started at `now`.
    pub fn new(settings: EngineSettings, now: Timestamp) -> Self {
        let memory = AcceleratorMemory::new(settings.accelerator_bytes.clone());
        let checkpoints = CheckpointCache::new(&settings.checkpoints);
        let fences = FenceLedger::new(settings.limits.retained_orders);
        let idle = IdleClock::new(now, memory.accelerators());
        let first = first_report(&settings, &checkpoints);
        let (lag, interval) = (
            settings.publishing.report_lag,
            settings.publishing.report_interval,
        );
        EngineModel {
            role: settings.role,
            memory,
            fences,
            slots: BTreeMap::new(),
            checkpoints,
            fetches: BTreeMap::new(),
            next_fetch: 1,
            requests: Requests::default(),
            timers: Timers::default(),
            events: EventLog::new(&settings.publishing, &settings.limits),
            counters: empty_audit(settings.backend.clone(), settings.incarnation),
            request_runs: RunCounts::new(settings.limits.tracked_runs),
            key_runs: RunCounts::new(settings.limits.tracked_runs),
            failing_loads: 0,
            step_percent: NORMAL_STEP_PERCENT,
            outputs: Vec::new(),
            reports: Lagged::new(lag, interval, now, first),
            idle,
            settings,
        }
    }

    /// Advances the engine to `now`, then applies the input. Returns the outputs of both, in order.
    pub fn step(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineOutput> {
        self.advance(now);
        self.begin_event(now);
        match input {
            EngineInput::Tick => {}
            EngineInput::Order(order) => self.handle_order(now, order),
            EngineInput::Submit(request) => self.submit(now, request),
            EngineInput::Cancel(handle) => self.cancel(now, handle),
            EngineInput::FetchEnded(fetch, result) => self.fetch_ended(now, fetch, result),
            EngineInput::ImportCache { slot, prefix_hash } => {
                self.import_cache(now, slot, prefix_hash);
            }
            EngineInput::FailLoads(count) => self.failing_loads = count,
            EngineInput::SlowSteps(percent) => self.step_percent = percent.max(1),
        }
        self.end_event();
        std::mem::take(&mut self.outputs)
    }

    /// Time at which the engine must be advanced next without an input.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Settings of the engine.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Returns the load report that a reader sees at `now`, which lags. Its sequence is the time of the
    /// state shown, in microseconds, so that it increases.
    pub fn report(&self, now: Timestamp) -> EngineReport {
        let mut report = self.reports.read(now, || self.current_report());
        report.sequence = self.reports.shown_time(now).as_micros();
        report
    }

    /// Returns the report without lag; for checkers, never for decisions.
    pub fn current_report(&self) -> EngineReport {
        let slots = self.slots.iter().map(|(slot, state)| state.report(*slot));
        EngineReport {
            backend: self.settings.backend.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            role: self.role,
            sequence: self.reports.changed().as_micros(),
            highest_fence: self.fences.highest(),
            accelerator_bytes: self.memory.capacity().to_vec(),
            used_bytes: self.memory.used().to_vec(),
            slots: slots.collect(),
            checkpoints: self.checkpoints.report(),
        }
    }

    /// Returns the cache events published by `now` with numbers above `after`.
    pub fn events_after(&self, now: Timestamp, after: u64) -> CacheEvents {
        CacheEvents {
            backend: self.settings.backend.clone(),
            incarnation: self.settings.incarnation,
            oldest: self.events.oldest(),
            events: self.events.published_after(now, after),
        }
    }

    /// Returns the checkpoints cached on the machine, for the settings of the next engine process on it.
    /// A reclaimed machine loses them.
    pub fn cached_checkpoints(&self) -> Vec<InitialCheckpoint> {
        self.checkpoints.contents()
    }

    /// Returns the model and version of a loaded slot.
    pub fn loaded_model(&self, slot: SlotId) -> Option<(&ModelName, &VersionLabel)> {
        let state = self.slots.get(&slot)?;
        state
            .weights
            .is_loaded()
            .then_some((&state.model, &state.version))
    }

    /// Returns the first loaded slot with this model.
    pub fn slot_of_model(&self, model: &str) -> Option<SlotId> {
        let mut slots = self.slots.iter();
        let found = slots.find(|(_, slot)| slot.weights.is_loaded() && slot.model.0 == model);
        found.map(|(slot, _)| *slot)
    }

    /// Returns the first slot that has cached this block.
    pub fn slot_with_cached(&self, prefix_hash: u64) -> Option<SlotId> {
        let mut slots = self.slots.iter();
        let found = slots.find(|(_, slot)| slot.prefix.contains(prefix_hash));
        found.map(|(slot, _)| *slot)
    }

    /// Returns the handles of the waiting and running requests with this id.
    pub fn requests_named(&self, request_id: &str) -> Vec<RequestHandle> {
        let named = self
            .requests
            .iter()
            .filter(|state| state.request.request_id == request_id);
        named.map(|state| state.request.handle).collect()
    }

    /// Whether this slot has cached the block, so that it can be exported.
    pub fn has_cached(&self, slot: SlotId, prefix_hash: u64) -> bool {
        self.slots
            .get(&slot)
            .is_some_and(|state| state.prefix.contains(prefix_hash))
    }

    /// Returns the size and use of the slot's cache memory.
    pub fn cache_use(&self, slot: SlotId) -> Option<CacheUse> {
        let state = self.slots.get(&slot)?;
        Some(CacheUse {
            total_bytes: state.cache_bytes,
            running_bytes: state.batch.running_bytes,
            prefix_bytes: state.prefix.len() as u64 * self.block_bytes(),
        })
    }

    /// Returns the counters up to `now`.
    pub fn audit(&self, now: Timestamp) -> EngineAudit {
        let (loaded_micros, idle_micros) = self.idle.sums_at(now);
        EngineAudit {
            memory_overcommits: self.memory.overcommits(),
            peak_used_bytes: self.memory.peak().to_vec(),
            repeated_keys: self.key_runs.repeated(),
            repeated_requests: self.request_runs.repeated(),
            loaded_accelerator_millis: loaded_micros / MICROS_PER_MILLI,
            idle_accelerator_millis: idle_micros / MICROS_PER_MILLI,
            forgotten_runs: self.key_runs.evicted() + self.request_runs.evicted(),
            ..self.counters.clone()
        }
    }

    /// Records that the reported state changed at `now`.
    pub(super) fn mark_changed(&mut self, now: Timestamp) {
        self.reports.mark_changed(now);
    }

    /// Cache memory of one prompt block.
    pub(super) fn block_bytes(&self) -> u64 {
        let block = crate::content::BLOCK_TOKENS as u64;
        (self.settings.limits.cache_bytes_per_token * block).max(1)
    }

    fn advance(&mut self, now: Timestamp) {
        while let Some((at, timer)) = self.timers.pop_due(now) {
            self.begin_event(at);
            self.fire(at, timer);
            self.end_event();
        }
    }

    fn fire(&mut self, at: Timestamp, timer: Timer) {
        match timer {
            Timer::Load(slot, adapter) => self.load_due(at, slot, adapter),
            Timer::RetryFetch(slot, adapter) => self.start_fetch(slot, adapter),
            Timer::Unload(slot, adapter) => self.unload_due(at, slot, adapter),
            Timer::UnloadTimeout(slot) => self.unload_timeout_due(at, slot),
            Timer::Step(slot) => self.step_due(at, slot),
            Timer::Deadline(handle) => self.deadline_due(at, handle),
        }
    }

    fn begin_event(&mut self, at: Timestamp) {
        self.idle.advance(at);
        if self.reports.should_record(at) {
            let state = self.current_report();
            self.reports.record(at, state);
        }
    }

    fn end_event(&mut self) {
        let mut uses = vec![AcceleratorUse::default(); self.memory.accelerators()];
        for slot in self.slots.values() {
            let loaded = slot.weights.is_in_memory();
            let running = slot.batch.running_count() > 0;
            for index in &slot.accelerators {
                let one = &mut uses[*index as usize];
                one.loaded |= loaded;
                one.running |= running;
            }
        }
        self.idle.set_uses(uses);
    }
}

fn first_report(settings: &EngineSettings, checkpoints: &CheckpointCache) -> EngineReport {
    EngineReport {
        backend: settings.backend.clone(),
        incarnation: settings.incarnation,
        zone: settings.zone.clone(),
        role: settings.role,
        sequence: 0,
        highest_fence: millpass_proto::LogPosition::ZERO,
        accelerator_bytes: settings.accelerator_bytes.clone(),
        used_bytes: vec![0; settings.accelerator_bytes.len()],
        slots: Vec::new(),
        checkpoints: checkpoints.report(),
    }
}
