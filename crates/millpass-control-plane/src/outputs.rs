//! Outputs of one step, collected in order.

use crate::interface::{AdministrationResponse, ConnectionId, ControlEvent, ControlOutput};
use millpass_proto::{ControlToRouter, NotLeader};

/// Collects the outputs of one step.
#[derive(Default)]
pub(crate) struct Outputs {
    /// Outputs so far, in the order in which the host must carry them out.
    pub(crate) list: Vec<ControlOutput>,
}

impl Outputs {
    /// Adds an output.
    pub(crate) fn push(&mut self, output: ControlOutput) {
        self.list.push(output);
    }

    /// Adds an event.
    pub(crate) fn event(&mut self, name: &'static str, pairs: Vec<(&'static str, String)>) {
        self.push(ControlOutput::Event(ControlEvent { name, pairs }));
    }

    /// Answers an administration call.
    pub(crate) fn answer(&mut self, call: u64, answer: AdministrationResponse) {
        self.push(ControlOutput::AdministrationResponse {
            call,
            response: answer,
        });
    }

    /// Sends to a router.
    pub(crate) fn send_router(&mut self, connection: ConnectionId, message: ControlToRouter) {
        self.push(ControlOutput::SendRouter {
            connection,
            message: Box::new(message),
        });
    }

    /// Tells a router that this member does not lead.
    pub(crate) fn send_not_leader(
        &mut self,
        connection: ConnectionId,
        leader_address: Option<String>,
    ) {
        let message = ControlToRouter::NotLeader(NotLeader { leader_address });
        self.send_router(connection, message);
    }
}
