//! Calls of a leader to engines, and responses to them.

use millpass_fleet::{CallResult, FleetOutput};
use millpass_proto::{CallId, Duration, InstanceId, InstructionResult};
use std::collections::BTreeMap;

/// Newest call to each engine.
#[derive(Default)]
pub struct Calls {
    newest: BTreeMap<InstanceId, CallId>,
}

impl Calls {
    /// Records the calls in these outputs.
    pub fn record(&mut self, outputs: &[FleetOutput]) {
        let calls = outputs.iter().filter_map(|output| match output {
            FleetOutput::Instruct(instruction) => {
                Some((instruction.instance.clone(), instruction.call))
            }
            FleetOutput::ReadEngine { instance, call, .. } => Some((instance.clone(), *call)),
            _ => None,
        });
        self.newest.extend(calls);
    }

    /// Returns the newest call to an engine.
    pub fn newest(&self, instance: &str) -> Option<CallId> {
        self.newest.get(&instance.into()).copied()
    }

    /// Returns a response to the newest call to an engine, or to an unknown call if there was none.
    pub fn response(&self, instance: &InstanceId, result: &InstructionResult) -> CallResult {
        let call = self.newest.get(instance).copied().unwrap_or(CallId(0));
        response_to(call, instance, result)
    }
}

/// Returns a response to a call.
pub fn response_to(call: CallId, instance: &InstanceId, result: &InstructionResult) -> CallResult {
    CallResult {
        instance: instance.clone(),
        call,
        result: result.clone(),
        queue_time: Duration::ZERO,
        response_time: Duration::ZERO,
    }
}
