//! Simulated engine. It checks only fence and incarnation of an order and allows memory to be
//! overcommitted, so that errors of the scheduler appear as violations instead of rejected orders.

use millpass_checkers::MemoryUse;
use millpass_proto::{
    AdapterName, BackendName, CheckpointReport, CheckpointTier, EngineAdapterReport, EngineOrder,
    EngineReport, EngineRole, EngineSlotPhase, EngineSlotReport, Incarnation, LoadModelOrder,
    LogPosition, ModelName, OrderAction, OrderResponse, SlotId, VersionLabel, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};

/// The weights of a slot, or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// Slot.
    pub slot: SlotId,
    /// Adapter; `None` for the weights.
    pub adapter: Option<AdapterName>,
}

/// Effect of an engine event, executed by the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEffect {
    /// Memory for a replica was allocated.
    Held(SlotId, ModelName),
    /// All memory of a replica was freed.
    Freed(SlotId),
    /// Memory use changed.
    MemoryChanged,
    /// Load a part, then call [`EngineModel::loaded`].
    Load {
        /// Part.
        part: Part,
        /// Fence of the order.
        fence: LogPosition,
        /// Whether the checkpoint is on the machine.
        cached: bool,
    },
    /// The part is idle: call [`EngineModel::unloaded`] after the unload time.
    Unload(Part),
}

/// State of a part.
#[derive(Clone, Debug)]
struct PartState {
    fence: LogPosition,
    phase: EngineSlotPhase,
    bytes_per_accelerator: u64,
    checkpoint: String,
}

impl PartState {
    fn holds_memory(&self) -> bool {
        matches!(
            self.phase,
            EngineSlotPhase::Loading | EngineSlotPhase::Loaded | EngineSlotPhase::Unloading
        )
    }
}

struct SlotState {
    model: ModelName,
    version: VersionLabel,
    accelerators: Vec<u32>,
    weights: PartState,
    adapters: BTreeMap<AdapterName, PartState>,
    running: u32,
}

/// Switches of the engine's protections, for tests of the checkers.
#[derive(Clone, Copy, Debug)]
pub struct EngineProtections {
    /// Orders with a stale fence or for another incarnation are refused.
    pub fences: bool,
    /// An unload waits for running requests, and memory is reported as free only after it is.
    pub frees_after_use: bool,
    /// The reported accelerator memory is the actual one.
    pub reports_true_memory: bool,
}

impl Default for EngineProtections {
    fn default() -> Self {
        EngineProtections {
            fences: true,
            frees_after_use: true,
            reports_true_memory: true,
        }
    }
}

/// Maximum number of unloaded slots in a report.
const MAXIMUM_REPORTED_UNLOADED_SLOTS: usize = 32;

/// State of one engine process.
pub struct EngineModel {
    backend: BackendName,
    incarnation: Incarnation,
    zone: ZoneName,
    capacity: Vec<u64>,
    protections: EngineProtections,
    role: EngineRole,
    highest_fence: LogPosition,
    responses: BTreeMap<LogPosition, OrderResponse>,
    slots: BTreeMap<SlotId, SlotState>,
    checkpoints: BTreeSet<String>,
    sequence: u64,
    /// Orders refused for their fence or incarnation.
    pub refused_orders: u64,
}

impl EngineModel {
    /// Creates an engine with nothing loaded; `checkpoints` are already on its machine.
    pub fn new(
        backend: BackendName,
        incarnation: Incarnation,
        zone: ZoneName,
        capacity: Vec<u64>,
        checkpoints: BTreeSet<String>,
        protections: EngineProtections,
    ) -> Self {
        EngineModel {
            backend,
            incarnation,
            zone,
            capacity,
            protections,
            role: EngineRole::Mixed,
            highest_fence: LogPosition::ZERO,
            responses: BTreeMap::new(),
            slots: BTreeMap::new(),
            checkpoints,
            sequence: 0,
            refused_orders: 0,
        }
    }

    /// Returns the checkpoints on the machine, which outlive the process.
    pub fn checkpoints(&self) -> &BTreeSet<String> {
        &self.checkpoints
    }

