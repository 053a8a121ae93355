//! The gateways to which this one forwards requests whose instances it does not reach.

use millpass_proto::{Duration, GatewayPeer, PeerUpdate, ServiceName, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a gateway that failed is avoided.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time for which a gateway that declined a request is avoided while others are left.
const DECLINE_BACKOFF: Duration = Duration::from_millis(200);
/// Requests in flight that outweigh the transfer to another zone.
const CROSS_ZONE_REQUESTS: u32 = 1;

/// How a forwarded request ended, as far as it concerns the gateway that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// It responded, for an instance or itself.
    Responded,
    /// It did not take the request.
    Declined,
    /// It could not be connected to, or the connection broke.
    Failed,
    /// The caller left, or the time ran out.
    Abandoned,
}

/// State of one gateway.
#[derive(Debug, Default)]
struct PeerState {
    in_flight: u32,
    avoided_until: Timestamp,
}

/// Gateways that may serve requests of this one.
#[derive(Debug, Default)]
pub struct Peers {
    zone: Option<ZoneName>,
    peers: Vec<GatewayPeer>,
    states: BTreeMap<String, PeerState>,
    /// Set once a list was received for what is out of reach now.
    is_known: bool,
    term: u64,
    /// Breaks ties, so that requests alternate.
    turn: usize,
}

impl Peers {
    /// Creates an empty list for a gateway in this zone.
    pub fn new(zone: ZoneName) -> Self {
        Peers {
            zone: Some(zone),
            ..Peers::default()
        }
    }

    /// Replaces the list. Returns false if the update is of a former leader.
    pub fn apply(&mut self, update: PeerUpdate) -> bool {
        if update.term < self.term {
            return false;
        }
        self.term = update.term;
        self.is_known = true;
        self.peers = update.peers;
        let names: BTreeSet<&str> = self.peers.iter().map(|it| it.gateway.as_str()).collect();
        self.states
            .retain(|name, state| state.in_flight > 0 || names.contains(name.as_str()));
        true
    }

    /// Drops the list: nothing is out of reach any more.
    pub fn clear(&mut self) {
        self.is_known = false;
        self.peers.clear();
    }

    /// Returns true if a list was received for what is out of reach now.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Number of gateways in the list.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if there is no gateway to forward to.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Requests in flight at other gateways.
    pub fn in_flight(&self) -> u32 {
        self.states.values().map(|state| state.in_flight).sum()
    }

    /// Returns the gateway that a request for a service is forwarded to: the one with the fewest
    /// requests of this gateway, except those that it was forwarded to before.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        tried: &[String],
    ) -> Option<GatewayPeer> {
        let total = self.peers.len();
        let turn = self.turn;
        let eligible = (0..total)
            .map(|offset| &self.peers[(turn + offset) % total])
            .filter(|peer| !tried.contains(&peer.gateway) && !peer.lost_services.contains(service));
        let chosen = eligible.min_by_key(|peer| {
            let state = self.states.get(&peer.gateway);
            let is_avoided = state.is_some_and(|state| now < state.avoided_until);
            let in_flight = state.map_or(0, |state| state.in_flight);
            let is_remote = self.zone.as_ref() != Some(&peer.zone);
            let load = in_flight + CROSS_ZONE_REQUESTS * u32::from(is_remote);
            (is_avoided, load)
        });
        let chosen = chosen.cloned()?;
        self.turn = (self.turn + 1) % total;
        Some(chosen)
    }

    /// Records the start of a forwarded request.
    pub fn record_start(&mut self, gateway: &str) {
        let state = self.states.entry(gateway.to_owned()).or_default();
        state.in_flight += 1;
    }

    /// Records the end of a forwarded request.
    pub fn record_end(&mut self, now: Timestamp, gateway: &str, outcome: ForwardOutcome) {
        let Some(state) = self.states.get_mut(gateway) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            ForwardOutcome::Responded => state.avoided_until = Timestamp::ZERO,
            ForwardOutcome::Declined => state.avoided_until = now + DECLINE_BACKOFF,
            ForwardOutcome::Failed => state.avoided_until = now + FAILURE_BACKOFF,
            ForwardOutcome::Abandoned => {}
        }
    }
}
