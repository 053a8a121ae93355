//! Connected gateways and what each was sent.

use millpass_proto::{Duration, GatewayReport, Timestamp};
use std::collections::{BTreeMap, HashSet};

/// Which revision of something was sent on a connection, if any, and when.
#[derive(Default)]
pub(crate) struct SentRevision {
    revision: Option<u64>,
    at: Timestamp,
}

impl SentRevision {
    /// One that counts as sent.
    fn of(revision: u64) -> Self {
        SentRevision {
            revision: Some(revision),
            at: Timestamp::ZERO,
        }
    }

    /// Whether this revision is to be sent now, at most once in an interval; then it counts as sent.
    pub(crate) fn send(&mut self, now: Timestamp, interval: Duration, revision: u64) -> bool {
        if self.revision == Some(revision) || now.since(self.at) < interval {
            return false;
        }
        self.revision = Some(revision);
        self.at = now;
        true
    }
}

/// One gateway on its connection.
pub(crate) struct GatewaySession {
    pub(crate) name: String,
    /// Registry revision sent.
    pub(crate) sent_revision: u64,
    /// Whether anything was sent on this connection.
    pub(crate) greeted: bool,
    /// Whether it was told that all instances have been named to it.
    pub(crate) sent_complete: bool,
    /// Log index up to which it reports to have been told what binds it; 0 for none.
    pub(crate) as_of: u64,
    /// Document version in force at the gateway, as it last reported.
    pub(crate) reported_version: u64,
    /// Newest document version that was sent on this connection; it may not have arrived.
    pub(crate) sent_version: u64,
    /// The oldest version sent that it has not reported since, and when that was.
    pub(crate) unreported: Option<(u64, Timestamp)>,
    /// Digests of the instance records that it held when it connected; until the first update.
    pub(crate) held_instances: HashSet<u64>,
    /// Number of its newest report.
    pub(crate) answers: u64,
    /// Revision of the outlook sent.
    pub(crate) sent_outlook: u64,
    /// Revision of the outlook's times sent.
    pub(crate) sent_times: u64,
    /// Revision of the loads sent.
    pub(crate) sent_loads: u64,
    /// Whether a report waits for its answer.
    pub(crate) owed: bool,
    /// Requests held back, as they were sent.
    pub(crate) crashes: SentRevision,
    /// Instances' limits, as they were sent.
    pub(crate) limits: SentRevision,
    /// Since when updates wait at its connection: its socket does not take them.
    pub(crate) behind_since: Option<Timestamp>,
    /// When it was last sent anything.
    pub(crate) sent_at: Timestamp,
    pub(crate) heard_at: Timestamp,
    pub(crate) connected_at: Timestamp,
    /// Until when requests are expected to wait there for a model or an adapter.
    awaits_until: Timestamp,
}

impl GatewaySession {
    fn heard(&mut self, now: Timestamp, report: &GatewayReport) {
        self.heard_at = now;
        self.owed = true;
        if report.demand.iter().any(|need| need.unserved > 0) {
            self.awaits_until = now + AWAITING_TIME;
        }
        self.answers = report.sequence;
        self.as_of = report.as_of;
        self.reported_version = report.version;
        let Some((oldest, _)) = self.unreported else {
            return;
        };
        if report.version >= self.sent_version {
            self.unreported = None;
        } else if report.version >= oldest {
            self.unreported = Some((self.sent_version, now));
        }
    }

    /// Version that the gateway has once all that was sent on this connection has arrived.
    pub(crate) fn arriving_version(&self) -> u64 {
        self.reported_version.max(self.sent_version)
    }

    /// Whether reports have gone on long enough without a version that was sent: it was lost on the way, or could not
    /// be applied. While nothing is heard, more would only wait behind what waits already.
    pub(crate) fn is_version_overdue(&self) -> bool {
        let overdue = |(_, sent_at)| self.heard_at.since(sent_at) >= RESEND_AFTER;
        self.unreported.is_some_and(overdue)
    }

    /// Whether updates wait at its connection. One that has caught up was sent them just now.
    fn backlog(&mut self, now: Timestamp, waits: bool) -> Option<Duration> {
        if waits {
            self.behind_since.get_or_insert(now);
            return None;
        }
        if let Some((_, sent_at)) = &mut self.unreported {
            *sent_at = now;
        }
        self.behind_since.take().map(|since| now.since(since))
    }

    /// Whether its next update is due, where others are sent one each `interval`.
    pub(crate) fn is_due(&self, now: Timestamp, interval: Duration) -> bool {
        now < self.awaits_until || now.since(self.sent_at) >= interval
    }

    /// A document was put into an update.
    pub(crate) fn version_sent(&mut self, now: Timestamp, version: u64) {
        if self.unreported.is_none() || self.is_version_overdue() {
            self.unreported = Some((version, now));
        }
        self.sent_version = version;
    }
}