    /// Handles an order and returns its response and effects.
    pub fn handle_order(&mut self, order: &EngineOrder) -> (OrderResponse, Vec<EngineEffect>) {
        if self.protections.fences {
            if order.incarnation != self.incarnation {
                self.refused_orders += 1;
                return (
                    OrderResponse::WrongIncarnation(self.incarnation),
                    Vec::new(),
                );
            }
            if let Some(response) = self.responses.get(&order.fence) {
                return (response.clone(), Vec::new());
            }
            if order.fence <= self.highest_fence {
                self.refused_orders += 1;
                return (OrderResponse::StaleFence(self.highest_fence), Vec::new());
            }
        }
        self.sequence += 1;
        self.highest_fence = self.highest_fence.max(order.fence);
        let (response, effects) = match self.execute(order) {
            Ok(effects) => (OrderResponse::Accepted, effects),
            Err(reason) => (OrderResponse::Rejected(reason), Vec::new()),
        };
        self.responses.insert(order.fence, response.clone());
        self.prune_unloaded_slots();
        (response, effects)
    }

    fn execute(&mut self, order: &EngineOrder) -> Result<Vec<EngineEffect>, String> {
        let fence = order.fence;
        match &order.action {
            OrderAction::LoadModel(load) => Ok(self.load_model(fence, load)),
            OrderAction::UnloadModel(slot) => Ok(self.unload(fence, *slot, None)),
            OrderAction::LoadAdapter(load) => {
                let slot = self.slots.get_mut(&load.slot);
                let slot = slot.filter(|slot| slot.weights.holds_memory());
                let slot = slot.ok_or("slot is not loaded; load its model first")?;
                let shards = slot.accelerators.len().max(1) as u64;
                let part = PartState {
                    fence,
                    phase: EngineSlotPhase::Loading,
                    bytes_per_accelerator: load.bytes.div_ceil(shards),
                    checkpoint: load.checkpoint.clone(),
                };
                slot.adapters.insert(load.adapter.clone(), part);
                let part = Part {
                    slot: load.slot,
                    adapter: Some(load.adapter.clone()),
                };
                Ok(self.begin_load(part, fence, &load.checkpoint))
            }
            OrderAction::UnloadAdapter(unload) => {
                Ok(self.unload(fence, unload.slot, Some(unload.adapter.clone())))
            }
            OrderAction::ChangeRole(role) => {
                self.role = *role;
                Ok(Vec::new())
            }
        }
    }

    fn load_model(&mut self, fence: LogPosition, load: &LoadModelOrder) -> Vec<EngineEffect> {
        let held = self.slots.get_mut(&load.slot);
        if let Some(slot) = held.filter(|slot| slot.weights.holds_memory()) {
            slot.weights.fence = fence;
            return Vec::new();
        }
        let shards = load.accelerators.len().max(1) as u64;
        let weights = PartState {
            fence,
            phase: EngineSlotPhase::Loading,
            bytes_per_accelerator: load.weights_bytes.div_ceil(shards)
                + load.cache_bytes.div_ceil(shards),
            checkpoint: load.checkpoint.clone(),
        };
        let slot = SlotState {
            model: load.model.clone(),
            version: load.version.clone(),
            accelerators: load.accelerators.clone(),
            weights,
            adapters: BTreeMap::new(),
            running: 0,
        };
        self.slots.insert(load.slot, slot);
        let part = Part {
            slot: load.slot,
            adapter: None,
        };
        let mut effects = vec![EngineEffect::Held(load.slot, load.model.clone())];
        effects.extend(self.begin_load(part, fence, &load.checkpoint));
        effects
    }

    fn begin_load(&self, part: Part, fence: LogPosition, checkpoint: &str) -> Vec<EngineEffect> {
        let load = EngineEffect::Load {
            part,
            fence,
            cached: self.checkpoints.contains(checkpoint),
        };
        vec![EngineEffect::MemoryChanged, load]
    }

