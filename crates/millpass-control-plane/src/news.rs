//! Tells routers that there is something newer than their last report knew, so that they report at
//! once instead of at their interval.
//!
//! What is new still travels in the answer to a report alone: leases and revisions need no second
//! way, and a lost message costs nothing but the time until the next report.

use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use millpass_proto::{
    ConfigurationRevision, ControlToRouter, Duration, PlacementRevision, Timestamp,
};

/// Shortest time between two looks, so that a row of commits makes one message.
pub(crate) const INTERVAL: Duration = Duration::from_millis(20);

/// Revisions that routers were told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    configuration: ConfigurationRevision,
    placement: PlacementRevision,
}

impl ControlPlane {
    /// Tells all routers of a new catalog, and those with waiting requests of new routes.
    pub(crate) fn tell_news(&mut self, now: Timestamp, out: &mut Outputs) {
        let newest = Told {
            configuration: self.state.configuration_revision(),
            placement: self.state.placement_revision(),
        };
        if Some(newest) == self.told || !self.news_due(now) {
            return;
        }
        self.told = Some(newest);
        for connection in self.sessions.behind(newest.configuration, newest.placement) {
            out.send_router(connection, ControlToRouter::ChangesAvailable);
        }
    }
}
