//! What a gateway tells of runs that end, and what it holds back: with a leader, cut off from one, between two.

use millpass_dispatch::{
    Choice, Description, DispatchSettings, Dispatcher, FreshnessSettings, RefusalReason,
    RequestIdentity, SendEnd, Ticket,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTerms;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn route() -> RouteSpec {
    RouteSpec {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis: 5_000,
        objective_millis: 800,
        gap_objective_millis: 0,
        priority: 1,
        maximum_attempts: 2,
        prompt_affinity: false,
        targets: vec![RouteTarget {
            service: "web".into(),
            weight: 1,
        }],
        first_event_millis: 0,
        anonymous: false,
    }
}

fn record(instance: &str) -> InstanceRecord {
    InstanceRecord {
        instance: instance.into(),
        service: "web".into(),
        address: format!("{instance}:80"),
        zone: "z".into(),
        slots: 8,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        name: "g".to_owned(),
        zone: "z".into(),
        retry_ratio: 1.0,
        retry_slack: 100.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_patience: Duration::from_secs(15),
        quota: QuotaTerms::default(),
        key_lifetime: None,
        freshness: FreshnessSettings {
            in_force: Duration::from_secs(3_600),
            departed: Duration::from_secs(3_600),
            ..FreshnessSettings::default()
        },
    });
    let document = DeploymentDocument {
        version: 1,
        routes: vec![route()],
        services: vec![ServiceSpec {
            name: "web".into(),
            health_path: String::new(),
            maximum_connections: 0,
            engine: None,
        }],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    };
    let update = GatewayUpdate {
        term: 1,
        complete: true,
        first: true,
        document: Some(document),
        instances: (0..8).map(|it| record(&format!("i-{it}"))).collect(),
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 2,
        members: Vec::new(),
        provisional: false,
        loads: Vec::new(),
        acknowledged_report: dispatcher.report(at(0)).sequence,
        as_of: 0,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: 0,
    };
    dispatcher.update(at(0), update);
    dispatcher
}

fn fingerprint(body: &str) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant: None,
        route: &route(),
        method: "POST",
        path: "/a",
        body: body.as_bytes(),
    };
    identity.fingerprint()
}

fn begin(dispatcher: &mut Dispatcher, now: u64, body: &str) -> Ticket {
    let description = Description {
        attempt: format!("attempt-{now}"),
        fingerprint: fingerprint(body),
        ..Description::default()
    };
    let route = dispatcher.route(at(now), "h.example", "/a").expect("route");
    dispatcher.begin(at(now), route, None, description, 0.5)
}

/// Sends a request, whose run ends under it. Gives the instance.
fn end_under(dispatcher: &mut Dispatcher, now: u64, body: &str) -> InstanceId {
    let mut ticket = begin(dispatcher, now, body);
    let choice = dispatcher.choose(at(now), &mut ticket);
    let Choice::Send { instance, .. } = choice else {
        panic!("{choice:?}");
    };
    dispatcher.ended(at(now + 50), &ticket.record(&instance), SendEnd::Broken);
    let probes = dispatcher.take_probes();
    assert_eq!(probes.len(), 1);
    dispatcher.run_ended(at(now + 51), &probes[0].0);
    instance
}

fn refusal(dispatcher: &mut Dispatcher, now: u64, body: &str) -> Option<RefusalReason> {
    let mut ticket = begin(dispatcher, now, body);
    match dispatcher.choose(at(now), &mut ticket) {
        Choice::Refuse { reason, .. } => Some(reason),
        _ => None,
    }
}

fn told(term: u64, held: &[(&str, u64)]) -> CrashUpdate {
    let requests = held.iter().map(|(body, held_millis)| QuarantinedRequest {
        request: fingerprint(body),
        remaining_millis: *held_millis,
    });
    CrashUpdate {
        term,
        requests: requests.collect(),
    }
}

const HELD: Option<RefusalReason> = Some(RefusalReason::EndsInstances);

#[test]
fn tries_of_a_request_share_a_fingerprint_and_tenants_never_do() {
    let tenant = |name: &str| TenantAccess {
        name: name.into(),
        key_hashes: Vec::new(),
        priority: 0,
        unit: QuotaUnit::Requests,
        plain_cost: 0,
        units_per_second: 0,
        burst_units: 0,
    };
    let (one, other) = (tenant("one"), tenant("other"));
    let route = route();
    let of = |tenant, path, body| {
        let identity = RequestIdentity {
            tenant,
            route: &route,
            method: "POST",
            path,
            body,
        };
        identity.fingerprint()
    };
    let base = of(Some(&one), "/a?b", b"body");
    assert_eq!(base, of(Some(&one), "/a?b", b"body"));
    for different in [
        of(Some(&other), "/a?b", b"body"),
        of(None, "/a?b", b"body"),
        of(Some(&one), "/a", b"body"),
        of(Some(&one), "/a?b", b"bodY"),
        of(Some(&one), "/a?", b"bbody"),
    ] {
        assert_ne!(base, different);
    }
    assert_eq!(RequestFingerprint::from_hex(&base.to_string()), Some(base));
}

