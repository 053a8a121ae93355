//! The leader's choice of gateways that serve requests of one that lacks contact.

use millpass_proto::{GatewayPeer, GatewayReach, InstanceId};

/// Gateways that a gateway is told of. Enough to spread its load, while each gateway keeps few
/// connections when a zone of hundreds lacks contact.
pub const MAX_PEERS: usize = 8;
/// Single instances that a gateway states at most.
pub const MAX_STATED_INSTANCES: usize = 32;

/// A gateway that takes requests of others.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The gateway as it is told to others.
    pub peer: GatewayPeer,
    /// Single instances that it does not reach.
    pub lost_instances: Vec<InstanceId>,
}

/// Returns the gateways that may serve requests of `gateway`: those that reach what it lacks, by
/// rendezvous rank, so that the gateways that lack contact spread over all others.
pub fn choose_peers(
    gateway: &str,
    reach: &GatewayReach,
    candidates: &[Candidate],
) -> Vec<GatewayPeer> {
    let can_help = |candidate: &&Candidate| {
        let lost = &candidate.peer.lost_services;
        let reaches_service = reach.lost_services.iter().any(|it| !lost.contains(it));
        let lost = &candidate.lost_instances;
        let reaches_instance = reach.lost_instances.iter().any(|it| !lost.contains(it));
        candidate.peer.gateway != gateway && (reaches_service || reaches_instance)
    };
    let ranked = candidates.iter().filter(can_help);
    let mut ranked: Vec<(u64, &Candidate)> = ranked
        .map(|candidate| (rank(gateway, &candidate.peer.gateway), candidate))
        .collect();
    if ranked.len() > MAX_PEERS {
        ranked.select_nth_unstable_by_key(MAX_PEERS - 1, |(rank, _)| std::cmp::Reverse(*rank));
        ranked.truncate(MAX_PEERS);
    }
    let mut peers: Vec<GatewayPeer> = ranked
        .into_iter()
        .map(|(_, candidate)| candidate.peer.clone())
        .collect();
    peers.sort_by(|left, right| left.gateway.cmp(&right.gateway));
    peers
}

/// Pseudo-random rank of a pair of gateways.
fn rank(gateway: &str, peer: &str) -> u64 {
    let seed: u64 = 0xcbf2_9ce4_8422_2325;
    let bytes = gateway.bytes().chain([0]).chain(peer.bytes());
    let hash = bytes.fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    // Spreads the last bytes over all bits.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
