//! Settings of the router process, with defaults.

use millpass_proto::{GroupId, Incarnation};
use millpass_routing::RoutingSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the router process.
#[derive(Clone, Debug)]
pub struct RouterProcessSettings {
    /// Settings of the decision core: name, zone, group and bounds. `incarnation` is replaced by
    /// a fresh random one at each start; an empty `address` by the address listened on.
    pub routing: RoutingSettings,
    /// Address of the caller API; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Address of `/metrics`, `/healthz` and `/v1/explain/`; not for callers.
    pub metrics_listen: SocketAddr,
    /// Addresses of the control members, tried in turn.
    pub control_members: Vec<SocketAddr>,
    /// Bounds of the caller API.
    pub limits: CallerLimits,
    /// Timeouts towards back ends.
    pub backends: BackendTimeouts,
    /// Timing of the link to the leader.
    pub link: LinkSettings,
    /// How back ends are watched for the control group.
    pub watch: WatchSettings,
    /// Time between two ticks of the decision core.
    pub tick_interval: Duration,
    /// Longest a planned stop waits for requests in flight.
    pub drain_grace: Duration,
}

/// Bounds of the caller API.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Most open connections, each with a thread of its own while it has a request.
    pub maximum_connections: usize,
    /// Most bytes of a request body.
    pub maximum_body_bytes: usize,
    /// Most bytes of an answer that is not streamed.
    pub maximum_answer_bytes: u64,
    /// Most bytes of an answer that is recorded for its idempotency key. A larger answer reaches
    /// its caller, but a repeat is told that it may have run.
    pub maximum_recorded_bytes: usize,
    /// Deadline of requests that state none.
    pub default_deadline: Duration,
    /// Longest deadline; a longer one asked for is shortened to it.
    pub maximum_deadline: Duration,
    /// Time for a caller to send its header, and for an idle connection.
    pub header_timeout: Duration,
    /// Time for a caller to send its body.
    pub body_timeout: Duration,
}

/// Timeouts towards back ends.
#[derive(Clone, Debug)]
pub struct BackendTimeouts {
    /// Time to connect.
    pub connect_timeout: Duration,
    /// Longest silence within a streamed answer.
    pub stream_read_timeout: Duration,
    /// How long reads go on after the deadline. The decision core ends the attempt at the deadline,
    /// which closes its connection and so ends the read; one that times out first would look like a
    /// fault of the back end.
    pub deadline_slack: Duration,
    /// Time for a cancellation.
    pub cancel_timeout: Duration,
    /// Idle connections kept for each back end.
    pub idle_connections: usize,
    /// How long an idle connection is kept; less than a back end keeps its end open.
    pub idle_time: Duration,
}

/// Timing of the link to the leader.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Time to connect to a member, and then for its first answer.
    pub connect_timeout: Duration,
    /// Longest silence of a member before the next one is tried. Reports are answered, so it
    /// must be longer than the report interval.
    pub contact_timeout: Duration,
    /// Shortest pause between two attempts to connect.
    pub minimum_reconnect_delay: Duration,
    /// Longest pause between two attempts to connect.
    pub maximum_reconnect_delay: Duration,
}

/// How back ends are watched.
#[derive(Clone, Debug)]
pub struct WatchSettings {
    /// Time between two reads of one back end.
    pub interval: Duration,
    /// The same while it loads or unloads: requests may wait for the end of it.
    pub busy_interval: Duration,
    /// Time for one read.
    pub timeout: Duration,
    /// Consecutive failed reads after which a back end is reported unreachable.
    pub unreachable_after_failures: u32,
    /// Threads that read.
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
