//! What a gateway answers by knowledge of some age.
//!
//! Users saw 404 for routes that had been acknowledged seconds before, and requests served by services that a newer
//! document had replaced. The gateways concerned had lost the leader, or had started while there was none: they
//! went on with the copy they had for as long as no newer one reached them, and an update that had
//! waited for seconds in a socket counted as news of the moment at which it arrived.

use millpass_dispatch::{
    Choice, Description, DispatchSettings, Dispatcher, Freshness, FreshnessSettings, Leadership,
    RefusalReason, RouteError,
};
use millpass_proto::*;
use millpass_tenancy::QuotaTerms;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const IN_FORCE: u64 = 2_000;
const SENDING: u64 = 350;
const CUT_OFF: u64 = 10_000;

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
    }
}

fn update(answers: u64, as_of: u64, provisional: bool) -> GatewayUpdate {
    GatewayUpdate {
        term: u64::from(!provisional),
        complete: !provisional,
        first: !provisional,
        document: Some(document(as_of)),
        instances: vec![instance()],
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 1,
        members: Vec::new(),
        provisional,
        loads: Vec::new(),
        acknowledged_report: answers,
        as_of,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: as_of,
    }
}

/// A gateway that knows three members.
fn gateway() -> Dispatcher {
    let mut gateway = Dispatcher::new(DispatchSettings {
        name: "g".to_owned(),
        zone: "z".into(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_patience: Duration::from_secs(15),
        quota: QuotaTerms::default(),
        key_lifetime: None,
        freshness: FreshnessSettings {
            in_force: Duration::from_millis(IN_FORCE),
            departed: Duration::from_millis(IN_FORCE),
            sending: Duration::from_millis(SENDING),
            cut_off: Duration::from_millis(CUT_OFF),
        },
    });
    gateway.set_members((1..=3).map(address).collect());
    gateway
}

/// A gateway whose report of 0 ms the leader answered: it knows all up to index 10.
fn confirmed() -> Dispatcher {
    let mut gateway = gateway();
    let report = gateway.report(at(0));
    gateway.update(at(20), update(report.sequence, 10, false));
    gateway
}

fn response(member: u64, round: u64, binding: u64, voters: &[u64]) -> FreshnessResponse {
    FreshnessResponse {
        round,
        member: MemberId(member),
        required_index: binding,
        applied: binding,
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

/// Asks, and lets these members answer with the last index that binds in their logs.
fn ask(gateway: &mut Dispatcher, now: u64, answers: &[(u64, u64)]) {
    let round = gateway.begin_round(at(now), true).expect("a round");
    for (member, binding) in answers {
        let answer = response(*member, round, *binding, &[1, 2, 3]);
        gateway.take_freshness(at(now), address(*member), answer);
    }
}

fn unknown(gateway: &Dispatcher, now: u64) -> RouteError {
    let route = gateway.route(at(now), "h", "/unknown/");
    route.expect_err("no such route")
}

fn known(gateway: &Dispatcher, now: u64) -> bool {
    gateway.route(at(now), "h", "/known/a").is_ok()
}

#[test]
fn an_answer_confirms_as_of_the_report_that_it_answers_not_of_its_arrival() {
    let mut gateway = gateway();
    let report = gateway.report(at(0));
    // The answer waited for longer than the bound on its way.
    gateway.update(at(2_500), update(report.sequence, 10, false));
    assert_eq!(gateway.freshness(at(2_500)), Freshness::Unconfirmed);
    assert_eq!(unknown(&gateway, 2_500), RouteError::Unconfirmed);
    let report = gateway.report(at(2_500));
    gateway.update(at(2_600), update(report.sequence, 10, false));
    assert_eq!(gateway.freshness(at(4_500)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(4_501)), Freshness::Unconfirmed);
}

/// Urgent reports leave every few milliseconds while models are needed; a busy leader answers late all the same.
#[test]
fn a_late_answer_confirms_whatever_many_reports_left_since() {
    let mut gateway = gateway();
    let first = gateway.report(at(0));
    for now in (5..1_500).step_by(5) {
        gateway.report(at(now));
    }
    gateway.update(at(1_500), update(first.sequence + 20, 10, false));
    // The report it answers left at 100 ms.
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(2_101)), Freshness::Unconfirmed);
}

#[test]
fn that_a_route_does_not_exist_is_said_only_by_a_confirmed_document() {
    let gateway = confirmed();
    assert_eq!(unknown(&gateway, IN_FORCE), RouteError::NoRoute);
    assert_eq!(unknown(&gateway, IN_FORCE + 1), RouteError::Unconfirmed);
    assert!(!known(&gateway, IN_FORCE + 1), "the route may have changed");
}

#[test]
fn without_a_leader_a_majority_that_holds_nothing_newer_confirms() {
    let mut gateway = confirmed();
    ask(&mut gateway, 1_900, &[(1, 10), (3, 9)]);
    assert_eq!(gateway.freshness(at(3_900)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(3_901)), Freshness::Unconfirmed);
}

#[rstest]
#[case::one_of_three(&[(1, 10)])]
#[case::one_has_more(&[(1, 10), (2, 11)])]
#[case::a_member_that_does_not_vote(&[(1, 10), (9, 10)])]
fn what_does_not_confirm(#[case] answers: &[(u64, u64)]) {
    let mut gateway = confirmed();
    ask(&mut gateway, 1_900, answers);
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Unconfirmed);
}

