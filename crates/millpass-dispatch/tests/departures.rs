//! Instances that state in a response that they leave.

mod harness;

use harness::{at, begin, exchange, gateway, record, sent_to, update};
use millpass_dispatch::{Choice, SendOutcome, Statement};
use rstest::rstest;

fn leaving() -> Statement {
    Statement {
        leaving: true,
        ..Statement::default()
    }
}

#[rstest]
#[case::engine("/text/", "text")]
#[case::plain("/web/", "web")]
fn leaving_instance_receives_no_requests(#[case] path: &str, #[case] service: &str) {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    exchange(&mut dispatcher, 0, path, &leaving()).expect("sent");
    for now in (10..20_000).step_by(100) {
        assert_eq!(
            exchange(&mut dispatcher, now, path, &Statement::default()),
            None
        );
    }
}

#[test]
fn departure_is_not_revoked_by_later_response() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let first = exchange(&mut dispatcher, 0, "/web/", &leaving()).expect("sent");
    dispatcher.record_statement(at(20), at(15), &first, &Statement::default());
    for now in (100..3_000).step_by(100) {
        let sent = exchange(&mut dispatcher, now, "/web/", &Statement::default());
        assert_ne!(sent.expect("the other one"), first);
    }
}

#[test]
fn departure_survives_removal_and_readdition_of_record() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    exchange(&mut dispatcher, 0, "/web/", &leaving()).expect("sent");
    dispatcher.update(at(100), update(2, 7, Vec::new()));
    dispatcher.update(at(200), update(3, 7, vec![record("i-1", "web")]));
    assert_eq!(
        exchange(&mut dispatcher, 300, "/web/", &Statement::default()),
        None
    );
}

#[test]
fn leaving_instance_is_not_used_when_others_are_unreachable() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let leaves = exchange(&mut dispatcher, 0, "/web/", &leaving()).expect("sent");
    for now in (100..3_000).step_by(100) {
        let mut ticket = begin(&mut dispatcher, now, "/web/");
        let Some(sent) = sent_to(&mut dispatcher, now, &mut ticket) else {
            continue;
        };
        assert_ne!(sent, leaves);
        dispatcher.record_send_outcome(
            at(now),
            &ticket.send_record(&sent),
            SendOutcome::Unreachable,
        );
    }
}

#[test]
fn broken_stream_is_not_resumed_at_leaving_instance() {
    let instances = [record("i-1", "text"), record("i-2", "text")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let mut ticket = begin(&mut dispatcher, 0, "/text/");
    let first = sent_to(&mut dispatcher, 0, &mut ticket).expect("sent");
    let other = if first == "i-1".into() { "i-2" } else { "i-1" };
    dispatcher.record_statement(at(10), at(5), &other.into(), &leaving());
    dispatcher.record_send_outcome(at(20), &ticket.send_record(&first), SendOutcome::Broken);
    assert_eq!(sent_to(&mut dispatcher, 20, &mut ticket), None);
}

#[test]
fn waiting_request_is_not_sent_to_leaving_instance() {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", "web")]);
    for _ in 0..64 {
        let mut ticket = begin(&mut dispatcher, 0, "/web/");
        sent_to(&mut dispatcher, 0, &mut ticket).expect("sent");
    }
    let mut ticket = begin(&mut dispatcher, 10, "/web/");
    assert!(matches!(
        dispatcher.choose(at(10), &mut ticket),
        Choice::Wait { .. }
    ));
    dispatcher.record_statement(at(20), at(0), &"i-1".into(), &leaving());
    dispatcher.record_send_outcome(
        at(20),
        &ticket.send_record(&"i-1".into()),
        SendOutcome::Failed,
    );
    assert_eq!(sent_to(&mut dispatcher, 30, &mut ticket), None);
}

#[test]
fn departure_does_not_apply_to_later_process_run() {
    let earlier = millpass_proto::InstanceId::of_run("i-1", 1);
    let later = millpass_proto::InstanceId::of_run("i-1", 2);
    let mut first = record("i-1", "web");
    first.instance = earlier.clone();
    let mut second = first.clone();
    second.instance = later.clone();
    let mut dispatcher = gateway("g-1", 7, &[first]);
    exchange(&mut dispatcher, 0, "/web/", &leaving()).expect("sent");
    dispatcher.update(at(100), update(1, 7, vec![second]));
    assert_eq!(
        exchange(&mut dispatcher, 200, "/web/", &Statement::default()),
        Some(later)
    );
}
