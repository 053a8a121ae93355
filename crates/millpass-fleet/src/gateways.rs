//! Sessions of connected gateways and what each was sent.

use millpass_proto::{Duration, GatewayReport, Timestamp};
use std::collections::{BTreeMap, HashSet};

/// Revision last sent on a connection, if any, and when.
#[derive(Default)]
pub(crate) struct SentRevision {
    revision: Option<u64>,
    at: Timestamp,
}

impl SentRevision {
    fn of(revision: u64) -> Self {
        SentRevision {
            revision: Some(revision),
            at: Timestamp::ZERO,
        }
    }

    /// Returns whether this revision is to be sent now, at most once per interval, and marks it as
    /// sent.
    pub(crate) fn send(&mut self, now: Timestamp, interval: Duration, revision: u64) -> bool {
        if self.revision == Some(revision) || now.since(self.at) < interval {
            return false;
        }
        self.revision = Some(revision);
        self.at = now;
        true
    }
}

/// State of a gateway connection.
pub(crate) struct GatewaySession {
    pub(crate) name: String,
    pub(crate) sent_revision: u64,
    /// Whether the first update was sent on this connection.
    pub(crate) greeted: bool,
    /// Whether an update sent on this connection was marked complete.
    pub(crate) sent_complete: bool,
    /// Log index up to which the gateway reports to have received required entries; 0 for none.
    pub(crate) as_of: u64,
    pub(crate) reported_version: u64,
    /// Newest document version sent on this connection; it may not have arrived.
    pub(crate) sent_version: u64,
    /// Oldest sent version that the gateway has not reported yet, and when it was sent.
    pub(crate) unreported: Option<(u64, Timestamp)>,
    /// Digests of the records that the gateway held when it connected; cleared by the first update.
    pub(crate) held_instances: HashSet<u64>,
    /// Sequence number of its newest report.
    pub(crate) answers: u64,
    pub(crate) sent_outlook: u64,
    /// Revision of the ready times sent.
    pub(crate) sent_times: u64,
    pub(crate) sent_loads: u64,
    /// Whether a report awaits its response.
    pub(crate) owed: bool,
    /// Revision of the quarantined requests sent.
    pub(crate) crashes: SentRevision,
    /// Revision of the instance limits sent.
    pub(crate) limits: SentRevision,
    /// Start of the backlog, while the socket does not accept updates.
    pub(crate) behind_since: Option<Timestamp>,
    pub(crate) sent_at: Timestamp,
    pub(crate) heard_at: Timestamp,
    pub(crate) connected_at: Timestamp,
    /// Time until which requests are expected to wait there for a model or an adapter.
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

    /// Returns the version that the gateway has once everything sent has arrived.
    pub(crate) fn arriving_version(&self) -> u64 {
        self.reported_version.max(self.sent_version)
    }

    /// Returns whether the gateway has kept reporting without a version that was sent, which was
    /// then lost or could not be applied. Without reports nothing is overdue: a resend would only
    /// queue behind the rest.
    pub(crate) fn is_version_overdue(&self) -> bool {
        let overdue = |(_, sent_at)| self.heard_at.since(sent_at) >= RESEND_AFTER;
        self.unreported.is_some_and(overdue)
    }

    /// Records whether updates are queued, and returns the duration of a backlog that has ended.
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

    /// Returns whether its next update is due, at `interval` unless requests wait there.
    pub(crate) fn is_due(&self, now: Timestamp, interval: Duration) -> bool {
        now < self.awaits_until || now.since(self.sent_at) >= interval
    }

    /// Records that an update carries the document or a change to it.
    pub(crate) fn version_sent(&mut self, now: Timestamp, version: u64) {
        if self.unreported.is_none() || self.is_version_overdue() {
            self.unreported = Some((version, now));
        }
        self.sent_version = version;
    }
}

/// Time after which a document version that was sent and not reported is resent whole.
const RESEND_AFTER: Duration = Duration::from_millis(1_000);
/// Updates a second over all gateways. Bounds the leader's CPU time; several changes share one
/// update.
const UPDATES_PER_SECOND: u32 = 1_000;
/// Upper bound of the update interval under a slowdown, so that gateways keep receiving
/// confirmations.
const LONGEST_SPACING: Duration = Duration::from_millis(500);
/// Time for which a gateway that reported unmet demand is sent changes immediately: an adapter
/// loads within milliseconds, and gateways repeat the report while requests wait.
const AWAITING_TIME: Duration = Duration::from_millis(1_000);
/// Number of gateways up to which every change is sent immediately.
const FEW_GATEWAYS: usize = 16;
/// Passes over all sessions per update interval.
const LOOKS_PER_INTERVAL: u32 = 64;
const SHORTEST_LOOK: Duration = Duration::from_millis(5);

/// Sessions by connection.
#[derive(Default)]
pub(crate) struct Gateways {
    pub(crate) sessions: BTreeMap<u64, GatewaySession>,
    next_look: Timestamp,
    /// Time until which any of the gateways is urgent.
    awaits_until: Timestamp,
}

impl Gateways {
    /// Returns whether the gateway has a newer connection, which makes messages on this one stale.
    pub(crate) fn is_outlived(&self, connection: u64, name: &str) -> bool {
        let mut newer = self.sessions.range(connection + 1..);
        newer.any(|(_, session)| session.name == name)
    }

    /// Applies a report received on a connection. Returns true if the gateway is new there.
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
        // Drops the session of an older connection of the same gateway.
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
            // There is nothing to send before the first limit.
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

    /// Returns the log index up to which the gateway last reported to have received required
    /// entries.
    pub(crate) fn as_of(&self, connection: u64) -> Option<u64> {
        let session = self.sessions.get(&connection)?;
        Some(session.as_of)
    }

    /// Records whether updates are queued at a connection. Returns the gateway and the duration of
    /// a backlog that has ended.
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

    /// Returns the version last reported by a gateway, on this connection or an older one.
    pub(crate) fn reported_version(&self, connection: u64, name: &str) -> Option<u64> {
        let session = self.sessions.get(&connection);
        let mut others = self.sessions.values();
        let session = session.or_else(|| others.find(|session| session.name == name))?;
        Some(session.reported_version)
    }

    /// Returns the minimum interval between updates of one gateway under the given slowdown.
    pub(crate) fn update_interval(&self, pace: u32) -> Duration {
        if self.sessions.len() <= FEW_GATEWAYS {
            return Duration::ZERO;
        }
        let interval = Duration::from_secs(1) * self.count() / UPDATES_PER_SECOND;
        interval.max(LONGEST_SPACING.min(interval * pace))
    }

    /// Returns whether a pass over the sessions is due, and schedules the next one.
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

    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }
}
