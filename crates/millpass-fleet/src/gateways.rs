//! Connected gateways and what each was sent.

use millpass_proto::{Duration, Timestamp};
use std::collections::BTreeMap;

/// One gateway on its connection.
pub(crate) struct GatewaySession {
    pub(crate) name: String,
    /// Registry revision sent.
    pub(crate) sent_revision: u64,
    /// Whether anything was sent on this connection.
    pub(crate) greeted: bool,
    /// Whether it was told that all instances have been named to it.
    pub(crate) sent_complete: bool,
    /// Document version in force at the gateway, as it last reported.
    pub(crate) reported_version: u64,
    /// Newest document version that was sent on this connection; it may not have arrived.
    pub(crate) sent_version: u64,
    /// Revision of the outlook sent.
    pub(crate) sent_outlook: u64,
    /// Whether a report waits for its answer.
    pub(crate) owed: bool,
    /// Revision of the requests held back that was sent; none before the first.
    pub(crate) sent_crashes: Option<u64>,
    /// When it was last sent those.
    pub(crate) crashes_sent_at: Timestamp,
    /// When it was last sent anything.
    pub(crate) sent_at: Timestamp,
    pub(crate) heard_at: Timestamp,
    pub(crate) connected_at: Timestamp,
}

/// Most updates a second, over all gateways. With many gateways and engines, each change sent to each
/// gateway at once takes the leader's whole processor; several changes then travel in one update.
const UPDATES_PER_SECOND: u32 = 1_000;
/// Gateways up to which every change is sent at once.
const FEW_GATEWAYS: usize = 16;

/// Sessions by connection.
#[derive(Default)]
pub(crate) struct Gateways {
    pub(crate) sessions: BTreeMap<u64, GatewaySession>,
}

impl Gateways {
    /// Takes a report on a connection. True when the gateway is new there.
    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        connection: u64,
        name: &str,
        version: u64,
    ) -> bool {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.heard_at = now;
            session.owed = true;
            session.reported_version = version;
            return false;
        }
        // A gateway that reconnects has one session: the newest.
        self.sessions.retain(|_, session| session.name != name);
        let session = GatewaySession {
            name: name.to_owned(),
            sent_revision: 0,
            greeted: false,
            sent_complete: false,
            reported_version: version,
            sent_version: 0,
            sent_outlook: 0,
            owed: true,
            sent_crashes: None,
            crashes_sent_at: Timestamp::ZERO,
            sent_at: Timestamp::ZERO,
            heard_at: now,
            connected_at: now,
        };
        self.sessions.insert(connection, session);
        true
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

    /// Shortest time between two updates of one gateway.
    pub(crate) fn update_interval(&self) -> Duration {
        if self.sessions.len() <= FEW_GATEWAYS {
            return Duration::ZERO;
        }
        Duration::from_secs(1) * self.count() / UPDATES_PER_SECOND
    }

    /// Gateways connected.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.sessions.len()).unwrap_or(u32::MAX)
    }
}
