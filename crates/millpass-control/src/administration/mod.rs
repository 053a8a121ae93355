//! The administration API's HTTP server.

use millpass_control_plane::{AdministrationAnswer, AdministrationRequest};

/// What the administration API needs of the process around the core.
pub trait AdministrationCalls: Send + Sync + 'static {
    /// Takes one call to the core and waits for its answer; bounded by the core's own deadline.
    fn call(&self, request: AdministrationRequest) -> AdministrationAnswer;

    /// Metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;
}
