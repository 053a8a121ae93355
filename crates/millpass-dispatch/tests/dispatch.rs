//! Routes, choices, waits, refusals and the retry budget.

use millpass_dispatch::{
    BudgetTerms, Choice, Description, DispatchSettings, Dispatcher, FreshnessSettings, PromptPart,
    RefusalReason, RetryBudget, RouteError, SendEnd, Ticket,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTerms;
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
        default_patience: Duration::from_secs(15),
        quota: QuotaTerms::default(),
        key_lifetime: None,
        freshness: FreshnessSettings {
            in_force: Duration::from_secs(3_600),
            departed: Duration::from_secs(3_600),
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
        document,
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
    }
}

fn routes() -> Vec<RouteSpec> {
    vec![
        route("/web/", RouteKind::Once, "web"),
        route("/web/again/", RouteKind::Repeatable, "web"),
        route("/text/", RouteKind::Stream, "text"),
    ]
}

/// A gateway whose first report is on its way; updates answer it.
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
    let description = Description {
        attempt: "r".to_owned(),
        patience: Some(Duration::from_millis(5_000)),
        model: model.map(Into::into),
        adapter: None,
        prompt: vec![PromptPart {
            identity: 7,
            tokens: 1_000,
        }],
        ..Description::default()
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
fn without_a_document_nothing_is_known_to_be_absent() {
    let dispatcher = started();
    let error = dispatcher
        .route(at(0), "h.example", "/web/")
        .expect_err("no document");
    assert_eq!(error, RouteError::NotConfigured);
}

#[test]
fn neither_an_older_document_nor_an_older_leader_is_taken() {
    let mut dispatcher = dispatcher(Vec::new());
    dispatcher.update(at(1), update(3, Some(document(5, Vec::new())), Vec::new()));
    dispatcher.update(at(2), update(4, Some(document(4, routes())), Vec::new()));
    assert_eq!(dispatcher.table().expect("table").version(), 5);
    let outcome = dispatcher.update(at(3), update(2, Some(document(9, routes())), Vec::new()));
    assert!(outcome.stale);
    assert_eq!(dispatcher.table().expect("table").version(), 5);
}

/// What a member that follows passes on is committed: it is taken wherever it is newer, also after a leader spoke, and
/// never where it is older.
#[test]
fn what_another_member_passes_on_is_taken_when_it_is_newer() {
    let passed_on = |version, as_of| GatewayUpdate {
        provisional: true,
        as_of,
        ..update(
            0,
            Some(document(version, routes())),
            vec![record("i-1", "web", &[])],
        )
    };
    let mut dispatcher = started();
    assert_eq!(dispatcher.update(at(0), passed_on(3, 30)).version, Some(3));
    assert!(dispatcher.update(at(1), passed_on(2, 20)).stale, "older");
    assert!(dispatcher.update(at(1), passed_on(3, 30)).stale, "the same");
    assert_eq!(dispatcher.update(at(1), passed_on(4, 40)).version, Some(4));
    let report = dispatcher.report(at(1));
    assert_eq!((report.version, report.as_of), (4, 40));
    let named = vec![record("i-2", "web", &[]), record("i-3", "web", &[])];
    let mut by_leader = update(1, Some(document(5, routes())), named);
    by_leader.as_of = 50;
    dispatcher.update(at(2), by_leader);
    assert!(dispatcher.update(at(3), passed_on(4, 45)).stale, "older");
    assert_eq!(dispatcher.update(at(3), passed_on(6, 60)).version, Some(6));
    assert_eq!(dispatcher.table().expect("table").version(), 6);
    assert_eq!(
        dispatcher.instance_count(),
        2,
        "the leader's word on instances stands"
    );
}

#[test]
fn a_draining_instance_gets_nothing_even_if_a_later_word_calls_it_ready() {
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
fn an_instance_that_cannot_be_reached_is_left_out_for_a_while() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[]), record("i-2", "web", &[])]);
    let mut ticket = begin(&mut dispatcher, 0, "/web/", None);
    let Choice::Send { instance, .. } = dispatcher.choose(at(0), &mut ticket) else {
        panic!("room is free");
    };
    dispatcher.ended(at(1), &ticket.record(&instance), SendEnd::Unreachable);
    for now in [2, 100, 400] {
        let mut next = begin(&mut dispatcher, now, "/web/", None);
        let Choice::Send {
            instance: other, ..
        } = dispatcher.choose(at(now), &mut next)
        else {
            panic!("room is free");
        };
        assert_ne!(other, instance);
    }
}

