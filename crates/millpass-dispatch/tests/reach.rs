//! What a gateway concludes from its own lack of contact, and requests that it forwards or serves for
//! others.

mod harness;

use harness::{at, begin, gateway, record, update};
use millpass_dispatch::*;
use millpass_proto::*;
use std::sync::Arc;

const WEB: [&str; 4] = ["w-1", "w-2", "w-3", "w-4"];
const ENGINES: [&str; 3] = ["e-1", "e-2", "e-3"];

fn records() -> Vec<InstanceRecord> {
    let web = WEB.iter().map(|name| record(name, "web"));
    let engines = ENGINES.iter().map(|name| record(name, "text"));
    web.chain(engines).collect()
}

/// A gateway that reaches everything.
fn connected() -> Dispatcher {
    gateway("g-1", 3, &records())
}

fn peer(name: &str) -> GatewayPeer {
    GatewayPeer {
        gateway: name.to_owned(),
        zone: "z-1".into(),
        address: format!("{name}:1"),
        key: "secret".to_owned(),
        lost_services: Vec::new(),
    }
}

fn name_peers(dispatcher: &mut Dispatcher, names: &[&str]) {
    let peers = names.iter().map(|name| peer(name)).collect();
    dispatcher.apply_peers(PeerUpdate { term: 1, peers });
}

/// Makes every connection to these instances fail, with a refusal or without.
fn lose(dispatcher: &mut Dispatcher, now: u64, instances: &[&str], refuses: bool) {
    for name in instances {
        match refuses {
            true => dispatcher.record_refused(at(now), &(*name).into()),
            false => dispatcher.record_connect_failed(at(now), &(*name).into()),
        }
    }
}

/// Answers all probes that are due.
fn probe(dispatcher: &mut Dispatcher, now: u64, reached: &[&str]) -> usize {
    let probes = dispatcher.take_path_probes(at(now));
    for (instance, _) in &probes {
        match reached.contains(&instance.0.as_str()) {
            true => dispatcher.record_connected(at(now), instance),
            false => dispatcher.record_refused(at(now), instance),
        }
    }
    probes.len()
}

fn unserved(dispatcher: &mut Dispatcher, now: u64) -> u32 {
    let report = dispatcher.report(at(now));
    report.demand.iter().map(|demand| demand.unserved).sum()
}

fn forwarded_to(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Forward { peer } => Some(&peer.gateway),
        _ => None,
    }
}

