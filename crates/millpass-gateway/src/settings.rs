//! Settings of the gateway process.

use crate::answer::AnswerHeaders;
use async_io::Async;
use millpass_dispatch::DispatchSettings;
use millpass_proto::Duration;
use millpass_telemetry::ProcessClock;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;

/// Reloads the member addresses from the source of the settings; returns `None` if that fails.
#[derive(Clone)]
pub struct MemberSource(pub Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>);

impl fmt::Debug for MemberSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MemberSource")
    }
}

/// A connection being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Async<TcpStream>>> + Send>>;

/// Opens a connection to an instance.
#[derive(Clone)]
pub struct Connector(pub Arc<dyn Fn(SocketAddr) -> Connecting + Send + Sync>);

impl Default for Connector {
    /// Connects directly.
    fn default() -> Self {
        Connector(Arc::new(|address| {
            Box::pin(Async::<TcpStream>::connect(address))
        }))
    }
}

impl fmt::Debug for Connector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Connector")
    }
}

/// Settings of the gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings of the decision core.
    pub dispatch: DispatchSettings,
    /// Clock used for all decisions.
    pub clock: ProcessClock,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for readiness checks.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listen: SocketAddr,
    /// Listen address for requests of other gateways.
    pub peer_listen: SocketAddr,
    /// Maximum requests of other gateways in progress; 0 takes none.
    pub maximum_forwarded: usize,
    /// Initial peer addresses of control members.
    pub members: Vec<SocketAddr>,
    /// Reloads the member addresses when no known member responds; `None` to keep the initial ones.
    pub member_source: Option<MemberSource>,
    /// Time between reports to the leader.
    pub report_interval: Duration,
    /// Time without a message from the leader after which the gateway tries another member.
    pub leader_timeout: Duration,
    /// Connect timeout for instances.
    pub connect_timeout: Duration,
    /// Connect timeout for control members.
    pub link_timeout: Duration,
    /// Maximum time for requests in flight to finish after a stop was requested.
    pub drain_grace: Duration,
    /// Time for which new connections are still accepted after a stop was requested.
    pub drain_accept: Duration,
    /// Memory for request bodies that are being read, wait or are in progress, in bytes.
    pub body_memory: usize,
    /// What a successful response must carry to be an answer of its instance.
    pub answers: AnswerHeaders,
    /// Opens the connections to instances.
    pub connector: Connector,
}
