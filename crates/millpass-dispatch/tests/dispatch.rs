//! Routing, selection of instances, waiting, refusals and the retry budget.

use millpass_dispatch::{
    BudgetTerms, Choice, DispatchSettings, Dispatcher, FreshnessSettings, PromptPart,
    RefusalReason, RequestDescription, RetryBudget, RouteError, SendOutcome, Ticket,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;
use proptest::prelude::*;
use rstest::rstest;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn settings() -> DispatchSettings {
    DispatchSettings {
        name: "g-1".to_owned(),
        zone: "z-1".into(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_timeout: Duration::from_secs(15),
        quota: QuotaTolerance::default(),
        key_lifetime: None,
        reach: millpass_dispatch::ReachSettings::default(),
        parts: millpass_dispatch::PartSettings::default(),
        origins: millpass_dispatch::BegunSettings::default(),
        freshness: FreshnessSettings {
            max_staleness: Duration::from_secs(3_600),
            max_departure_staleness: Duration::from_secs(3_600),
            ..FreshnessSettings::default()
        },
    }
}

fn route(prefix: &str, kind: RouteKind, service: &str) -> RouteSpec {
    RouteSpec {
        name: prefix.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        resumable: false,
        timeout_millis: 5_000,
        objective_millis: 800,
        gap_objective_millis: 0,
        priority: 1,
        maximum_attempts: 2,
        prompt_affinity: true,
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1,
        }],
        first_event_millis: 0,
        anonymous: false,
    }
}