#[test]
fn an_end_is_told_with_what_broke_there_and_a_break_alone_is_not() {
    let mut dispatcher = dispatcher();
    let mut ticket = begin(&mut dispatcher, 10, "alone");
    let Choice::Send { instance, .. } = dispatcher.choose(at(10), &mut ticket) else {
        panic!("sent");
    };
    dispatcher.ended(at(20), &ticket.record(&instance), SendEnd::Broken);
    assert_eq!(dispatcher.take_probes()[0].0, instance);
    assert_eq!(dispatcher.crash_report(), None);
    let ended = end_under(&mut dispatcher, 100, "deadly");
    let report = dispatcher.crash_report().expect("a report");
    assert_eq!(report.crashes.len(), 1);
    assert_eq!(report.crashes[0].instance, ended);
    assert!(report.crashes[0].requests.contains(&fingerprint("deadly")));
    assert_eq!(dispatcher.crash_report(), None, "told once");
    dispatcher.connection_ended();
    assert!(
        dispatcher.crash_report().is_some(),
        "the next leader is told anew"
    );
}

#[test]
fn the_leaders_word_holds_a_request_back_and_lets_it_go() {
    let mut dispatcher = dispatcher();
    dispatcher.take_crashes(at(5), &told(1, &[("deadly", 60_000)]));
    assert_eq!(refusal(&mut dispatcher, 10, "deadly"), HELD);
    assert_eq!(refusal(&mut dispatcher, 10, "other"), None);
    assert_eq!(dispatcher.held_requests(), 1);
    dispatcher.take_crashes(at(20), &told(1, &[]));
    assert_eq!(refusal(&mut dispatcher, 30, "deadly"), None);
}

/// Between two leaders and cut off from any: the last word holds until its time is over.
#[test]
fn without_a_leader_the_last_word_holds_and_own_ends_count() {
    let mut dispatcher = dispatcher();
    dispatcher.take_crashes(at(5), &told(2, &[("deadly", 60_000)]));
    dispatcher.connection_ended();
    assert_eq!(refusal(&mut dispatcher, 50_000, "deadly"), HELD);
    assert_eq!(refusal(&mut dispatcher, 60_006, "deadly"), None);
    for end in 0..3 {
        end_under(&mut dispatcher, 100_000 + end * 2_000, "mine");
    }
    assert_eq!(refusal(&mut dispatcher, 110_000, "mine"), HELD);
    // An older leader's word is late.
    dispatcher.take_crashes(at(110_001), &told(1, &[]));
    assert_eq!(refusal(&mut dispatcher, 110_002, "mine"), HELD);
    // A new leader decides, and has been told what this gateway saw.
    dispatcher.take_crashes(at(110_003), &told(3, &[("mine", 600_000)]));
    assert_eq!(refusal(&mut dispatcher, 110_004, "mine"), HELD);
}

#[test]
fn a_whole_answer_is_told_of_what_ended_with_its_run() {
    let mut dispatcher = dispatcher();
    end_under(&mut dispatcher, 100, "beside");
    dispatcher.crash_report();
    let mut ticket = begin(&mut dispatcher, 2_000, "beside");
    let Choice::Send { instance, .. } = dispatcher.choose(at(2_000), &mut ticket) else {
        panic!("sent");
    };
    let answered = SendEnd::Answered(Duration::from_millis(20));
    dispatcher.ended(at(2_020), &ticket.record(&instance), answered);
    let report = dispatcher.crash_report().expect("a report");
    assert_eq!(report.served, vec![fingerprint("beside")]);
}

/// Requests that are suspected at a time.
const SUSPECTS: usize = 32;

/// Two requests that met at two ends go to different instances, at any gateway the same.
#[test]
fn suspects_are_sent_apart() {
    let names: Vec<String> = (0..SUSPECTS).map(|it| format!("s-{it}")).collect();
    let suspects: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 0)).collect();
    let mut places = Vec::new();
    for _ in 0..2 {
        let mut dispatcher = dispatcher();
        dispatcher.take_crashes(at(5), &told(1, &suspects));
        let chosen = names.iter().map(|body| {
            let mut ticket = begin(&mut dispatcher, 10, body);
            let choice = dispatcher.choose(at(10), &mut ticket);
            let Choice::Send { instance, .. } = choice else {
                panic!("{choice:?}");
            };
            dispatcher.ended(at(11), &ticket.record(&instance), SendEnd::GivenUp);
            instance
        });
        places.push(chosen.collect::<Vec<_>>());
    }
    assert_eq!(places[0], places[1]);
    let at_the_first = places[0].iter().filter(|place| **place == places[0][0]);
    assert!(at_the_first.count() <= SUSPECTS / 4, "{places:?}");
}
