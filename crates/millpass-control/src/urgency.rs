//! How urgent an input of the core is.
//!
//! The classes follow what a delay costs: a vote or heartbeat that is late costs the leader, a promised
//! change or departure that is late is not in force, a request waits for credit, a report is repeated, and
//! an instance announces itself again.

use millpass_control_plane::{AdministrationRequest, ControlInput};
use millpass_proto::{ObjectKind, RouterToControl};

/// Class of an input, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Messages of members and completed writes: elections, leases and commits wait for them.
    Consensus,
    /// What is promised to an operator or to an instance that leaves, and what such a call reads first;
    /// joins and the planned stop.
    Promised,
    /// Credit that requests wait for, instances that ended, answers of engines, and what members hear of instances.
    Credit,
    /// Reports of routers and gateways, the platform's list.
    Reports,
    /// Announcements, and reads that nothing rests on.
    Announcements,
}

impl Urgency {
    /// All classes, the most urgent first.
    pub const ALL: [Urgency; 5] = [
        Urgency::Consensus,
        Urgency::Promised,
        Urgency::Credit,
        Urgency::Reports,
        Urgency::Announcements,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Urgency::Consensus => "consensus",
            Urgency::Promised => "promised",
            Urgency::Credit => "credit",
            Urgency::Reports => "reports",
            Urgency::Announcements => "announcements",
        }
    }

    /// The class of an input.
    pub fn of(input: &ControlInput) -> Self {
        match input {
            // A greeting names the sender of the messages that follow it on its connection.
            ControlInput::Tick
            | ControlInput::Peer(_)
            | ControlInput::PeerGreeting(_)
            | ControlInput::Persisted { .. } => Urgency::Consensus,
            ControlInput::Join(_) | ControlInput::Drain => Urgency::Promised,
            ControlInput::Administration { request, .. } => Urgency::of_call(request),
            ControlInput::Router { message, .. } => of_router(message),
            // With the reports, so that it follows the last one of its connection.
            ControlInput::RouterDisconnected(_)
            | ControlInput::RouterBacklog { .. }
            | ControlInput::PlatformListed(_) => Urgency::Reports,
            // A member's share is its sign of life, on the connection that carries its consensus. An answer that waits for
            // two seconds counts as lost, and comes in place of a later one's.
            ControlInput::Share(_)
            | ControlInput::ShareResponse(_)
            | ControlInput::OrderDelivered { .. }
            | ControlInput::InstructionAnswered { .. } => Urgency::Credit,
        }
    }

    /// The class of a call of the administration API.
    pub fn of_call(request: &AdministrationRequest) -> Self {
        match request {
            AdministrationRequest::Change(_)
            | AdministrationRequest::MarkBackend(..)
            | AdministrationRequest::ChangeMembership(_)
            | AdministrationRequest::PutDocument(_)
            | AdministrationRequest::GetDocument
            | AdministrationRequest::Depart(_)
            | AdministrationRequest::LiftRequest(_) => Urgency::Promised,
            // An instance leaves by its announcement.
            AdministrationRequest::Announce(record) if record.draining => Urgency::Promised,
            // Every call of an operator first reads the operators, to know whose key it brings.
            AdministrationRequest::List(ObjectKind::Operator) => Urgency::Promised,
            AdministrationRequest::Get(_)
            | AdministrationRequest::List(_)
            | AdministrationRequest::Status
            | AdministrationRequest::Audit(_)
            | AdministrationRequest::Announce(_)
            | AdministrationRequest::HeldRequests => Urgency::Announcements,
        }
    }
}

/// Credit, crashes and permits rest on no earlier message of their connection. A router's claims rest on its
/// hello, and its reports too, so these stay in one class, in order.
fn of_router(message: &RouterToControl) -> Urgency {
    match message {
        RouterToControl::Credit(_) | RouterToControl::Crashes(_) | RouterToControl::Permits(_) => {
            Urgency::Credit
        }
        RouterToControl::Hello(_)
        | RouterToControl::Report(_)
        | RouterToControl::Claim(_)
        | RouterToControl::FinishClaim(_)
        | RouterToControl::Gateway(_) => Urgency::Reports,
    }
}
