//! Staleness limits of gateways that lost the leader, started without one, or received updates
//! late. A stale gateway must not report missing routes or send requests to replaced services.

use millpass_dispatch::{
    Choice, DispatchSettings, Dispatcher, Freshness, FreshnessSettings, Leadership, RefusalReason,
    RequestDescription, RouteError,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const MAX_STALENESS_MILLIS: u64 = 2_000;
const MAX_SEND_DELAY_MILLIS: u64 = 350;
const MAX_ISOLATED_STALENESS_MILLIS: u64 = 10_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn address(member: u64) -> SocketAddr {
    format!("10.0.0.{member}:7500").parse().expect("address")
}

fn document(version: u64) -> DeploymentDocument {
    let route = RouteSpec {
        name: "known".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/known/".to_owned(),
        kind: RouteKind::Once,
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
    };
    let service = ServiceSpec {
        name: "web".into(),
        health_path: String::new(),
        maximum_connections: 0,
        engine: None,
    };
    DeploymentDocument {
        version,
        routes: vec![route],
        services: vec![service],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

fn instance() -> InstanceRecord {
    InstanceRecord {
        instance: "i-1".into(),
        service: "web".into(),
        address: "10.0.1.1:80".to_owned(),
        zone: "z".into(),
        slots: 4,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

fn update(acknowledged_report: u64, as_of: u64, provisional: bool) -> GatewayUpdate {
    GatewayUpdate {
        term: u64::from(!provisional),
        complete: !provisional,
        first: !provisional,
        document: Some(document(as_of).into()),
        instances: vec![instance()],
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 1,
        members: Vec::new(),
        provisional,
        loads: Vec::new(),
        acknowledged_report,
        as_of,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: as_of,
        paces: Vec::new(),
        contents: Vec::new(),
        moved_estimates: Vec::new(),
        ended_estimates: Vec::new(),
        partial: false,
    }
}

/// A gateway with three known members.
fn gateway() -> Dispatcher {
    let mut gateway = Dispatcher::new(DispatchSettings {
        name: "g".to_owned(),
        zone: "z".into(),
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
            max_staleness: Duration::from_millis(MAX_STALENESS_MILLIS),
            max_departure_staleness: Duration::from_millis(MAX_STALENESS_MILLIS),
            max_send_delay: Duration::from_millis(MAX_SEND_DELAY_MILLIS),
            max_isolated_staleness: Duration::from_millis(MAX_ISOLATED_STALENESS_MILLIS),
        },
    });
    gateway.set_members((1..=3).map(address).collect());
    gateway
}

/// A gateway whose report at 0 ms was acknowledged: it has applied everything up to index 10.
fn confirmed() -> Dispatcher {
    let mut gateway = gateway();
    let report = gateway.report(at(0));
    gateway.update(at(20), update(report.sequence, 10, false));
    gateway
}

fn response(member: u64, round: u64, required_index: u64, voters: &[u64]) -> FreshnessResponse {
    FreshnessResponse {
        round,
        member: MemberId(member),
        required_index,
        applied: required_index,
        membership_index: 1,
        voters: voters.iter().copied().map(MemberId).collect(),
        outgoing_voters: Vec::new(),
        addresses: voters
            .iter()
            .map(|voter| address(*voter).to_string())
            .collect(),
        term: 1,
        leader: None,
    }
}

/// Begins a query round and delivers responses of these members with their required indexes.
fn query_members(gateway: &mut Dispatcher, now: u64, responses: &[(u64, u64)]) {
    let round = gateway.begin_query_round(at(now), true).expect("a round");
    for (member, required_index) in responses {
        let response = response(*member, round, *required_index, &[1, 2, 3]);
        gateway.record_freshness_response(at(now), address(*member), response);
    }
}

fn unknown_route_error(gateway: &Dispatcher, now: u64) -> RouteError {
    let route = gateway.route(at(now), "h", "/unknown/");
    route.expect_err("no such route")
}

fn serves_known_route(gateway: &Dispatcher, now: u64) -> bool {
    gateway.route(at(now), "h", "/known/a").is_ok()
}

#[test]
fn response_confirms_as_of_its_report_not_its_arrival() {
    let mut gateway = gateway();
    let report = gateway.report(at(0));
    // The response was delayed for longer than the staleness limit.
    gateway.update(at(2_500), update(report.sequence, 10, false));
    assert_eq!(gateway.freshness(at(2_500)), Freshness::Unconfirmed);
    assert_eq!(
        unknown_route_error(&gateway, 2_500),
        RouteError::Unconfirmed
    );
    let report = gateway.report(at(2_500));
    gateway.update(at(2_600), update(report.sequence, 10, false));
    assert_eq!(gateway.freshness(at(4_500)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(4_501)), Freshness::Unconfirmed);
}

/// Urgent reports are sent every few milliseconds, and a busy leader responds late.
#[test]
fn late_response_confirms_despite_many_later_reports() {
    let mut gateway = gateway();
    let first = gateway.report(at(0));
    for now in (5..1_500).step_by(5) {
        gateway.report(at(now));
    }
    gateway.update(at(1_500), update(first.sequence + 20, 10, false));
    // The acknowledged report was sent at 100 ms.
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(2_101)), Freshness::Unconfirmed);
}

#[test]
fn missing_route_is_reported_only_while_confirmed() {
    let gateway = confirmed();
    assert_eq!(
        unknown_route_error(&gateway, MAX_STALENESS_MILLIS),
        RouteError::NoRoute
    );
    assert_eq!(
        unknown_route_error(&gateway, MAX_STALENESS_MILLIS + 1),
        RouteError::Unconfirmed
    );
    assert!(
        !serves_known_route(&gateway, MAX_STALENESS_MILLIS + 1),
        "the route may have changed"
    );
}

#[test]
fn majority_without_newer_entries_confirms_without_leader() {
    let mut gateway = confirmed();
    query_members(&mut gateway, 1_900, &[(1, 10), (3, 9)]);
    assert_eq!(gateway.freshness(at(3_900)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(3_901)), Freshness::Unconfirmed);
}

#[rstest]
#[case::one_of_three(&[(1, 10)])]
#[case::one_has_more(&[(1, 10), (2, 11)])]
#[case::a_member_that_does_not_vote(&[(1, 10), (9, 10)])]
fn insufficient_responses_do_not_confirm(#[case] responses: &[(u64, u64)]) {
    let mut gateway = confirmed();
    query_members(&mut gateway, 1_900, responses);
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Unconfirmed);
}

#[test]
fn majority_without_newer_entry_outweighs_one_member_with_it() {
    let mut gateway = confirmed();
    query_members(&mut gateway, 1_900, &[(1, 10), (2, 11), (3, 10)]);
    assert_eq!(gateway.freshness(at(3_900)), Freshness::Confirmed);
}

#[test]
fn late_responses_count_from_the_start_of_their_round() {
    let mut gateway = confirmed();
    let round = gateway.begin_query_round(at(1_000), true).expect("a round");
    for member in [1, 2] {
        let response = response(member, round, 10, &[1, 2, 3]);
        gateway.record_freshness_response(at(2_800), address(member), response);
    }
    assert_eq!(gateway.freshness(at(3_000)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(3_001)), Freshness::Unconfirmed);
}

#[test]
fn joint_membership_requires_both_voter_sets() {
    let mut gateway = confirmed();
    let round = gateway.begin_query_round(at(1_900), true).expect("a round");
    let joint = |member| FreshnessResponse {
        outgoing_voters: [1, 2, 3].map(MemberId).to_vec(),
        membership_index: 7,
        ..response(member, round, 10, &[3, 4, 5])
    };
    for member in [3, 4] {
        gateway.record_freshness_response(at(1_950), address(member), joint(member));
    }
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Unconfirmed);
    gateway.record_freshness_response(at(1_960), address(1), response(1, round, 10, &[1, 2, 3]));
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Confirmed);
}

