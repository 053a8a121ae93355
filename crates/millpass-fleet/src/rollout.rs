//! Propagation of documents and departures to gateways.

use crate::fleet::Fleet;
use crate::gateways::GatewaySession;
use crate::interface::FleetOutput;
use crate::updates::GatewayContext;
use millpass_proto::{DeploymentDocument, Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Time after which a gateway that has not reported the current version counts as lagging. Several
/// report intervals, and well below the time within which a change must be in force.
pub(crate) const LAG: Duration = Duration::from_millis(1_000);
/// Lagging gateways logged per check.
const MAXIMUM_NAMED: usize = 8;
const MAXIMUM_LOST: usize = 1_024;
/// Departures tracked; more than a wave of restarts produces in a second.
const MAXIMUM_DEPARTURES: usize = 256;
/// Time for which a disconnected gateway is included in lag checks.
const LOST_MEMORY: Duration = Duration::from_secs(60);

/// A gateway whose connection ended.
struct LostGateway {
    reported: u64,
    heard_at: Timestamp,
    lost_at: Timestamp,
}

/// Progress of the current document version.
#[derive(Default)]
pub(crate) struct Rollout {
    version: u64,
    /// When the version was committed, as far as this member knows.
    since: Timestamp,
    /// Whether all connected gateways have reported the version at some point.
    everywhere: bool,
    /// Time of the next lag check. The interval doubles while gateways lag.
    next_look: Timestamp,
    pause: Duration,
    lost: BTreeMap<String, LostGateway>,
    /// Log index and time of the last departures, the newest last.
    departures: VecDeque<(u64, Timestamp)>,
}

impl Rollout {
    /// Records a departure committed at this log index.
    pub(crate) fn departed(&mut self, now: Timestamp, index: u64) {
        self.departures.push_back((index, now));
        if self.departures.len() > MAXIMUM_DEPARTURES {
            self.departures.pop_front();
        }
    }

    /// Records that a gateway's connection ended.
    pub(crate) fn lost(&mut self, now: Timestamp, session: &GatewaySession) {
        if self.lost.len() >= MAXIMUM_LOST {
            return;
        }
        let lost = LostGateway {
            reported: session.reported_version,
            heard_at: session.heard_at,
            lost_at: now,
        };
        self.lost.insert(session.name.clone(), lost);
    }

    /// Returns the version last reported by a disconnected gateway.
    pub(crate) fn held_when_lost(&self, name: &str) -> Option<u64> {
        self.lost.get(name).map(|lost| lost.reported)
    }

    /// Records that a gateway has connected.
    pub(crate) fn connected(&mut self, name: &str) {
        self.lost.remove(name);
    }

    fn begin(&mut self, version: u64, since: Timestamp) {
        self.version = version;
        self.since = since;
        self.everywhere = false;
        self.pause = LAG;
        self.next_look = since + LAG;
    }

    fn forget_lost(&mut self, now: Timestamp) {
        self.lost
            .retain(|_, lost| now.since(lost.lost_at) < LOST_MEMORY);
    }
}

impl GatewaySession {
    /// Returns why the gateway has not reported a version.
    fn lag_reason(&self, version: u64) -> &'static str {
        if self.behind_since.is_some() {
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
    pub(crate) fn follow_rollout(
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
        if version == 0 || now < self.rollout.next_look {
            return;
        }
        self.rollout.next_look = now + self.rollout.pause;
        self.rollout.pause *= 2;
        self.rollout.forget_lost(now);
        self.name_lagging(now);
    }

    fn name_lagging(&mut self, now: Timestamp) {
        let version = self.rollout.version;
        let after = now.since(self.rollout.since);
        let mut lines = Vec::new();
        for session in self.gateways.sessions.values() {
            // The first update of a new connection is still on its way.
            let age = now.since(session.connected_at);
            if session.reported_version >= version || age < LAG {
                continue;
            }
            lines.push(vec![
                ("gateway", session.name.clone()),
                ("held", session.reported_version.to_string()),
                ("why", session.lag_reason(version).to_owned()),
                ("heard_ms", millis(now.since(session.heard_at))),
                ("sent_ms", millis(now.since(session.sent_at))),
                ("connected_ms", millis(age)),
            ]);
        }
        for (name, lost) in &self.rollout.lost {
            if lost.reported >= version {
                continue;
            }
            lines.push(vec![
                ("gateway", name.clone()),
                ("held", lost.reported.to_string()),
                ("why", "not-connected".to_owned()),
                ("heard_ms", millis(now.since(lost.heard_at))),
                ("lost_ms", millis(now.since(lost.lost_at))),
            ]);
        }
        if lines.is_empty() {
            // Resets the interval, so that a gateway that connects later with an older version is
            // logged soon.
            self.rollout.pause = LAG;
            return;
        }
        let lagging = lines.len();
        for line in lines.into_iter().take(MAXIMUM_NAMED) {
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
    pub(crate) fn departures_reached(&mut self, now: Timestamp, before: Option<u64>, as_of: u64) {
        let Some(before) = before else {
            // What the gateway received earlier is unknown.
            return;
        };
        let newest_first = self.rollout.departures.iter().rev();
        let new = newest_first
            .skip_while(|(index, _)| *index > as_of)
            .take_while(|(index, _)| *index > before);
        let reached = new.map(|(_, since)| FleetOutput::DepartureAcknowledged(now.since(*since)));
        self.out.extend(reached);
    }

    /// Outputs the propagation time of the current version. Without a `previous` version, the
    /// gateway may have had it before this leader was elected, and no time is output.
    pub(crate) fn reached(&mut self, now: Timestamp, before: Option<u64>, reported: u64) {
        let version = self.rollout.version;
        if version == 0 || before >= Some(version) || reported < version {
            return;
        }
        let after = now.since(self.rollout.since);
        if before.is_some() {
            self.out.push(FleetOutput::DocumentAcknowledged(after));
        }
        let sessions = &self.gateways.sessions;
        let lacks = |session: &GatewaySession| session.reported_version < version;
        if self.rollout.everywhere || sessions.values().any(lacks) {
            return;
        }
        self.rollout.everywhere = true;
        let pairs = vec![
            ("version", version.to_string()),
            ("gateways", sessions.len().to_string()),
            ("not_connected", self.rollout.lost.len().to_string()),
            ("after_ms", millis(after)),
        ];
        self.event("document-everywhere", pairs);
    }
}

fn millis(time: Duration) -> String {
    time.as_millis().to_string()
}
