//! Settings of the gateway process.

use millpass_dispatch::DispatchSettings;
use millpass_proto::Duration;
use millpass_telemetry::ProcessClock;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Reads the addresses of members anew, from wherever the settings came from; none if that fails.
#[derive(Clone)]
pub struct MemberSource(pub Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>);

impl fmt::Debug for MemberSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MemberSource")
    }
}

/// Settings of the gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The decision core's.
    pub dispatch: DispatchSettings,
    /// Clock of all decisions.
    pub clock: ProcessClock,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked.
    pub ready_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Peer addresses of control members to begin with.
    pub members: Vec<SocketAddr>,
    /// Asked again when no known member answers: the settings may have changed since the start.
    pub member_source: Option<MemberSource>,
    /// Time between reports to the leader.
    pub report_interval: Duration,
    /// Silence of the leader after which another member is asked.
    pub leader_timeout: Duration,
    /// Longest wait for a connection to an instance.
    pub connect_timeout: Duration,
    /// Longest wait for a connection to a control member.
    pub link_timeout: Duration,
    /// Time for requests in flight to end after a stop was asked for.
    pub drain_grace: Duration,
    /// Time for which new connections are still taken after a stop was asked for.
    pub drain_accept: Duration,
}
