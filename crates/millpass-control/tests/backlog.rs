//! Priorities in the core's input queue.
//!
//! Guards against lost elections: after the loss of a member, inputs of reconnecting gateways and
//! instances must not delay ticks, votes and heartbeats.

use millpass_control::backlog::{Backlog, Next};
use millpass_control::priority::Priority;
use millpass_control_plane::{AdministrationRequest, ConnectionId, ControlInput};
use millpass_proto::{
    CreditRequest, InstanceDeparture, InstanceRecord, ObjectKey, ObjectKind, PermitRequest,
    RouterToControl, SoftwareStatement,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
const STEP: Duration = Duration::from_millis(1);

/// Takes the next input while no tick is due.
fn take(backlog: &mut Backlog<u32>) -> Option<(Priority, u32)> {
    let now = Instant::now();
    match backlog.next(now, now + TICK) {
        Next::Input(class, input) => Some((class, input)),
        Next::Idle => None,
        Next::Tick => panic!("no tick is due"),
    }
}

/// Fills a class to its bound; returns how many fit.
fn fill(backlog: &mut Backlog<u32>, class: Priority) -> usize {
    let mut number = 0;
    while backlog.push(class, number).is_ok() {
        number += 1;
    }
    number as usize
}

/// Under sustained overload, no tick is later than one step.
#[test]
fn ticks_are_on_time_while_inputs_never_end() {
    let mut backlog = Backlog::default();
    let mut now = Instant::now();
    let end = now + Duration::from_secs(10);
    let mut due = now + TICK;
    let mut ticks = 0;
    while now < end {
        for class in Priority::ALL {
            let _ = backlog.push(class, 0);
        }
        match backlog.next(now, due) {
            Next::Tick => {
                assert!(now < due + STEP, "a tick is late");
                ticks += 1;
                now += STEP;
                due = now + TICK;
            }
            Next::Input(..) => now += STEP,
            Next::Idle => panic!("inputs wait"),
        }
    }
    assert!(ticks > 1_600, "{ticks} ticks");
}

#[test]
fn consensus_precedes_all_other_classes() {
    let mut backlog = Backlog::default();
    for class in Priority::ALL.into_iter().skip(1) {
        fill(&mut backlog, class);
    }
    for number in 0..100 {
        backlog.push(Priority::Consensus, number).expect("capacity");
        assert_eq!(take(&mut backlog), Some((Priority::Consensus, number)));
        let (class, _) = take(&mut backlog).expect("others wait");
        assert_ne!(class, Priority::Consensus);
    }
}

#[test]
fn a_class_keeps_its_order() {
    let mut backlog = Backlog::default();
    for number in 0..50 {
        backlog.push(Priority::Reports, number).expect("capacity");
        backlog.push(Priority::Credit, number).expect("capacity");
    }
    let mut last = [None; 2];
    while let Some((class, number)) = take(&mut backlog) {
        let last = &mut last[usize::from(class == Priority::Credit)];
        assert!(*last < Some(number), "{class:?}: {number} after {last:?}");
        *last = Some(number);
    }
    assert_eq!(last, [Some(49), Some(49)]);
}

/// An input waits for a bounded number of others, even if all other classes never run empty.
#[rstest]
#[case(Priority::Promised, 28)]
#[case(Priority::Credit, 28)]
#[case(Priority::Reports, 36)]
#[case(Priority::Announcements, 40)]
fn no_class_is_starved(#[case] class: Priority, #[case] others: usize) {
    for turns in 0..60 {
        let mut backlog = Backlog::default();
        let refill = |backlog: &mut Backlog<u32>| {
            for other in Priority::ALL {
                if other != class && other != Priority::Consensus {
                    let _ = backlog.push(other, 0);
                }
            }
        };
        for _ in 0..turns {
            let _ = backlog.push(class, 0);
            refill(&mut backlog);
            take(&mut backlog);
        }
        while backlog.length(class) > 0 {
            refill(&mut backlog);
            take(&mut backlog);
        }
        backlog.push(class, 7).expect("capacity");
        let mut before = 0;
        loop {
            refill(&mut backlog);
            let (taken, _) = take(&mut backlog).expect("inputs wait");
            if taken == class {
                break;
            }
            before += 1;
        }
        assert!(before <= others, "{before} others first, turn {turns}");
    }
}

/// Other classes get their quota even if consensus never empties its queue.
#[test]
fn consensus_does_not_starve_other_classes() {
    let mut backlog = Backlog::default();
    fill(&mut backlog, Priority::Announcements);
    backlog.push(Priority::Consensus, 0).expect("capacity");
    let mut others = 0;
    for _ in 0..10_000 {
        backlog.push(Priority::Consensus, 0).expect("capacity");
        backlog.push(Priority::Consensus, 0).expect("capacity");
        let first = take(&mut backlog).map(|(class, _)| class);
        let second = take(&mut backlog).map(|(class, _)| class);
        for class in [first, second] {
            others += usize::from(class == Some(Priority::Announcements));
        }
    }
    assert!(others > 100, "{others}");
}

/// A refused input is returned and counted; other classes keep their capacity.
#[rstest]
fn a_full_class_refuses_and_counts(
    #[values(
        Priority::Consensus,
        Priority::Promised,
        Priority::Credit,
        Priority::Reports,
        Priority::Announcements
    )]
    class: Priority,
) {
    let mut backlog = Backlog::default();
    let length = fill(&mut backlog, class);
    assert!(!backlog.has_capacity(class));
    assert_eq!(backlog.push(class, 9), Err(9));
    assert_eq!((backlog.length(class), backlog.refused(class)), (length, 2));
    for other in Priority::ALL.into_iter().filter(|other| *other != class) {
        assert!(backlog.has_capacity(other));
        assert_eq!(backlog.refused(other), 0);
    }
    backlog.push_unbounded(class, 9);
    assert_eq!(backlog.length(class), length + 1);
}