#[test]
fn a_majority_without_the_newer_entry_outweighs_one_member_that_has_it() {
    let mut gateway = confirmed();
    ask(&mut gateway, 1_900, &[(1, 10), (2, 11), (3, 10)]);
    assert_eq!(gateway.freshness(at(3_900)), Freshness::Confirmed);
}

#[test]
fn late_answers_count_from_when_they_were_asked_for() {
    let mut gateway = confirmed();
    let round = gateway.begin_round(at(1_000), true).expect("a round");
    for member in [1, 2] {
        let answer = response(member, round, 10, &[1, 2, 3]);
        gateway.take_freshness(at(2_800), address(member), answer);
    }
    assert_eq!(gateway.freshness(at(3_000)), Freshness::Confirmed);
    assert_eq!(gateway.freshness(at(3_001)), Freshness::Unconfirmed);
}

#[test]
fn during_a_change_of_members_both_sets_of_voters_count() {
    let mut gateway = confirmed();
    let round = gateway.begin_round(at(1_900), true).expect("a round");
    let joint = |member| FreshnessResponse {
        outgoing_voters: [1, 2, 3].map(MemberId).to_vec(),
        membership_index: 7,
        ..response(member, round, 10, &[3, 4, 5])
    };
    for member in [3, 4] {
        gateway.take_freshness(at(1_950), address(member), joint(member));
    }
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Unconfirmed);
    gateway.take_freshness(at(1_960), address(1), response(1, round, 10, &[1, 2, 3]));
    assert_eq!(gateway.freshness(at(2_100)), Freshness::Confirmed);
}

#[test]
fn a_gateway_that_starts_answers_nothing_by_a_copy_of_unknown_age() {
    let mut gateway = gateway();
    gateway.update(at(0), update(0, 10, true));
    assert_eq!(gateway.freshness(at(1)), Freshness::Unconfirmed);
    assert!(!known(&gateway, 1));
    ask(&mut gateway, 100, &[(1, 12), (2, 12), (3, 10)]);
    assert_eq!(unknown(&gateway, 150), RouteError::Unconfirmed);
    // A member passes on the newer document, of which a majority has said that there is nothing beyond.
    gateway.update(at(200), update(0, 12, true));
    assert!(known(&gateway, 220));
    assert_eq!(unknown(&gateway, 220), RouteError::NoRoute);
}

#[test]
fn a_gateway_that_is_cut_off_goes_on_with_known_routes_for_a_bounded_time() {
    let mut gateway = confirmed();
    let mut now = 700;
    while now <= CUT_OFF + 400 {
        ask(&mut gateway, now, &[]);
        let expected = match now {
            0..=IN_FORCE => Freshness::Confirmed,
            _ if now <= CUT_OFF => Freshness::CutOff,
            _ => Freshness::Unconfirmed,
        };
        assert_eq!(gateway.freshness(at(now)), expected, "at {now} ms");
        if expected == Freshness::CutOff {
            assert!(known(&gateway, now));
            assert_eq!(unknown(&gateway, now), RouteError::Unconfirmed);
        }
        now += 200;
    }
}