#[test]
fn starting_gateway_does_not_serve_unconfirmed_copy() {
    let mut gateway = gateway();
    gateway.update(at(0), update(0, 10, true));
    assert_eq!(gateway.freshness(at(1)), Freshness::Unconfirmed);
    assert!(!serves_known_route(&gateway, 1));
    query_members(&mut gateway, 100, &[(1, 12), (2, 12), (3, 10)]);
    assert_eq!(unknown_route_error(&gateway, 150), RouteError::Unconfirmed);
    // A member relays the newer document, beyond which a majority requires nothing.
    gateway.update(at(200), update(0, 12, true));
    assert!(serves_known_route(&gateway, 220));
    assert_eq!(unknown_route_error(&gateway, 220), RouteError::NoRoute);
}

#[test]
fn isolated_gateway_serves_known_routes_for_limited_time() {
    let mut gateway = confirmed();
    let mut now = 700;
    while now <= MAX_ISOLATED_STALENESS_MILLIS + 400 {
        query_members(&mut gateway, now, &[]);
        let expected = match now {
            0..=MAX_STALENESS_MILLIS => Freshness::Confirmed,
            _ if now <= MAX_ISOLATED_STALENESS_MILLIS => Freshness::Isolated,
            _ => Freshness::Unconfirmed,
        };
        assert_eq!(gateway.freshness(at(now)), expected, "at {now} ms");
        if expected == Freshness::Isolated {
            assert!(serves_known_route(&gateway, now));
            assert_eq!(unknown_route_error(&gateway, now), RouteError::Unconfirmed);
        }
        now += 200;
    }
}

