//! Requests that wait for a slot or a load: who is sent, who waits, who is refused, and with which
//! Retry-After.

mod harness;

use harness::{at, record, update};
use millpass_dispatch::admission::{MAX_WAITING, WaiterNumber};
use millpass_dispatch::*;
use millpass_proto::*;
use proptest::prelude::*;
use std::sync::Arc;

/// Slots of the engine in these tests.
const SLOTS: u32 = 2;
/// Time for which a request occupies a slot.
const HOLDING: u64 = 1_000;

fn engine(instance: &str) -> InstanceRecord {
    InstanceRecord {
        slots: SLOTS,
        ..record(instance, "text")
    }
}

/// A gateway with an urgent route, `/rush/`, and a less urgent one, `/batch/`.
fn gateway(gateways: u32, instances: Vec<InstanceRecord>) -> Dispatcher {
    let mut first = update(1, gateways, instances);
    let document = Arc::make_mut(first.document.as_mut().expect("a document"));
    let like = document.routes[1].clone();
    let route = |name: &str, priority, objective_millis| RouteSpec {
        name: name.to_owned(),
        path_prefix: name.to_owned(),
        priority,
        objective_millis,
        timeout_millis: 20_000,
        ..like.clone()
    };
    document.routes = vec![route("/rush/", 0, 500), route("/batch/", 2, 5_000)];
    let mut dispatcher = Dispatcher::new(harness::settings("g-1"));
    dispatcher.report(at(0));
    dispatcher.update(at(0), first);
    dispatcher
}

fn begin(dispatcher: &mut Dispatcher, now: u64, path: &str) -> Ticket {
    let route = dispatcher.route(at(now), "h.example", path).expect("route");
    let description = RequestDescription {
        timeout: Some(Duration::from_millis(12_000)),
        model: Some("a".into()),
        ..RequestDescription::default()
    };
    dispatcher.begin(at(now), route, None, description, 0.5)
}

fn end(dispatcher: &mut Dispatcher, now: u64, ticket: &Ticket) {
    let instance = ticket.tried.last().expect("sent");
    let outcome = SendOutcome::Responded(Duration::from_millis(10));
    dispatcher.record_send_outcome(at(now), &ticket.send_record(instance), outcome);
}

/// Lets the gateway learn the time for which a request occupies a slot.
fn learn(dispatcher: &mut Dispatcher) {
    let mut ticket = begin(dispatcher, 0, "/batch/");
    assert!(matches!(
        dispatcher.choose(at(0), &mut ticket),
        Choice::Send { .. }
    ));
    end(dispatcher, HOLDING, &ticket);
}

/// A gateway with one engine whose slots and usable queue are in use by this gateway's requests.
fn busy(gateways: u32) -> (Dispatcher, Vec<Ticket>) {
    let mut dispatcher = gateway(gateways, vec![engine("e-1")]);
    learn(&mut dispatcher);
    let mut sent = Vec::new();
    for _ in 0..2 * SLOTS {
        let mut ticket = begin(&mut dispatcher, HOLDING, "/batch/");
        let choice = dispatcher.choose(at(HOLDING), &mut ticket);
        assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
        sent.push(ticket);
    }
    (dispatcher, sent)
}

fn waiting(dispatcher: &mut Dispatcher, now: u64, path: &str) -> (Ticket, WaiterNumber) {
    let mut ticket = begin(dispatcher, now, path);
    let choice = dispatcher.choose(at(now), &mut ticket);
    assert!(matches!(choice, Choice::Wait { .. }), "{choice:?}");
    let number = ticket.waiting().expect("in a queue");
    (ticket, number)
}

/// Guards against a freed slot that wakes all waiting tasks, or that a later arrival takes.
#[test]
fn freed_slot_calls_one_waiter_and_is_kept_for_it() {
    let (mut dispatcher, sent) = busy(1);
    let (mut first, first_number) = waiting(&mut dispatcher, 1_010, "/batch/");
    let (_second, second_number) = waiting(&mut dispatcher, 1_020, "/batch/");
    assert_eq!(dispatcher.take_called(), []);
    end(&mut dispatcher, 1_100, &sent[0]);
    assert_eq!(dispatcher.take_called(), [first_number]);
    waiting(&mut dispatcher, 1_101, "/batch/");
    let choice = dispatcher.choose(at(1_102), &mut first);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
    end(&mut dispatcher, 1_200, &sent[1]);
    assert_eq!(dispatcher.take_called(), [second_number]);
}

