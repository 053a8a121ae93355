//! Limits stated by instances, over all gateways.

mod harness;

use harness::{at, begin, exchange, gateway, record, sent_to, update};
use millpass_dispatch::{
    Choice, Dispatcher, RefusalReason, RequestRate, SendOutcome, Stated, Statement, StatementChange,
};
use millpass_proto::{Duration, PermitGrant, PermitResponse};
use rstest::rstest;

const WINDOW_MILLIS: u64 = 4_000;

fn limited(milli_per_second: u64) -> Statement {
    Statement {
        limit: Stated::Value(RequestRate { milli_per_second }),
        ..Statement::default()
    }
}

/// Most requests per window that the contract allows for a limit.
fn allowed_in_window(milli_per_second: u64) -> usize {
    (WINDOW_MILLIS * milli_per_second * 3 / 2 / 1_000_000) as usize + 5
}

/// Most of these times within one window.
fn busiest_window(times: &[u64]) -> usize {
    let in_window = |start: &u64| {
        let end = start + WINDOW_MILLIS;
        times
            .iter()
            .filter(|time| (*start..end).contains(*time))
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

#[rstest]
#[case::few(3, 1_000, 1_000)]
#[case::incident(7, 1_000, 400)]
#[case::many(986, 1_000, 20_000)]
#[case::faster(7, 20_000, 50)]
#[case::fraction(7, 250, 400)]
#[case::zero(7, 0, 400)]
fn gateways_without_leader_do_not_exceed_limit_together(
    #[case] gateways: u32,
    #[case] limit: u64,
    #[case] pause: u64,
) {
    let instances = [record("i-1", "text")];
    let mut all: Vec<_> = (0..gateways)
        .map(|number| gateway(&format!("g-{number}"), gateways, &instances))
        .collect();
    for gateway in &mut all {
        exchange(gateway, 0, "/text/", &limited(limit));
    }
    let mut sent = Vec::new();
    for now in (500..60_000).step_by(25) {
        for (number, gateway) in all.iter_mut().enumerate() {
            let phase = number as u64 * 7_919 % pause / 25 * 25;
            if now % pause == phase && exchange(gateway, now, "/text/", &limited(limit)).is_some() {
                sent.push(now);
            }
        }
    }
    assert!(
        busiest_window(&sent) <= allowed_in_window(limit),
        "{} in a window",
        busiest_window(&sent)
    );
}

/// Delivers the leader's response for the only instance: so many permits, or none for
/// `wait_millis`.
fn grant(dispatcher: &mut Dispatcher, now: u64, permits: u32, wait_millis: u64) {
    let request = dispatcher
        .permit_request(at(now))
        .expect("a permit request");
    let grants = request.instances.iter().map(|wanted| PermitGrant {
        instance: wanted.instance.clone(),
        permits,
        wait_millis,
    });
    let response = PermitResponse {
        term: 1,
        sequence: request.sequence,
        grants: grants.collect(),
    };
    dispatcher.apply_permits(at(now), &response);
}

/// A gateway whose only instance has stated a limit of one request per second.
fn limited_gateway(service: &str) -> Dispatcher {
    let mut dispatcher = gateway("g-1", 7, &[record("i-1", service)]);
    exchange(&mut dispatcher, 0, &format!("/{service}/"), &limited(1_000)).expect("sent");
    let report = dispatcher
        .permit_request(at(5))
        .expect("the limit is reported");
    assert_eq!(report.observations.len(), 1);
    let response = PermitResponse {
        term: 1,
        sequence: report.sequence,
        grants: Vec::new(),
    };
    dispatcher.apply_permits(at(6), &response);
    dispatcher
}

#[rstest]
#[case("text")]
#[case("web")]
fn request_is_refused_as_soon_as_permit_is_denied(#[case] service: &str) {
    let mut dispatcher = limited_gateway(service);
    let mut ticket = begin(&mut dispatcher, 1_000, &format!("/{service}/"));
    assert!(matches!(
        dispatcher.choose(at(1_000), &mut ticket),
        Choice::Wait { .. }
    ));
    grant(&mut dispatcher, 1_010, 0, 2_000);
    let refused = |retry_after| Choice::Refuse {
        reason: RefusalReason::Limited,
        retry_after: Duration::from_millis(retry_after),
    };
    assert_eq!(dispatcher.choose(at(1_010), &mut ticket), refused(2_000));
    let mut next = begin(&mut dispatcher, 1_020, &format!("/{service}/"));
    assert_eq!(dispatcher.choose(at(1_020), &mut next), refused(2_990));
}

#[test]
fn request_waits_for_permit_expected_in_time() {
    let mut dispatcher = limited_gateway("text");
    let mut ticket = begin(&mut dispatcher, 1_000, "/text/");
    assert_eq!(sent_to(&mut dispatcher, 1_000, &mut ticket), None);
    grant(&mut dispatcher, 1_010, 0, 100);
    let until = at(1_110);
    assert_eq!(
        dispatcher.choose(at(1_010), &mut ticket),
        Choice::Wait { until }
    );
    grant(&mut dispatcher, 1_110, 1, 0);
    assert!(sent_to(&mut dispatcher, 1_110, &mut ticket).is_some());
}

#[test]
fn permit_expires_after_one_second() {
    let mut dispatcher = limited_gateway("text");
    let mut ticket = begin(&mut dispatcher, 1_000, "/text/");
    assert_eq!(sent_to(&mut dispatcher, 1_000, &mut ticket), None);
    grant(&mut dispatcher, 1_010, 1, 0);
    let mut later = begin(&mut dispatcher, 2_010, "/text/");
    assert_eq!(sent_to(&mut dispatcher, 2_010, &mut later), None);
}

#[test]
fn limited_instance_is_avoided_while_another_has_capacity() {
    let instances = [record("i-1", "web"), record("i-2", "web")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    dispatcher.record_statement(at(1), at(0), &"i-1".into(), &limited(1_000_000));
    for now in (500..3_000).step_by(100) {
        let sent = exchange(&mut dispatcher, now, "/web/", &Statement::default());
        assert_eq!(sent, Some("i-2".into()));
    }
}

#[test]
fn limit_survives_removal_and_readdition_of_record() {
    let mut dispatcher = limited_gateway("text");
    dispatcher.update(at(100), update(2, 7, Vec::new()));
    dispatcher.update(at(200), update(3, 7, vec![record("i-1", "text")]));
    let mut ticket = begin(&mut dispatcher, 300, "/text/");
    assert_eq!(sent_to(&mut dispatcher, 300, &mut ticket), None);
}

#[test]
fn malformed_limit_leaves_limit_in_force() {
    let mut dispatcher = limited_gateway("text");
    let malformed = Statement {
        limit: Stated::Malformed,
        ..Statement::default()
    };
    let changes = dispatcher.record_statement(at(101), at(100), &"i-1".into(), &malformed);
    assert_eq!(changes, [StatementChange::Malformed]);
    assert_eq!(dispatcher.limited_instances(), 1);
    let again = dispatcher.record_statement(at(201), at(200), &"i-1".into(), &malformed);
    assert_eq!(again, []);
}

#[test]
fn withdrawn_limit_ends() {
    let mut dispatcher = limited_gateway("text");
    let withdrawn = Statement::default();
    dispatcher.record_statement(at(101), at(100), &"i-1".into(), &withdrawn);
    for now in (200..1_000).step_by(100) {
        assert!(exchange(&mut dispatcher, now, "/text/", &withdrawn).is_some());
    }
}

#[test]
fn resumed_stream_needs_permit() {
    let instances = [record("i-1", "text"), record("i-2", "text")];
    let mut dispatcher = gateway("g-1", 7, &instances);
    let mut ticket = begin(&mut dispatcher, 0, "/text/");
    let first = sent_to(&mut dispatcher, 0, &mut ticket).expect("sent");
    let other = if first == "i-1".into() { "i-2" } else { "i-1" };
    dispatcher.record_statement(at(10), at(5), &other.into(), &limited(1_000));
    dispatcher.record_send_outcome(at(20), &ticket.send_record(&first), SendOutcome::Broken);
    assert_eq!(sent_to(&mut dispatcher, 20, &mut ticket), None);
}
