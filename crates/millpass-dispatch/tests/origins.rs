//! Streams that go on only at the software version that began them, at one gateway.

mod harness;

use harness::{at, begin, gateway, record, sent_to, update};
use millpass_dispatch::*;
use millpass_proto::*;
use rstest::rstest;
use std::sync::Arc;

fn engine(name: &str, software: &str) -> InstanceRecord {
    InstanceRecord {
        software: SoftwareStatement::of(software),
        ..record(name, "text")
    }
}

fn records() -> Vec<InstanceRecord> {
    vec![
        engine("e-1", "v1"),
        engine("e-2", "v2"),
        engine("e-3", "v1"),
    ]
}

/// Begins a stream, and has its first event relayed.
fn begun(dispatcher: &mut Dispatcher, now: u64) -> (Ticket, InstanceId) {
    let mut ticket = begin(dispatcher, now, "/text/");
    let instance = sent_to(dispatcher, now, &mut ticket).expect("sent");
    dispatcher.record_events(at(now), &mut ticket);
    (ticket, instance)
}

/// A request that takes up the stream of an attempt.
fn returning(dispatcher: &mut Dispatcher, now: u64, attempt: Option<&str>) -> Ticket {
    let mut ticket = begin(dispatcher, now, "/text/");
    ticket.description.attempt = "again".to_owned();
    ticket.description.continuation = Some(Continuation {
        attempt: attempt.map(str::to_owned),
        last_event: "3".to_owned(),
    });
    ticket
}

/// Returns what becomes of a stream for which the leader answers nothing.
fn resolve(
    dispatcher: &mut Dispatcher,
    now: u64,
    ticket: &mut Ticket,
) -> Result<(), RefusalReason> {
    match dispatcher.resumption(at(now), ticket) {
        Resumption::Decided => Ok(()),
        Resumption::Refused(reason) => Err(reason),
        Resumption::Ask(stream) => {
            dispatcher.begin_lookup(&stream);
            let later = at(now + 5_000);
            let decided = dispatcher.continue_stream(later, at(now), &stream, ticket);
            dispatcher.end_lookup(&stream);
            decided.expect("decided").map_err(|(reason, _)| reason)
        }
    }
}

fn software_of(instance: &InstanceId) -> &'static str {
    match instance.0.as_str() {
        "e-2" => "v2",
        _ => "v1",
    }
}

/// Guards against a second send to another version.
#[test]
fn a_stream_that_broke_off_is_sent_to_its_version_only() {
    for _ in 0..3 {
        let mut dispatcher = gateway("g", 1, &records());
        let (mut ticket, first) = begun(&mut dispatcher, 100);
        assert!(dispatcher.may_go_on(&ticket));
        dispatcher.record_send_outcome(at(200), &ticket.send_record(&first), SendOutcome::Broken);
        let second = sent_to(&mut dispatcher, 200, &mut ticket);
        if let Some(second) = second {
            assert_eq!(software_of(&first), software_of(&second));
        } else {
            assert_eq!(software_of(&first), "v2", "its only instance was tried");
        }
    }
}

#[test]
fn a_return_goes_on_at_the_version_of_its_stream() {
    let mut dispatcher = gateway("g", 1, &records());
    let (_, first) = begun(&mut dispatcher, 100);
    let mut ticket = returning(&mut dispatcher, 200, Some("r"));
    assert_eq!(resolve(&mut dispatcher, 200, &mut ticket), Ok(()));
    let second = sent_to(&mut dispatcher, 300, &mut ticket).expect("sent");
    assert_eq!(software_of(&first), software_of(&second));
}

/// Guards against a stream of another tenant, or of another route, that is found by its attempt.
#[rstest]
#[case::tenant(true)]
#[case::route(false)]
fn an_attempt_of_another_tenant_or_route_is_unknown(#[case] is_tenant: bool) {
    let mut dispatcher = gateway("g", 1, &records());
    begun(&mut dispatcher, 100);
    let mut ticket = returning(&mut dispatcher, 200, Some("r"));
    if is_tenant {
        ticket.tenant = Some(Arc::new(tenant("another")));
    } else {
        let mut route = RouteSpec::clone(&ticket.route);
        route.name = "another".to_owned();
        ticket.route = Arc::new(route);
    }
    let refused = resolve(&mut dispatcher, 200, &mut ticket);
    assert_eq!(refused, Err(RefusalReason::StreamUnconfirmed));
    // It has disturbed nothing.
    let mut own = returning(&mut dispatcher, 300, Some("r"));
    assert_eq!(resolve(&mut dispatcher, 300, &mut own), Ok(()));
}

fn tenant(name: &str) -> TenantAccess {
    TenantAccess {
        name: name.into(),
        key_hashes: Vec::new(),
        priority: 0,
        unit: QuotaUnit::Requests,
        plain_cost: 1,
        units_per_second: 0,
        burst_units: 0,
    }
}

/// Guards against a version that was stated by the run before.
#[test]
fn a_stream_of_a_replaced_run_is_not_taken_up() {
    let run = |born| InstanceId::of_run("e-1", born);
    let at_run = |born, software: &str| InstanceRecord {
        instance: run(born),
        ..engine("e-1", software)
    };
    let mut dispatcher = gateway("g", 1, &[at_run(1, "v1")]);
    let (ticket, _) = begun(&mut dispatcher, 100);
    dispatcher.update(
        at(200),
        update(1, 1, vec![at_run(2, "v2"), engine("e-3", "v1")]),
    );
    assert!(!dispatcher.may_go_on(&ticket));
    let mut again = returning(&mut dispatcher, 300, Some("r"));
    let refused = resolve(&mut dispatcher, 300, &mut again);
    assert_eq!(refused, Err(RefusalReason::StreamVersionUnknown));
}

/// Guards against waiting for a version that nobody runs any more.
#[test]
fn a_stream_without_a_server_of_its_version_is_refused_at_once() {
    let mut dispatcher = gateway("g", 1, &[engine("e-1", "v1")]);
    begun(&mut dispatcher, 100);
    dispatcher.update(at(200), update(1, 1, vec![engine("e-2", "v2")]));
    let mut ticket = returning(&mut dispatcher, 300, Some("r"));
    assert_eq!(resolve(&mut dispatcher, 300, &mut ticket), Ok(()));
    let choice = dispatcher.choose(at(300), &mut ticket);
    let Choice::Refuse { reason, .. } = choice else {
        panic!("{choice:?}");
    };
    assert_eq!(reason, RefusalReason::StreamVersionGone);
    assert!(!reason.may_return());
}

/// Guards against a guess where the caller does not state what it takes up.
#[test]
fn a_return_without_an_attempt_needs_one_version_for_long() {
    let mut dispatcher = gateway("g", 1, &[engine("e-1", "v1"), engine("e-3", "v1")]);
    let mut early = returning(&mut dispatcher, 1_000, None);
    let refused = resolve(&mut dispatcher, 1_000, &mut early);
    assert_eq!(refused, Err(RefusalReason::StreamVersionUnknown));
    let mut late = returning(&mut dispatcher, 60_000, None);
    assert_eq!(resolve(&mut dispatcher, 60_000, &mut late), Ok(()));
    dispatcher.update(at(61_000), update(1, 1, records()));
    let mut mixed = returning(&mut dispatcher, 120_000, None);
    let refused = resolve(&mut dispatcher, 120_000, &mut mixed);
    assert_eq!(refused, Err(RefusalReason::StreamVersionUnknown));
}
