//! A simulated engine that carries out every order and records those that exceed its capacity.

use millpass_proto::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Memory of an engine in KB: two models and some adapters.
pub const MEMORY_KILOBYTES: u64 = 130;
pub const ADAPTER_SLOTS: u64 = 3;
pub const MODEL_KILOBYTES: u64 = 60;
pub const ADAPTER_KILOBYTES: u64 = 2;
/// Maximum age of a reported state, in milliseconds.
const MAX_REPORT_AGE: u64 = 300;

/// An adapter being loaded, or unloaded once its requests have completed.
struct AdapterTransition {
    model: ModelName,
    adapter: AdapterName,
    done_at: u64,
}

/// A model order being carried out.
struct RunningOrder {
    operation: InstructionOperation,
    model: ModelName,
    done_at: u64,
}

/// A simulated engine. Times are in milliseconds.
pub struct Engine {
    pub name: String,
    pub incarnation: u64,
    revision: u64,
    held: Vec<HeldModel>,
    loading_adapters: Vec<AdapterTransition>,
    unloading_adapters: Vec<AdapterTransition>,
    running_order: Option<RunningOrder>,
    on_disk: Vec<ModelName>,
    /// Recent states and when they began.
    states: VecDeque<(u64, EngineState)>,
    sequence: u64,
    next_announcement: u64,
    /// Orders that exceeded its capacity.
    pub violations: Vec<String>,
    /// Completed loads of models and adapters.
    pub loads: u64,
    /// Whether to announce at once because the state has changed.
    state_changed: bool,
    /// Whether the unload of a model that is not loaded counts as an accepted order.
    pub counts_done_unloads: bool,
}

impl Engine {
    pub fn new(name: &str, now: u64) -> Engine {
        let mut engine = Engine {
            name: name.to_owned(),
            incarnation: now + 1,
            revision: 0,
            held: Vec::new(),
            loading_adapters: Vec::new(),
            unloading_adapters: Vec::new(),
            running_order: None,
            on_disk: Vec::new(),
            states: VecDeque::new(),
            sequence: 0,
            next_announcement: now,
            violations: Vec::new(),
            loads: 0,
            state_changed: false,
            counts_done_unloads: false,
        };
        engine.record_state(now);
        engine
    }

    /// Restarts the engine, which keeps only its weight copies on disk.
    pub fn restart(&mut self, now: u64, name: &str) {
        let fresh = Engine::new(name, now);
        let previous = std::mem::replace(self, fresh);
        self.on_disk = previous.on_disk;
        self.violations = previous.violations;
        self.loads = previous.loads;
        self.counts_done_unloads = previous.counts_done_unloads;
    }

    pub fn id(&self) -> InstanceId {
        InstanceId::of_run(&self.name, self.incarnation)
    }

    /// Returns the common prefix of the names of all incarnations.
    pub fn base_name(&self) -> &str {
        let end = self.name.match_indices('-').nth(1);
        end.map_or(self.name.as_str(), |(end, _)| &self.name[..end])
    }

    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Completes what is due.
    pub fn advance(&mut self, now: u64) {
        if self
            .running_order
            .as_ref()
            .is_some_and(|order| order.done_at <= now)
        {
            let order = self.running_order.take().expect("an order is running");
            self.finish(order);
            self.state_changed = true;
            self.record_state(now);
        }
        let (loaded, loading) = std::mem::take(&mut self.loading_adapters)
            .into_iter()
            .partition(|transition| transition.done_at <= now);
        self.loading_adapters = loading;
        let (unloaded, unloading) = std::mem::take(&mut self.unloading_adapters)
            .into_iter()
            .partition(|transition| transition.done_at <= now);
        self.unloading_adapters = unloading;
        if loaded.is_empty() && unloaded.is_empty() {
            return;
        }
        for AdapterTransition { model, adapter, .. } in loaded {
            self.loads += 1;
            let held = self.held.iter_mut().find(|held| held.model == model);
            held.expect("adapters are loaded to held models")
                .adapters
                .push(adapter);
        }
        for AdapterTransition { model, adapter, .. } in unloaded {
            self.remove_adapter(&model, &adapter);
        }
        self.record_state(now);
    }

    fn finish(&mut self, order: RunningOrder) {
        match order.operation {
            InstructionOperation::Load => {
                self.loads += 1;
                self.on_disk.push(order.model.clone());
                self.held.push(HeldModel {
                    model: order.model,
                    adapters: Vec::new(),
                });
            }
            InstructionOperation::Unload => {
                self.held.retain(|held| held.model != order.model);
                self.loading_adapters
                    .retain(|transition| transition.model != order.model);
                self.unloading_adapters
                    .retain(|transition| transition.model != order.model);
            }
        }
    }