/// Found in a soak with 115 gateways and starved members: gateways had heard of a newer entry, lost the members to
/// their lack of processor, and served with a key that had been taken away for 4.1 s after the acknowledgement.
#[test]
fn a_gateway_that_heard_of_something_newer_does_not_go_on_when_it_is_cut_off() {
    let mut gateway = confirmed();
    ask(&mut gateway, 700, &[(2, 12)]);
    for now in (900..3_400).step_by(200) {
        ask(&mut gateway, now, &[]);
    }
    assert_eq!(gateway.freshness(at(3_400)), Freshness::Unconfirmed);
}

#[test]
fn a_gateway_that_reaches_a_majority_and_gets_no_confirmation_refuses() {
    let mut gateway = confirmed();
    for now in (700..3_000).step_by(200) {
        ask(&mut gateway, now, &[]);
        gateway.member_reached(at(now), address(1));
        gateway.member_reached(at(now), address(2));
    }
    assert_eq!(gateway.freshness(at(3_000)), Freshness::Unconfirmed);
}

#[test]
fn a_gateway_that_was_suspended_is_not_cut_off_when_it_wakes() {
    let mut gateway = confirmed();
    for now in (700..2_000).step_by(200) {
        ask(&mut gateway, now, &[]);
    }
    // It did not run from 1.9 s to 6 s: what it did not hear says nothing.
    assert_eq!(gateway.freshness(at(6_000)), Freshness::Unconfirmed);
    ask(&mut gateway, 6_000, &[]);
    assert_eq!(gateway.freshness(at(6_100)), Freshness::Unconfirmed);
    ask(&mut gateway, 6_200, &[(2, 10), (3, 10)]);
    assert_eq!(gateway.freshness(at(6_200)), Freshness::Confirmed);
}

#[test]
fn a_request_waits_a_moment_for_a_confirmation_then_it_is_refused_as_not_run() {
    let mut gateway = confirmed();
    let route = gateway.route(at(1_990), "h", "/known/a").expect("route");
    let mut ticket = gateway.begin(at(1_990), route, None, Description::default(), 0.5);
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
    ask(&mut gateway, 2_320, &[(1, 10), (2, 10)]);
    assert!(matches!(
        gateway.choose(at(2_330), &mut ticket),
        Choice::Send { .. }
    ));
}

/// What counts for an instance that leaves is when a request arrives there.
#[rstest]
#[case::in_time(IN_FORCE - SENDING, true)]
#[case::too_late(IN_FORCE - SENDING + 1, false)]
fn a_request_is_sent_only_if_it_arrives_within_the_bound(#[case] now: u64, #[case] sent: bool) {
    let mut gateway = confirmed();
    let route = gateway.route(at(now), "h", "/known/a").expect("route");
    let mut ticket = gateway.begin(at(now), route, None, Description::default(), 0.5);
    let choice = gateway.choose(at(now), &mut ticket);
    assert_eq!(matches!(choice, Choice::Send { .. }), sent, "{choice:?}");
}

/// Questions may be lost, or members too busy to answer, while the leader's updates come, late.
#[test]
fn a_gateway_that_hears_the_leader_is_not_cut_off() {
    let mut gateway = confirmed();
    for now in (700..2_400).step_by(200) {
        ask(&mut gateway, now, &[]);
    }
    gateway.update(at(2_300), update(0, 10, false));
    assert_eq!(gateway.freshness(at(2_400)), Freshness::Unconfirmed);
}

#[test]
fn members_name_the_leader_of_the_highest_term() {
    let mut gateway = confirmed();
    assert_eq!(gateway.leadership(at(0)), Leadership::Unknown);
    let round = gateway.begin_round(at(1_000), true).expect("a round");
    let says = |member, term, leader: Option<u64>| FreshnessResponse {
        term,
        leader: leader.map(|leader| address(leader).to_string()),
        ..response(member, round, 10, &[1, 2, 3])
    };
    gateway.take_freshness(at(1_000), address(1), says(1, 3, Some(2)));
    assert_eq!(gateway.leadership(at(1_000)), Leadership::Named(address(2)));
    gateway.take_freshness(at(1_000), address(3), says(3, 4, None));
    assert_eq!(gateway.leadership(at(1_000)), Leadership::Vacant);
    assert_eq!(gateway.leadership(at(2_100)), Leadership::Unknown);
}