fn call(request: AdministrationRequest) -> ControlInput {
    ControlInput::Administration { call: 1, request }
}

fn router(message: RouterToControl) -> ControlInput {
    ControlInput::Router {
        connection: ConnectionId(1),
        message,
    }
}

fn announcement(draining: bool) -> ControlInput {
    let record = InstanceRecord {
        instance: "web-1".into(),
        service: "web".into(),
        address: "10.0.0.9:80".to_owned(),
        zone: "zone-1".into(),
        slots: 4,
        draining,
        warmup_millis: 0,
        sequence: 1,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    };
    call(AdministrationRequest::Announce(record))
}

#[test]
fn inputs_have_the_expected_class() {
    let key = ObjectKey {
        kind: ObjectKind::Model,
        name: String::new(),
    };
    let departure = InstanceDeparture {
        instance: "web-1".into(),
        ended: true,
    };
    let credit = RouterToControl::Credit(CreditRequest {
        sequence: 1,
        tenants: Vec::new(),
        granted_in_term: 0,
        answered: 0,
    });
    let permits = RouterToControl::Permits(PermitRequest {
        gateway: "gateway".to_owned(),
        sequence: 1,
        observations: Vec::new(),
        instances: Vec::new(),
    });
    for (input, class) in [
        (ControlInput::Persisted { write: 1 }, Priority::Consensus),
        (ControlInput::Drain, Priority::Promised),
        (
            call(AdministrationRequest::Depart(departure)),
            Priority::Promised,
        ),
        (call(AdministrationRequest::GetDocument), Priority::Promised),
        (announcement(true), Priority::Promised),
        (announcement(false), Priority::Announcements),
        (
            call(AdministrationRequest::Get(key)),
            Priority::Announcements,
        ),
        (call(AdministrationRequest::Status), Priority::Announcements),
        (router(credit), Priority::Credit),
        (router(permits), Priority::Credit),
        (
            ControlInput::RouterDisconnected(ConnectionId(1)),
            Priority::Reports,
        ),
    ] {
        assert_eq!(Priority::of(&input), class, "{input:?}");
    }
}