/// Waiter gone when its slot frees: guards against a slot that stays free while others wait.
#[test]
fn slot_of_a_waiter_that_left_goes_to_the_next() {
    let (mut dispatcher, sent) = busy(1);
    let (_, first) = waiting(&mut dispatcher, 1_010, "/batch/");
    let (_, second) = waiting(&mut dispatcher, 1_020, "/batch/");
    end(&mut dispatcher, 1_100, &sent[0]);
    assert_eq!(dispatcher.take_called(), [first]);
    dispatcher.leave_queue(at(1_101), first);
    assert_eq!(dispatcher.take_called(), [second]);
    dispatcher.leave_queue(at(1_102), second);
    assert_eq!(dispatcher.waiting_requests(), 0);
}

/// Leader lost: guards against a queue that depends on updates to advance.
#[test]
fn queue_advances_without_a_leader() {
    let (mut dispatcher, sent) = busy(1);
    let (mut first, number) = waiting(&mut dispatcher, 1_010, "/batch/");
    dispatcher.connection_ended();
    end(&mut dispatcher, 1_100, &sent[0]);
    assert_eq!(dispatcher.take_called(), [number]);
    let choice = dispatcher.choose(at(1_101), &mut first);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// Gateway lost with its queue and its sends: guards against slots that stay unused at the others.
#[test]
fn slots_of_a_lost_gateway_are_used_by_the_others() {
    let mut dispatcher = gateway(2, vec![engine("e-1")]);
    learn(&mut dispatcher);
    let loaded = |in_flight| GatewayUpdate {
        first: false,
        document: None,
        loads: vec![InstanceLoad {
            instance: "e-1".into(),
            in_flight,
        }],
        ..update(1, 2, Vec::new())
    };
    dispatcher.update(at(1_000), loaded(2 * SLOTS));
    let (mut ticket, number) = waiting(&mut dispatcher, 1_001, "/batch/");
    dispatcher.update(at(1_020), loaded(0));
    assert_eq!(dispatcher.take_called(), [number]);
    let choice = dispatcher.choose(at(1_021), &mut ticket);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// A slot is free, but a request that waited longer goes first: guards against a request that is held
/// behind it and then refused at its first check, unlike those that found no free slot on arrival.
#[test]
fn request_held_behind_a_waiter_keeps_its_place_until_its_objective() {
    let mut dispatcher = gateway(2, vec![engine("e-1")]);
    learn(&mut dispatcher);
    let loaded = |in_flight| GatewayUpdate {
        first: false,
        document: None,
        loads: vec![InstanceLoad {
            instance: "e-1".into(),
            in_flight,
        }],
        ..update(1, 2, Vec::new())
    };
    dispatcher.update(at(1_000), loaded(2 * SLOTS));
    let (_, first) = waiting(&mut dispatcher, 1_001, "/batch/");
    // The load of the other gateway decays without an event that calls the first one.
    let (mut second, _) = waiting(&mut dispatcher, 9_000, "/batch/");
    assert_eq!(dispatcher.take_called(), [first]);
    assert!(second.queue.is_some(), "no facts for the log");
    dispatcher.update(at(9_010), loaded(3 * SLOTS));
    dispatcher.update(at(13_500), loaded(3 * SLOTS));
    let choice = dispatcher.choose(at(13_500), &mut second);
    assert!(matches!(choice, Choice::Wait { .. }), "{choice:?}");
}

/// Guards against a request that waits without end while others go first, if its caller stays
/// connected beyond its deadline.
#[test]
fn request_past_its_deadline_does_not_wait_behind_others() {
    let mut dispatcher = gateway(1, vec![engine("e-1")]);
    (0..10).for_each(|_| learn(&mut dispatcher));
    let loaded = |in_flight| GatewayUpdate {
        first: false,
        document: None,
        loads: vec![InstanceLoad {
            instance: "e-1".into(),
            in_flight,
        }],
        ..update(1, 1, Vec::new())
    };
    dispatcher.update(at(1_000), loaded(3 * SLOTS));
    let (mut expired, _) = waiting(&mut dispatcher, 1_001, "/batch/");
    dispatcher.update(at(9_000), loaded(3 * SLOTS));
    let (_, other) = waiting(&mut dispatcher, 9_001, "/batch/");
    // 12 s after the arrival of the first, when the load has decayed.
    let choice = dispatcher.choose(at(13_500), &mut expired);
    assert!(
        matches!(
            choice,
            Choice::Refuse {
                reason: RefusalReason::Full,
                ..
            }
        ),
        "{choice:?}"
    );
    assert_eq!(dispatcher.take_called(), [other]);
}

/// Guards against a request that polls or waits for a load that has arrived.
#[test]
fn loaded_model_calls_its_waiters() {
    let other = InstanceRecord {
        models: Vec::new(),
        ..engine("e-1")
    };
    let mut dispatcher = gateway(1, vec![other]);
    let loading = GatewayUpdate {
        first: false,
        document: None,
        ready_estimates: vec![ModelReadyEstimate {
            service: "text".into(),
            model: "a".into(),
            adapter: None,
            ready_in_millis: 600,
        }],
        ..update(1, 1, Vec::new())
    };
    dispatcher.update(at(0), loading);
    let (mut first, number) = waiting(&mut dispatcher, 1, "/batch/");
    // An objective of 500 ms cannot be met, and its caller can return.
    let mut rush = begin(&mut dispatcher, 2, "/rush/");
    let refused = dispatcher.choose(at(2), &mut rush);
    let Choice::Refuse {
        reason: RefusalReason::Cold,
        retry_after,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert!(retry_after >= Duration::from_millis(598), "{retry_after:?}");
    assert!(retry_after < Duration::from_millis(800), "{retry_after:?}");
    let loaded = GatewayUpdate {
        first: false,
        document: None,
        ..update(
            1,
            1,
            vec![InstanceRecord {
                sequence: 2,
                ..engine("e-1")
            }],
        )
    };
    dispatcher.update(at(610), loaded);
    assert_eq!(dispatcher.take_called(), [number]);
    let choice = dispatcher.choose(at(611), &mut first);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

fn loading(ready_in_millis: u64) -> GatewayUpdate {
    GatewayUpdate {
        first: false,
        document: None,
        ready_estimates: vec![ModelReadyEstimate {
            service: "text".into(),
            model: "a".into(),
            adapter: None,
            ready_in_millis,
        }],
        ..update(1, 1, Vec::new())
    }
}

/// Guards against requests that go on waiting for a load that will end after their callers left.
#[test]
fn waiters_of_a_load_that_is_delayed_beyond_their_deadline_are_refused_at_once() {
    let mut dispatcher = gateway(1, Vec::new());
    dispatcher.update(at(0), loading(600));
    let (mut ticket, number) = waiting(&mut dispatcher, 1, "/batch/");
    dispatcher.update(at(100), loading(550));
    assert_eq!(dispatcher.take_called(), [], "as expected");
    dispatcher.update(at(2_000), loading(15_000));
    assert_eq!(dispatcher.take_called(), [number]);
    let choice = dispatcher.choose(at(2_001), &mut ticket);
    assert!(matches!(choice, Choice::Refuse { .. }), "{choice:?}");
}

/// Guards against callers that wait until their deadline for a model that is not loaded although
/// the leader has long known of the demand, and against a Retry-After at which it is not loaded
/// either.
#[test]
fn callers_of_a_model_without_a_planned_load_are_told_a_later_time_the_longer_it_takes() {
    let mut dispatcher = gateway(1, Vec::new());
    let mut told = Vec::new();
    for now in (0..=12_000).step_by(500) {
        let mut ticket = begin(&mut dispatcher, now, "/rush/");
        match dispatcher.choose(at(now), &mut ticket) {
            Choice::Refuse { retry_after, .. } => told.push((now, retry_after)),
            choice => assert!(matches!(choice, Choice::Wait { .. }), "{choice:?}"),
        }
    }
    let at_time = |now: u64| {
        told.iter()
            .find(|(at, _)| *at == now)
            .map(|(_, told)| *told)
    };
    assert!(at_time(0) < Some(Duration::from_millis(1_500)), "{told:?}");
    assert!(
        at_time(2_000) > Some(Duration::from_millis(2_900)),
        "{told:?}"
    );
    let mut batch = begin(&mut dispatcher, 12_000, "/batch/");
    let refused = dispatcher.choose(at(12_000), &mut batch);
    assert!(matches!(refused, Choice::Refuse { .. }), "{refused:?}");
}

/// Web back ends have no priorities: guards against a queue there that is longer than the
/// objective allows, and against idle slots.
#[test]
fn web_back_ends_get_what_they_serve_within_the_objective() {
    let back_end = InstanceRecord {
        slots: 6,
        ..record("i-1", "web")
    };
    let mut dispatcher = harness::gateway("g-1", 1, &[back_end]);
    let mut learning = harness::begin(&mut dispatcher, 0, "/web/");
    dispatcher.choose(at(0), &mut learning);
    end(&mut dispatcher, 200, &learning);
    let mut sent = Vec::new();
    let mut others = Vec::new();
    for _ in 0..40 {
        let mut ticket = harness::begin(&mut dispatcher, 200, "/web/");
        match dispatcher.choose(at(200), &mut ticket) {
            Choice::Send { .. } => sent.push(ticket),
            choice => others.push((choice, ticket)),
        }
    }
    // An objective of 800 ms allows more than is sent into a back end's queue of 24.
    assert_eq!(sent.len(), 12);
    let waits = |(choice, _): &&(Choice, Ticket)| matches!(choice, Choice::Wait { .. });
    let count = others.iter().filter(waits).count();
    assert!((1..20).contains(&count), "{count}");
    assert_eq!(dispatcher.waiting_requests(), count);
    end(&mut dispatcher, 300, &sent[0]);
    assert_eq!(dispatcher.take_called().len(), 1);
}

/// Guards against a request that is held and then refused although that was known when it arrived.
#[test]
fn request_that_cannot_be_served_in_time_is_refused_at_once_in_order() {
    let (mut dispatcher, _sent) = busy(1);
    let mut ticket = begin(&mut dispatcher, 1_010, "/rush/");
    // An engine serves urgent requests first, so that the first of them are in time.
    let mut refused = dispatcher.choose(at(1_010), &mut ticket);
    while matches!(refused, Choice::Send { .. }) {
        ticket = begin(&mut dispatcher, 1_010, "/rush/");
        refused = dispatcher.choose(at(1_010), &mut ticket);
    }
    let mut last = Duration::ZERO;
    for number in 0..3 {
        if number > 0 {
            ticket = begin(&mut dispatcher, 1_010, "/rush/");
            refused = dispatcher.choose(at(1_010), &mut ticket);
        }
        let Choice::Refuse {
            reason: RefusalReason::Full,
            retry_after,
        } = refused
        else {
            panic!("{refused:?}");
        };
        assert!(retry_after > last, "callers would return together");
        last = retry_after;
    }
    let demand = dispatcher.report(at(1_020)).demand;
    assert_eq!((demand[0].refused_full, demand[0].unserved), (3, 3));
    let demand = dispatcher.report(at(1_030)).demand;
    assert_eq!(
        (demand[0].refused_full, demand[0].unserved),
        (0, 0),
        "once each"
    );
}

/// Guards against less urgent requests in an engine's queue while more urgent ones are refused.
#[test]
fn less_urgent_request_is_not_queued_at_an_engine_that_refused_an_urgent_one() {
    let mut dispatcher = gateway(1, vec![engine("e-1")]);
    learn(&mut dispatcher);
    for _ in 0..SLOTS {
        let mut ticket = begin(&mut dispatcher, HOLDING, "/batch/");
        dispatcher.choose(at(HOLDING), &mut ticket);
    }
    let mut rush = begin(&mut dispatcher, HOLDING, "/rush/");
    // With two slots and requests of one second, the objective of 500 ms is met only by the first.
    while let Choice::Send { .. } = dispatcher.choose(at(HOLDING), &mut rush) {
        rush = begin(&mut dispatcher, HOLDING, "/rush/");
    }
    let mut batch = begin(&mut dispatcher, HOLDING + 1, "/batch/");
    let choice = dispatcher.choose(at(HOLDING + 1), &mut batch);
    assert!(!matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// 10,000 callers for a model that loads: guards against unbounded memory, and against urgent
/// requests that find the queue full of less urgent ones.
#[test]
fn ten_thousand_callers_of_one_model_are_bounded_and_urgent_ones_displace() {
    let mut dispatcher = gateway(1, Vec::new());
    let loading = |ready_in_millis| GatewayUpdate {
        first: false,
        document: None,
        ready_estimates: vec![ModelReadyEstimate {
            service: "text".into(),
            model: "a".into(),
            adapter: None,
            ready_in_millis,
        }],
        ..update(1, 1, Vec::new())
    };
    dispatcher.update(at(0), loading(100));
    let mut tickets = Vec::new();
    let mut refused = 0;
    for number in 0..10_000_u64 {
        let mut ticket = begin(&mut dispatcher, number / 100, "/batch/");
        match dispatcher.choose(at(number / 100), &mut ticket) {
            Choice::Refuse { .. } => refused += 1,
            Choice::Wait { .. } => tickets.push(ticket),
            Choice::Send { .. } | Choice::Forward { .. } => panic!("sent without an engine"),
        }
    }
    assert_eq!(dispatcher.waiting_requests(), MAX_WAITING);
    assert_eq!(refused, 10_000 - MAX_WAITING);
    let (_, _) = waiting(&mut dispatcher, 100, "/rush/");
    let called = dispatcher.take_called();
    assert_eq!(called.len(), 1);
    let displaced = tickets
        .iter_mut()
        .find(|ticket| ticket.waiting() == Some(called[0]));
    let choice = dispatcher.choose(at(101), displaced.expect("a waiting request"));
    assert!(
        matches!(
            choice,
            Choice::Refuse {
                reason: RefusalReason::Displaced,
                ..
            }
        ),
        "{choice:?}"
    );
    assert_eq!(dispatcher.waiting_requests(), MAX_WAITING);
}

/// Guards against a caller that all its attempts found full and that is missing in the demand for a
/// further replica.
#[test]
fn request_rejected_by_full_engines_counts_as_refused_for_slots() {
    let mut dispatcher = gateway(1, ["e-1", "e-2", "e-3"].map(engine).to_vec());
    let mut ticket = begin(&mut dispatcher, 0, "/batch/");
    let mut sends = 0;
    let refused = loop {
        match dispatcher.choose(at(0), &mut ticket) {
            Choice::Send { instance, .. } => {
                sends += 1;
                let record = ticket.send_record(&instance);
                dispatcher.record_send_outcome(at(1), &record, SendOutcome::Full);
            }
            choice => break choice,
        }
    };
    assert_eq!(sends, 3, "attempts of the route");
    assert!(
        matches!(
            refused,
            Choice::Refuse {
                reason: RefusalReason::NoAttempts,
                ..
            }
        ),
        "{refused:?}"
    );
    assert_eq!(dispatcher.report(at(2)).demand[0].refused_full, 1);
}

/// 61 gateways with full queues learn at the same time that a model is loaded: guards against sends
/// that overrun the engine's queue many times, and against free slots beside waiting requests.
#[test]
fn queues_of_many_gateways_are_not_emptied_at_once() {
    let mut dispatcher = gateway(61, Vec::new());
    dispatcher.update(at(0), loading(100));
    let mut tickets: Vec<Ticket> = Vec::new();
    for _ in 0..100 {
        let mut ticket = begin(&mut dispatcher, 1, "/batch/");
        dispatcher.choose(at(1), &mut ticket);
        tickets.push(ticket);
    }
    let loaded = InstanceRecord {
        slots: 24,
        ..engine("e-1")
    };
    let received = GatewayUpdate {
        first: false,
        document: None,
        ..update(1, 61, vec![loaded])
    };
    dispatcher.update(at(100), received);
    let (mut sent, mut checks) = (0, std::collections::BTreeMap::new());
    for now in (100..500).step_by(10) {
        loop {
            let called = dispatcher.take_called();
            let is_due = |ticket: &&mut Ticket| {
                let until = |number| checks.get(&number).is_some_and(|until| *until <= at(now));
                let number = ticket.waiting();
                number.is_some_and(|number| called.contains(&number) || until(number))
            };
            let due: Vec<&mut Ticket> = tickets.iter_mut().filter(is_due).collect();
            if due.is_empty() {
                break;
            }
            for ticket in due {
                let number = ticket.waiting().expect("waiting");
                match dispatcher.choose(at(now), ticket) {
                    Choice::Wait { until } => checks.insert(number, until),
                    choice => {
                        sent += u32::from(matches!(choice, Choice::Send { .. }));
                        None
                    }
                };
            }
        }
        assert!(now > 140 || sent <= 4, "{sent}");
    }
    assert!(sent >= 24, "{sent}: slots stay free");
}

proptest! {
    /// Twins: never more sends than slots and usable queue, and no free slot while a caller waits.
    #[test]
    fn slots_are_neither_over_committed_nor_idle_beside_waiters(
        steps in prop::collection::vec((0_u8..4, 1_u64..200), 1..120),
    ) {
        let mut dispatcher = gateway(1, vec![engine("e-1"), engine("e-2")]);
        learn(&mut dispatcher);
        let (mut running, mut tickets) = (Vec::<Ticket>::new(), Vec::<(Ticket, Timestamp)>::new());
        let mut now = HOLDING;
        for (action, pause) in steps {
            now += pause;
            let mut due = dispatcher.take_called();
            match action {
                0 if !running.is_empty() => end(&mut dispatcher, now, &running.remove(0)),
                1 if !tickets.is_empty() => {
                    let (ticket, _) = tickets.remove(0);
                    dispatcher.leave_queue(at(now), ticket.waiting().expect("waiting"));
                }
                _ => {
                    let path = if action == 3 { "/rush/" } else { "/batch/" };
                    tickets.push((begin(&mut dispatcher, now, path), at(now)));
                }
            }
            // Each request that is called or whose time has come decides, until none is left.
            loop {
                due.extend(dispatcher.take_called());
                let is_due = |(ticket, until): &(Ticket, Timestamp)| {
                    *until <= at(now) || ticket.waiting().is_some_and(|number| due.contains(&number))
                };
                let Some(position) = tickets.iter().position(is_due) else {
                    break;
                };
                let (mut ticket, _) = tickets.remove(position);
                due.retain(|number| Some(*number) != ticket.waiting());
                match dispatcher.choose(at(now), &mut ticket) {
                    Choice::Send { .. } => running.push(ticket),
                    Choice::Wait { until } => {
                        prop_assert!(until > at(now), "decides again at once");
                        tickets.push((ticket, until));
                    }
                    Choice::Refuse { .. } => {}
                    Choice::Forward { .. } => prop_assert!(false, "forwarded"),
                }
            }
            let at_instance = |name: &str| {
                let sent = running.iter().filter(|ticket| ticket.tried.last() == Some(&name.into()));
                u32::try_from(sent.count()).expect("few")
            };
            for name in ["e-1", "e-2"] {
                prop_assert!(at_instance(name) <= 3 * SLOTS, "over-committed");
                prop_assert!(at_instance(name) >= SLOTS || tickets.is_empty(), "idle");
            }
            prop_assert_eq!(dispatcher.waiting_requests(), tickets.len());
        }
    }
}