fn document(version: u64, routes: Vec<RouteSpec>) -> DeploymentDocument {
    let engine = EngineSpec {
        slots: 8,
        cache_tokens: 100_000,
        weights_kilobytes: 100,
        adapter_slots: 2,
        milliloads_per_second: 1_000,
        models: vec![EngineModelSpec {
            name: "a".into(),
            weights_kilobytes: 10,
            load_millis: 900,
            disk_load_millis: 900,
            memory_load_millis: 900,
            adapters: 2,
            adapter_kilobytes: 1,
        }],
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.into(),
        health_path: String::new(),
        maximum_connections: 0,
        engine,
    };
    DeploymentDocument {
        version,
        routes,
        services: vec![service("web", None), service("text", Some(engine))],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

fn record(instance: &str, service: &str, models: &[&str]) -> InstanceRecord {
    InstanceRecord {
        instance: instance.into(),
        service: service.into(),
        address: format!("{instance}:80"),
        zone: "z-1".into(),
        slots: 4,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: models
            .iter()
            .map(|model| HeldModel {
                model: (*model).into(),
                adapters: Vec::new(),
            })
            .collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

fn update(
    term: u64,
    document: Option<DeploymentDocument>,
    instances: Vec<InstanceRecord>,
) -> GatewayUpdate {
    GatewayUpdate {
        term,
        complete: true,
        first: false,
        document: document.map(Into::into),
        instances,
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 2,
        members: Vec::new(),
        provisional: false,
        loads: Vec::new(),
        acknowledged_report: 1,
        as_of: 0,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: 0,
        paces: Vec::new(),
        contents: Vec::new(),
        moved_estimates: Vec::new(),
        ended_estimates: Vec::new(),
        partial: false,
    }
}

fn routes() -> Vec<RouteSpec> {
    vec![
        route("/web/", RouteKind::Once, "web"),
        route("/web/again/", RouteKind::Repeatable, "web"),
        route("/text/", RouteKind::Stream, "text"),
    ]
}

/// A gateway whose first report is pending; updates acknowledge it.
fn started() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings());
    dispatcher.report(at(0));
    dispatcher
}

fn dispatcher(instances: Vec<InstanceRecord>) -> Dispatcher {
    let mut dispatcher = started();
    dispatcher.update(at(0), update(1, Some(document(1, routes())), instances));
    dispatcher
}

fn begin(dispatcher: &mut Dispatcher, now: u64, path: &str, model: Option<&str>) -> Ticket {
    let route = dispatcher
        .route(at(0), "H.example:80", path)
        .expect("route");
    let description = RequestDescription {
        attempt: "r".to_owned(),
        timeout: Some(Duration::from_millis(5_000)),
        model: model.map(Into::into),
        adapter: None,
        prompt: vec![PromptPart {
            identity: 7,
            tokens: 1_000,
        }]
        .into(),
        ..RequestDescription::default()
    };
    dispatcher.begin(at(now), route, None, description, 0.5)
}

#[rstest]
#[case("/web/x", Ok("/web/"))]
#[case("/web/again/x", Ok("/web/again/"))]
#[case("/other/", Err(RouteError::NoRoute))]
fn the_longest_prefix_wins(#[case] path: &str, #[case] expected: Result<&str, RouteError>) {
    let dispatcher = dispatcher(Vec::new());
    let found = dispatcher
        .route(at(0), "h.example", path)
        .map(|route| route.name.clone());
    assert_eq!(found.as_deref().map_err(|error| *error), expected);
}

#[test]
fn without_document_route_is_not_configured() {
    let dispatcher = started();
    let error = dispatcher
        .route(at(0), "h.example", "/web/")
        .expect_err("no document");
    assert_eq!(error, RouteError::NotConfigured);
}

#[test]
fn older_documents_and_former_leaders_are_ignored() {
    let mut dispatcher = dispatcher(Vec::new());
    dispatcher.update(at(1), update(3, Some(document(5, Vec::new())), Vec::new()));
    dispatcher.update(at(2), update(4, Some(document(4, routes())), Vec::new()));
    assert_eq!(dispatcher.table().expect("table").version(), 5);
    let outcome = dispatcher.update(at(3), update(2, Some(document(9, routes())), Vec::new()));
    assert!(outcome.stale);
    assert_eq!(dispatcher.table().expect("table").version(), 5);
}

/// State relayed by a follower is committed: it is applied whenever it is newer, even after an
/// update of the leader.
#[test]
fn relayed_state_is_applied_only_if_newer() {
    let relayed = |version, as_of| GatewayUpdate {
        provisional: true,
        as_of,
        ..update(
            0,
            Some(document(version, routes())),
            vec![record("i-1", "web", &[])],
        )
    };
    let mut dispatcher = started();
    assert_eq!(dispatcher.update(at(0), relayed(3, 30)).version, Some(3));
    assert!(dispatcher.update(at(1), relayed(2, 20)).stale, "older");
    assert!(dispatcher.update(at(1), relayed(3, 30)).stale, "the same");
    assert_eq!(dispatcher.update(at(1), relayed(4, 40)).version, Some(4));
    let report = dispatcher.report(at(1));
    assert_eq!((report.version, report.as_of), (4, 40));
    let listed = vec![record("i-2", "web", &[]), record("i-3", "web", &[])];
    let mut from_leader = update(1, Some(document(5, routes())), listed);
    from_leader.as_of = 50;
    dispatcher.update(at(2), from_leader);
    assert!(dispatcher.update(at(3), relayed(4, 45)).stale, "older");
    assert_eq!(dispatcher.update(at(3), relayed(6, 60)).version, Some(6));
    assert_eq!(dispatcher.table().expect("table").version(), 6);
    assert_eq!(
        dispatcher.instance_count(),
        2,
        "instances are those of the leader"
    );
}

#[test]
fn draining_instance_receives_nothing_even_if_later_record_is_ready() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut draining = record("i-1", "web", &[]);
    draining.draining = true;
    dispatcher.update(at(1), update(1, None, vec![draining]));
    dispatcher.update(at(2), update(1, None, vec![record("i-1", "web", &[])]));
    let mut ticket = begin(&mut dispatcher, 10, "/web/", None);
    assert!(matches!(
        dispatcher.choose(at(10), &mut ticket),
        Choice::Wait { .. }
    ));
    let refused = dispatcher.choose(at(900), &mut ticket);
    assert!(matches!(
        refused,
        Choice::Refuse {
            reason: RefusalReason::NoInstance,
            ..
        }
    ));
}

#[test]
fn unreachable_instance_is_ejected_for_a_while() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[]), record("i-2", "web", &[])]);
    let mut ticket = begin(&mut dispatcher, 0, "/web/", None);
    let Choice::Send { instance, .. } = dispatcher.choose(at(0), &mut ticket) else {
        panic!("not sent although an instance has free capacity");
    };
    dispatcher.record_send_outcome(
        at(1),
        &ticket.send_record(&instance),
        SendOutcome::Unreachable,
    );
    for now in [2, 100, 400] {
        let mut next = begin(&mut dispatcher, now, "/web/", None);
        let Choice::Send {
            instance: other, ..
        } = dispatcher.choose(at(now), &mut next)
        else {
            panic!("not sent although an instance has free capacity");
        };
        assert_ne!(other, instance);
    }
}

