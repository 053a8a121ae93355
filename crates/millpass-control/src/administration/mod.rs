//! The administration API's HTTP server.
//!
//! | module | job |
//! |---|---|
//! | `server` | listening, and one request from its bytes to its answer |
//! | `routes` | what a method and path ask for |
//! | `authentication` | whose key it is, and what its role may do |
//! | `admission` | what an object must satisfy beyond what the replicated state checks |
//! | `operations` | calls to the core and their answers as bodies |
//! | `failure` | answers that are not a success |

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

/// What the administration API needs of the process around the core.
pub trait AdministrationCalls: Send + Sync + 'static {
    /// Takes one call to the core and waits for its answer; bounded by the core's own deadline.
    fn call(&self, request: AdministrationRequest) -> AdministrationResponse;

    /// Takes note of an announcement that names no instance to use.
    fn announcement_refused(&self, reason: RefusedAnnouncement, error: &dyn std::fmt::Display);

    /// Metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;
}

/// Why an announcement was refused: other writers than instances may send anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedAnnouncement {
    /// It cannot be read.
    Unreadable,
    /// It is in a state that is not known.
    UnknownState,
    /// Nothing can be sent to its address.
    UnusableAddress,
}

impl RefusedAnnouncement {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusedAnnouncement::Unreadable => "unreadable",
            RefusedAnnouncement::UnknownState => "unknown-state",
            RefusedAnnouncement::UnusableAddress => "unusable-address",
        }
    }
}