fn refusal(choice: &Choice) -> Option<RefusalReason> {
    match choice {
        Choice::Refuse { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Guards against quarantine of requests whose connections a partition broke.
#[test]
fn refused_connections_during_a_partition_end_no_process_run() {
    let mut dispatcher = connected();
    let mut ticket = begin(&mut dispatcher, 10, "/web/");
    let Choice::Send { instance, .. } = dispatcher.choose(at(10), &mut ticket) else {
        panic!("not sent");
    };
    let record = ticket.send_record(&instance);
    dispatcher.record_send_outcome(at(20), &record, SendOutcome::Broken);
    dispatcher.record_refused(at(21), &instance);
    for now in 22..3_000 {
        probe(&mut dispatcher, now, &[]);
    }
    assert_eq!(dispatcher.take_ended_runs(), []);
    assert_eq!(dispatcher.crash_report(at(0)), None);
}

/// Guards against a request that ends instances being sent on and on.
#[test]
fn an_address_that_refuses_while_others_connect_is_of_an_ended_run() {
    let mut dispatcher = connected();
    dispatcher.record_refused(at(10), &"w-1".into());
    for now in 11..100 {
        probe(&mut dispatcher, now, &["w-2", "w-3", "w-4"]);
    }
    assert_eq!(dispatcher.take_ended_runs(), ["w-1".into()]);
}

/// Guards against a partition that heals between the refusal and the comparison.
#[test]
fn an_address_that_accepts_again_is_of_no_ended_run() {
    let mut dispatcher = connected();
    dispatcher.record_refused(at(10), &"w-1".into());
    for now in 11..100 {
        probe(&mut dispatcher, now, &WEB);
    }
    assert_eq!(dispatcher.take_ended_runs(), []);
}

/// Guards against loads of models that other gateways reach.
#[test]
fn models_out_of_reach_are_no_demand() {
    let mut dispatcher = connected();
    lose(&mut dispatcher, 10, &ENGINES, false);
    dispatcher.report(at(11));
    let mut ticket = begin(&mut dispatcher, 20, "/text/");
    let choice = dispatcher.choose(at(20), &mut ticket);
    assert!(matches!(choice, Choice::Wait { .. }), "{choice:?}");
    let choice = dispatcher.choose(at(400), &mut ticket);
    assert_eq!(refusal(&choice), Some(RefusalReason::Unreachable));
    assert_eq!(unserved(&mut dispatcher, 401), 0);
}

/// Guards against a model that stays unloaded after its only engine ended.
#[test]
fn a_replica_out_of_reach_is_demand_once_another_gateway_agrees() {
    let mut records = records();
    for other in records.iter_mut().filter(|it| it.instance != "e-1".into()) {
        other.models.clear();
    }
    let mut dispatcher = gateway("g-1", 3, &records);
    dispatcher.record_connect_failed(at(10), &"e-1".into());
    dispatcher.record_connected(at(11), &"e-2".into());
    name_peers(&mut dispatcher, &["g-2", "g-3"]);
    let mut ticket = begin(&mut dispatcher, 20, "/text/");
    let choice = dispatcher.choose(at(20), &mut ticket);
    let chosen = forwarded_to(&choice).expect("forwarded").to_owned();
    assert_eq!(unserved(&mut dispatcher, 21), 0);
    let outcome = ForwardOutcome::Declined;
    dispatcher.record_forward_outcome(at(25), &mut ticket, &chosen, outcome, 0);
    let choice = dispatcher.choose(at(25), &mut ticket);
    assert_eq!(forwarded_to(&choice), None);
    assert_eq!(unserved(&mut dispatcher, 26), 1);
}

/// Guards against others avoiding an instance for requests that never arrived there.
#[test]
fn requests_in_flight_out_of_reach_are_no_load() {
    let mut dispatcher = connected();
    let mut tickets = Vec::new();
    for _ in 0..8 {
        let mut ticket = begin(&mut dispatcher, 10, "/web/");
        dispatcher.choose(at(10), &mut ticket);
        tickets.push(ticket);
    }
    assert!(!dispatcher.report(at(11)).in_flight.is_empty());
    lose(&mut dispatcher, 20, &WEB, false);
    assert_eq!(dispatcher.report(at(21)).in_flight, []);
}

/// Guards against ejections that outlast a partition.
#[test]
fn a_path_that_works_again_is_used_at_once() {
    let mut dispatcher = connected();
    for _ in 0..5 {
        lose(&mut dispatcher, 10, &WEB, true);
    }
    let mut now = 11;
    while dispatcher.unreachable_counts() != (0, 0) {
        probe(&mut dispatcher, now, &WEB);
        now += 10;
        assert!(now < 3_000, "{:?}", dispatcher.unreachable_counts());
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let mut ticket = begin(&mut dispatcher, now, "/web/");
        if let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) {
            used.insert(instance);
        }
    }
    assert_eq!(used.len(), WEB.len());
}

#[test]
fn requests_are_spread_over_the_gateways_that_take_them() {
    let mut dispatcher = connected();
    lose(&mut dispatcher, 10, &WEB, false);
    name_peers(&mut dispatcher, &["g-2", "g-3", "g-4"]);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..30 {
        let mut ticket = begin(&mut dispatcher, 20, "/web/");
        let choice = dispatcher.choose(at(20), &mut ticket);
        let gateway = forwarded_to(&choice).expect("forwarded").to_owned();
        *counts.entry(gateway).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Guards against requests that are sent round while nobody reaches the servers.
#[test]
fn nothing_is_forwarded_if_no_gateway_reaches_the_service() {
    let mut dispatcher = connected();
    lose(&mut dispatcher, 10, &WEB, false);
    name_peers(&mut dispatcher, &[]);
    let mut ticket = begin(&mut dispatcher, 20, "/web/");
    let choice = dispatcher.choose(at(20), &mut ticket);
    assert_eq!(refusal(&choice), Some(RefusalReason::Unreachable));
}

#[test]
fn a_request_is_forwarded_to_three_gateways_at_most() {
    let mut dispatcher = connected();
    lose(&mut dispatcher, 10, &WEB, false);
    name_peers(&mut dispatcher, &["g-2", "g-3", "g-4", "g-5"]);
    let mut ticket = begin(&mut dispatcher, 20, "/web/");
    let mut tried = Vec::new();
    loop {
        let choice = dispatcher.choose(at(20), &mut ticket);
        let Some(gateway) = forwarded_to(&choice).map(str::to_owned) else {
            assert_eq!(refusal(&choice), Some(RefusalReason::Unreachable));
            break;
        };
        let outcome = ForwardOutcome::Declined;
        dispatcher.record_forward_outcome(at(20), &mut ticket, &gateway, outcome, 0);
        tried.push(gateway);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3, "{tried:?}");
    assert_eq!(ticket.sends, 0);
}

fn begin_forwarded(dispatcher: &mut Dispatcher, now: u64, start_within: Option<u64>) -> Ticket {
    let route = dispatcher
        .route(at(now), "h.example", "/web/")
        .expect("route");
    let description = RequestDescription {
        attempt: "r".to_owned(),
        timeout: Some(Duration::from_millis(1_000)),
        ..RequestDescription::default()
    };
    let terms = ForwardTerms {
        from: "g-2".to_owned(),
        elapsed: Duration::from_millis(300),
        service: "web".into(),
        tried: vec!["w-1".into()],
        is_arrival: true,
        start_within: start_within.map(Duration::from_millis),
    };
    dispatcher.begin_forwarded(at(now), route, None, description, terms)
}

/// Guards against more sends than the first gateway counts.
#[test]
fn a_request_of_another_gateway_is_sent_once() {
    let mut dispatcher = connected();
    let mut ticket = begin_forwarded(&mut dispatcher, 1_000, None);
    let Choice::Send { instance, .. } = dispatcher.choose(at(1_000), &mut ticket) else {
        panic!("not sent");
    };
    assert_ne!(instance, "w-1".into(), "the first gateway has tried it");
    let record = ticket.send_record(&instance);
    dispatcher.record_send_outcome(at(1_010), &record, SendOutcome::Broken);
    let choice = dispatcher.choose(at(1_010), &mut ticket);
    assert!(refusal(&choice).is_some(), "{choice:?}");
}

/// Guards against servers that get more time than the caller has left.
#[test]
fn a_request_of_another_gateway_keeps_its_deadline() {
    let mut dispatcher = connected();
    let ticket = begin_forwarded(&mut dispatcher, 1_000, None);
    assert_eq!(ticket.deadline, at(1_700));
    assert_eq!(ticket.expires_at, at(1_700));
}

/// Guards against requests that travel from gateway to gateway.
#[test]
fn a_request_of_another_gateway_is_not_forwarded() {
    let mut dispatcher = connected();
    lose(&mut dispatcher, 900, &WEB, false);
    name_peers(&mut dispatcher, &["g-2", "g-3"]);
    let mut ticket = begin_forwarded(&mut dispatcher, 1_000, None);
    let choice = dispatcher.choose(at(1_000), &mut ticket);
    assert_eq!(refusal(&choice), Some(RefusalReason::Unreachable));
}

/// Guards against units of a quota that are used long after they were granted.
#[test]
fn a_request_of_another_gateway_is_not_sent_after_its_start() {
    let mut dispatcher = connected();
    let mut ticket = begin_forwarded(&mut dispatcher, 1_000, Some(100));
    let choice = dispatcher.choose(at(1_100), &mut ticket);
    assert_eq!(refusal(&choice), Some(RefusalReason::NotStarted));
}

/// Guards against an older document in force after a caller has seen a newer one.
#[test]
fn a_document_shown_by_another_gateway_is_required() {
    let mut dispatcher = connected();
    assert_eq!(dispatcher.required_peer_version(), 1);
    dispatcher.record_shown_version(2);
    assert_eq!(dispatcher.required_peer_version(), 2);
    assert_eq!(dispatcher.freshness(at(20)), Freshness::Unconfirmed);
    let mut newer = update(1, 3, Vec::new());
    newer.document = newer.document.map(|document| {
        Arc::new(DeploymentDocument {
            version: 2,
            ..Arc::unwrap_or_clone(document)
        })
    });
    newer.complete = false;
    newer.first = false;
    dispatcher.update(at(30), newer);
    assert_eq!(dispatcher.freshness(at(30)), Freshness::Confirmed);
}

/// Guards against a lack that is never stated, for want of a report on the connection before.
#[test]
fn what_is_reached_is_stated_once_for_each_connection_and_change() {
    let mut dispatcher = connected();
    let endpoint = PeerEndpoint {
        address: "10.0.0.1:1".to_owned(),
        key: "secret".to_owned(),
    };
    let first = dispatcher.reach_statement(&endpoint, true).expect("first");
    assert!(first.accepts && first.lost_services.is_empty());
    assert_eq!(dispatcher.reach_statement(&endpoint, true), None);
    lose(&mut dispatcher, 10, &WEB, false);
    let lost = dispatcher.reach_statement(&endpoint, true).expect("change");
    assert_eq!(lost.lost_services, ["web".into()]);
    assert!(
        !dispatcher
            .reach_statement(&endpoint, false)
            .expect("stop")
            .accepts
    );
    dispatcher.connection_ended();
    assert_eq!(dispatcher.reach_statement(&endpoint, false), None);
    dispatcher.report(at(20));
    assert!(dispatcher.reach_statement(&endpoint, false).is_some());
}