#[test]
fn cold_model_is_refused_with_retry_after_and_demand_is_reported() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["b"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    let refused = dispatcher.choose(at(0), &mut ticket);
    let Choice::Refuse {
        reason,
        retry_after,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, RefusalReason::Cold);
    assert!(retry_after >= Duration::from_millis(900), "{retry_after:?}");
    assert!(dispatcher.is_report_urgent());
    let report = dispatcher.report(at(0));
    assert_eq!(report.demand.len(), 1);
    assert_eq!(
        (report.demand[0].unserved, report.demand[0].arrivals),
        (1, 1)
    );
}

#[test]
fn request_waits_for_model_that_loads_in_time() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["b"])]);
    let mut loading = update(1, None, Vec::new());
    loading.ready_estimates = vec![ModelReadyEstimate {
        service: "text".into(),
        model: "a".into(),
        adapter: None,
        ready_in_millis: 200,
    }];
    dispatcher.update(at(0), loading);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Wait { .. }
    ));
    dispatcher.update(
        at(210),
        update(1, None, vec![record("e-1", "text", &["a", "b"])]),
    );
    assert!(matches!(
        dispatcher.choose(at(210), &mut ticket),
        Choice::Send { .. }
    ));
}

/// Callers of streams leave before their deadline if no event arrives, and must not wait for a
/// later load.
#[test]
fn request_is_refused_if_first_event_deadline_precedes_load() {
    let mut specification = route("/text/", RouteKind::Stream, "text");
    specification.first_event_millis = 700;
    let mut dispatcher = started();
    let engines = vec![record("e-1", "text", &["b"])];
    dispatcher.update(
        at(0),
        update(1, Some(document(1, vec![specification])), engines),
    );
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    // Too late for an early refusal.
    let choice = dispatcher.choose(at(300), &mut ticket);
    assert!(
        matches!(
            choice,
            Choice::Refuse {
                reason: RefusalReason::Cold,
                ..
            }
        ),
        "{choice:?}"
    );
}

#[test]
fn prompts_with_same_prefix_go_to_same_engine() {
    let engines = ["e-1", "e-2", "e-3"].map(|name| record(name, "text", &["a"]));
    let mut dispatcher = dispatcher(engines.to_vec());
    let mut chosen = Vec::new();
    for now in [0, 200, 400, 600] {
        let mut ticket = begin(&mut dispatcher, now, "/text/", Some("a"));
        let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) else {
            panic!("not sent although an instance has free capacity");
        };
        dispatcher.record_send_outcome(
            at(now + 100),
            &ticket.send_record(&instance),
            SendOutcome::Responded(Duration::from_millis(50)),
        );
        chosen.push(instance);
    }
    assert!(
        chosen.windows(2).all(|pair| pair[0] == pair[1]),
        "{chosen:?}"
    );
}