    fn unload(
        &mut self,
        fence: LogPosition,
        slot: SlotId,
        adapter: Option<AdapterName>,
    ) -> Vec<EngineEffect> {
        let part = Part { slot, adapter };
        let Some(state) = self.part_mut(&part) else {
            self.record_unloaded(&part, fence);
            return Vec::new();
        };
        state.fence = fence;
        match state.phase {
            EngineSlotPhase::Loading => self.unloaded(&part),
            EngineSlotPhase::Loaded => {
                state.phase = EngineSlotPhase::Unloading;
                self.unload_if_idle(&part)
            }
            EngineSlotPhase::Unloading => Vec::new(),
            EngineSlotPhase::Unloaded | EngineSlotPhase::Failed(_) => {
                state.phase = EngineSlotPhase::Unloaded;
                Vec::new()
            }
        }
    }

    /// Records an unknown part as unloaded, so that the report confirms the unload.
    fn record_unloaded(&mut self, part: &Part, fence: LogPosition) {
        let unloaded = PartState {
            fence,
            phase: EngineSlotPhase::Unloaded,
            bytes_per_accelerator: 0,
            checkpoint: String::new(),
        };
        let slot = self.slots.entry(part.slot).or_insert_with(|| SlotState {
            model: ModelName::from(""),
            version: VersionLabel::from(""),
            accelerators: Vec::new(),
            weights: unloaded.clone(),
            adapters: BTreeMap::new(),
            running: 0,
        });
        if let Some(adapter) = &part.adapter {
            slot.adapters.insert(adapter.clone(), unloaded);
        }
    }

    fn unload_if_idle(&self, part: &Part) -> Vec<EngineEffect> {
        let running = self.slots.get(&part.slot).map_or(0, |slot| slot.running);
        if running > 0 && self.protections.frees_after_use {
            return Vec::new();
        }
        vec![EngineEffect::Unload(part.clone())]
    }

    /// Handles the end of a load; ignored unless the part is loading with this fence.
    pub fn loaded(&mut self, part: &Part, fence: LogPosition, success: bool) -> Vec<EngineEffect> {
        self.sequence += 1;
        let Some(state) = self.part_mut(part) else {
            return Vec::new();
        };
        if state.phase != EngineSlotPhase::Loading || state.fence != fence {
            return Vec::new();
        }
        if success {
            state.phase = EngineSlotPhase::Loaded;
            let checkpoint = state.checkpoint.clone();
            self.checkpoints.insert(checkpoint);
            return Vec::new();
        }
        self.end_part(part, EngineSlotPhase::Failed("weight store failed".into()))
    }

    /// Handles the end of an unload.
    pub fn unloaded(&mut self, part: &Part) -> Vec<EngineEffect> {
        self.sequence += 1;
        let holds = self
            .part_mut(part)
            .is_some_and(|state| state.holds_memory());
        if !holds {
            return Vec::new();
        }
        self.end_part(part, EngineSlotPhase::Unloaded)
    }

    fn end_part(&mut self, part: &Part, phase: EngineSlotPhase) -> Vec<EngineEffect> {
        if let Some(state) = self.part_mut(part) {
            state.phase = phase.clone();
        }
        if part.adapter.is_some() {
            return vec![EngineEffect::MemoryChanged];
        }
        if let Some(slot) = self.slots.get_mut(&part.slot) {
            for adapter in slot.adapters.values_mut().filter(|a| a.holds_memory()) {
                adapter.phase = phase.clone();
            }
        }
        vec![EngineEffect::Freed(part.slot), EngineEffect::MemoryChanged]
    }

    /// Whether slot and adapter are loaded.
    pub fn serves(&self, slot: SlotId, adapter: Option<&AdapterName>) -> bool {
        let Some(state) = self.slots.get(&slot) else {
            return false;
        };
        let adapter_is_loaded = adapter.is_none_or(|name| {
            let part = state.adapters.get(name);
            part.is_some_and(|part| part.phase == EngineSlotPhase::Loaded)
        });
        state.weights.phase == EngineSlotPhase::Loaded && adapter_is_loaded
    }

    /// Records the start of a request on a slot.
    pub fn run_started(&mut self, slot: SlotId) {
        if let Some(state) = self.slots.get_mut(&slot) {
            state.running += 1;
            self.sequence += 1;
        }
    }

