//! Calls that a leader made to engines, and answers that name them.

use millpass_fleet::{CallAnswer, FleetOutput};
use millpass_proto::{CallId, Duration, InstanceId, InstructionResult};
use std::collections::BTreeMap;

/// The newest call to each engine.
#[derive(Default)]
pub struct Calls {
    newest: BTreeMap<InstanceId, CallId>,
}

impl Calls {
    /// Notes the calls among these outputs.
    pub fn note(&mut self, outputs: &[FleetOutput]) {
        let calls = outputs.iter().filter_map(|output| match output {
            FleetOutput::Instruct(given) => Some((given.instance.clone(), given.call)),
            FleetOutput::ReadEngine { instance, call, .. } => Some((instance.clone(), *call)),
            _ => None,
        });
        self.newest.extend(calls);
    }

    /// The newest call to an engine.
    pub fn newest(&self, instance: &str) -> Option<CallId> {
        self.newest.get(&instance.into()).copied()
    }

    /// An answer to the newest call to an engine, or to none that was made.
    pub fn answer(&self, instance: &InstanceId, answer: &InstructionResult) -> CallAnswer {
        let call = self.newest.get(instance).copied().unwrap_or(CallId(0));
        to(call, instance, answer)
    }
}

/// An answer to a call.
pub fn to(call: CallId, instance: &InstanceId, answer: &InstructionResult) -> CallAnswer {
    CallAnswer {
        instance: instance.clone(),
        call,
        answer: answer.clone(),
        waited: Duration::ZERO,
        took: Duration::ZERO,
    }
}