/// A rejection for a missing adapter must not hide the whole model.
#[test]
fn misdirection_excludes_only_the_requested_adapter_and_only_briefly() {
    let mut engine = record("e-1", "text", &["a"]);
    engine.models[0].adapters = vec!["x".into(), "y".into()];
    let mut dispatcher = dispatcher(vec![engine]);
    let mut is_sent = |now: u64, adapter: &str| {
        let mut ticket = begin(&mut dispatcher, now, "/text/", Some("a"));
        ticket.description.adapter = Some(adapter.into());
        let choice = dispatcher.choose(at(now), &mut ticket);
        let sent = matches!(choice, Choice::Send { .. });
        if sent && now == 0 {
            dispatcher.record_send_outcome(
                at(1),
                &ticket.send_record(&"e-1".into()),
                SendOutcome::Misdirected,
            );
        } else if sent {
            let end = SendOutcome::Responded(Duration::from_millis(5));
            dispatcher.record_send_outcome(at(now + 5), &ticket.send_record(&"e-1".into()), end);
        }
        sent
    };
    assert!(is_sent(0, "x"));
    assert!(!is_sent(10, "x"));
    assert!(is_sent(20, "y"));
    assert!(is_sent(400, "x"));
}

/// Repeated choices for a waiting request must not consume the retry budget.
#[test]
fn waiting_for_retry_consumes_no_budget() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["a"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Send { .. }
    ));
    dispatcher.record_send_outcome(
        at(1),
        &ticket.send_record(&"e-1".into()),
        SendOutcome::Misdirected,
    );
    for now in 2..200 {
        dispatcher.choose(at(now), &mut ticket);
    }
    dispatcher.update(
        at(200),
        update(1, None, vec![record("e-2", "text", &["a"])]),
    );
    assert!(matches!(
        dispatcher.choose(at(200), &mut ticket),
        Choice::Send { .. }
    ));
}

#[test]
fn replaced_instance_is_removed_and_reported() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["a"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Send { .. }
    ));
    dispatcher.record_send_outcome(
        at(1),
        &ticket.send_record(&"e-1".into()),
        SendOutcome::Replaced,
    );
    assert_eq!(dispatcher.instance_count(), 0);
    assert_eq!(dispatcher.report(at(0)).inconsistent, ["e-1".into()]);
}

#[test]
fn attempts_of_a_route_are_bounded() {
    let instances = ["i-1", "i-2", "i-3"].map(|name| record(name, "web", &[]));
    let mut dispatcher = dispatcher(instances.to_vec());
    let mut ticket = begin(&mut dispatcher, 0, "/web/again/", None);
    for now in [0, 1] {
        let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) else {
            panic!("not sent although an attempt is left");
        };
        dispatcher.record_send_outcome(
            at(now),
            &ticket.send_record(&instance),
            SendOutcome::Failed,
        );
    }
    let refused = dispatcher.choose(at(2), &mut ticket);
    assert!(matches!(
        refused,
        Choice::Refuse {
            reason: RefusalReason::NoAttempts,
            ..
        }
    ));
}

proptest! {
    /// The retries of all gateways in any window stay within the budget.
    #[test]
    fn the_retry_budget_holds_over_all_gateways(
        steps in prop::collection::vec((0_usize..4, 0_u64..400, prop::bool::ANY), 1..400),
    ) {
        let window = Duration::from_secs(10);
        let terms = BudgetTerms { window, ratio: 0.2, slack: 10.0, gateways: 4 };
        let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries, mut now) = (Vec::new(), Vec::new(), 0);
        for (gateway, pause, retry) in steps {
            now += pause;
            if retry {
                if budgets[gateway].try_consume(at(now), &terms) {
                    retries.push(now);
                }
            } else {
                budgets[gateway].record_request(at(now), window);
                requests.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|time| **time + 10_000 > now).count();
            // Requests of this window and the one before allow retries.
            let counted = requests.iter().filter(|time| **time + 20_000 > now).count();
            prop_assert!(within(&retries) as f64 <= 0.2 * counted as f64 + 10.0);
        }
    }
}

