//! HTTP server of the administration API.

mod admission;
mod authentication;
mod failure;
mod operations;
mod routes;
mod server;

pub use server::{
    AdministrationError, AdministrationLimits, AdministrationServer, start, start_extended,
};

use millpass_control_plane::{AdministrationRequest, AdministrationResponse};

/// Access of the administration API to the process around the core.
pub trait AdministrationCalls: Send + Sync + 'static {
    /// Sends a request to the core and waits for the response, bounded by the core's own deadline.
    fn call(&self, request: AdministrationRequest) -> AdministrationResponse;

    /// Records an announcement that was refused as invalid.
    fn announcement_refused(&self, reason: RefusedAnnouncement, error: &dyn std::fmt::Display);

    /// Returns the metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;
}

/// Why an announcement was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedAnnouncement {
    /// It cannot be decoded.
    Unreadable,
    /// It states an unknown state.
    UnknownState,
    /// Its address cannot be connected to.
    UnusableAddress,
}

impl RefusedAnnouncement {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusedAnnouncement::Unreadable => "unreadable",
            RefusedAnnouncement::UnknownState => "unknown-state",
            RefusedAnnouncement::UnusableAddress => "unusable-address",
        }
    }
}
