//! A simulated router: the decision core with its clock, link and requests.

use crate::clock::NodeClock;
use crate::event::{AttemptKey, BackEnd, CallerRequest, RouterEvent};
use crate::network::Zone;
use millpass_control_plane::ConnectionId;
use millpass_proto::{Duration, Incarnation, RouterName, WatchedBackend};
use millpass_routing::{Routing, RoutingSettings};
use std::collections::BTreeMap;

/// State of the link to the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// None; the next attempt is scheduled.
    Down,
    /// Being opened.
    Opening(ConnectionId),
    /// Open.
    Up {
        /// Connection.
        connection: ConnectionId,
        /// Place of the member at the other end.
        place: usize,
        /// When the last message came.
        heard_at: u64,
    },
}

/// A request that a router serves.
pub struct Served {
    /// As the caller sent it.
    pub caller: CallerRequest,
    /// Present attempt, once there is one.
    pub attempt: Option<RunningAttempt>,
    /// Tokens passed on to the caller, or kept for it.
    pub passed: u64,
    /// Tokens of an answer that is not streamed.
    pub kept: Vec<u64>,
}

/// An attempt that goes on.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    /// Attempt.
    pub key: AttemptKey,
    /// Back end.
    pub backend: BackEnd,
    /// Whether the first byte of its answer came.
    pub answered: bool,
    /// Parts of the answer that came.
    pub progress: u64,
    /// Whether its answer is to be recorded.
    pub record: bool,
}

/// One router machine with the process on it.
pub struct RouterNode {
    /// Name.
    pub name: RouterName,
    /// Zone.
    pub zone: Zone,
    /// Clock.
    pub clock: NodeClock,
    /// Core; none while no process runs.
    pub core: Option<Routing>,
    /// Number of the process's run.
    pub run: u64,
    /// Number drawn by the run.
    pub incarnation: Incarnation,
    /// Whether it stopped running without ending.
    pub frozen: bool,
    /// Events that came while it was frozen.
    pub backlog: Vec<RouterEvent>,
    /// Whether it was told to stop.
    pub draining: bool,
    /// Whether it is to freeze when it next decides to send an attempt.
    pub freeze_at_dispatch: bool,
    /// Link to the control group.
    pub link: Link,
    /// Member to try next, when no leader is known.
    pub next_member: usize,
    /// Requests it serves.
    pub requests: BTreeMap<u64, Served>,
    /// Number of the next request.
    pub next_request: u64,
    /// Back ends it watches.
    pub watched: Vec<WatchedBackend>,
    /// Revision last stated as applied.
    pub applied: Option<u64>,
    /// Keys of claims by attempt, for the history.
    pub claims: BTreeMap<u64, millpass_checkers::ScopedKey>,
}

impl RouterNode {
    /// A machine without a process.
    pub fn new(name: RouterName, zone: Zone, clock: NodeClock) -> Self {
        RouterNode {
            name,
            zone,
            clock,
            core: None,
            run: 0,
            incarnation: Incarnation(0),
            frozen: false,
            backlog: Vec::new(),
            draining: false,
            freeze_at_dispatch: false,
            link: Link::Down,
            next_member: 0,
            requests: BTreeMap::new(),
            next_request: 1,
            watched: Vec::new(),
            applied: None,
            claims: BTreeMap::new(),
        }
    }

    /// Starts a process with nothing known.
    pub fn start(&mut self, at_micros: u64, incarnation: Incarnation) {
        self.run += 1;
        self.incarnation = incarnation;
        self.core = Some(Routing::new(self.settings(), self.clock.local(at_micros)));
        self.frozen = false;
        self.draining = false;
        self.freeze_at_dispatch = false;
        self.backlog.clear();
        self.link = Link::Down;
        self.requests.clear();
        self.next_request = 1;
        self.watched.clear();
        self.applied = None;
        self.claims.clear();
    }

    /// Whether it takes new requests.
    pub fn listens(&self) -> bool {
        self.core.is_some() && !self.draining
    }

    /// The request and the number under which a caller's request is served.
    pub fn served_as(&self, request: millpass_checkers::RequestId) -> Option<u64> {
        let mut served = self.requests.iter();
        served
            .find(|(_, served)| served.caller.id == request)
            .map(|(number, _)| *number)
    }

    fn settings(&self) -> RoutingSettings {
        RoutingSettings {
            group: crate::control_node::GROUP,
            router: self.name.clone(),
            incarnation: self.incarnation,
            zone: crate::control_node::zone_name(self.zone),
            address: format!("10.1.{}.1:8000", self.zone),
            report_interval: Duration::from_millis(250),
            minimum_report_interval: Duration::from_millis(50),
            maximum_waiting: 200,
            maximum_attempts: 3,
            retry_budget_percent: 20,
            circuit_failures: 5,
            circuit_open: Duration::from_millis(1_000),
            claim_timeout: Duration::from_millis(1_500),
        }
    }
}