/// Weights hold for a few hundred requests, also when each gateway receives only some of them.
#[rstest]
#[case::alone(1, 300)]
#[case::seven_gateways(7, 43)]
fn weighted_targets_get_their_shares_within_one_percent(#[case] gateways: u32, #[case] each: u32) {
    let mut split = route("/split/", RouteKind::Repeatable, "web");
    split.targets = vec![
        RouteTarget {
            service: "web".into(),
            weight: 90,
        },
        RouteTarget {
            service: "text".into(),
            weight: 10,
        },
    ];
    let split = std::sync::Arc::new(split);
    let mut to_smaller = 0;
    for gateway in 0..gateways {
        let mut dispatcher = started();
        let draw = f64::from(gateway) / f64::from(gateways);
        for request in 0..u64::from(each) {
            let ticket = dispatcher.begin(
                at(request),
                split.clone(),
                None,
                RequestDescription::default(),
                draw,
            );
            to_smaller += u32::from(ticket.service == "text".into());
        }
    }
    let share = f64::from(to_smaller) / f64::from(gateways * each);
    assert!((share - 0.1).abs() < 0.01, "{share}");
}

/// A stopping gateway must not hold requests for cold models until its connections close.
#[rstest]
#[case::loads_in_time(6_000, false)]
#[case::loads_too_late(2_500, true)]
fn stopping_gateway_refuses_requests_it_cannot_serve_in_time(
    #[case] ends: u64,
    #[case] refused: bool,
) {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["b"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    // Too late for an early refusal.
    let waits = dispatcher.choose(at(300), &mut ticket);
    assert!(matches!(waits, Choice::Wait { .. }), "{waits:?}");
    dispatcher.stop_at(at(ends));
    let choice = dispatcher.choose(at(310), &mut ticket);
    let Choice::Refuse {
        reason,
        retry_after,
    } = choice
    else {
        assert!(!refused, "{choice:?}");
        return;
    };
    assert!(refused);
    assert_eq!(reason, RefusalReason::Stopping);
    assert!(retry_after < Duration::from_millis(1_000));
}

#[test]
fn instance_filled_by_other_gateways_is_avoided() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[]), record("i-2", "web", &[])]);
    let mut received = update(1, None, Vec::new());
    received.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 3,
    }];
    dispatcher.update(at(0), received);
    for now in 1..4 {
        let mut ticket = begin(&mut dispatcher, now, "/web/", None);
        let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) else {
            panic!("not sent although an instance has free capacity");
        };
        assert_eq!(instance, "i-2".into());
        dispatcher.record_send_outcome(
            at(now),
            &ticket.send_record(&instance),
            SendOutcome::Abandoned,
        );
    }
}

/// Without a leader, the last loads received must not exclude an instance for good.
#[test]
fn loads_of_other_gateways_decay_without_updates() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut received = update(1, None, Vec::new());
    received.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), received);
    let mut ticket = begin(&mut dispatcher, 1, "/web/", None);
    let full = dispatcher.choose(at(1), &mut ticket);
    assert!(matches!(full, Choice::Wait { .. }), "{full:?}");
    let mut later = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut later);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

#[test]
fn own_requests_in_flight_are_reported_and_not_counted_twice() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut sent = 0;
    for now in 0..3 {
        let mut ticket = begin(&mut dispatcher, now, "/web/", None);
        let choice = dispatcher.choose(at(now), &mut ticket);
        sent += u32::from(matches!(choice, Choice::Send { .. }));
    }
    let report = dispatcher.report(at(0));
    let load = InstanceLoad {
        instance: "i-1".into(),
        in_flight: sent,
    };
    assert_eq!(report.in_flight, vec![load.clone()]);
    let mut received = update(1, None, Vec::new());
    received.loads = vec![load];
    dispatcher.update(at(10), received);
    let mut ticket = begin(&mut dispatcher, 11, "/web/", None);
    let choice = dispatcher.choose(at(11), &mut ticket);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// A new leader lists instances in several updates; those missing from the complete list are
/// removed.
#[test]
fn instances_missing_from_complete_list_of_new_leader_are_removed() {
    let known = vec![record("i-1", "web", &[]), record("i-2", "web", &[])];
    let mut dispatcher = dispatcher(known);
    let listing = |first, complete, instances| GatewayUpdate {
        first,
        complete,
        ..update(2, None, instances)
    };
    dispatcher.update(at(1), listing(true, false, vec![record("i-1", "web", &[])]));
    assert_eq!(dispatcher.instance_count(), 2, "the list is not complete");
    dispatcher.update(
        at(2),
        listing(false, false, vec![record("i-3", "web", &[])]),
    );
    let outcome = dispatcher.update(at(3), listing(false, true, Vec::new()));
    assert_eq!(outcome.removed, 1);
    assert_eq!(dispatcher.instance_count(), 2);
    dispatcher.update(at(4), listing(false, true, vec![record("i-4", "web", &[])]));
    assert_eq!(
        dispatcher.instance_count(),
        3,
        "later updates list only what changed"
    );
}