    /// Records the end of a request on a slot, and begins unloads that waited for it.
    pub fn run_ended(&mut self, slot: SlotId) -> Vec<EngineEffect> {
        let Some(state) = self.slots.get_mut(&slot) else {
            return Vec::new();
        };
        state.running = state.running.saturating_sub(1);
        self.sequence += 1;
        if state.running > 0 {
            return Vec::new();
        }
        let mut waiting: Vec<Part> = Vec::new();
        let unloading = |part: &PartState| part.phase == EngineSlotPhase::Unloading;
        for (name, part) in &state.adapters {
            if unloading(part) {
                waiting.push(Part {
                    slot,
                    adapter: Some(name.clone()),
                });
            }
        }
        if unloading(&state.weights) {
            waiting.push(Part {
                slot,
                adapter: None,
            });
        }
        waiting.into_iter().map(EngineEffect::Unload).collect()
    }

    /// Returns the memory use of each accelerator.
    pub fn memory(&self) -> Vec<MemoryUse> {
        let mut uses: Vec<MemoryUse> = self
            .capacity
            .iter()
            .map(|capacity| MemoryUse {
                used_bytes: 0,
                capacity_bytes: *capacity,
            })
            .collect();
        for slot in self.slots.values() {
            let parts = slot.adapters.values().chain([&slot.weights]);
            let held: u64 = parts
                .filter(|part| part.holds_memory())
                .map(|part| part.bytes_per_accelerator)
                .sum();
            for accelerator in &slot.accelerators {
                if let Some(accelerator_use) = uses.get_mut(*accelerator as usize) {
                    accelerator_use.used_bytes += held;
                }
            }
        }
        uses
    }

    /// Returns the current report.
    pub fn report(&self) -> EngineReport {
        let capacity_factor = if self.protections.reports_true_memory {
            1
        } else {
            2
        };
        let memory = self.memory();
        EngineReport {
            backend: self.backend.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            role: self.role,
            sequence: self.sequence,
            highest_fence: self.highest_fence,
            accelerator_bytes: self
                .capacity
                .iter()
                .map(|bytes| bytes * capacity_factor)
                .collect(),
            used_bytes: memory
                .iter()
                .map(|accelerator_use| accelerator_use.used_bytes)
                .collect(),
            slots: self
                .slots
                .iter()
                .map(|(slot, state)| self.slot_report(*slot, state))
                .collect(),
            checkpoints: self
                .checkpoints
                .iter()
                .map(|checkpoint| CheckpointReport {
                    checkpoint: checkpoint.clone(),
                    tier: CheckpointTier::Disk,
                })
                .collect(),
        }
    }

    fn slot_report(&self, slot: SlotId, state: &SlotState) -> EngineSlotReport {
        let adapters = state
            .adapters
            .iter()
            .map(|(name, part)| EngineAdapterReport {
                adapter: name.clone(),
                fence: part.fence,
                phase: self.reported_phase(&part.phase),
            });
        EngineSlotReport {
            slot,
            model: state.model.clone(),
            version: state.version.clone(),
            fence: state.weights.fence,
            phase: self.reported_phase(&state.weights.phase),
            adapters: adapters.collect(),
            running: state.running,
            waiting: 0,
        }
    }

    fn reported_phase(&self, phase: &EngineSlotPhase) -> EngineSlotPhase {
        match phase {
            EngineSlotPhase::Unloading if !self.protections.frees_after_use => {
                EngineSlotPhase::Unloaded
            }
            other => other.clone(),
        }
    }

    fn part_mut(&mut self, part: &Part) -> Option<&mut PartState> {
        let slot = self.slots.get_mut(&part.slot)?;
        match &part.adapter {
            None => Some(&mut slot.weights),
            Some(name) => slot.adapters.get_mut(name),
        }
    }

    fn prune_unloaded_slots(&mut self) {
        let unloaded = |state: &SlotState| !state.weights.holds_memory();
        while self.slots.values().filter(|state| unloaded(state)).count()
            > MAXIMUM_REPORTED_UNLOADED_SLOTS
        {
            let oldest = self.slots.iter().filter(|(_, state)| unloaded(state));
            let oldest = oldest.min_by_key(|(_, state)| state.weights.fence);
            if let Some(slot) = oldest.map(|(slot, _)| *slot) {
                self.slots.remove(&slot);
            }
        }
    }
}
