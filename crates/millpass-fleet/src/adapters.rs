//! Placement of adapters on engines that hold their model.

use crate::demand::ModelKey;
use crate::planner::{Instruction, ServiceView, Step};
use crate::round::PlanningRound;
use millpass_proto::{AdapterName, Duration, InstanceId, InstructionOperation, ModelName};

/// Expected duration of loading or unloading an adapter.
const ADAPTER_OPERATION_TIME: Duration = Duration::from_millis(20);
/// Cost of placing an adapter on a fully utilized engine, in loaded adapters.
const ADAPTER_UTILIZATION_COST: f64 = 10.0;

impl ServiceView<'_> {
    /// Loads an adapter on an engine that holds its model, unless it is loaded or loading already.
    pub(crate) fn load_adapter(
        &mut self,
        key: &ModelKey,
        adapter: &AdapterName,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        if self.is_load_quarantined(&key.model, Some(adapter)) {
            return;
        }
        let holders = round.holders_of(&key.model).to_vec();
        if self.load_adapter_at(key, adapter, &holders, round, steps) {
            self.demand.mark_met(key);
        }
    }

    /// Loads an adapter on one of the engines that hold its model, unless it is loaded or loading on any of
    /// them. Returns true if it is loaded.
    pub(crate) fn load_adapter_at(
        &mut self,
        key: &ModelKey,
        adapter: &AdapterName,
        holders: &[InstanceId],
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) -> bool {
        let engines = || holders.iter().filter_map(|instance| self.engine(instance));
        if engines().any(|engine| engine.holds(&key.model, Some(adapter))) {
            return true;
        }
        let is_loading = engines().any(|engine| {
            let pending = engine.pending.as_ref();
            let pending =
                pending.is_some_and(|pending| pending.targets_adapter(&key.model, adapter));
            pending || engine.is_loading_adapter(&key.model, adapter)
        });
        if is_loading {
            return false;
        }
        let cost = |instance: &InstanceId| {
            self.engine(instance).map_or(f64::MAX, |engine| {
                round.engine_utilization(engine) * ADAPTER_UTILIZATION_COST
                    + engine.adapter_count() as f64
            })
        };
        let best = holders
            .iter()
            .filter(|instance| self.can_be_instructed(instance) && !round.is_instructed(instance))
            .min_by(|left, right| cost(left).total_cmp(&cost(right)));
        let Some(instance) = best.cloned() else {
            return false;
        };
        let Some(instruction) = self.adapter_instruction(round, &instance, key, adapter) else {
            return false;
        };
        let used_kilobytes = self
            .engine(&instance)
            .map_or(0, |engine| round.used_kilobytes(self.specification, engine));
        round.mark_instructed(&instance);
        steps.push(Step {
            instance,
            instruction: Some(instruction),
            expected_time: ADAPTER_OPERATION_TIME,
            from_store: false,
            is_confirmation: false,
            used_kilobytes,
            reason: "unserved-adapter",
        });
        false
    }

    /// Returns the load of the adapter. Without a free slot or memory, returns the unload of a model
    /// missing from the configuration, or else of the least used adapter.
    fn adapter_instruction(
        &self,
        round: &PlanningRound,
        instance: &InstanceId,
        key: &ModelKey,
        adapter: &AdapterName,
    ) -> Option<Instruction> {
        let engine = self.engine(instance)?;
        let size = round
            .model(self.specification, &key.model)?
            .adapter_kilobytes;
        let used = round.used_kilobytes(self.specification, engine);
        let fits = used + size <= self.specification.weights_kilobytes;
        let slots = self.specification.adapter_slots as usize;
        if fits && engine.adapter_count() < slots {
            let load = InstructionOperation::Load;
            return Some((load, key.model.clone(), Some(adapter.clone())));
        }
        if let Some(unconfigured) = round.unconfigured_model(engine) {
            // A model of unknown size occupies the whole memory: unloading adapters would not help.
            return Some((InstructionOperation::Unload, unconfigured.clone(), None));
        }
        let rate = |model: &ModelName, adapter: &AdapterName| {
            let key = ModelKey {
                service: self.service.clone(),
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            self.demand.rate(self.now, &key)
        };
        let least_used = engine
            .held
            .iter()
            .flat_map(|held| held.adapters.iter().map(move |name| (&held.model, name)))
            .filter(|(model, name)| !engine.is_unload_accepted(model, name))
            .min_by(|left, right| rate(left.0, left.1).total_cmp(&rate(right.0, right.1)))?;
        let unload = InstructionOperation::Unload;
        Some((unload, least_used.0.clone(), Some(least_used.1.clone())))
    }
}