/// A reconnecting gateway reports its known instances once per connection.
#[test]
fn first_report_on_a_connection_contains_instance_digests() {
    let known = vec![record("i-1", "web", &[]), record("i-2", "web", &[])];
    let mut dispatcher = dispatcher(known.clone());
    let mut digests: Vec<u64> = known.iter().map(InstanceRecord::digest).collect();
    digests.sort_unstable();
    let reported = |dispatcher: &mut Dispatcher| {
        let mut reported = dispatcher.report(at(0)).known_instance_digests;
        reported.sort_unstable();
        reported
    };
    // The very first report was sent before any instance was known.
    dispatcher.connection_ended();
    assert_eq!(reported(&mut dispatcher), digests);
    assert_eq!(reported(&mut dispatcher), []);
    dispatcher.connection_ended();
    assert_eq!(reported(&mut dispatcher), digests);
}

#[test]
fn unchanged_instances_count_as_listed() {
    let known = ["i-1", "i-2", "i-3"].map(|name| record(name, "web", &[]));
    let mut dispatcher = dispatcher(known.to_vec());
    let kept = GatewayUpdate {
        first: true,
        complete: false,
        unchanged_instance_digests: vec![known[0].digest(), known[2].digest()],
        ..update(2, None, Vec::new())
    };
    dispatcher.update(at(1), kept);
    assert_eq!(dispatcher.instance_count(), 3, "the list is not complete");
    let outcome = dispatcher.update(at(2), update(2, None, Vec::new()));
    assert_eq!(outcome.removed, 1);
    assert_eq!(dispatcher.instance_count(), 2);
}

fn change_update(base: u64, version: u64) -> GatewayUpdate {
    let later = document(version, vec![route("/web/", RouteKind::Once, "web")]);
    GatewayUpdate {
        document_change: DocumentChange::between(&document(base, routes()), &later),
        ..update(1, None, Vec::new())
    }
}

#[test]
fn document_change_applies_only_to_its_base_version() {
    let mut dispatcher = dispatcher(Vec::new());
    let outcome = dispatcher.update(at(1), change_update(2, 3));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.mismatched_base, Some(2));
    assert_eq!(
        dispatcher.report(at(0)).version,
        1,
        "makes the leader send the whole document"
    );
    assert!(dispatcher.route(at(0), "h.example", "/text/x").is_ok());
    let outcome = dispatcher.update(at(2), change_update(1, 3));
    assert_eq!(outcome.version, Some(3));
    assert_eq!(outcome.mismatched_base, None);
    assert_eq!(dispatcher.report(at(0)).version, 3);
    assert!(dispatcher.route(at(0), "h.example", "/text/x").is_err());
    let outcome = dispatcher.update(at(3), change_update(1, 3));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.mismatched_base, None, "it is already in force");
}

/// A provisional copy is no base for a change; the gateway is sent the whole document.
#[test]
fn document_change_is_not_applied_to_provisional_copy() {
    let mut dispatcher = Dispatcher::new(settings());
    let copy = GatewayUpdate {
        provisional: true,
        ..update(0, Some(document(1, routes())), Vec::new())
    };
    dispatcher.update(at(0), copy);
    let outcome = dispatcher.update(at(1), change_update(1, 2));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.mismatched_base, Some(1));
}

/// Loads reported as unchanged count as received again; they decay only without updates.
#[rstest]
#[case::unchanged(true)]
#[case::no_update(false)]
fn unchanged_loads_do_not_decay(#[case] unchanged: bool) {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut received = update(1, None, Vec::new());
    received.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), received);
    let same = GatewayUpdate {
        loads_unchanged: unchanged,
        document_version: 0,
        ready_estimates_unchanged: true,
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(20_000), same);
    let mut ticket = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut ticket);
    assert_eq!(
        matches!(choice, Choice::Wait { .. }),
        unchanged,
        "{choice:?}"
    );
}

