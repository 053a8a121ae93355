//! Settings shared by all front ends.

use super::journal::RunJournal;
use http::StatusCode;
use http::header::RETRY_AFTER;
use millpass_http::{Response, ServerSettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Where and how a stand-in serves.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to register, if others reach the stand-in at a different one, such as a relay.
    pub advertise: Option<SocketAddr>,
    /// Journal that records runs, if any.
    pub journal: Option<Arc<RunJournal>>,
    /// Simulated seconds per real second.
    pub time_scale: f64,
    /// Number of threads that drive connections.
    pub executor_threads: usize,
    /// Maximum number of handler threads; each request in progress occupies one.
    pub handler_threads: usize,
    /// Maximum number of connections.
    pub maximum_connections: usize,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            advertise: None,
            journal: None,
            time_scale: 1.0,
            executor_threads: 1,
            handler_threads: 1_024,
            maximum_connections: 4_096,
        }
    }
}

impl FrontSettings {
    /// Returns the settings of a server with this name.
    pub(crate) fn server(&self, name: &str) -> ServerSettings {
        ServerSettings {
            name: name.to_owned(),
            executor_threads: self.executor_threads,
            handler_threads: self.handler_threads,
            maximum_connections: self.maximum_connections,
            ..ServerSettings::default()
        }
    }
}

/// Creates an error response for a request that did not run, with `Retry-After`.
pub(crate) fn retry_after_response(
    status: StatusCode,
    code: &str,
    message: &str,
    pause: Duration,
) -> Response {
    let seconds = pause.as_nanos().div_ceil(NANOS_PER_SECOND).max(1);
    super::error_response(status, code, message, false)
        .with_header(RETRY_AFTER, &seconds.to_string())
}