/// A gateway that has learned of a newer entry, such as a revoked key, and then loses the members
/// must not keep serving.
#[test]
fn isolated_gateway_that_knows_of_newer_entry_stops_serving() {
    let mut gateway = confirmed();
    query_members(&mut gateway, 700, &[(2, 12)]);
    for now in (900..3_400).step_by(200) {
        query_members(&mut gateway, now, &[]);
    }
    assert_eq!(gateway.freshness(at(3_400)), Freshness::Unconfirmed);
}

#[test]
fn gateway_with_majority_contact_but_no_confirmation_refuses() {
    let mut gateway = confirmed();
    for now in (700..3_000).step_by(200) {
        query_members(&mut gateway, now, &[]);
        gateway.record_member_contact(at(now), address(1));
        gateway.record_member_contact(at(now), address(2));
    }
    assert_eq!(gateway.freshness(at(3_000)), Freshness::Unconfirmed);
}

#[test]
fn resumed_gateway_does_not_count_as_isolated() {
    let mut gateway = confirmed();
    for now in (700..2_000).step_by(200) {
        query_members(&mut gateway, now, &[]);
    }
    // It was suspended from 1.9 s to 6 s: missing responses prove nothing.
    assert_eq!(gateway.freshness(at(6_000)), Freshness::Unconfirmed);
    query_members(&mut gateway, 6_000, &[]);
    assert_eq!(gateway.freshness(at(6_100)), Freshness::Unconfirmed);
    query_members(&mut gateway, 6_200, &[(2, 10), (3, 10)]);
    assert_eq!(gateway.freshness(at(6_200)), Freshness::Confirmed);
}

#[test]
fn request_waits_briefly_for_confirmation_then_is_refused() {
    let mut gateway = confirmed();
    let route = gateway.route(at(1_990), "h", "/known/a").expect("route");
    let mut ticket = gateway.begin(at(1_990), route, None, RequestDescription::default(), 0.5);
    assert_eq!(
        gateway.choose(at(2_010), &mut ticket),
        Choice::Wait { until: at(2_310) }
    );
    let refused = gateway.choose(at(2_310), &mut ticket);
    assert!(matches!(
        refused,
        Choice::Refuse {
            reason: RefusalReason::Unconfirmed,
            ..
        }
    ));
    query_members(&mut gateway, 2_320, &[(1, 10), (2, 10)]);
    assert!(matches!(
        gateway.choose(at(2_330), &mut ticket),
        Choice::Send { .. }
    ));
}

/// For a leaving instance the arrival time of the request counts.
#[rstest]
#[case::in_time(MAX_STALENESS_MILLIS - MAX_SEND_DELAY_MILLIS, true)]
#[case::too_late(MAX_STALENESS_MILLIS - MAX_SEND_DELAY_MILLIS + 1, false)]
fn request_is_sent_only_if_it_arrives_within_the_staleness_limit(
    #[case] now: u64,
    #[case] sent: bool,
) {
    let mut gateway = confirmed();
    let route = gateway.route(at(now), "h", "/known/a").expect("route");
    let mut ticket = gateway.begin(at(now), route, None, RequestDescription::default(), 0.5);
    let choice = gateway.choose(at(now), &mut ticket);
    assert_eq!(matches!(choice, Choice::Send { .. }), sent, "{choice:?}");
}

/// Queries may be lost or members too busy to respond while late updates of the leader arrive.
#[test]
fn gateway_with_leader_contact_is_not_isolated() {
    let mut gateway = confirmed();
    for now in (700..2_400).step_by(200) {
        query_members(&mut gateway, now, &[]);
    }
    gateway.update(at(2_300), update(0, 10, false));
    assert_eq!(gateway.freshness(at(2_400)), Freshness::Unconfirmed);
}

