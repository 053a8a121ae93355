//! Routers connected to this member, and their leases.
//!
//! A connection's [`RouterHello`] is kept as long as the connection, also while this member does
//! not lead: it says who is at the other end. A session is soft state of a leader: it begins with
//! a report under leadership and is dropped when its lease ends or when leadership changes.

use crate::interface::{ConnectionId, RouterStatus};
use millpass_proto::{
    BackendName, ConfigurationRevision, Duration, Incarnation, PlacementDelta, PlacementRevision,
    RouterHello, RouterName, RouterReport, Timestamp, ZoneName,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Most router connections; a Hello beyond is answered `NotLeader`, so the router goes elsewhere.
const MAXIMUM_CONNECTIONS: usize = 4_096;
/// Most routers with a session.
const MAXIMUM_SESSIONS: usize = 2_048;

/// Most whole copies of catalog and routes in one [`COPY_WINDOW`]. Thousands of routes are built
/// for each: without a bound, routers that join at once would keep the leader from its heartbeats.
const MAXIMUM_COPIES: u32 = 8;
/// See [`MAXIMUM_COPIES`].
const COPY_WINDOW: Duration = Duration::from_millis(100);

/// Bounds how many whole copies are given.
#[derive(Default)]
pub(crate) struct CopyBudget {
    window_end: Timestamp,
    given: u32,
}

impl CopyBudget {
    /// Whether one more copy may be given now; if so, it counts.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        if now >= self.window_end {
            self.window_end = now + COPY_WINDOW;
            self.given = 0;
        }
        let allowed = self.given < MAXIMUM_COPIES;
        self.given += u32::from(allowed);
        allowed
    }
}

/// The last whole copy of the routes, given again while their revision is the same.
#[derive(Default)]
pub(crate) struct RouteCopy {
    copy: Option<PlacementDelta>,
}

impl RouteCopy {
    /// All routes of the state.
    pub(crate) fn of(&mut self, state: &State) -> PlacementDelta {
        let current = state.placement_revision();
        match &self.copy {
            Some(copy) if copy.to == current => copy.clone(),
            _ => self.copy.insert(state.full_placement()).clone(),
        }
    }

    /// Drops the copy: the state was replaced or leadership changed.
    pub(crate) fn clear(&mut self) {
        self.copy = None;
    }
}

/// One router that reports to this leader.
pub(crate) struct Session {
    /// Connection of its latest report.
    pub(crate) connection: ConnectionId,
    /// Run of the router.
    pub(crate) incarnation: Incarnation,
    /// Its zone.
    pub(crate) zone: ZoneName,
    /// Sequence of its latest report.
    pub(crate) sequence: u64,
    /// When its latest report arrived.
    pub(crate) reported_at: Timestamp,
    /// Catalog revision that it applied.
    pub(crate) configuration: ConfigurationRevision,
    /// Route revision that it applied.
    pub(crate) placement: PlacementRevision,
    /// Whether it is stopping.
    pub(crate) draining: bool,
    /// Whether requests waited at it.
    pub(crate) has_waiting: bool,
    /// Whether it was told of news since its latest report.
    pub(crate) told: bool,
    /// Share to watch last sent on this connection; none before the first.
    pub(crate) watch_sent: Option<Vec<(BackendName, String)>>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// First report of this router, or of this run, under this leader.
    New,
    /// A further report.
    Known,
    /// Doubled, reordered, or from a run or connection that a newer one has replaced.
    Stale,
    /// The table is full.
    Full,
}

/// Connections and sessions, bounded.
#[derive(Default)]
pub(crate) struct Sessions {
    connections: BTreeMap<ConnectionId, RouterHello>,
    sessions: BTreeMap<RouterName, Session>,
}

impl Sessions {
    /// Notes who is at the other end of a connection. False when the table is full.
    pub(crate) fn hello(&mut self, connection: ConnectionId, hello: RouterHello) -> bool {
        let known = self.connections.contains_key(&connection);
        if !known && self.connections.len() >= MAXIMUM_CONNECTIONS {
            return false;
        }
        self.connections.insert(connection, hello);
        true
    }

    /// Forgets a connection. The session stays until its lease ends: the router may reconnect.
    pub(crate) fn disconnected(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Who is at the other end of a connection.
    pub(crate) fn identity(&self, connection: ConnectionId) -> Option<&RouterHello> {
        self.connections.get(&connection)
    }

    /// All connections.
    pub(crate) fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Takes a report in; the caller answers it unless it is stale.
    pub(crate) fn report(
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
            // What was sent on the old connection may not have arrived.
            session.connection = connection;
            session.watch_sent = None;
        }
        session.sequence = report.sequence;
        session.reported_at = now;
        session.configuration = report.configuration;
        session.placement = report.placement;
        session.draining = report.draining;
        session.has_waiting = report.demand.iter().any(|demand| demand.waiting > 0);
        session.told = false;
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
            // Connections are numbered in order: an older one carries only leftovers.
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
            told: false,
            watch_sent: None,
        };
        self.sessions.insert(hello.router.clone(), session);
    }

    /// The session of a router.
    pub(crate) fn get_mut(&mut self, router: &RouterName) -> Option<&mut Session> {
        self.sessions.get_mut(router)
    }

    /// The run of a router that has a session.
    pub(crate) fn incarnation(&self, router: &RouterName) -> Option<Incarnation> {
        self.sessions.get(router).map(|session| session.incarnation)
    }

    /// Routers that can watch back ends, with their zones: all but those that are stopping.
    pub(crate) fn watchers(&self) -> Vec<(RouterName, ZoneName)> {
        self.sessions
            .iter()
            .filter(|(_, session)| !session.draining)
            .map(|(router, session)| (router.clone(), session.zone.clone()))
            .collect()
    }

    /// Drops the sessions whose lease has ended and names their routers.
    pub(crate) fn expire(
        &mut self,
        now: Timestamp,
        lease: Duration,
    ) -> Vec<(RouterName, Incarnation)> {
        let ended: Vec<(RouterName, Incarnation)> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.since(session.reported_at) > lease)
            .map(|(router, session)| (router.clone(), session.incarnation))
            .collect();
        for (router, _) in &ended {
            self.sessions.remove(router);
        }
        ended
    }

    /// Drops all sessions; connections stay.
    pub(crate) fn clear(&mut self) {
        self.sessions.clear();
    }

    /// Connections of the routers to tell of these revisions, each once until its next report:
    /// routes matter at once only where requests wait.
    pub(crate) fn behind(
        &mut self,
        configuration: ConfigurationRevision,
        placement: PlacementRevision,
    ) -> Vec<ConnectionId> {
        let mut connections = Vec::new();
        for session in self.sessions.values_mut() {
            let lacks_routes = session.has_waiting && session.placement < placement;
            let lacks_something = session.configuration < configuration || lacks_routes;
            if lacks_something && !session.told {
                session.told = true;
                connections.push(session.connection);
            }
        }
        connections
    }

    /// All routers with a session, for the status.
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
