//! Instances that ask a gateway for rest.

mod harness;

use harness::{at, begin, exchange, gateway, record, sent_to, update};
use millpass_dispatch::{
    Choice, Dispatcher, RefusalReason, RequestRate, SendOutcome, Stated, Statement, Ticket,
};
use millpass_proto::{Duration, InstanceId};
use rstest::rstest;

fn resting(millis: u64) -> Statement {
    Statement {
        backoff: Stated::Value(Duration::from_millis(millis)),
        ..Statement::default()
    }
}

/// A request that is sent and turned away with this statement.
fn turned_away(
    dispatcher: &mut Dispatcher,
    now: u64,
    path: &str,
    statement: &Statement,
) -> (Ticket, InstanceId) {
    let mut ticket = begin(dispatcher, now, path);
    let instance = sent_to(dispatcher, now, &mut ticket).expect("sent");
    dispatcher.record_statement(at(now), at(now), &instance, statement);
    dispatcher.record_send_outcome(at(now), &ticket.send_record(&instance), SendOutcome::Full);
    (ticket, instance)
}

/// When requests that come each 50 ms are sent.
fn sends(dispatcher: &mut Dispatcher, from: u64, until: u64, path: &str) -> Vec<u64> {
    let times = (from..until).step_by(50);
    times
        .filter(|now| exchange(dispatcher, *now, path, &Statement::default()).is_some())
        .collect()
}

#[rstest]
#[case::engine("/text/", "text", 3_000)]
#[case::plain("/web/", "web", 3_000)]
#[case::fraction("/web/", "web", 250)]
#[case::long("/web/", "web", 60_000)]
fn a_server_that_asked_for_rest_gets_requests_before_its_end(
    #[case] path: &str,
    #[case] service: &str,
    #[case] rest: u64,
) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    turned_away(&mut dispatcher, 0, path, &resting(rest));
    assert_eq!(sends(&mut dispatcher, 0, rest, path), Vec::<u64>::new());
    assert!(!sends(&mut dispatcher, rest, rest + 1_000, path).is_empty());
}

#[rstest]
#[case::engine("/text/", "text")]
#[case::plain("/web/", "web")]
fn a_caller_whose_only_server_rests_is_held_or_told_another_time(
    #[case] path: &str,
    #[case] service: &str,
) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    let (mut first, _) = turned_away(&mut dispatcher, 0, path, &resting(3_000));
    let retry_after = |choice: Choice| match choice {
        Choice::Refuse { retry_after, .. } => retry_after,
        other => panic!("{other:?}"),
    };
    let told = retry_after(dispatcher.choose(at(0), &mut first));
    assert_eq!(told, Duration::from_millis(3_000));
    let mut next = begin(&mut dispatcher, 1_000, path);
    let choice = dispatcher.choose(at(1_000), &mut next);
    let reason = RefusalReason::Backoff;
    let retry_after = Duration::from_millis(2_000);
    assert_eq!(
        choice,
        Choice::Refuse {
            reason,
            retry_after
        }
    );
}

#[test]
fn a_caller_is_refused_though_its_server_s_rest_ends_in_time() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    turned_away(&mut dispatcher, 0, "/web/", &resting(1_000));
    let mut ticket = begin(&mut dispatcher, 900, "/web/");
    let until = at(1_000);
    assert_eq!(
        dispatcher.choose(at(900), &mut ticket),
        Choice::Wait { until }
    );
    assert!(sent_to(&mut dispatcher, 1_000, &mut ticket).is_some());
}

#[test]
fn a_request_that_is_turned_away_goes_back_to_the_server_that_rests() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let (mut ticket, first) = turned_away(&mut dispatcher, 0, "/web/", &resting(3_000));
    let second = sent_to(&mut dispatcher, 0, &mut ticket).expect("the other one");
    assert_ne!(first, second);
    for now in (100..3_000).step_by(100) {
        let sent = exchange(&mut dispatcher, now, "/web/", &Statement::default());
        assert_eq!(sent.as_ref(), Some(&second));
    }
}

#[rstest]
#[case::shorter_asked_later(resting(500))]
#[case::zero(resting(0))]
#[case::answered_well(Statement::default())]
#[case::unreadable(Statement { backoff: Stated::Malformed, ..Statement::default() })]
fn a_rest_is_cut_short_by_another_answer(#[case] statement: Statement) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    turned_away(&mut dispatcher, 0, "/web/", &resting(3_000));
    dispatcher.record_statement(at(100), at(50), &"i-1".into(), &statement);
    assert_eq!(sends(&mut dispatcher, 0, 3_000, "/web/"), Vec::<u64>::new());
}

#[test]
fn a_longer_rest_is_not_taken_from_a_later_answer() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    turned_away(&mut dispatcher, 0, "/web/", &resting(1_000));
    dispatcher.record_statement(at(500), at(0), &"i-1".into(), &resting(2_000));
    assert_eq!(sends(&mut dispatcher, 0, 2_500, "/web/"), Vec::<u64>::new());
}

#[test]
fn a_rest_of_years_is_taken_as_it_stands() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    turned_away(&mut dispatcher, 0, "/web/", &resting(u64::MAX));
    let hour = 3_600_000;
    assert!(!sends(&mut dispatcher, hour, hour + 100, "/web/").is_empty());
}

#[test]
fn a_record_that_is_named_anew_ends_its_instance_s_rest() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    turned_away(&mut dispatcher, 0, "/web/", &resting(3_000));
    dispatcher.update(at(100), update(2, 7, Vec::new()));
    dispatcher.update(at(200), update(3, 7, vec![record("i-1", "web")]));
    assert_eq!(
        sends(&mut dispatcher, 200, 3_000, "/web/"),
        Vec::<u64>::new()
    );
}

#[test]
fn a_server_that_rests_is_used_as_no_other_can_be_reached() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let (_, resting) = turned_away(&mut dispatcher, 0, "/web/", &resting(3_000));
    for now in (100..3_000).step_by(100) {
        let mut ticket = begin(&mut dispatcher, now, "/web/");
        let Some(sent) = sent_to(&mut dispatcher, now, &mut ticket) else {
            continue;
        };
        assert_ne!(sent, resting);
        dispatcher.record_send_outcome(
            at(now),
            &ticket.send_record(&sent),
            SendOutcome::Unreachable,
        );
    }
}

#[test]
fn a_broken_stream_goes_on_at_a_server_that_rests() {
    let instances = [record("i-1", "text"), record("i-2", "text")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let mut ticket = begin(&mut dispatcher, 0, "/text/");
    let first = sent_to(&mut dispatcher, 0, &mut ticket).expect("sent");
    let other = if first == "i-1".into() { "i-2" } else { "i-1" };
    dispatcher.record_statement(at(10), at(5), &other.into(), &resting(3_000));
    dispatcher.record_send_outcome(at(20), &ticket.send_record(&first), SendOutcome::Broken);
    assert_eq!(sent_to(&mut dispatcher, 20, &mut ticket), None);
}

#[test]
fn a_limited_server_that_rests_gets_requests_with_a_permit() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    let both = Statement {
        limit: Stated::Value(RequestRate {
            milli_per_second: 1_000_000,
        }),
        ..resting(3_000)
    };
    turned_away(&mut dispatcher, 0, "/web/", &both);
    assert_eq!(sends(&mut dispatcher, 0, 3_000, "/web/"), Vec::<u64>::new());
}
