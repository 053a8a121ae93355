//! Sessions of connected gateways and what each was sent.

use crate::ready_estimates::ReadyEstimates;
use crate::update_schedule::{
    ContentChange, KeyHash, LatestHolders, Outstanding, Scope, UpdateIntervals, UpdateSchedule,
};
use millpass_proto::{Duration, GatewayPeer, GatewayReach, GatewayReport, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Revision last sent on a connection, if any, and when.
#[derive(Default)]
pub(crate) struct SentRevision {
    revision: Option<u64>,
    at: Timestamp,
}

impl SentRevision {
    fn already_sent(revision: u64) -> Self {
        SentRevision {
            revision: Some(revision),
            at: Timestamp::ZERO,
        }
    }

    /// Returns whether this revision is to be sent now, at most once per interval, and marks it as
    /// sent.
    pub(crate) fn mark_sent_if_due(
        &mut self,
        now: Timestamp,
        interval: Duration,
        revision: u64,
    ) -> bool {
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
    pub(crate) first_update_sent: bool,
    /// Whether an update sent on this connection was marked complete.
    pub(crate) sent_complete: bool,
    /// Log index up to which the gateway reports to have received required entries; 0 for none.
    pub(crate) as_of: u64,
    pub(crate) reported_version: u64,
    /// Newest document version sent on this connection; it may not have arrived.
    pub(crate) sent_version: u64,
    /// Oldest sent version that the gateway has not reported yet, and when it was sent.
    pub(crate) unacknowledged: Option<(u64, Timestamp)>,
    /// Digests of the records that the gateway held when it connected; cleared by the first update.
    pub(crate) held_instances: HashSet<u64>,
    /// Sequence number of its newest report.
    pub(crate) last_report: u64,
    /// Revision of the ready estimates sent.
    pub(crate) sent_estimates: u64,
    pub(crate) sent_loads: u64,
    /// Revision of the engine speeds sent.
    pub(crate) sent_paces: u64,
    /// Whether a report awaits its response.
    pub(crate) response_pending: bool,
    /// Revision of the quarantined requests sent.
    pub(crate) crashes: SentRevision,
    /// Revision of the instance limits sent.
    pub(crate) limits: SentRevision,
    pub(crate) zone: ZoneName,
    /// What it reaches; none until it has stated it.
    pub(crate) reach: Option<GatewayReach>,
    /// Other gateways that it was told of; none if it was told of none.
    pub(crate) sent_peers: Option<Vec<GatewayPeer>>,
    /// Start of the backlog, while the socket does not accept updates.
    pub(crate) backlogged_since: Option<Timestamp>,
    /// When the last update was sent.
    pub(crate) sent_at: Timestamp,
    pub(crate) last_report_at: Timestamp,
    pub(crate) connected_at: Timestamp,
    pub(crate) schedule: UpdateSchedule,
}

impl GatewaySession {
    fn record_report(&mut self, now: Timestamp, report: &GatewayReport) {
        self.last_report_at = now;
        self.response_pending = true;
        self.last_report = report.sequence;
        self.as_of = report.as_of;
        self.reported_version = report.version;
        let Some((oldest, _)) = self.unacknowledged else {
            return;
        };
        if report.version >= self.sent_version {
            self.unacknowledged = None;
        } else if report.version >= oldest {
            self.unacknowledged = Some((self.sent_version, now));
        }
    }

    /// Returns the version that the gateway has once everything sent has arrived.
    pub(crate) fn expected_version(&self) -> u64 {
        self.reported_version.max(self.sent_version)
    }

    /// Returns whether the gateway has kept reporting without a version that was sent, which was
    /// then lost or could not be applied. Without reports nothing is overdue: a resend would only
    /// queue behind the rest.
    pub(crate) fn is_version_overdue(&self) -> bool {
        let overdue = |(_, sent_at)| self.last_report_at.since(sent_at) >= RESEND_TIMEOUT;
        self.unacknowledged.is_some_and(overdue)
    }

    /// Records whether updates are queued, and returns the duration of a backlog that has ended.
    fn set_backlogged(&mut self, now: Timestamp, is_backlogged: bool) -> Option<Duration> {
        if is_backlogged {
            self.backlogged_since.get_or_insert(now);
            return None;
        }
        if let Some((_, sent_at)) = &mut self.unacknowledged {
            *sent_at = now;
        }
        self.backlogged_since.take().map(|since| now.since(since))
    }

    /// Returns what its next update contains if one is due at these intervals. An update behind a backlog
    /// would be stale on arrival; changes accumulate here instead.
    pub(crate) fn due(
        &self,
        now: Timestamp,
        intervals: UpdateIntervals,
        outstanding: Outstanding,
    ) -> Option<Scope> {
        match self.backlogged_since {
            Some(_) => None,
            None => self.schedule.due(now, intervals, outstanding),
        }
    }

    /// Records that an update carries the document or a change to it.
    pub(crate) fn record_sent_version(&mut self, now: Timestamp, version: u64) {
        if self.unacknowledged.is_none() || self.is_version_overdue() {
            self.unacknowledged = Some((version, now));
        }
        self.sent_version = version;
    }
}

/// Time after which a document version that was sent and not reported is resent whole. Several report
/// intervals, and well within the time in which a change must be in force.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum updates a second over all gateways; several changes share one update. With many gateways
/// and engines, sending each change to each gateway at once takes the leader's whole processor.
const MAX_UPDATES_PER_SECOND: u32 = 1_000;
/// Upper bound of the update interval under a slowdown, so that gateways keep receiving
/// confirmations: these are valid for some seconds.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval of what is not required above the unthrottled number of gateways. Gateways report
/// loads every 300 ms and an unload takes 300 ms or more, so that shorter intervals cost CPU time and
/// tell little more.
const MIN_CONTENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of gateways up to which every change is sent immediately.
const MAX_UNTHROTTLED_GATEWAYS: usize = 16;
/// Passes over all sessions per update interval.
const PASSES_PER_INTERVAL: u32 = 64;
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);

/// Sessions by connection.
#[derive(Default)]
pub(crate) struct Gateways {
    pub(crate) sessions: BTreeMap<u64, GatewaySession>,
    next_pass: Timestamp,
    /// Time until which any of the gateways has unmet demand.
    urgent_until: Timestamp,
    holders: LatestHolders,
}

impl Gateways {
    /// Returns whether the gateway has a newer connection, which makes messages on this one stale.
    pub(crate) fn is_superseded(&self, connection: u64, name: &str) -> bool {
        let mut newer = self.sessions.range(connection + 1..);
        newer.any(|(_, session)| session.name == name)
    }

    /// Applies a report received on a connection. Returns true if the gateway is new there.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        connection: u64,
        report: &GatewayReport,
        estimates: &ReadyEstimates,
    ) -> bool {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.record_report(now, report);
            let new = session.schedule.record_demand(now, &report.demand);
            let sent_estimates = session.sent_estimates;
            session.schedule.record_unsent(
                now,
                &new,
                &self.holders,
                session.sent_revision,
                |model| estimates.has_moved_since(model, sent_estimates),
            );
            self.urgent_until = self.urgent_until.max(session.schedule.urgent_until());
            return false;
        }
        // Drops the session of an older connection of the same gateway.
        self.sessions
            .retain(|_, session| session.name != report.gateway);
        let mut schedule = UpdateSchedule::default();
        schedule.record_demand(now, &report.demand);
        self.urgent_until = self.urgent_until.max(schedule.urgent_until());
        let session = GatewaySession {
            name: report.gateway.clone(),
            sent_revision: 0,
            first_update_sent: false,
            sent_complete: false,
            as_of: report.as_of,
            reported_version: report.version,
            sent_version: 0,
            unacknowledged: None,
            held_instances: report.known_instance_digests.iter().copied().collect(),
            last_report: report.sequence,
            sent_estimates: 0,
            sent_loads: 0,
            sent_paces: 0,
            response_pending: true,
            crashes: SentRevision::default(),
            // There is nothing to send before the first limit.
            limits: SentRevision::already_sent(0),
            zone: report.zone.clone(),
            reach: None,
            sent_peers: None,
            backlogged_since: None,
            sent_at: Timestamp::ZERO,
            last_report_at: now,
            connected_at: now,
            schedule,
        };
        self.sessions.insert(connection, session);
        true
    }

    /// Records changes since the last pass at the gateways that they concern.
    pub(crate) fn record_changes(
        &mut self,
        now: Timestamp,
        changes: &[ContentChange],
        moved_estimates: &BTreeSet<KeyHash>,
    ) {
        if changes.is_empty() && moved_estimates.is_empty() {
            return;
        }
        self.holders.record(changes);
        for session in self.sessions.values_mut() {
            let schedule = &mut session.schedule;
            schedule.record_changes(now, changes, moved_estimates);
        }
    }

    /// Returns the log index up to which the gateway last reported to have received required
    /// entries.
    pub(crate) fn as_of(&self, connection: u64) -> Option<u64> {
        let session = self.sessions.get(&connection)?;
        Some(session.as_of)
    }

    /// Records whether updates are queued at a connection. Returns the gateway and the duration of
    /// a backlog that has ended.
    pub(crate) fn set_backlogged(
        &mut self,
        now: Timestamp,
        connection: u64,
        is_backlogged: bool,
    ) -> Option<(String, Duration)> {
        let session = self.sessions.get_mut(&connection)?;
        let duration = session.set_backlogged(now, is_backlogged)?;
        Some((session.name.clone(), duration))
    }

    pub(crate) fn remove(&mut self, connection: u64) -> Option<GatewaySession> {
        self.sessions.remove(&connection)
    }

    /// Returns the version last reported by a gateway, on this connection or an older one.
    pub(crate) fn reported_version(&self, connection: u64, name: &str) -> Option<u64> {
        let session = self.sessions.get(&connection);
        let mut others = self.sessions.values();
        let session = session.or_else(|| others.find(|session| session.name == name))?;
        Some(session.reported_version)
    }

    /// Returns the intervals between updates of one gateway under the given slowdown.
    pub(crate) fn update_intervals(&self, slowdown: u32) -> UpdateIntervals {
        let required = self.update_interval(slowdown);
        let regular = match self.sessions.len() <= MAX_UNTHROTTLED_GATEWAYS {
            true => Duration::ZERO,
            false => required.max(MIN_CONTENT_INTERVAL),
        };
        UpdateIntervals { regular, required }
    }

    /// Returns the interval that bounds the updates of all gateways together.
    pub(crate) fn update_interval(&self, slowdown: u32) -> Duration {
        if self.sessions.len() <= MAX_UNTHROTTLED_GATEWAYS {
            return Duration::ZERO;
        }
        let interval = Duration::from_secs(1) * self.count() / MAX_UPDATES_PER_SECOND;
        interval.max(MAX_UPDATE_INTERVAL.min(interval * slowdown))
    }

    /// Returns whether a pass over the sessions is due, and schedules the next one.
    pub(crate) fn start_pass_if_due(&mut self, now: Timestamp, slowdown: u32) -> bool {
        if self.sessions.len() <= MAX_UNTHROTTLED_GATEWAYS {
            return true;
        }
        if now < self.next_pass {
            return false;
        }
        let interval = match now < self.urgent_until {
            true => MIN_PASS_INTERVAL,
            false => self.update_interval(slowdown) / PASSES_PER_INTERVAL,
        };
        self.next_pass = now + MIN_PASS_INTERVAL.max(interval);
        true
    }

    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }
}
