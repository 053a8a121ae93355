//! Instances that state a backoff in their responses.

mod harness;

use harness::{at, begin, exchange, gateway, record, sent_to, update};
use millpass_dispatch::{
    Choice, Dispatcher, RefusalReason, RequestRate, SendOutcome, Stated, Statement, Ticket,
};
use millpass_proto::{Duration, InstanceId};
use rstest::rstest;

fn in_backoff(millis: u64) -> Statement {
    Statement {
        backoff: Stated::Value(Duration::from_millis(millis)),
        ..Statement::default()
    }
}

/// Sends a request that is rejected with this statement.
fn send_rejected(
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

/// Times at which requests are sent, of those that arrive every 50 ms.
fn send_times(dispatcher: &mut Dispatcher, from: u64, until: u64, path: &str) -> Vec<u64> {
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
fn instance_in_backoff_receives_no_requests(
    #[case] path: &str,
    #[case] service: &str,
    #[case] backoff: u64,
) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    send_rejected(&mut dispatcher, 0, path, &in_backoff(backoff));
    assert_eq!(
        send_times(&mut dispatcher, 0, backoff, path),
        Vec::<u64>::new()
    );
    assert!(!send_times(&mut dispatcher, backoff, backoff + 1_000, path).is_empty());
}

#[rstest]
#[case::engine("/text/", "text")]
#[case::plain("/web/", "web")]
fn caller_is_refused_with_end_of_backoff(#[case] path: &str, #[case] service: &str) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    let (mut first, _) = send_rejected(&mut dispatcher, 0, path, &in_backoff(3_000));
    let retry_after = |choice: Choice| match choice {
        Choice::Refuse { retry_after, .. } => retry_after,
        other => panic!("{other:?}"),
    };
    let delay = retry_after(dispatcher.choose(at(0), &mut first));
    assert_eq!(delay, Duration::from_millis(3_000));
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
fn request_waits_for_backoff_that_ends_in_time() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(1_000));
    let mut ticket = begin(&mut dispatcher, 900, "/web/");
    let until = at(1_000);
    assert_eq!(
        dispatcher.choose(at(900), &mut ticket),
        Choice::Wait { until }
    );
    assert!(sent_to(&mut dispatcher, 1_000, &mut ticket).is_some());
}

#[test]
fn rejected_request_is_sent_to_another_instance() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let (mut ticket, first) = send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(3_000));
    let second = sent_to(&mut dispatcher, 0, &mut ticket).expect("the other one");
    assert_ne!(first, second);
    for now in (100..3_000).step_by(100) {
        let sent = exchange(&mut dispatcher, now, "/web/", &Statement::default());
        assert_eq!(sent.as_ref(), Some(&second));
    }
}

#[rstest]
#[case::shorter_later(in_backoff(500))]
#[case::zero(in_backoff(0))]
#[case::no_statement(Statement::default())]
#[case::malformed(Statement { backoff: Stated::Malformed, ..Statement::default() })]
fn backoff_is_not_shortened_by_later_response(#[case] statement: Statement) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(3_000));
    dispatcher.record_statement(at(100), at(50), &"i-1".into(), &statement);
    assert_eq!(
        send_times(&mut dispatcher, 0, 3_000, "/web/"),
        Vec::<u64>::new()
    );
}

#[test]
fn backoff_is_extended_by_later_response() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(1_000));
    dispatcher.record_statement(at(500), at(0), &"i-1".into(), &in_backoff(2_000));
    assert_eq!(
        send_times(&mut dispatcher, 0, 2_500, "/web/"),
        Vec::<u64>::new()
    );
}

#[test]
fn backoff_is_capped_at_one_hour() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(u64::MAX));
    let hour = 3_600_000;
    assert!(!send_times(&mut dispatcher, hour, hour + 100, "/web/").is_empty());
}

#[test]
fn backoff_survives_removal_and_readdition_of_record() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(3_000));
    dispatcher.update(at(100), update(2, 7, Vec::new()));
    dispatcher.update(at(200), update(3, 7, vec![record("i-1", "web")]));
    assert_eq!(
        send_times(&mut dispatcher, 200, 3_000, "/web/"),
        Vec::<u64>::new()
    );
}

#[test]
fn instance_in_backoff_is_not_used_when_others_are_unreachable() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let (_, instance) = send_rejected(&mut dispatcher, 0, "/web/", &in_backoff(3_000));
    for now in (100..3_000).step_by(100) {
        let mut ticket = begin(&mut dispatcher, now, "/web/");
        let Some(sent) = sent_to(&mut dispatcher, now, &mut ticket) else {
            continue;
        };
        assert_ne!(sent, instance);
        dispatcher.record_send_outcome(
            at(now),
            &ticket.send_record(&sent),
            SendOutcome::Unreachable,
        );
    }
}

#[test]
fn broken_stream_is_not_resumed_at_instance_in_backoff() {
    let instances = [record("i-1", "text"), record("i-2", "text")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let mut ticket = begin(&mut dispatcher, 0, "/text/");
    let first = sent_to(&mut dispatcher, 0, &mut ticket).expect("sent");
    let other = if first == "i-1".into() { "i-2" } else { "i-1" };
    dispatcher.record_statement(at(10), at(5), &other.into(), &in_backoff(3_000));
    dispatcher.record_send_outcome(at(20), &ticket.send_record(&first), SendOutcome::Broken);
    assert_eq!(sent_to(&mut dispatcher, 20, &mut ticket), None);
}

#[test]
fn limited_instance_in_backoff_receives_no_requests() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    let both = Statement {
        limit: Stated::Value(RequestRate {
            milli_per_second: 1_000_000,
        }),
        ..in_backoff(3_000)
    };
    send_rejected(&mut dispatcher, 0, "/web/", &both);
    assert_eq!(
        send_times(&mut dispatcher, 0, 3_000, "/web/"),
        Vec::<u64>::new()
    );
}
