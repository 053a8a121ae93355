//! What gateways reach, and the gateways that serve requests of those that lack contact.

use crate::fleet::Fleet;
use crate::gateways::GatewaySession;
use crate::interface::FleetOutput;
use millpass_proto::{Duration, GatewayPeer, GatewayReach, PeerUpdate, Timestamp};
use millpass_reach::{Candidate, choose_peers};

/// Interval between two computations of the lists, which take time in proportion to the number of
/// gateways.
const PEER_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Records what a gateway reaches. If it lacks anything, it is told of others again.
    pub fn handle_reach(&mut self, connection: u64, reach: GatewayReach) {
        let Some(session) = self.gateways.sessions.get_mut(&connection) else {
            return;
        };
        let gateway = session.name.clone();
        let before = session.reach.replace(reach.clone());
        session.sent_peers = None;
        self.peers_changed = true;
        let lost_before = before.map(|before| before.lost_services);
        let lost_before = lost_before.unwrap_or_default();
        if lost_before == reach.lost_services {
            return;
        }
        let names: Vec<&str> = reach.lost_services.iter().map(|it| it.as_str()).collect();
        let name = match names.is_empty() {
            true => "gateway-reaches-all",
            false => "gateway-lacks-contact",
        };
        let pairs = vec![("gateway", gateway), ("services", names.join(","))];
        self.event(name, pairs);
    }

    /// Number of gateways that state to reach no instance of some service.
    pub(crate) fn gateways_without_contact(&self) -> usize {
        let sessions = self.gateways.sessions.values();
        let lacking = sessions.filter(|session| !lost_services(session).is_empty());
        lacking.count()
    }

    /// Tells gateways that lack contact which others may serve their requests, if that changed.
    pub(crate) fn send_peer_updates(&mut self, now: Timestamp) {
        if !self.peers_changed || now < self.next_peer_update {
            return;
        }
        self.peers_changed = false;
        self.next_peer_update = now + PEER_UPDATE_INTERVAL;
        let candidates: Vec<Candidate> = self
            .gateways
            .sessions
            .values()
            .filter_map(candidate)
            .collect();
        let mut updates = Vec::new();
        for (connection, session) in &mut self.gateways.sessions {
            let Some(reach) = &session.reach else {
                continue;
            };
            let lacks_nothing = reach.lost_services.is_empty() && reach.lost_instances.is_empty();
            if lacks_nothing {
                continue;
            }
            let peers = choose_peers(&session.name, reach, &candidates);
            if session.sent_peers.as_ref() == Some(&peers) {
                continue;
            }
            session.sent_peers = Some(peers.clone());
            updates.push((*connection, peers));
        }
        for (connection, peers) in updates {
            let update = PeerUpdate {
                term: self.term,
                peers,
            };
            self.out.push(FleetOutput::Peers { connection, update });
        }
    }
}

fn lost_services(session: &GatewaySession) -> &[millpass_proto::ServiceName] {
    let reach = session.reach.as_ref();
    reach.map_or(&[], |reach| &reach.lost_services)
}

/// Returns a gateway as one that may serve requests of others; none if it does not.
fn candidate(session: &GatewaySession) -> Option<Candidate> {
    let reach = session.reach.as_ref().filter(|reach| reach.accepts)?;
    Some(Candidate {
        peer: GatewayPeer {
            gateway: session.name.clone(),
            zone: session.zone.clone(),
            address: reach.address.clone(),
            key: reach.key.clone(),
            lost_services: reach.lost_services.clone(),
        },
        lost_instances: reach.lost_instances.clone(),
    })
}