#[test]
fn a_cold_model_is_refused_early_with_the_time_to_come_back_and_its_need_is_reported() {
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
fn a_cold_model_is_waited_for_when_it_comes_in_time() {
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

/// Found on the operators' platform: callers of streams leave long before their deadline when nothing
/// comes, and waited for loads that end later.
#[test]
fn a_caller_that_will_have_left_before_the_load_ends_is_refused_at_once() {
    let mut specification = route("/text/", RouteKind::Stream, "text");
    specification.first_event_millis = 700;
    let mut dispatcher = started();
    let engines = vec![record("e-1", "text", &["b"])];
    dispatcher.update(
        at(0),
        update(1, Some(document(1, vec![specification])), engines),
    );
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    // Late enough that it is no early refusal any more.
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
fn prompts_with_the_same_beginning_go_to_the_same_engine_until_it_is_loaded() {
    let engines = ["e-1", "e-2", "e-3"].map(|name| record(name, "text", &["a"]));
    let mut dispatcher = dispatcher(engines.to_vec());
    let mut chosen = Vec::new();
    for now in [0, 200, 400, 600] {
        let mut ticket = begin(&mut dispatcher, now, "/text/", Some("a"));
        let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) else {
            panic!("room is free");
        };
        dispatcher.ended(
            at(now + 100),
            &ticket.record(&instance),
            SendEnd::Answered(Duration::from_millis(50)),
        );
        chosen.push(instance);
    }
    assert!(
        chosen.windows(2).all(|pair| pair[0] == pair[1]),
        "{chosen:?}"
    );
}

/// Found on the operators' platform: one request that came before its adapter was there took the
/// whole model from the gateway's view.
#[test]
fn a_misdirected_request_leaves_out_only_what_was_asked_for_and_only_for_a_moment() {
    let mut engine = record("e-1", "text", &["a"]);
    engine.models[0].adapters = vec!["x".into(), "y".into()];
    let mut dispatcher = dispatcher(vec![engine]);
    let mut ask = |now: u64, adapter: &str| {
        let mut ticket = begin(&mut dispatcher, now, "/text/", Some("a"));
        ticket.description.adapter = Some(adapter.into());
        let choice = dispatcher.choose(at(now), &mut ticket);
        let sent = matches!(choice, Choice::Send { .. });
        if sent && now == 0 {
            dispatcher.ended(at(1), &ticket.record(&"e-1".into()), SendEnd::Misdirected);
        } else if sent {
            let end = SendEnd::Answered(Duration::from_millis(5));
            dispatcher.ended(at(now + 5), &ticket.record(&"e-1".into()), end);
        }
        sent
    };
    assert!(ask(0, "x"));
    assert!(!ask(10, "x"));
    assert!(ask(20, "y"));
    assert!(ask(400, "x"));
}

/// Found on the operators' platform: each look at a request that waited took from the budget.
#[test]
fn waiting_for_a_repeat_takes_nothing_from_the_budget() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["a"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Send { .. }
    ));
    dispatcher.ended(at(1), &ticket.record(&"e-1".into()), SendEnd::Misdirected);
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
fn an_instance_that_another_run_has_replaced_gets_nothing_more() {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["a"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Send { .. }
    ));
    dispatcher.ended(at(1), &ticket.record(&"e-1".into()), SendEnd::Replaced);
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
            panic!("an attempt is left");
        };
        dispatcher.ended(at(now), &ticket.record(&instance), SendEnd::Failed);
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
    /// Whatever the arrivals, the repeats of all gateways in any window stay within the budget.
    #[test]
    fn the_retry_budget_holds_over_all_gateways(
        steps in prop::collection::vec((0_usize..4, 0_u64..400, prop::bool::ANY), 1..400),
    ) {
        let window = Duration::from_secs(10);
        let terms = BudgetTerms { window, ratio: 0.2, slack: 10.0, gateways: 4 };
        let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut repeats, mut now) = (Vec::new(), Vec::new(), 0);
        for (gateway, pause, repeat) in steps {
            now += pause;
            if repeat {
                if budgets[gateway].take(at(now), &terms) {
                    repeats.push(now);
                }
            } else {
                budgets[gateway].request(at(now), window);
                requests.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|time| **time + 10_000 > now).count();
            // Requests of this window or of the one before allow for repeats.
            let counted = requests.iter().filter(|time| **time + 20_000 > now).count();
            prop_assert!(within(&repeats) as f64 <= 0.2 * counted as f64 + 10.0);
        }
    }
}

