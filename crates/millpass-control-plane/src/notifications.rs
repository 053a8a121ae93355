//! Notifies routers that newer revisions are available, so that they report at once.
//!
//! Leases and revisions are only sent in response to a report; a lost notification delays them
//! until the next report.

use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_proto::{
    ConfigurationRevision, ControlToRouter, Duration, PlacementRevision, Timestamp,
};

/// Minimum time between notifications, so that a burst of commits results in one.
pub(crate) const INTERVAL: Duration = Duration::from_millis(20);

/// Revisions of the last notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotifiedRevisions {
    configuration: ConfigurationRevision,
    placement: PlacementRevision,
}

impl ControlPlane {
    /// Notifies all routers of a new catalog, and those with waiting requests of new routes.
    pub(crate) fn notify_routers(&mut self, now: Timestamp, out: &mut Outputs) {
        let newest = NotifiedRevisions {
            configuration: self.state.configuration_revision(),
            placement: self.state.placement_revision(),
        };
        if Some(newest) == self.notified_revisions || !self.is_notification_due(now) {
            return;
        }
        self.notified_revisions = Some(newest);
        for connection in self
            .sessions
            .take_unnotified(newest.configuration, newest.placement)
        {
            out.send_router(connection, ControlToRouter::ChangesAvailable);
        }
    }
}