/// Time after which a version that was sent and is not reported is sent again, whole: several intervals of
/// reports, and well within the time in which a change has to be in force.
const RESEND_AFTER: Duration = Duration::from_millis(1_000);
/// Most updates a second, over all gateways. With many gateways and engines, each change sent to each
/// gateway at once takes the leader's whole processor; several changes then travel in one update.
const UPDATES_PER_SECOND: u32 = 1_000;
/// Longest time between two updates of a gateway that little processor makes: they confirm what gateways know, within a
/// bound of some seconds.
const LONGEST_SPACING: Duration = Duration::from_millis(500);
/// Time for which a gateway that reported a need is told of changes at once, however many gateways there are: an adapter
/// comes within some ten milliseconds, and its requests wait there. Gateways report the need again while they do.
const AWAITING_TIME: Duration = Duration::from_millis(1_000);
/// Gateways up to which every change is sent at once.
const FEW_GATEWAYS: usize = 16;
/// Looks at who is to be sent an update, in the time between two updates of a gateway: each goes through all of them.
const LOOKS_PER_INTERVAL: u32 = 64;
/// Shortest time between two such looks.
const SHORTEST_LOOK: Duration = Duration::from_millis(5);

/// Sessions by connection.
#[derive(Default)]
pub(crate) struct Gateways {
    pub(crate) sessions: BTreeMap<u64, GatewaySession>,
    next_look: Timestamp,
    /// Until when one of them awaits something.
    awaits_until: Timestamp,
}

impl Gateways {
    /// Whether a gateway has connected anew since this connection: what still comes on the older one is older than what
    /// the newer one says.
    pub(crate) fn is_outlived(&self, connection: u64, name: &str) -> bool {
        let mut newer = self.sessions.range(connection + 1..);
        newer.any(|(_, session)| session.name == name)
    }

    /// Takes a report on a connection. True when the gateway is new there.
    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        connection: u64,
        report: &GatewayReport,
    ) -> bool {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.heard(now, report);
            self.awaits_until = self.awaits_until.max(session.awaits_until);
            return false;
        }
        // A gateway that reconnects has one session: the newest.
        self.sessions
            .retain(|_, session| session.name != report.gateway);
        let session = GatewaySession {
            name: report.gateway.clone(),
            sent_revision: 0,
            greeted: false,
            sent_complete: false,
            as_of: report.as_of,
            reported_version: report.version,
            sent_version: 0,
            unreported: None,
            held_instances: report.known_instance_digests.iter().copied().collect(),
            answers: report.sequence,
            sent_outlook: 0,
            sent_times: 0,
            sent_loads: 0,
            owed: true,
            crashes: SentRevision::default(),
            // Before the first limit there is nothing to tell.
            limits: SentRevision::of(0),
            behind_since: None,
            sent_at: Timestamp::ZERO,
            heard_at: now,
            connected_at: now,
            awaits_until: Timestamp::ZERO,
        };
        self.sessions.insert(connection, session);
        true
    }

    /// Log index up to which a gateway was told, as it last reported on this connection.
    pub(crate) fn as_of(&self, connection: u64) -> Option<u64> {
        let session = self.sessions.get(&connection)?;
        Some(session.as_of)
    }

    /// Updates begin to wait at a connection, or none waits any more; gives who was behind, and for how long.
    pub(crate) fn backlog(
        &mut self,
        now: Timestamp,
        connection: u64,
        waits: bool,
    ) -> Option<(String, Duration)> {
        let session = self.sessions.get_mut(&connection)?;
        let behind = session.backlog(now, waits)?;
        Some((session.name.clone(), behind))
    }

    pub(crate) fn disconnected(&mut self, connection: u64) -> Option<GatewaySession> {
        self.sessions.remove(&connection)
    }

    /// Document version that a gateway last reported, on this connection or on one that has not ended yet.
    pub(crate) fn reported_version(&self, connection: u64, name: &str) -> Option<u64> {
        let session = self.sessions.get(&connection);
        let mut others = self.sessions.values();
        let session = session.or_else(|| others.find(|session| session.name == name))?;
        Some(session.reported_version)
    }

    /// Shortest time between two updates of one gateway, where processor for a part of them only is left (`pace`).
    pub(crate) fn update_interval(&self, pace: u32) -> Duration {
        if self.sessions.len() <= FEW_GATEWAYS {
            return Duration::ZERO;
        }
        let interval = Duration::from_secs(1) * self.count() / UPDATES_PER_SECOND;
        interval.max(LONGEST_SPACING.min(interval * pace))
    }

    /// Whether it is time to look who is to be sent an update; then the next time is set.
    pub(crate) fn is_look_due(&mut self, now: Timestamp, pace: u32) -> bool {
        if self.sessions.len() <= FEW_GATEWAYS {
            return true;
        }
        if now < self.next_look {
            return false;
        }
        let pause = match now < self.awaits_until {
            true => SHORTEST_LOOK,
            false => self.update_interval(pace) / LOOKS_PER_INTERVAL,
        };
        self.next_look = now + SHORTEST_LOOK.max(pause);
        true
    }

    /// Gateways connected.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }
}
