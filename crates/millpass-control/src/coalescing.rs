//! Merges gateway reports that wait for the core: at most one of each connection waits, so that the
//! delay of reports is bounded by the number of gateways, however often each of them reports.

use millpass_control_plane::{ConnectionId, ControlInput};
use millpass_proto::{GatewayReport, RouterToControl};
use std::collections::HashMap;

/// Reports that arrived behind a waiting report of the same connection, merged into one.
#[derive(Debug, Default)]
pub struct WaitingReports {
    /// By connection with a waiting report.
    later: HashMap<ConnectionId, Option<Box<GatewayReport>>>,
    merged: u64,
}

impl WaitingReports {
    /// Merges an input into a waiting report of its connection, or returns it if there is none.
    pub fn merge(&mut self, input: ControlInput) -> Result<(), Box<ControlInput>> {
        let ControlInput::Router {
            connection,
            message: RouterToControl::Gateway(report),
        } = input
        else {
            return Err(Box::new(input));
        };
        let Some(later) = self.later.get_mut(&connection) else {
            let message = RouterToControl::Gateway(report);
            return Err(Box::new(ControlInput::Router {
                connection,
                message,
            }));
        };
        match later {
            Some(later) => later.merge(report),
            None => *later = Some(Box::new(report)),
        }
        self.merged += 1;
        Ok(())
    }

    /// Records that a report of this connection waits.
    pub fn begin(&mut self, connection: ConnectionId) {
        self.later.insert(connection, None);
    }

    /// Adds to an input that no longer waits what was merged into it.
    pub fn complete(&mut self, input: &mut ControlInput) {
        let Some(connection) = reporting_connection(input) else {
            return;
        };
        if let Some(Some(later)) = self.later.remove(&connection)
            && let ControlInput::Router {
                message: RouterToControl::Gateway(report),
                ..
            } = input
        {
            report.merge(*later);
        }
    }

    /// Returns the number of reports merged since startup.
    pub fn merged(&self) -> u64 {
        self.merged
    }
}

/// Returns the connection of a gateway report.
pub fn reporting_connection(input: &ControlInput) -> Option<ConnectionId> {
    match input {
        ControlInput::Router {
            connection,
            message: RouterToControl::Gateway(_),
        } => Some(*connection),
        _ => None,
    }
}
