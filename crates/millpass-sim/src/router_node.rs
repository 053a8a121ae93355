//! A simulated router: its core, clock, link and requests.

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
    /// Closed; the next connection attempt is scheduled.
    Down,
    /// Being opened.
    Opening(ConnectionId),
    /// Open.
    Up {
        /// Connection.
        connection: ConnectionId,
        /// Index of the connected member.
        member_index: usize,
        /// Time of the last received message.
        last_message_at: u64,
    },
}

/// A request in progress at a router.
pub struct ActiveRequest {
    /// Request as sent by the caller.
    pub caller: CallerRequest,
    /// Current attempt; `None` before the first and between attempts.
    pub attempt: Option<RunningAttempt>,
    /// Number of tokens forwarded to the caller or buffered.
    pub delivered: u64,
    /// Buffered tokens of an answer that is not streamed.
    pub buffered: Vec<u64>,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct RunningAttempt {
    /// Attempt.
    pub key: AttemptKey,
    /// Back end.
    pub backend: BackEnd,
    /// Whether the first part of its answer was received.
    pub answered: bool,
    /// Number of received parts of the answer.
    pub progress: u64,
    /// Whether its answer is recorded with the claim.
    pub record: bool,
}

/// A router machine and its process.
pub struct RouterNode {
    /// Name.
    pub name: RouterName,
    /// Zone.
    pub zone: Zone,
    /// Clock.
    pub clock: NodeClock,
    /// Core; `None` while no process runs.
    pub core: Option<Routing>,
    /// Number of the process's run.
    pub run: u64,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the process is suspended.
    pub frozen: bool,
    /// Events that arrived while it was frozen.
    pub backlog: Vec<RouterEvent>,
    /// Whether a planned stop began.
    pub draining: bool,
    /// Whether it freezes before it sends the next attempt.
    pub freeze_at_dispatch: bool,
    /// Link to the control group.
    pub link: Link,
    /// Index of the member to connect to next.
    pub next_member: usize,
    /// Requests in progress, by number.
    pub requests: BTreeMap<u64, ActiveRequest>,
    /// Number of the next request.
    pub next_request: u64,
    /// Watched back ends.
    pub watched: Vec<WatchedBackend>,
    /// Revision last reported as applied.
    pub applied: Option<u64>,
    /// Keys of claims by attempt, for the history.
    pub claims: BTreeMap<u64, millpass_checkers::ScopedKey>,
}

impl RouterNode {
    /// Creates a machine without a process.
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

    /// Starts a process with empty state.
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

    /// Whether it accepts new requests.
    pub fn listens(&self) -> bool {
        self.core.is_some() && !self.draining
    }

    /// Returns the number of a caller's request in progress.
    pub fn request_number(&self, request: millpass_checkers::RequestId) -> Option<u64> {
        let mut active = self.requests.iter();
        active
            .find(|(_, active)| active.caller.id == request)
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
