//! What waits for the core, by urgency.
//!
//! The failure: one queue of 16,384 inputs in order of arrival, and a tick only when it was empty. When a
//! member was lost, 70 gateways and 144 instances connected anew to those that were left, and what they
//! sent stood before votes and heartbeats. Leaders were deposed in half a second, and the votes that would
//! have ended the loss came after the next candidacy had begun.

use millpass_control::backlog::{Backlog, Next};
use millpass_control::urgency::Urgency;
use millpass_control_plane::{AdministrationRequest, ConnectionId, ControlInput};
use millpass_proto::{
    CreditRequest, InstanceDeparture, InstanceRecord, ObjectKey, ObjectKind, PermitRequest,
    RouterToControl,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
const STEP: Duration = Duration::from_millis(1);

/// Takes what is next when no tick is due.
fn take(backlog: &mut Backlog<u32>) -> Option<(Urgency, u32)> {
    let now = Instant::now();
    match backlog.next(now, now + TICK) {
        Next::Input(class, input) => Some((class, input)),
        Next::Nothing => None,
        Next::Tick => panic!("no tick is due"),
    }
}

/// Fills a class to its bound; returns how many fit.
fn fill(backlog: &mut Backlog<u32>, class: Urgency) -> usize {
    let mut number = 0;
    while backlog.push(class, number).is_ok() {
        number += 1;
    }
    number as usize
}

/// Announcements arrive faster than they are taken up, for ten seconds: each tick comes no later than
/// one step after it is due.
#[test]
fn ticks_come_on_time_although_inputs_never_end() {
    let mut backlog = Backlog::default();
    let mut now = Instant::now();
    let end = now + Duration::from_secs(10);
    let mut due = now + TICK;
    let mut ticks = 0;
    while now < end {
        for class in Urgency::ALL {
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
            Next::Nothing => panic!("inputs wait"),
        }
    }
    assert!(ticks > 1_600, "{ticks} ticks");
}

#[test]
fn what_consensus_needs_comes_before_all_that_waits() {
    let mut backlog = Backlog::default();
    for class in Urgency::ALL.into_iter().skip(1) {
        fill(&mut backlog, class);
    }
    for number in 0..100 {
        backlog.push(Urgency::Consensus, number).expect("room");
        assert_eq!(take(&mut backlog), Some((Urgency::Consensus, number)));
        let (class, _) = take(&mut backlog).expect("others wait");
        assert_ne!(class, Urgency::Consensus);
    }
}

#[test]
fn a_class_keeps_its_order() {
    let mut backlog = Backlog::default();
    for number in 0..50 {
        backlog.push(Urgency::Reports, number).expect("room");
        backlog.push(Urgency::Credit, number).expect("room");
    }
    let mut last = [None; 2];
    while let Some((class, number)) = take(&mut backlog) {
        let last = &mut last[usize::from(class == Urgency::Credit)];
        assert!(*last < Some(number), "{class:?}: {number} after {last:?}");
        *last = Some(number);
    }
    assert_eq!(last, [Some(49), Some(49)]);
}

/// An input that arrives while all other classes are full and stay full is taken up after a bounded
/// number of others.
#[rstest]
#[case(Urgency::Promised, 28)]
#[case(Urgency::Credit, 28)]
#[case(Urgency::Reports, 36)]
#[case(Urgency::Announcements, 40)]
fn no_class_waits_for_good(#[case] class: Urgency, #[case] others: usize) {
    for turns in 0..60 {
        let mut backlog = Backlog::default();
        let refill = |backlog: &mut Backlog<u32>| {
            for other in Urgency::ALL {
                if other != class && other != Urgency::Consensus {
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
        backlog.push(class, 7).expect("room");
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

/// Consensus that never empties its queue lets a share of the others pass.
#[test]
fn consensus_does_not_starve_the_others_for_good() {
    let mut backlog = Backlog::default();
    fill(&mut backlog, Urgency::Announcements);
    backlog.push(Urgency::Consensus, 0).expect("room");
    let mut others = 0;
    for _ in 0..10_000 {
        backlog.push(Urgency::Consensus, 0).expect("room");
        backlog.push(Urgency::Consensus, 0).expect("room");
        let first = take(&mut backlog).map(|(class, _)| class);
        let second = take(&mut backlog).map(|(class, _)| class);
        for class in [first, second] {
            others += usize::from(class == Some(Urgency::Announcements));
        }
    }
    assert!(others > 100, "{others}");
}

/// What does not fit is handed back and counted; the other classes have their room.
#[rstest]
fn a_full_class_refuses_and_counts(
    #[values(
        Urgency::Consensus,
        Urgency::Promised,
        Urgency::Credit,
        Urgency::Reports,
        Urgency::Announcements
    )]
    class: Urgency,
) {
    let mut backlog = Backlog::default();
    let length = fill(&mut backlog, class);
    assert!(!backlog.has_room(class));
    assert_eq!(backlog.push(class, 9), Err(9));
    assert_eq!((backlog.length(class), backlog.refused(class)), (length, 2));
    for other in Urgency::ALL.into_iter().filter(|other| *other != class) {
        assert!(backlog.has_room(other));
        assert_eq!(backlog.refused(other), 0);
    }
    backlog.push_own(class, 9);
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
    };
    call(AdministrationRequest::Announce(record))
}

#[test]
fn classes_follow_what_a_delay_costs() {
    let key = ObjectKey {
        kind: ObjectKind::Model,
        name: String::new(),
    };
    let departure = InstanceDeparture {
        instance: "web-1".into(),
        ended: true,
    };
    let credit = RouterToControl::Credit(CreditRequest {
        gateway: "gateway".to_owned(),
        sequence: 1,
        tenants: Vec::new(),
        granted_in_term: 0,
    });
    let permits = RouterToControl::Permits(PermitRequest {
        gateway: "gateway".to_owned(),
        sequence: 1,
        observations: Vec::new(),
        instances: Vec::new(),
    });
    for (input, class) in [
        (ControlInput::Persisted { write: 1 }, Urgency::Consensus),
        (ControlInput::Drain, Urgency::Promised),
        (
            call(AdministrationRequest::Depart(departure)),
            Urgency::Promised,
        ),
        (call(AdministrationRequest::GetDocument), Urgency::Promised),
        (announcement(true), Urgency::Promised),
        (announcement(false), Urgency::Announcements),
        (
            call(AdministrationRequest::Get(key)),
            Urgency::Announcements,
        ),
        (call(AdministrationRequest::Status), Urgency::Announcements),
        (router(credit), Urgency::Credit),
        (router(permits), Urgency::Credit),
        (
            ControlInput::RouterDisconnected(ConnectionId(1)),
            Urgency::Reports,
        ),
    ] {
        assert_eq!(Urgency::of(&input), class, "{input:?}");
    }
}
