//! A claimed request runs at most once, through leader changes and losses of routers.

mod harness;

use harness::{TestRouter, World, seconds};
use millpass_control_plane::CLAIM_ABANDON_TIMEOUT;
use millpass_proto::*;
use rstest::rstest;

const HOUR_MILLIS: u64 = 3_600_000;
/// Creation time of the key: the wall clock at virtual time zero.
const BORN_UNIX_MILLIS: u64 = 1_700_000_000_000;

/// Creates members, a leader and two routers that have reported to it.
fn setup(members: u64) -> (World, MemberId, [TestRouter; 2]) {
    let mut world = World::new(members);
    let leader = world.elect();
    let mut routers =
        ["r-1", "r-2"].map(|name| TestRouter::new(&mut world, leader, name, "zone-1"));
    for router in &mut routers {
        router.report(&mut world);
    }
    (world, leader, routers)
}

/// Claims `key` and returns the decision, if one arrived.
fn begin(
    world: &mut World,
    router: &mut TestRouter,
    key: &str,
    attempt: u64,
) -> Option<ClaimDecision> {
    let claim = router.claim(key, "digest", BORN_UNIX_MILLIS, attempt);
    router.claims.clear();
    router.begin(world, claim);
    router.claims.pop().map(|response| response.decision)
}

fn finish(world: &mut World, router: &mut TestRouter, attempt: u64, conclusion: ClaimConclusion) {
    let finish = ClaimFinish {
        tenant: TenantName::from("tenant"),
        key: ClaimKey::from("key"),
        router: router.name.clone(),
        router_incarnation: router.incarnation,
        attempt,
        conclusion,
    };
    world.router_sends(router.connection, RouterToControl::FinishClaim(finish));
    router.receive(world);
}

fn recorded() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"done".to_vec().into(),
    }
}

#[rstest]
#[case::answered(
    ClaimConclusion::Answered(recorded()),
    ClaimDecision::Answered(recorded())
)]
#[case::not_run(ClaimConclusion::NotRun, ClaimDecision::Granted)]
#[case::unknown(ClaimConclusion::Unknown, ClaimDecision::MayHaveRun)]
fn retry_after_the_end_returns_the_conclusion(
    #[case] conclusion: ClaimConclusion,
    #[case] expected: ClaimDecision,
    #[values(false, true)] leader_changes: bool,
) {
    let (mut world, leader, [mut first, mut second]) = setup(3);
    assert_eq!(
        begin(&mut world, &mut first, "key", 1),
        Some(ClaimDecision::Granted)
    );
    let running = begin(&mut world, &mut second, "key", 1);
    assert_eq!(running, Some(ClaimDecision::InProgress));
    finish(&mut world, &mut first, 1, conclusion.clone());
    assert_eq!(first.finished, vec![1]);
    if leader_changes {
        world.halt(leader);
        let next = world.elect();
        first.reconnect(&mut world, next, 1);
        second.reconnect(&mut world, next, 1);
        // The response to the first one was lost, too.
        finish(&mut world, &mut first, 1, conclusion);
        assert_eq!(first.finished, vec![1, 1]);
    }
    assert_eq!(begin(&mut world, &mut second, "key", 2), Some(expected));
}

/// Message of a claim that is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    Request,
    Response,
}

#[rstest]
fn resent_claim_gets_the_same_decision_after_a_leader_change(
    #[values(Lost::Request, Lost::Response)] lost: Lost,
    #[values(false, true)] other_first: bool,
) {
    let (mut world, leader, [mut first, mut second]) = setup(3);
    if other_first {
        begin(&mut world, &mut second, "key", 1);
    }
    if lost == Lost::Response {
        begin(&mut world, &mut first, "key", 1);
    }
    world.members.get_mut(&leader).unwrap().partitioned = true;
    if lost == Lost::Request {
        assert_eq!(begin(&mut world, &mut first, "key", 1), None);
    }
    let next = world.elect();
    first.reconnect(&mut world, next, 1);
    second.reconnect(&mut world, next, 1);
    let expected = if other_first {
        ClaimDecision::InProgress
    } else {
        ClaimDecision::Granted
    };
    for _ in 0..2 {
        let again = begin(&mut world, &mut first, "key", 1);
        assert_eq!(again, Some(expected.clone()));
    }
    let other = begin(&mut world, &mut second, "key", 2);
    assert_eq!(other, Some(ClaimDecision::InProgress));
}

