//! Routers connected to this member, and their leases. A connection's [`RouterHello`] identifies
//! the router and is kept for the lifetime of the connection, also on followers. A session is soft
//! state of the leader: it begins with a report and ends when its lease expires or leadership
//! changes.

use crate::interface::{ConnectionId, RouterStatus};
use millpass_proto::{
    BackendName, ConfigurationRevision, Duration, Incarnation, PlacementDelta, PlacementRevision,
    RouterHello, RouterName, RouterReport, Timestamp, ZoneName,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Maximum number of router connections; further ones are answered `NotLeader` and try another
/// member.
const MAXIMUM_CONNECTIONS: usize = 4_096;
const MAXIMUM_SESSIONS: usize = 2_048;

/// Maximum number of full copies of catalog and routes per [`COPY_WINDOW`]. Each contains thousands
/// of routes; without a limit, routers that start at once would delay the leader's heartbeats.
const MAXIMUM_COPIES: u32 = 8;
/// Window of [`MAXIMUM_COPIES`].
const COPY_WINDOW: Duration = Duration::from_millis(100);

/// Limits the rate of full copies.
#[derive(Default)]
pub(crate) struct FullCopyLimiter {
    window_end: Timestamp,
    sent: u32,
}

impl FullCopyLimiter {
    /// Returns true, and counts the copy, if one more full copy may be sent now.
    pub(crate) fn try_acquire(&mut self, now: Timestamp) -> bool {
        if now >= self.window_end {
            self.window_end = now + COPY_WINDOW;
            self.sent = 0;
        }
        let allowed = self.sent < MAXIMUM_COPIES;
        self.sent += u32::from(allowed);
        allowed
    }
}

/// The last full copy of the routes, reused while their revision is unchanged.
#[derive(Default)]
pub(crate) struct FullRouteCache {
    cached: Option<PlacementDelta>,
}

impl FullRouteCache {
    pub(crate) fn get(&mut self, state: &State) -> PlacementDelta {
        let current = state.placement_revision();
        match &self.cached {
            Some(cached) if cached.to == current => cached.clone(),
            _ => self.cached.insert(state.full_placement()).clone(),
        }
    }

    /// Clears the cache after the state was replaced or leadership changed.
    pub(crate) fn clear(&mut self) {
        self.cached = None;
    }
}

/// A router that reports to this leader.
pub(crate) struct Session {
    /// Connection of the latest report.
    pub(crate) connection: ConnectionId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneName,
    /// Sequence number of the latest report.
    pub(crate) sequence: u64,
    /// Arrival of the latest report.
    pub(crate) reported_at: Timestamp,
    /// Catalog revision that the router has applied.
    pub(crate) configuration: ConfigurationRevision,
    /// Route revision that the router has applied.
    pub(crate) placement: PlacementRevision,
    pub(crate) draining: bool,
    /// Whether requests were waiting at the time of the latest report.
    pub(crate) has_waiting: bool,
    /// Whether the router was notified of newer revisions since its latest report.
    pub(crate) notified: bool,
    /// Back ends to watch as last sent on this connection; `None` before the first time.
    pub(crate) watch_sent: Option<Vec<(BackendName, String)>>,
}

/// How a report was classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// First report of this router or incarnation under this leader.
    New,
    Known,
    /// Duplicate, reordered, or from an incarnation or connection that has been replaced.
    Stale,
    /// The session table is full.
    Full,
}

/// Connections and sessions of routers, bounded.
#[derive(Default)]
pub(crate) struct Sessions {
    connections: BTreeMap<ConnectionId, RouterHello>,
    sessions: BTreeMap<RouterName, Session>,
}

impl Sessions {
    /// Records the router of a connection. Returns false if the table is full.
    pub(crate) fn record_hello(&mut self, connection: ConnectionId, hello: RouterHello) -> bool {
        let known = self.connections.contains_key(&connection);
        if !known && self.connections.len() >= MAXIMUM_CONNECTIONS {
            return false;
        }
        self.connections.insert(connection, hello);
        true
    }