/// Each part of a split gets its weight's share of some hundred requests, over gateways that each see
/// only some of them. With a draw for each request, 300 were off by up to five percent.
#[rstest]
#[case::alone(1, 300)]
#[case::seven_gateways(7, 43)]
fn a_split_gets_its_shares_within_a_hundredth(#[case] gateways: u32, #[case] each: u32) {
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
    let mut of_small = 0;
    for gateway in 0..gateways {
        let mut dispatcher = started();
        let draw = f64::from(gateway) / f64::from(gateways);
        for request in 0..u64::from(each) {
            let ticket = dispatcher.begin(
                at(request),
                split.clone(),
                None,
                Description::default(),
                draw,
            );
            of_small += u32::from(ticket.service == "text".into());
        }
    }
    let share = f64::from(of_small) / f64::from(gateways * each);
    assert!((share - 0.1).abs() < 0.01, "{share}");
}

/// Found on the operators' platform: a gateway that was told to stop held requests for cold models until
/// its own end, where their connections closed without an answer.
#[rstest]
#[case::comes_in_time(6_000, false)]
#[case::comes_too_late(2_500, true)]
fn a_gateway_that_stops_refuses_what_it_cannot_answer_before_its_end(
    #[case] ends: u64,
    #[case] refused: bool,
) {
    let mut dispatcher = dispatcher(vec![record("e-1", "text", &["b"])]);
    let mut ticket = begin(&mut dispatcher, 0, "/text/", Some("a"));
    // Late enough that it is no early refusal any more.
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
fn an_instance_that_other_gateways_have_filled_is_passed_over() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[]), record("i-2", "web", &[])]);
    let mut told = update(1, None, Vec::new());
    told.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 3,
    }];
    dispatcher.update(at(0), told);
    for now in 1..4 {
        let mut ticket = begin(&mut dispatcher, now, "/web/", None);
        let Choice::Send { instance, .. } = dispatcher.choose(at(now), &mut ticket) else {
            panic!("room is free");
        };
        assert_eq!(instance, "i-2".into());
        dispatcher.ended(at(now), &ticket.record(&instance), SendEnd::GivenUp);
    }
}

/// Without a leader nobody tells loads any more: what was told last must not shut an instance out.
#[test]
fn what_was_told_of_other_gateways_is_forgotten_when_nobody_tells_it_any_more() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut told = update(1, None, Vec::new());
    told.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), told);
    let mut ticket = begin(&mut dispatcher, 1, "/web/", None);
    let full = dispatcher.choose(at(1), &mut ticket);
    assert!(matches!(full, Choice::Wait { .. }), "{full:?}");
    let mut later = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut later);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

#[test]
fn a_gateway_reports_its_requests_in_flight_and_does_not_count_them_twice() {
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
    let mut told = update(1, None, Vec::new());
    told.loads = vec![load];
    dispatcher.update(at(10), told);
    let mut ticket = begin(&mut dispatcher, 11, "/web/", None);
    let choice = dispatcher.choose(at(11), &mut ticket);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// A new leader tells what it knows at once and says later that it knows all: what was not named by then is gone,
/// and nothing is told twice.
#[test]
fn instances_that_a_new_leader_does_not_name_are_gone_once_it_knows_all() {
    let known = vec![record("i-1", "web", &[]), record("i-2", "web", &[])];
    let mut dispatcher = dispatcher(known);
    let told = |first, complete, instances| GatewayUpdate {
        first,
        complete,
        ..update(2, None, instances)
    };
    dispatcher.update(at(1), told(true, false, vec![record("i-1", "web", &[])]));
    assert_eq!(
        dispatcher.instance_count(),
        2,
        "it may not have heard of the other"
    );
    dispatcher.update(at(2), told(false, false, vec![record("i-3", "web", &[])]));
    let outcome = dispatcher.update(at(3), told(false, true, Vec::new()));
    assert_eq!(outcome.removed, 1);
    assert_eq!(dispatcher.instance_count(), 2);
    dispatcher.update(at(4), told(false, true, vec![record("i-4", "web", &[])]));
    assert_eq!(
        dispatcher.instance_count(),
        3,
        "later updates name what changed"
    );
}

/// A gateway that comes back says what it holds of instances: once on each connection.
#[test]
fn the_first_report_on_a_connection_tells_what_is_known_of_instances() {
    let known = vec![record("i-1", "web", &[]), record("i-2", "web", &[])];
    let mut dispatcher = dispatcher(known.clone());
    let mut digests: Vec<u64> = known.iter().map(InstanceRecord::digest).collect();
    digests.sort_unstable();
    let told = |dispatcher: &mut Dispatcher| {
        let mut told = dispatcher.report(at(0)).known_instance_digests;
        told.sort_unstable();
        told
    };
    // Its very first report left when it knew nothing.
    dispatcher.connection_ended();
    assert_eq!(told(&mut dispatcher), digests);
    assert_eq!(told(&mut dispatcher), []);
    dispatcher.connection_ended();
    assert_eq!(told(&mut dispatcher), digests);
}

#[test]
fn instances_that_a_leader_keeps_count_as_named() {
    let known = ["i-1", "i-2", "i-3"].map(|name| record(name, "web", &[]));
    let mut dispatcher = dispatcher(known.to_vec());
    let kept = GatewayUpdate {
        first: true,
        complete: false,
        unchanged_instance_digests: vec![known[0].digest(), known[2].digest()],
        ..update(2, None, Vec::new())
    };
    dispatcher.update(at(1), kept);
    assert_eq!(dispatcher.instance_count(), 3, "not all are named yet");
    let outcome = dispatcher.update(at(2), update(2, None, Vec::new()));
    assert_eq!(outcome.removed, 1);
    assert_eq!(dispatcher.instance_count(), 2);
}

fn changed(base: u64, version: u64) -> GatewayUpdate {
    let later = document(version, vec![route("/web/", RouteKind::Once, "web")]);
    GatewayUpdate {
        document_change: DocumentChange::between(&document(base, routes()), &later),
        ..update(1, None, Vec::new())
    }
}

#[test]
fn a_change_is_applied_to_the_version_that_it_begins_from_and_to_no_other() {
    let mut dispatcher = dispatcher(Vec::new());
    let outcome = dispatcher.update(at(1), changed(2, 3));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.unfit_change, Some(2));
    assert_eq!(
        dispatcher.report(at(0)).version,
        1,
        "by this the leader sends it whole"
    );
    assert!(dispatcher.route(at(0), "h.example", "/text/x").is_ok());
    let outcome = dispatcher.update(at(2), changed(1, 3));
    assert_eq!(outcome.version, Some(3));
    assert_eq!(outcome.unfit_change, None);
    assert_eq!(dispatcher.report(at(0)).version, 3);
    assert!(dispatcher.route(at(0), "h.example", "/text/x").is_err());
    let outcome = dispatcher.update(at(3), changed(1, 3));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.unfit_change, None, "it is there already");
}