/// A group's logs, as far as they bind gateways: each member holds a prefix of what leaders appended.
#[derive(Debug)]
struct Group {
    /// Highest index in each member's log, by place.
    logs: Vec<u64>,
    /// Index with the moment at which it was acknowledged.
    acknowledged: Vec<(u64, u64)>,
}

impl Group {
    fn committed(&self) -> u64 {
        let mut logs = self.logs.clone();
        logs.sort_unstable_by(|left, right| right.cmp(left));
        logs[logs.len() / 2]
    }

    /// The newest index that was acknowledged at this moment or before.
    fn acknowledged_by(&self, moment: u64) -> u64 {
        let before = self.acknowledged.iter().filter(|(_, at)| *at <= moment);
        before.map(|(index, _)| *index).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// The leader, always the first member, appends an entry.
    Append,
    /// A member takes what the leader's log holds.
    Replicate(usize),
    /// What a majority holds is acknowledged.
    Acknowledge,
    /// A round begins.
    Ask,
    /// A member answers the newest round, by its log of now; the answer arrives later.
    Answer(usize),
    /// The oldest answer on its way arrives.
    Arrive,
    /// A member passes on what is committed.
    PassOn,
    /// The gateway reports, and the leader's answer arrives this much later.
    Report(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Append),
        4 => (0..5_usize).prop_map(Step::Replicate),
        3 => Just(Step::Acknowledge),
        3 => Just(Step::Ask),
        6 => (0..5_usize).prop_map(Step::Answer),
        6 => Just(Step::Arrive),
        1 => Just(Step::PassOn),
        1 => (0..3_000_u64).prop_map(Step::Report),
        4 => (1..700_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Whatever is lost, late or reordered: a gateway that counts as confirmed knows all that was acknowledged longer
    /// ago than the bound.
    #[test]
    fn a_confirmed_gateway_knows_what_was_acknowledged_before_the_bound(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut gateway = gateway();
        let mut group = Group { logs: vec![1; 5], acknowledged: Vec::new() };
        let mut now = 10_000;
        let mut round = None;
        let mut on_the_way: Vec<(usize, FreshnessResponse)> = Vec::new();
        for step in steps {
            match step {
                Step::Append => group.logs[0] += 1,
                Step::Replicate(member) => group.logs[member] = group.logs[0],
                Step::Acknowledge => {
                    let index = group.committed();
                    group.acknowledged.push((index, now));
                }
                Step::Ask => round = gateway.begin_round(at(now), true),
                Step::Answer(member) => if let Some(round) = round {
                    let number = member as u64 + 1;
                    let answer = response(number, round, group.logs[member], &[1, 2, 3, 4, 5]);
                    on_the_way.push((member, answer));
                },
                Step::Arrive => if !on_the_way.is_empty() {
                    let (member, answer) = on_the_way.remove(0);
                    gateway.take_freshness(at(now), address(member as u64 + 1), answer);
                },
                Step::PassOn => {
                    gateway.update(at(now), update(0, group.committed(), true));
                }
                Step::Report(wait) => {
                    let report = gateway.report(at(now));
                    let answer = update(report.sequence, group.committed(), false);
                    now += wait;
                    gateway.update(at(now), answer);
                }
                Step::Wait(time) => now += time,
            }
            if gateway.freshness(at(now)) == Freshness::Confirmed {
                let (as_of, _) = gateway.binding_indexes();
                prop_assert!(as_of >= group.acknowledged_by(now - IN_FORCE - 1));
            }
        }
    }
}

#[test]
fn all_known_members_are_asked() {
    let mut gateway = confirmed();
    let asked: BTreeSet<SocketAddr> = gateway.members_to_ask().into_iter().collect();
    assert_eq!(asked, (1..=3).map(address).collect());
    let round = gateway.begin_round(at(100), true).expect("a round");
    gateway.take_freshness(at(100), address(1), response(1, round, 10, &[1, 2, 8]));
    assert!(gateway.members_to_ask().contains(&address(8)));
}