#[rstest]
fn leader_without_a_quorum_grants_no_claim_and_redirects_once_deposed() {
    let (mut world, leader, [mut router, _]) = setup(3);
    for (id, member) in &mut world.members {
        member.partitioned = *id != leader;
    }
    assert_eq!(begin(&mut world, &mut router, "key", 1), None);
    world.members.get_mut(&leader).unwrap().frozen = true;
    for member in world.members.values_mut() {
        member.partitioned = false;
    }
    let next = world.elect();
    assert_ne!(next, leader);
    world.resume(leader);
    world.run(seconds(2));
    router.receive(&mut world);
    assert_eq!(
        (router.claims.len(), !router.not_leader.is_empty()),
        (0, true)
    );
    router.report(&mut world);
    let named = router.not_leader.pop().unwrap().leader_address;
    assert_eq!(named, Some(harness::address(next.0).peer_address));
}

/// How a router with an open claim is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RouterLoss {
    NewIncarnation,
    NewIncarnationAfterLeaderChange,
    NeverReturns,
}

#[rstest]
#[case(RouterLoss::NewIncarnation)]
#[case(RouterLoss::NewIncarnationAfterLeaderChange)]
#[case(RouterLoss::NeverReturns)]
fn claims_of_a_dead_router_are_concluded_as_may_have_run(#[case] loss: RouterLoss) {
    let members = if loss == RouterLoss::NeverReturns {
        1
    } else {
        3
    };
    let (mut world, mut leader, [mut first, mut second]) = setup(members);
    assert_eq!(
        begin(&mut world, &mut first, "key", 1),
        Some(ClaimDecision::Granted)
    );
    match loss {
        RouterLoss::NewIncarnation => first.reconnect(&mut world, leader, 2),
        RouterLoss::NewIncarnationAfterLeaderChange => {
            world.halt(leader);
            leader = world.elect();
            second.reconnect(&mut world, leader, 1);
            let running = begin(&mut world, &mut second, "key", 2);
            assert_eq!(running, Some(ClaimDecision::InProgress));
            first.reconnect(&mut world, leader, 2);
        }
        RouterLoss::NeverReturns => {
            world.step = Duration::from_millis(50);
            world.run(CLAIM_ABANDON_TIMEOUT - seconds(5));
            let running = begin(&mut world, &mut second, "key", 2);
            assert_eq!(running, Some(ClaimDecision::InProgress));
            world.run(seconds(20));
        }
    }
    assert!(world.count_events("claims-abandoned") > 0);
    for attempt in 3..5 {
        let again = begin(&mut world, &mut second, "key", attempt);
        assert_eq!(again, Some(ClaimDecision::MayHaveRun));
        let own = begin(&mut world, &mut first, "key", attempt);
        assert_eq!(own, Some(ClaimDecision::MayHaveRun));
    }
    assert_eq!(world.state(leader).open_claim_runs().count(), 0);
}

#[rstest]
fn new_leader_restarts_the_abandon_timeout() {
    let (mut world, leader, [mut first, mut second]) = setup(3);
    begin(&mut world, &mut first, "key", 1);
    world.step = Duration::from_millis(50);
    world.run(CLAIM_ABANDON_TIMEOUT - seconds(10));
    world.halt(leader);
    let next = world.elect();
    world.run(seconds(60));
    second.reconnect(&mut world, next, 1);
    let running = begin(&mut world, &mut second, "key", 2);
    assert_eq!(running, Some(ClaimDecision::InProgress));
}

#[rstest]
fn expired_key_is_removed_and_never_granted_again() {
    let (mut world, leader, [mut first, mut second]) = setup(1);
    let created = world.unix_millis() - HOUR_MILLIS + 5_000;
    let claim = first.claim("key", "digest", created, 1);
    first.begin(&mut world, claim);
    assert_eq!(first.claims[0].decision, ClaimDecision::Granted);
    assert_eq!(world.state(leader).claim_count(), 1);
    world.run(seconds(70));
    assert_eq!(world.state(leader).claim_count(), 0);
    let claim = second.claim("key", "digest", created, 1);
    second.begin(&mut world, claim);
    assert_eq!(second.claims[0].decision, ClaimDecision::Expired);
    second.report(&mut world);
    let update = second.updates.last().unwrap();
    assert!(update.claims_created_after_unix_millis > created);
}

#[rstest]
fn claim_for_another_router_or_incarnation_is_refused() {
    let (mut world, leader, [first, mut second]) = setup(3);
    let created = world.unix_millis();
    let mut other_incarnation = second.claim("key", "digest", created, 1);
    other_incarnation.router_incarnation = Incarnation(9);
    for claim in [first.claim("key", "digest", created, 1), other_incarnation] {
        second.begin(&mut world, claim);
    }
    assert_eq!((second.claims.len(), second.not_leader.len()), (0, 2));
    assert_eq!(world.state(leader).claim_count(), 0);
}