    fn remove_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        let held = self.held.iter_mut().find(|held| held.model == *model);
        if let Some(held) = held {
            held.adapters.retain(|name| name != adapter);
        }
    }

    fn adapter_count(&self) -> u64 {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        (held + self.loading_adapters.len()) as u64
    }

    fn used_kilobytes(&self) -> u64 {
        let loading = self
            .running_order
            .iter()
            .filter(|busy| busy.operation == InstructionOperation::Load);
        let models = self.held.len() + loading.count();
        models as u64 * MODEL_KILOBYTES + self.adapter_count() * ADAPTER_KILOBYTES
    }

    /// Handles an order meant for an incarnation of this name.
    pub fn handle_order(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.advance(now);
        if order.instance.name() != self.name {
            return InstructionResult::OtherRun;
        }
        if self.running_order.is_some() || order.expected_revision != self.revision {
            return InstructionResult::Conflict;
        }
        let is_held = self.holds(&order.model, order.adapter.as_ref());
        let is_load = order.operation == InstructionOperation::Load;
        let result = match (&order.adapter, is_load) {
            (None, false) if !is_held => {
                // The contract does not specify whether fulfilled orders count.
                self.revision += u64::from(self.counts_done_unloads);
                InstructionResult::AlreadySo
            }
            _ if is_held == is_load => InstructionResult::AlreadySo,
            (None, _) => self.order_model(now, order, random),
            (Some(adapter), true) => self.load_adapter(now, order, adapter, random),
            (Some(adapter), false) => self.unload_adapter(now, &order.model, adapter, random),
        };
        self.record_state(now);
        result
    }

    fn order_model(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.check_capacity(now, order, MODEL_KILOBYTES, 0);
        self.revision += 1;
        let duration = match order.operation {
            InstructionOperation::Unload => random.random_range(20..2_500),
            InstructionOperation::Load if self.on_disk.contains(&order.model) => 800,
            InstructionOperation::Load => 2_000,
        };
        self.running_order = Some(RunningOrder {
            operation: order.operation,
            model: order.model.clone(),
            done_at: now + duration,
        });
        InstructionResult::Accepted
    }

    fn check_capacity(&mut self, now: u64, order: &EngineInstruction, kilobytes: u64, slots: u64) {
        let fits = self.used_kilobytes() + kilobytes <= MEMORY_KILOBYTES
            && self.adapter_count() + slots <= ADAPTER_SLOTS;
        if order.operation == InstructionOperation::Load && !fits {
            self.violations.push(format!(
                "{now} ms: {} holds {:?}, ordered {order:?}",
                self.name, self.held
            ));
        }
    }

    fn load_adapter(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        adapter: &AdapterName,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        let model = &order.model;
        if !self.holds(model, None) {
            return InstructionResult::Refused("no such model".to_owned());
        }
        let mut loading = self.loading_adapters.iter();
        if loading.any(|transition| transition.model == *model && transition.adapter == *adapter) {
            return InstructionResult::AlreadySo;
        }
        self.check_capacity(now, order, ADAPTER_KILOBYTES, 1);
        self.revision += 1;
        let is_slow = random.random_bool(0.1);
        let duration = if is_slow { 1..4_000 } else { 2..40 };
        self.loading_adapters.push(AdapterTransition {
            model: model.clone(),
            adapter: adapter.clone(),
            done_at: now + random.random_range(duration),
        });
        InstructionResult::Accepted
    }

    fn unload_adapter(
        &mut self,
        now: u64,
        model: &ModelName,
        adapter: &AdapterName,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.revision += 1;
        if random.random_bool(0.6) {
            self.remove_adapter(model, adapter);
            return InstructionResult::AlreadySo;
        }
        self.unloading_adapters.push(AdapterTransition {
            model: model.clone(),
            adapter: adapter.clone(),
            done_at: now + random.random_range(50..3_000),
        });
        InstructionResult::Accepted
    }

    fn record_state(&mut self, now: u64) {
        let state = self.state();
        self.states.push_back((now, state));
        while self.states.len() > 1 && self.states[1].0 + MAX_REPORT_AGE < now {
            self.states.pop_front();
        }
    }

    fn state(&self) -> EngineState {
        EngineState {
            revision: self.revision,
            busy: self.running_order.is_some(),
            models: self.held.clone(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
            loading_adapters: self
                .loading_adapters
                .iter()
                .map(|transition| HeldModel {
                    model: transition.model.clone(),
                    adapters: vec![transition.adapter.clone()],
                })
                .collect(),
        }
    }

    /// Returns its state as of some time ago.
    pub fn report(&mut self, now: u64, random: &mut ChaCha8Rng) -> EngineState {
        self.advance(now);
        let as_of = now.saturating_sub(random.random_range(0..MAX_REPORT_AGE - 60));
        let states = self.states.iter().rev();
        let mut earlier = states.filter(|(since, _)| *since <= as_of);
        let (_, state) = earlier.next().unwrap_or(&self.states[0]);
        state.clone()
    }

    /// Returns the next announcement, if due.
    pub fn announcement(&mut self, now: u64) -> Option<InstanceRecord> {
        if now < self.next_announcement && !std::mem::take(&mut self.state_changed) {
            return None;
        }
        self.next_announcement = now + 1_200;
        self.sequence += 1;
        Some(InstanceRecord {
            instance: self.id(),
            service: "text".into(),
            address: format!("{}:80", self.name),
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence: self.sequence,
            models: self.held.clone(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
            software: SoftwareStatement::default(),
        })
    }
}
