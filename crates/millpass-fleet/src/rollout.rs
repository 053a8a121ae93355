//! Propagation of documents and departures to gateways.

use crate::fleet::Fleet;
use crate::gateways::GatewaySession;
use crate::interface::FleetOutput;
use crate::updates::GatewayContext;
use millpass_proto::{DeploymentDocument, Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Time after which a gateway that has not reported the current version counts as lagging. Several
/// report intervals, and well below the time within which a change must be in force.
pub(crate) const LAG_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Lagging gateways logged per check.
const MAX_LOGGED: usize = 8;
const MAX_DISCONNECTED: usize = 1_024;
/// Departures tracked; more than a wave of restarts produces in a second.
const MAX_DEPARTURES: usize = 256;
/// Time for which a disconnected gateway is included in lag checks.
const DISCONNECTED_RETENTION: Duration = Duration::from_secs(60);

/// A gateway whose connection ended.
struct DisconnectedGateway {
    reported_version: u64,
    last_report_at: Timestamp,
    disconnected_at: Timestamp,
}

/// Progress of the current document version.
#[derive(Default)]
pub(crate) struct Rollout {
    version: u64,
    /// When this member applied the version, or else when it began to track it.
    since: Timestamp,
    /// Whether all connected gateways have reported the version at some point.
    is_complete: bool,
    /// Time of the next lag check. The interval doubles while gateways lag.
    next_check: Timestamp,
    check_interval: Duration,
    disconnected: BTreeMap<String, DisconnectedGateway>,
    /// Log index and time of the last departures, the newest last.
    departures: VecDeque<(u64, Timestamp)>,
}

impl Rollout {
    /// Records a departure committed at this log index.
    pub(crate) fn record_departure(&mut self, now: Timestamp, index: u64) {
        self.departures.push_back((index, now));
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
    }

    pub(crate) fn record_disconnect(&mut self, now: Timestamp, session: &GatewaySession) {
        if self.disconnected.len() >= MAX_DISCONNECTED {
            return;
        }
        let gateway = DisconnectedGateway {
            reported_version: session.reported_version,
            last_report_at: session.last_report_at,
            disconnected_at: now,
        };
        self.disconnected.insert(session.name.clone(), gateway);
    }

    /// Returns the version last reported by a disconnected gateway.
    pub(crate) fn last_reported_version(&self, name: &str) -> Option<u64> {
        self.disconnected
            .get(name)
            .map(|gateway| gateway.reported_version)
    }

    pub(crate) fn record_connect(&mut self, name: &str) {
        self.disconnected.remove(name);
    }

    fn begin(&mut self, version: u64, since: Timestamp) {
        self.version = version;
        self.since = since;
        self.is_complete = false;
        self.check_interval = LAG_THRESHOLD;
        self.next_check = since + LAG_THRESHOLD;
    }

    fn expire_disconnected(&mut self, now: Timestamp) {
        self.disconnected
            .retain(|_, gateway| now.since(gateway.disconnected_at) < DISCONNECTED_RETENTION);
    }
}

impl GatewaySession {
    /// Returns why the gateway has not reported a version.
    fn lag_reason(&self, version: u64) -> &'static str {
        if self.backlogged_since.is_some() {
            "not-taken"
        } else if self.sent_version >= version {
            "sent-not-reported"
        } else {
            "not-sent"
        }
    }
}

impl Fleet {
    /// Tracks the current version and logs lagging gateways.
    pub(crate) fn track_rollout(
        &mut self,
        now: Timestamp,
        document: Option<&DeploymentDocument>,
        context: &GatewayContext<'_>,
    ) {
        let version = document.map_or(0, |document| document.version);
        if version > self.rollout.version {
            let since = context.documents.applied_at(version).unwrap_or(now);
            self.rollout.begin(version, since);
        }
        if version == 0 || now < self.rollout.next_check {
            return;
        }
        self.rollout.next_check = now + self.rollout.check_interval;
        self.rollout.check_interval *= 2;
        self.rollout.expire_disconnected(now);
        self.log_lagging(now);
    }

    fn log_lagging(&mut self, now: Timestamp) {
        let version = self.rollout.version;
        let after = now.since(self.rollout.since);
        let mut lines = Vec::new();
        for session in self.gateways.sessions.values() {
            // The first update of a new connection is still on its way.
            let age = now.since(session.connected_at);
            if session.reported_version >= version || age < LAG_THRESHOLD {
                continue;
            }
            lines.push(vec![
                ("gateway", session.name.clone()),
                ("held", session.reported_version.to_string()),
                ("why", session.lag_reason(version).to_owned()),
                ("heard_ms", millis(now.since(session.last_report_at))),
                ("sent_ms", millis(now.since(session.sent_at))),
                ("connected_ms", millis(age)),
            ]);
        }
        for (name, gateway) in &self.rollout.disconnected {
            if gateway.reported_version >= version {
                continue;
            }
            lines.push(vec![
                ("gateway", name.clone()),
                ("held", gateway.reported_version.to_string()),
                ("why", "not-connected".to_owned()),
                ("heard_ms", millis(now.since(gateway.last_report_at))),
                ("lost_ms", millis(now.since(gateway.disconnected_at))),
            ]);
        }
        if lines.is_empty() {
            // Resets the interval, so that a gateway that connects later with an older version is
            // logged soon.
            self.rollout.check_interval = LAG_THRESHOLD;
            return;
        }
        let lagging = lines.len();
        for line in lines.into_iter().take(MAX_LOGGED) {
            let mut pairs = vec![
                ("version", version.to_string()),
                ("after_ms", millis(after)),
                ("lagging", lagging.to_string()),
            ];
            pairs.extend(line);
            self.event("document-lags", pairs);
        }
    }

    /// Outputs the propagation time of departures that a gateway received between two reports.
    pub(crate) fn acknowledge_departures(
        &mut self,
        now: Timestamp,
        previous: Option<u64>,
        as_of: u64,
    ) {
        let Some(previous) = previous else {
            // What the gateway received earlier is unknown.
            return;
        };
        let newest_first = self.rollout.departures.iter().rev();
        let acknowledged = newest_first
            .skip_while(|(index, _)| *index > as_of)
            .take_while(|(index, _)| *index > previous);
        let outputs =
            acknowledged.map(|(_, since)| FleetOutput::DepartureAcknowledged(now.since(*since)));
        self.out.extend(outputs);
    }

    /// Outputs the propagation time of the current version. Without a `previous` version, the
    /// gateway may have had it before this leader was elected, and no time is output.
    pub(crate) fn acknowledge_version(
        &mut self,
        now: Timestamp,
        previous: Option<u64>,
        reported: u64,
    ) {
        let version = self.rollout.version;
        if version == 0 || previous >= Some(version) || reported < version {
            return;
        }
        let after = now.since(self.rollout.since);
        if previous.is_some() {
            self.out.push(FleetOutput::DocumentAcknowledged(after));
        }
        let sessions = &self.gateways.sessions;
        let is_behind = |session: &GatewaySession| session.reported_version < version;
        if self.rollout.is_complete || sessions.values().any(is_behind) {
            return;
        }
        self.rollout.is_complete = true;
        let pairs = vec![
            ("version", version.to_string()),
            ("gateways", sessions.len().to_string()),
            ("not_connected", self.rollout.disconnected.len().to_string()),
            ("after_ms", millis(after)),
        ];
        self.event("document-everywhere", pairs);
    }
}

fn millis(time: Duration) -> String {
    time.as_millis().to_string()
}