#[test]
fn leadership_follows_the_highest_term() {
    let mut gateway = confirmed();
    assert_eq!(gateway.leadership(at(0)), Leadership::Unknown);
    let round = gateway.begin_query_round(at(1_000), true).expect("a round");
    let reports = |member, term, leader: Option<u64>| FreshnessResponse {
        term,
        leader: leader.map(|leader| address(leader).to_string()),
        ..response(member, round, 10, &[1, 2, 3])
    };
    gateway.record_freshness_response(at(1_000), address(1), reports(1, 3, Some(2)));
    assert_eq!(
        gateway.leadership(at(1_000)),
        Leadership::Leader(address(2))
    );
    gateway.record_freshness_response(at(1_000), address(3), reports(3, 4, None));
    assert_eq!(gateway.leadership(at(1_000)), Leadership::NoLeader);
    assert_eq!(gateway.leadership(at(2_100)), Leadership::Unknown);
}

/// Logs of a group, as far as gateways require them: each member holds a prefix of the leader's
/// log.
#[derive(Debug)]
struct Group {
    /// Highest index in each member's log.
    logs: Vec<u64>,
    /// Acknowledged index, and when.
    acknowledged: Vec<(u64, u64)>,
}

impl Group {
    fn committed(&self) -> u64 {
        let mut logs = self.logs.clone();
        logs.sort_unstable_by(|left, right| right.cmp(left));
        logs[logs.len() / 2]
    }

    /// Returns the newest index acknowledged at this time or before.
    fn acknowledged_by(&self, time: u64) -> u64 {
        let before = self.acknowledged.iter().filter(|(_, at)| *at <= time);
        before.map(|(index, _)| *index).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// The leader, always the first member, appends an entry.
    Append,
    /// A member copies the leader's log.
    Replicate(usize),
    /// The index held by a majority is acknowledged.
    Acknowledge,
    /// A query round begins.
    BeginRound,
    /// A member responds to the newest round with its current log; the response arrives later.
    Respond(usize),
    /// The oldest response in transit arrives.
    Deliver,
    /// A member relays the committed state.
    Relay,
    /// The gateway reports, and the leader's response arrives after this time.
    Report(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Append),
        4 => (0..5_usize).prop_map(Step::Replicate),
        3 => Just(Step::Acknowledge),
        3 => Just(Step::BeginRound),
        6 => (0..5_usize).prop_map(Step::Respond),
        6 => Just(Step::Deliver),
        1 => Just(Step::Relay),
        1 => (0..3_000_u64).prop_map(Step::Report),
        4 => (1..700_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// However messages are lost, delayed or reordered, a confirmed gateway has applied everything
    /// acknowledged longer ago than the staleness limit.
    #[test]
    fn confirmed_gateway_has_applied_entries_acknowledged_before_the_limit(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut gateway = gateway();
        let mut group = Group { logs: vec![1; 5], acknowledged: Vec::new() };
        let mut now = 10_000;
        let mut round = None;
        let mut in_transit: Vec<(usize, FreshnessResponse)> = Vec::new();
        for step in steps {
            match step {
                Step::Append => group.logs[0] += 1,
                Step::Replicate(member) => group.logs[member] = group.logs[0],
                Step::Acknowledge => {
                    let index = group.committed();
                    group.acknowledged.push((index, now));
                }
                Step::BeginRound => round = gateway.begin_query_round(at(now), true),
                Step::Respond(member) => if let Some(round) = round {
                    let number = member as u64 + 1;
                    let response = response(number, round, group.logs[member], &[1, 2, 3, 4, 5]);
                    in_transit.push((member, response));
                },
                Step::Deliver => if !in_transit.is_empty() {
                    let (member, response) = in_transit.remove(0);
                    gateway.record_freshness_response(at(now), address(member as u64 + 1), response);
                },
                Step::Relay => {
                    gateway.update(at(now), update(0, group.committed(), true));
                }
                Step::Report(wait) => {
                    let report = gateway.report(at(now));
                    let response = update(report.sequence, group.committed(), false);
                    now += wait;
                    gateway.update(at(now), response);
                }
                Step::Wait(time) => now += time,
            }
            if gateway.freshness(at(now)) == Freshness::Confirmed {
                let (as_of, _) = gateway.required_indexes();
                prop_assert!(as_of >= group.acknowledged_by(now - MAX_STALENESS_MILLIS - 1));
            }
        }
    }
}

#[test]
fn all_known_members_are_queried() {
    let mut gateway = confirmed();
    let queried: BTreeSet<SocketAddr> = gateway.members_to_query().into_iter().collect();
    assert_eq!(queried, (1..=3).map(address).collect());
    let round = gateway.begin_query_round(at(100), true).expect("a round");
    gateway.record_freshness_response(at(100), address(1), response(1, round, 10, &[1, 2, 8]));
    assert!(gateway.members_to_query().contains(&address(8)));
}
