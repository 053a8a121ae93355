//! Which gateways serve the requests of one that lacks contact.

use millpass_proto::{GatewayPeer, GatewayReach, PeerUpdate, ServiceName, Timestamp};
use millpass_reach::{Candidate, ForwardOutcome, MAX_PEERS, Peers, choose_peers};
use rstest::rstest;
use std::collections::BTreeMap;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn peer(name: &str, lost: &[&str]) -> GatewayPeer {
    GatewayPeer {
        gateway: name.to_owned(),
        zone: "z".into(),
        address: format!("{name}:1"),
        key: String::new(),
        lost_services: lost
            .iter()
            .map(|service| ServiceName::from(*service))
            .collect(),
    }
}

fn candidate(name: &str, lost: &[&str]) -> Candidate {
    Candidate {
        peer: peer(name, lost),
        lost_instances: Vec::new(),
    }
}

fn lacks(services: &[&str], instances: &[&str]) -> GatewayReach {
    GatewayReach {
        address: String::new(),
        key: String::new(),
        accepts: true,
        lost_services: services.iter().map(|it| ServiceName::from(*it)).collect(),
        lost_instances: instances.iter().map(|it| (*it).into()).collect(),
    }
}

/// Guards against one gateway taking the load of a whole zone.
#[rstest]
#[case(7, 2)]
#[case(70, 18)]
#[case(986, 246)]
fn gateways_that_lack_contact_spread_over_all_others(#[case] gateways: usize, #[case] lost: usize) {
    let names: Vec<String> = (0..gateways)
        .map(|number| format!("front-{number}"))
        .collect();
    let candidates: Vec<Candidate> = names
        .iter()
        .enumerate()
        .map(|(number, name)| match number < lost {
            true => candidate(name, &["web"]),
            false => candidate(name, &[]),
        })
        .collect();
    let mut load: BTreeMap<String, f64> = BTreeMap::new();
    for name in &names[..lost] {
        let peers = choose_peers(name, &lacks(&["web"], &[]), &candidates);
        assert_eq!(peers.len(), MAX_PEERS.min(gateways - lost));
        for peer in &peers {
            assert!(peer.lost_services.is_empty());
            *load.entry(peer.gateway.clone()).or_default() += 1.0 / peers.len() as f64;
        }
    }
    let mean = lost as f64 / (gateways - lost) as f64;
    let most = load.values().fold(0.0, |most: f64, load| most.max(*load));
    assert!(
        most <= 1.0 + 2.0 * mean,
        "{most:.2} gateways at one, {mean:.2} in the mean"
    );
}

#[test]
fn a_gateway_that_lacks_another_service_can_help() {
    let candidates = [
        candidate("a", &["text"]),
        candidate("b", &["web"]),
        candidate("c", &["web", "text"]),
    ];
    let peers = choose_peers("x", &lacks(&["web"], &[]), &candidates);
    let names: Vec<&str> = peers.iter().map(|peer| peer.gateway.as_str()).collect();
    assert_eq!(names, ["a"]);
}

#[test]
fn a_gateway_that_lacks_the_same_instance_cannot_help() {
    let mut same = candidate("a", &[]);
    same.lost_instances.push("i-1".into());
    let candidates = [same, candidate("b", &[])];
    let peers = choose_peers("x", &lacks(&[], &["i-1"]), &candidates);
    assert_eq!(peers.len(), 1);
    assert_eq!(peers[0].gateway, "b");
}

fn known(names: &[&str]) -> Peers {
    let mut peers = Peers::new("z".into());
    let update = PeerUpdate {
        term: 2,
        peers: names.iter().map(|name| peer(name, &[])).collect(),
    };
    assert!(peers.apply(update));
    peers
}

#[test]
fn a_gateway_that_failed_is_avoided_while_others_are_left() {
    let mut peers = known(&["a", "b"]);
    peers.record_start("a");
    peers.record_end(at(0), "a", ForwardOutcome::Failed);
    for _ in 0..4 {
        let chosen = peers.choose(at(10), &"web".into(), &[]).expect("a gateway");
        assert_eq!(chosen.gateway, "b");
    }
    let tried = ["b".to_owned()];
    let chosen = peers
        .choose(at(10), &"web".into(), &tried)
        .expect("a gateway");
    assert_eq!(chosen.gateway, "a");
}

#[test]
fn the_list_of_a_former_leader_is_ignored() {
    let mut peers = known(&["a"]);
    let update = PeerUpdate {
        term: 1,
        peers: vec![peer("b", &[])],
    };
    assert!(!peers.apply(update));
    assert_eq!(
        peers
            .choose(at(0), &"web".into(), &[])
            .expect("a gateway")
            .gateway,
        "a"
    );
}