/// A copy of a member that does not lead is no base: the gateway reports none and is told the whole.
#[test]
fn a_change_is_not_applied_to_a_provisional_copy() {
    let mut dispatcher = Dispatcher::new(settings());
    let copy = GatewayUpdate {
        provisional: true,
        ..update(0, Some(document(1, routes())), Vec::new())
    };
    dispatcher.update(at(0), copy);
    let outcome = dispatcher.update(at(1), changed(1, 2));
    assert_eq!(outcome.version, None);
    assert_eq!(outcome.unfit_change, Some(1));
}

/// Loads that stand as told count as told anew: what all gateways have in flight fades only while nothing is heard.
#[rstest]
#[case::heard(true)]
#[case::silence(false)]
fn loads_that_are_the_same_are_taken_as_if_told_again(#[case] heard: bool) {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut told = update(1, None, Vec::new());
    told.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), told);
    let same = GatewayUpdate {
        loads_unchanged: heard,
        document_version: 0,
        ready_estimates_unchanged: true,
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(20_000), same);
    let mut ticket = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut ticket);
    assert_eq!(matches!(choice, Choice::Wait { .. }), heard, "{choice:?}");
}

/// Loads of one connection do not outlive it: the next leader tells its own.
#[test]
fn loads_of_an_ended_connection_are_not_taken_again() {
    let mut dispatcher = dispatcher(vec![record("i-1", "web", &[])]);
    let mut told = update(1, None, Vec::new());
    told.loads = vec![InstanceLoad {
        instance: "i-1".into(),
        in_flight: 1_000,
    }];
    dispatcher.update(at(0), told);
    dispatcher.connection_ended();
    let same = GatewayUpdate {
        loads_unchanged: true,
        document_version: 0,
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(20_000), same);
    let mut ticket = begin(&mut dispatcher, 20_000, "/web/", None);
    let choice = dispatcher.choose(at(20_000), &mut ticket);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// An outlook that is left out stays, and its times go on.
#[rstest]
#[case::same(true, 1)]
#[case::told_anew(false, 0)]
fn an_outlook_that_is_the_same_stays(#[case] outlook_same: bool, #[case] expected: usize) {
    let mut dispatcher = dispatcher(Vec::new());
    let outlook = ModelReadyEstimate {
        service: "text".into(),
        model: "m".into(),
        adapter: None,
        ready_in_millis: 500,
    };
    let told = GatewayUpdate {
        ready_estimates: vec![outlook],
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(0), told);
    let next = GatewayUpdate {
        ready_estimates_unchanged: outlook_same,
        ..update(1, None, Vec::new())
    };
    dispatcher.update(at(100), next);
    assert_eq!(dispatcher.awaited_models(), expected);
}