    /// Removes a connection. The session is kept until its lease expires, since the router may
    /// reconnect.
    pub(crate) fn disconnected(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Returns the hello received on a connection.
    pub(crate) fn identity(&self, connection: ConnectionId) -> Option<&RouterHello> {
        self.connections.get(&connection)
    }

    pub(crate) fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Records a report and classifies it; stale ones must not be answered.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        hello: &RouterHello,
        report: &RouterReport,
    ) -> Admission {
        let admission = self.admit(connection, hello, report);
        match admission {
            Admission::Stale | Admission::Full => return admission,
            Admission::New => self.open(now, connection, hello),
            Admission::Known => {}
        }
        let Some(session) = self.sessions.get_mut(&hello.router) else {
            return Admission::Full;
        };
        if session.connection != connection {
            // Messages sent on the old connection may be lost.
            session.connection = connection;
            session.watch_sent = None;
        }
        session.sequence = report.sequence;
        session.reported_at = now;
        session.configuration = report.configuration;
        session.placement = report.placement;
        session.draining = report.draining;
        session.has_waiting = report.demand.iter().any(|demand| demand.waiting > 0);
        session.notified = false;
        admission
    }

    fn admit(
        &self,
        connection: ConnectionId,
        hello: &RouterHello,
        report: &RouterReport,
    ) -> Admission {
        match self.sessions.get(&hello.router) {
            None if self.sessions.len() >= MAXIMUM_SESSIONS => Admission::Full,
            None => Admission::New,
            // Connection numbers increase: an older one only carries delayed messages.
            Some(session) if connection < session.connection => Admission::Stale,
            Some(session) if session.incarnation != hello.incarnation => Admission::New,
            Some(session) if report.sequence <= session.sequence => Admission::Stale,
            Some(_) => Admission::Known,
        }
    }

    fn open(&mut self, now: Timestamp, connection: ConnectionId, hello: &RouterHello) {
        let session = Session {
            connection,
            incarnation: hello.incarnation,
            zone: hello.zone.clone(),
            sequence: 0,
            reported_at: now,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            draining: false,
            has_waiting: false,
            notified: false,
            watch_sent: None,
        };
        self.sessions.insert(hello.router.clone(), session);
    }

    pub(crate) fn get_mut(&mut self, router: &RouterName) -> Option<&mut Session> {
        self.sessions.get_mut(router)
    }

    /// Returns the incarnation of a router with a session.
    pub(crate) fn incarnation(&self, router: &RouterName) -> Option<Incarnation> {
        self.sessions.get(router).map(|session| session.incarnation)
    }

    /// Returns the routers that can watch back ends, which excludes draining ones, with their
    /// zones.
    pub(crate) fn watchers(&self) -> Vec<(RouterName, ZoneName)> {
        self.sessions
            .iter()
            .filter(|(_, session)| !session.draining)
            .map(|(router, session)| (router.clone(), session.zone.clone()))
            .collect()
    }

    /// Removes the sessions with an expired lease and returns their routers.
    pub(crate) fn expire(
        &mut self,
        now: Timestamp,
        lease: Duration,
    ) -> Vec<(RouterName, Incarnation)> {
        let expired: Vec<(RouterName, Incarnation)> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.since(session.reported_at) > lease)
            .map(|(router, session)| (router.clone(), session.incarnation))
            .collect();
        for (router, _) in &expired {
            self.sessions.remove(router);
        }
        expired
    }

    /// Removes all sessions; connections are kept.
    pub(crate) fn clear(&mut self) {
        self.sessions.clear();
    }

    /// Returns the connections of routers to notify of these revisions, each once until its next
    /// report. Routes are urgent only for routers with waiting requests.
    pub(crate) fn take_unnotified(
        &mut self,
        configuration: ConfigurationRevision,
        placement: PlacementRevision,
    ) -> Vec<ConnectionId> {
        let mut connections = Vec::new();
        for session in self.sessions.values_mut() {
            let needs_routes = session.has_waiting && session.placement < placement;
            let is_stale = session.configuration < configuration || needs_routes;
            if is_stale && !session.notified {
                session.notified = true;
                connections.push(session.connection);
            }
        }
        connections
    }

    pub(crate) fn status(&self, now: Timestamp) -> Vec<RouterStatus> {
        self.sessions
            .iter()
            .map(|(router, session)| RouterStatus {
                router: router.clone(),
                zone: session.zone.clone(),
                configuration: session.configuration,
                millis_since_report: now.since(session.reported_at).as_millis() as u64,
                draining: session.draining,
            })
            .collect()
    }
}
