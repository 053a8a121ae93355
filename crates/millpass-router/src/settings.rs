//! Settings of the router process.

use millpass_proto::{GroupId, Incarnation};
use millpass_routing::RoutingSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the router process.
#[derive(Clone, Debug)]
pub struct RouterProcessSettings {
    /// Settings of the decision core. `incarnation` is replaced by a random one at each start, and
    /// an empty `address` by the listen address.
    pub routing: RoutingSettings,
    /// Listen address of the caller API; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address of `/metrics`, `/healthz` and `/v1/explain/`; not for callers.
    pub metrics_listen: SocketAddr,
    /// Addresses of the control members, tried in turn.
    pub control_members: Vec<SocketAddr>,
    /// Limits of the caller API.
    pub limits: CallerLimits,
    /// Timeouts and connection reuse for backends.
    pub backends: BackendTimeouts,
    /// Timing of the link to the leader.
    pub link: LinkSettings,
    /// Polling of backends on behalf of the control group.
    pub watch: WatchSettings,
    /// Interval between ticks of the decision core.
    pub tick_interval: Duration,
    /// Maximum wait for requests in flight during a graceful stop.
    pub drain_grace: Duration,
}

/// Limits of the caller API.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Maximum open connections; each uses a thread while it has a request.
    pub maximum_connections: usize,
    /// Maximum size of a request body.
    pub maximum_body_bytes: usize,
    /// Maximum size of a response that is not streamed.
    pub maximum_answer_bytes: u64,
    /// Maximum size of a response that is recorded for its idempotency key. A larger response is
    /// forwarded, but a repeat is refused because the request may have run.
    pub maximum_recorded_bytes: usize,
    /// Deadline of requests that state none.
    pub default_deadline: Duration,
    /// Maximum deadline; longer ones are reduced to it.
    pub maximum_deadline: Duration,
    /// Timeout for receiving a request header, and for idle connections.
    pub header_timeout: Duration,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
}

/// Timeouts and connection reuse for backends.
#[derive(Clone, Debug)]
pub struct BackendTimeouts {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Read timeout within a streamed response.
    pub stream_read_timeout: Duration,
    /// Time for which reads continue after the deadline. The decision core closes the connection at
    /// the deadline; a read that timed out earlier would count as a backend failure.
    pub deadline_slack: Duration,
    /// Timeout for a cancellation request.
    pub cancel_timeout: Duration,
    /// Maximum idle connections per backend.
    pub idle_connections: usize,
    /// Maximum age of an idle connection; must be shorter than the backend's own idle timeout.
    pub idle_time: Duration,
}

/// Timing of the link to the leader.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Timeout for connecting to a member and for its first response.
    pub connect_timeout: Duration,
    /// Contact timeout after which another member is tried. Must be longer than the report
    /// interval, because the leader responds to each report.
    pub contact_timeout: Duration,
    /// Initial delay between connection attempts.
    pub minimum_reconnect_delay: Duration,
    /// Maximum delay between connection attempts.
    pub maximum_reconnect_delay: Duration,
}

/// Polling of backends on behalf of the control group.
#[derive(Clone, Debug)]
pub struct WatchSettings {
    /// Interval between reads of one backend.
    pub interval: Duration,
    /// Interval while a backend loads or unloads, because requests may wait for it.
    pub busy_interval: Duration,
    /// Timeout of one read.
    pub timeout: Duration,
    /// Consecutive failed reads after which a backend is reported unreachable.
    pub unreachable_after_failures: u32,
    /// Number of polling threads.
    pub threads: usize,
}

impl Default for RouterProcessSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        RouterProcessSettings {
            routing: RoutingSettings {
                group: GroupId(1),
                router: "router".into(),
                incarnation: Incarnation(0),
                zone: "zone".into(),
                address: String::new(),
                report_interval: Duration::from_millis(500),
                minimum_report_interval: Duration::from_millis(20),
                maximum_waiting: 2_048,
                maximum_attempts: 3,
                retry_budget_percent: 10,
                circuit_failures: 3,
                circuit_open: Duration::from_secs(2),
                claim_timeout: Duration::from_secs(5),
            },
            listen: any_port,
            metrics_listen: any_port,
            control_members: Vec::new(),
            limits: CallerLimits::default(),
            backends: BackendTimeouts::default(),
            link: LinkSettings::default(),
            watch: WatchSettings::default(),
            tick_interval: Duration::from_millis(5),
            drain_grace: Duration::from_secs(30),
        }
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            maximum_connections: 4_096,
            maximum_body_bytes: 4 * 1024 * 1024,
            maximum_answer_bytes: 32 * 1024 * 1024,
            maximum_recorded_bytes: 256 * 1024,
            default_deadline: Duration::from_secs(60),
            maximum_deadline: Duration::from_secs(600),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
        }
    }
}

impl Default for BackendTimeouts {
    fn default() -> Self {
        BackendTimeouts {
            connect_timeout: Duration::from_secs(1),
            stream_read_timeout: Duration::from_secs(30),
            deadline_slack: Duration::from_secs(1),
            cancel_timeout: Duration::from_secs(1),
            idle_connections: 128,
            idle_time: Duration::from_secs(5),
        }
    }
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            connect_timeout: Duration::from_millis(500),
            contact_timeout: Duration::from_millis(1_200),
            minimum_reconnect_delay: Duration::from_millis(20),
            maximum_reconnect_delay: Duration::from_millis(250),
        }
    }
}

impl Default for WatchSettings {
    fn default() -> Self {
        WatchSettings {
            interval: Duration::from_millis(250),
            busy_interval: Duration::from_millis(50),
            timeout: Duration::from_millis(500),
            unreachable_after_failures: 4,
            threads: 4,
        }
    }
}