/// Loads of a connection are not reused on the next one.
#[test]
fn loads_of_ended_connection_are_discarded() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut received = update(1, None, Vec::new());
    received.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), received);
    dispatcher.connection_ended();
    let same = GatewayUpdate {
        loads_unchanged: true,
        document_version: 0,
        paces: Vec::new(),
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(20_000), same);
    let mut ticket = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut ticket);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// Unchanged estimates are omitted from an update and must be kept.
#[rstest]
#[case::same(true, 1)]
#[case::replaced(false, 0)]
fn unchanged_ready_estimates_are_kept(#[case] unchanged: bool, #[case] expected: usize) {
    let mut dispatcher = dispatcher(Vec::new());
    let estimate = ModelReadyEstimate {
        service: "text".into(),
        model: "m".into(),
        adapter: None,
        ready_in_millis: 500,
    };
    let received = GatewayUpdate {
        ready_estimates: vec![estimate],
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(0), received);
    let next = GatewayUpdate {
        ready_estimates_unchanged: unchanged,
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(100), next);
    assert_eq!(dispatcher.pending_models(), expected);
}

fn estimate(model: &str, ready_in_millis: u64) -> ModelReadyEstimate {
    ModelReadyEstimate {
        service: "text".into(),
        model: model.into(),
        adapter: None,
        ready_in_millis,
    }
}

/// Guards against a moved estimate that is kept beside the previous one, which is earlier, and
/// against ended estimates that are kept.
#[test]
fn moved_and_ended_estimates_replace_the_previous_ones() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["other"])]);
    let received = GatewayUpdate {
        ready_estimates: vec![estimate("a", 200), estimate("b", 200)],
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(0), received);
    let moved = GatewayUpdate {
        ready_estimates_unchanged: true,
        moved_estimates: vec![estimate("a", 700)],
        ended_estimates: vec![EstimateKey {
            service: "text".into(),
            model: "b".into(),
            adapter: None,
        }],
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(100), moved);
    assert_eq!(dispatcher.pending_models(), 1);
    let mut ticket = begin(&mut dispatcher, 100, "/text/", Some("a"));
    let choice = dispatcher.choose(at(100), &mut ticket);
    let Choice::Refuse { retry_after, .. } = choice else {
        panic!("the model is ready after the objective: {choice:?}");
    };
    assert!(retry_after >= Duration::from_millis(700), "{retry_after:?}");
}

/// Copies of a model are kept when an update names only the changes, and determine the estimate of
/// its load.
#[test]
fn changed_contents_keep_the_other_copies() {
    let mut dispatcher = dispatcher(Vec::new());
    let mut announced = record("e-1", "text", &["a"]);
    announced.in_memory = vec!["x".into(), "y".into()];
    announced.on_disk = vec!["z".into()];
    dispatcher.update(at(0), update(1, None, vec![announced.clone()]));
    let contents = |added: &str, removed: &str| InstanceContents {
        instance: announced.instance.clone(),
        models: record("e-1", "text", &["b"]).models,
        added_in_memory: vec![added.into()],
        removed_in_memory: vec![removed.into()],
        added_on_disk: Vec::new(),
        removed_on_disk: Vec::new(),
    };
    for _ in 0..2 {
        let outcome = dispatcher.update(
            at(100),
            GatewayUpdate {
                contents: vec![contents("w", "x")],
                ..update(1, None, Vec::new())
            },
        );
        assert_eq!(outcome.changed_contents, 1);
    }
    dispatcher.connection_ended();
    let digests = dispatcher.report(at(200)).known_instance_digests;
    let expected = InstanceRecord {
        models: record("e-1", "text", &["b"]).models,
        in_memory: vec!["y".into(), "w".into()],
        ..announced.clone()
    };
    assert_eq!(digests, [expected.digest()]);
}
