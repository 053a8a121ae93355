//! Outputs of one step, collected in order.

use crate::interface::{AdministrationResponse, ConnectionId, ControlEvent, ControlOutput};
use millpass_proto::{ControlToRouter, NotLeader};

#[derive(Default)]
pub(crate) struct Outputs {
    /// Outputs in the order in which the host must execute them.
    pub(crate) list: Vec<ControlOutput>,
}

impl Outputs {
    pub(crate) fn push(&mut self, output: ControlOutput) {
        self.list.push(output);
    }

    pub(crate) fn event(&mut self, name: &'static str, pairs: Vec<(&'static str, String)>) {
        self.push(ControlOutput::Event(ControlEvent { name, pairs }));
    }

    pub(crate) fn respond(&mut self, call: u64, response: AdministrationResponse) {
        self.push(ControlOutput::AdministrationResponse { call, response });
    }

    pub(crate) fn send_router(&mut self, connection: ConnectionId, message: ControlToRouter) {
        self.push(ControlOutput::SendRouter {
            connection,
            message: Box::new(message),
        });
    }

    pub(crate) fn send_not_leader(
        &mut self,
        connection: ConnectionId,
        leader_address: Option<String>,
    ) {
        let message = ControlToRouter::NotLeader(NotLeader { leader_address });
        self.send_router(connection, message);
    }
}
