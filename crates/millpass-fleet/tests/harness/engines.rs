//! Engines that execute each instruction in its usual time, in virtual time.

use super::record;
use millpass_proto::*;

/// Returns the name of the model with this number.
pub fn model(number: u64) -> ModelName {
    format!("model-{number:03}").into()
}

/// An engine that executes each instruction in its usual time.
pub struct SwappingEngine {
    pub number: u64,
    revision: u64,
    pub held: Vec<HeldModel>,
    in_memory: Vec<ModelName>,
    /// End of the instruction in progress, and the instruction.
    pending: Option<(u64, InstructionOperation, ModelName, Option<AdapterName>)>,
}

impl SwappingEngine {
    /// Returns an engine that holds these models and has copies of others in memory.
    pub fn new(
        number: u64,
        held: impl Iterator<Item = u64>,
        copies: impl Iterator<Item = u64>,
    ) -> SwappingEngine {
        let held = held.map(|number| HeldModel {
            model: model(number),
            adapters: Vec::new(),
        });
        SwappingEngine {
            number,
            revision: 0,
            held: held.collect(),
            in_memory: copies.map(model).collect(),
            pending: None,
        }
    }

    /// Returns whether it serves a model, or an adapter of it.
    pub fn serves(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    pub fn record(&self) -> InstanceRecord {
        InstanceRecord {
            service: "text".into(),
            sequence: self.revision + 1,
            models: self.held.clone(),
            in_memory: self.in_memory.clone(),
            ..record(self.number)
        }
    }

    pub fn state(&self) -> InstructionResult {
        InstructionResult::State(EngineState {
            revision: self.revision,
            busy: self.pending.is_some(),
            models: self.held.clone(),
            in_memory: self.in_memory.clone(),
            on_disk: Vec::new(),
            loading_adapters: Vec::new(),
        })
    }

    /// Starts an instruction and returns the engine's response.
    pub fn start(&mut self, now: u64, instruction: &EngineInstruction) -> InstructionResult {
        if self.pending.is_some() {
            return InstructionResult::Conflict;
        }
        let is_load = instruction.operation == InstructionOperation::Load;
        if self.serves(&instruction.model, instruction.adapter.as_ref()) == is_load {
            return InstructionResult::AlreadySo;
        }
        let is_copied = self.in_memory.contains(&instruction.model);
        let millis = match instruction.operation {
            _ if instruction.adapter.is_some() => 10,
            InstructionOperation::Load if is_copied => 600,
            InstructionOperation::Load => 10_000,
            _ => 300,
        };
        let (model, adapter) = (instruction.model.clone(), instruction.adapter.clone());
        self.pending = Some((now + millis, instruction.operation, model, adapter));
        InstructionResult::Accepted
    }

    /// Returns the new record if an instruction has ended.
    pub fn advance(&mut self, now: u64) -> Option<InstanceRecord> {
        let (_, operation, model, adapter) = self.pending.take_if(|(end, ..)| *end <= now)?;
        self.revision += 1;
        let is_load = operation == InstructionOperation::Load;
        match adapter {
            None if is_load => self.held.push(HeldModel {
                model,
                adapters: Vec::new(),
            }),
            None => self.held.retain(|held| held.model != model),
            Some(adapter) => {
                let held = self.held.iter_mut();
                for held in held.filter(|held| held.model == model) {
                    held.adapters.retain(|name| *name != adapter);
                    if is_load {
                        held.adapters.push(adapter.clone());
                    }
                }
            }
        }
        Some(self.record())
    }
}
