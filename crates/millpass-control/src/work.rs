//! Processor time of the core's thread, by kind of work.

use millpass_control_plane::{AdministrationRequest, ControlInput, ControlOutput};
use millpass_proto::{ControlToRouter, RouterToControl};
use std::time::Duration;

/// Kind of work of one step of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Steps in which a planning round ran, whatever their input.
    Planning,
    /// Other steps that sent updates to gateways.
    Updates,
    /// Reports of routers and gateways, and ends of their connections.
    Reports,
    /// Credit and permit requests.
    Credit,
    /// Responses of engines and of the platform.
    Engines,
    /// Announcements and shares of instances.
    Announcements,
    /// Messages of members and completed writes.
    Consensus,
    /// Calls of operators, and departures.
    Calls,
    /// Ticks without any of the above.
    Ticks,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [WorkKind; 9] = [
        WorkKind::Planning,
        WorkKind::Updates,
        WorkKind::Reports,
        WorkKind::Credit,
        WorkKind::Engines,
        WorkKind::Announcements,
        WorkKind::Consensus,
        WorkKind::Calls,
        WorkKind::Ticks,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            WorkKind::Planning => "planning",
            WorkKind::Updates => "updates",
            WorkKind::Reports => "reports",
            WorkKind::Credit => "credit",
            WorkKind::Engines => "engines",
            WorkKind::Announcements => "announcements",
            WorkKind::Consensus => "consensus",
            WorkKind::Calls => "calls",
            WorkKind::Ticks => "ticks",
        }
    }

    /// Returns the kind that an input causes by itself.
    pub fn of_input(input: &ControlInput) -> WorkKind {
        match input {
            ControlInput::Tick => WorkKind::Ticks,
            ControlInput::Peer(_)
            | ControlInput::MemberHello(_)
            | ControlInput::Join(_)
            | ControlInput::Persisted { .. }
            | ControlInput::Drain => WorkKind::Consensus,
            ControlInput::Router { message, .. } => match message {
                RouterToControl::Credit(_) | RouterToControl::Permits(_) => WorkKind::Credit,
                _ => WorkKind::Reports,
            },
            ControlInput::RouterDisconnected(_) | ControlInput::RouterBacklog { .. } => {
                WorkKind::Reports
            }
            ControlInput::OrderDelivered { .. }
            | ControlInput::PlatformListed(_)
            | ControlInput::EngineCallCompleted(_) => WorkKind::Engines,
            ControlInput::Administration { request, .. } => match request {
                AdministrationRequest::Announce(_) => WorkKind::Announcements,
                _ => WorkKind::Calls,
            },
            ControlInput::Share(_) | ControlInput::ShareResponse(_) => WorkKind::Announcements,
        }
    }
}

/// Returns whether outputs contain an update for a gateway.
pub fn has_update(outputs: &[ControlOutput]) -> bool {
    outputs.iter().any(|output| {
        matches!(
            output,
            ControlOutput::SendRouter { message, .. }
                if matches!(**message, ControlToRouter::Gateway(_))
        )
    })
}

/// Steps and processor time since they were last taken, by kind.
#[derive(Debug, Default)]
pub struct WorkMeter {
    totals: [(u64, Duration); WorkKind::ALL.len()],
}

impl WorkMeter {
    /// Records one step.
    pub fn record(&mut self, kind: WorkKind, time: Duration) {
        let (steps, total) = &mut self.totals[kind as usize];
        *steps += 1;
        *total += time;
    }

    /// Returns the steps and the processor time of each kind that had any, and resets them.
    pub fn take(&mut self) -> Vec<(WorkKind, u64, Duration)> {
        let totals = std::mem::take(&mut self.totals);
        let kinds = WorkKind::ALL.into_iter().zip(totals);
        kinds
            .filter(|(_, (steps, _))| *steps > 0)
            .map(|(kind, (steps, time))| (kind, steps, time))
            .collect()
    }
}

/// Returns the processor time of the calling thread.
pub(crate) fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}
