//! What a deployment with its own wire formats brings: calls of its own beside the administration
//! API, and the way to its engines. It translates; it decides nothing.

use crate::administration::AdministrationCalls;
use millpass_http::{Request, Response};
use millpass_proto::{Duration, EngineInstruction, InstanceId, InstructionResult};
use std::sync::Arc;

/// Calls answered on the administration API's address before the API's own.
pub trait ApiExtension: Send + Sync {
    /// Answers a call of its own; none for any other.
    fn answer(&self, request: &Request, calls: &dyn AdministrationCalls) -> Option<Response>;
}

/// The way to engines whose instances announce themselves.
pub trait EngineCalls: Send + Sync {
    /// Gives an instruction, whose last byte leaves within this time or not at all. The agent bounds the time to the answer.
    fn instruct(
        &self,
        agent: &ureq::Agent,
        instruction: &EngineInstruction,
        within: Duration,
    ) -> InstructionResult;

    /// Reads the state of a run at an address.
    fn read(&self, agent: &ureq::Agent, instance: &InstanceId, address: &str) -> InstructionResult;
}

/// Both.
#[derive(Clone, Default)]
pub struct Extensions {
    /// Calls beside the administration API.
    pub api: Option<Arc<dyn ApiExtension>>,
    /// The way to engines.
    pub engines: Option<Arc<dyn EngineCalls>>,
}
