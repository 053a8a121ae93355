//! Priority classes of the core's inputs.
//!
//! Classes are ordered by the cost of a delay: late votes and heartbeats can lose the leadership,
//! changes and departures take effect late, requests wait for credit. Reports and announcements
//! are repeated by their senders.

use millpass_control_plane::{AdministrationRequest, ControlInput};
use millpass_proto::{ObjectKind, RouterToControl};

/// Priority class of an input, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Messages of members and completed writes: elections, leases and commits wait for them.
    Consensus,
    /// Changes by operators and departures of instances with the reads that precede them; joins and
    /// planned stops.
    Promised,
    /// Credit and permit requests, crash reports, engine responses, and instance shares of members.
    Credit,
    /// Reports of routers and gateways, and the platform's list.
    Reports,
    /// Announcements, and reads by operators.
    Announcements,
}

impl Priority {
    /// All classes, highest priority first.
    pub const ALL: [Priority; 5] = [
        Priority::Consensus,
        Priority::Promised,
        Priority::Credit,
        Priority::Reports,
        Priority::Announcements,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Priority::Consensus => "consensus",
            Priority::Promised => "promised",
            Priority::Credit => "credit",
            Priority::Reports => "reports",
            Priority::Announcements => "announcements",
        }
    }

    /// Returns the class of an input.
    pub fn of(input: &ControlInput) -> Self {
        match input {
            // A hello identifies the sender of the messages that follow on its connection.
            ControlInput::Tick
            | ControlInput::Peer(_)
            | ControlInput::MemberHello(_)
            | ControlInput::Persisted { .. } => Priority::Consensus,
            ControlInput::Join(_) | ControlInput::Drain => Priority::Promised,
            ControlInput::Administration { request, .. } => Priority::of_call(request),
            ControlInput::Router { message, .. } => router_priority(message),
            // In the class of reports, so that it is processed after the last one of its
            // connection.
            ControlInput::RouterDisconnected(_)
            | ControlInput::RouterBacklog { .. }
            | ControlInput::PlatformListed(_) => Priority::Reports,
            // Late shares and engine responses would count as lost.
            ControlInput::Share(_)
            | ControlInput::ShareResponse(_)
            | ControlInput::OrderDelivered { .. }
            | ControlInput::EngineCallCompleted { .. } => Priority::Credit,
        }
    }

    /// Returns the class of a call of the administration API.
    pub fn of_call(request: &AdministrationRequest) -> Self {
        match request {
            AdministrationRequest::Change(_)
            | AdministrationRequest::MarkBackend(..)
            | AdministrationRequest::ChangeMembership(_)
            | AdministrationRequest::PutDocument(_)
            | AdministrationRequest::GetDocument
            | AdministrationRequest::Depart(_)
            | AdministrationRequest::LiftQuarantine(_)
            | AdministrationRequest::ReleaseParts(_) => Priority::Promised,
            // A draining announcement is a departure.
            AdministrationRequest::Announce(record) if record.draining => Priority::Promised,
            // Every call of an operator first lists the operators, for authentication.
            AdministrationRequest::List(ObjectKind::Operator) => Priority::Promised,
            AdministrationRequest::Get(_)
            | AdministrationRequest::List(_)
            | AdministrationRequest::Status
            | AdministrationRequest::Audit(_)
            | AdministrationRequest::Announce(_)
            | AdministrationRequest::QuarantinedRequests => Priority::Announcements,
        }
    }
}

/// Returns the class of a router message. Credit, crashes, permits, origins of streams and process runs depend on no earlier message
/// of their connection. Claims and reports depend on the hello, so these share a class to keep
/// their order.
fn router_priority(message: &RouterToControl) -> Priority {
    match message {
        RouterToControl::Credit(_)
        | RouterToControl::Crashes(_)
        | RouterToControl::Permits(_)
        | RouterToControl::Streams(_)
        | RouterToControl::Runs(_) => Priority::Credit,
        RouterToControl::Hello(_)
        | RouterToControl::Report(_)
        | RouterToControl::Claim(_)
        | RouterToControl::FinishClaim(_)
        | RouterToControl::Gateway(_)
        | RouterToControl::Reach(_) => Priority::Reports,
    }
}
