//! Extensions of a deployment with its own wire formats: additional API calls, and calls to its
//! engines. Implementations translate; they make no decisions.

use crate::administration::AdministrationCalls;
use millpass_http::{Request, Response};
use millpass_proto::{Duration, EngineInstruction, InstanceId, InstructionResult};
use std::sync::Arc;

/// Handles additional calls on the administration API's address, before the API's own.
pub trait ApiExtension: Send + Sync {
    /// Handles a call of the extension; returns `None` for any other call.
    fn handle(&self, request: &Request, calls: &dyn AdministrationCalls) -> Option<Response>;
}

/// Calls to engines of announced instances.
pub trait EngineCalls: Send + Sync {
    /// Sends an instruction. Its last byte must be sent within this time or not at all. The agent
    /// bounds the response time, and its connections abort at the instruction's deadline and at the
    /// end of the term ([`fenced_calls`](crate::fenced_calls)): a connection of another agent could
    /// deliver the instruction after one of the next leader.
    fn instruct(
        &self,
        agent: &ureq::Agent,
        instruction: &EngineInstruction,
        within: Duration,
    ) -> InstructionResult;

    /// Reads the state of an incarnation at an address.
    fn read(&self, agent: &ureq::Agent, instance: &InstanceId, address: &str) -> InstructionResult;
}

/// Extensions of one deployment.
#[derive(Clone, Default)]
pub struct Extensions {
    /// Additional API calls.
    pub api: Option<Arc<dyn ApiExtension>>,
    /// Calls to engines.
    pub engines: Option<Arc<dyn EngineCalls>>,
}
