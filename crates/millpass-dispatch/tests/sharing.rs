//! Ways to share an engine's slots among 3, 61 and 986 gateways, on a small model of the engine: a
//! batch of slots, behind them a queue by priority, and gateways that learn of each other's requests
//! only by updates of the leader and by loads in responses.

mod harness;

use harness::{at, record, update};
use millpass_dispatch::*;
use millpass_proto::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

const SLOTS: usize = 24;
const QUEUE: usize = 72;
/// Time for which a request occupies a slot; the engine serves 24 a second.
const HOLDING: u64 = 1_000;
const STEP: u64 = 5;
/// Time after which callers leave.
const TIMEOUT: u64 = 12_000;
/// Start of the load; before it, each gateway has served a few requests.
const START: u64 = 2_000;
const END: u64 = 22_000;
/// Time until the requests in flight at the gateways are known to the leader.
const REPORT_DELAY: u64 = 100;

/// How requests that find all slots in use are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// They wait for a fifth of their objective, and are refused.
    WaitBriefly,
    /// They are sent into the engine's queue, wait at the gateway, or are refused at once, by the
    /// expected wait.
    ByExpectedWait,
}

/// When refused callers come back, at any gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    /// They don't.
    Never,
    /// After a constant time, as before.
    Constant,
    /// As told: in the order in which their gateway refused them.
    InOrder,
    /// As told, and a gateway refuses all arrivals while callers that it told to return are
    /// outstanding. It cannot tell those that return from others.
    InOrderCounted,
}

#[derive(Debug, Default, PartialEq)]
struct Class {
    arrived: f64,
    in_time: f64,
    late: f64,
    refused: f64,
}

#[derive(Debug, Default)]
struct Totals {
    classes: [Class; 2],
    rejected: usize,
    /// Free slots, summed over the steps after the first second.
    idle: usize,
    longest_queue: usize,
    /// Requests that were held for over a quarter of their objective before they were refused.
    held_and_refused: usize,
    /// Callers that came back, and those of them that were refused again.
    returned: usize,
    refused_again: usize,
    /// Most callers that came back within 100 ms.
    most_at_once: usize,
}

struct Request {
    gateway: usize,
    class: usize,
    arrived: u64,
    ticket: Ticket,
    is_return: bool,
}

/// Engine that runs up to [`SLOTS`] requests, and queues the others by priority.
#[derive(Default)]
struct Engine {
    running: Vec<(u64, usize)>,
    queue: BTreeSet<(usize, usize)>,
}

fn outcome(way: Way) -> SendOutcome {
    match way {
        // Nothing is learned of the time that requests take.
        Way::WaitBriefly => SendOutcome::Abandoned,
        Way::ByExpectedWait => SendOutcome::Responded(Duration::from_millis(10)),
    }
}

fn begin(dispatcher: &mut Dispatcher, now: u64, class: usize, timeout: u64) -> Ticket {
    let path = ["/rush/", "/batch/"][class];
    let route = dispatcher.route(at(now), "h.example", path).expect("route");
    let description = RequestDescription {
        timeout: Some(Duration::from_millis(timeout)),
        model: Some("a".into()),
        ..RequestDescription::default()
    };
    dispatcher.begin(at(now), route, None, description, 0.5)
}

fn new_gateway(way: Way, number: usize, gateways: usize) -> Dispatcher {
    let engine = InstanceRecord {
        slots: u32::try_from(SLOTS).expect("few"),
        ..record("e-1", "text")
    };
    let count = u32::try_from(gateways).expect("few");
    let mut first = update(1, count, vec![engine]);
    let document = Arc::make_mut(first.document.as_mut().expect("a document"));
    let like = document.routes[1].clone();
    let route = |name: &str, priority, objective_millis| RouteSpec {
        name: name.to_owned(),
        path_prefix: name.to_owned(),
        priority,
        objective_millis,
        timeout_millis: 12_000,
        ..like.clone()
    };
    document.routes = vec![route("/rush/", 0, 500), route("/batch/", 2, 5_000)];
    let mut dispatcher = Dispatcher::new(harness::settings(&format!("g-{number}")));
    dispatcher.report(at(0));
    dispatcher.update(at(0), first);
    for class in [0, 1, 0, 1, 1, 0, 1, 0, 1, 1, 0, 1, 1, 0, 1] {
        let mut ticket = begin(&mut dispatcher, 0, class, TIMEOUT);
        dispatcher.choose(at(0), &mut ticket);
        let record = ticket.send_record(&"e-1".into());
        dispatcher.record_send_outcome(at(HOLDING), &record, outcome(way));
    }
    dispatcher
}

/// Runs `per_second` requests through the gateways; two of five are urgent. If callers return, the
/// load lasts for 6 s, and half of it follows.
fn run(way: Way, gateways: usize, per_second: u64, returns: Return) -> Totals {
    let mut dispatchers: Vec<Dispatcher> = (0..gateways)
        .map(|number| new_gateway(way, number, gateways))
        .collect();
    let (mut engine, mut totals) = (Engine::default(), Totals::default());
    let mut requests: Vec<Request> = Vec::new();
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    let mut in_flight_before = Vec::new();
    let mut returning: Vec<(u64, usize, u64)> = Vec::new();
    let mut told = vec![0_u64; gateways];
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = |below: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % below
    };
    let interval = REPORT_DELAY.max(gateways as u64);
    for now in (START..END).step_by(STEP as usize) {
        // Ends of running requests, and starts of queued ones.
        let ended: Vec<usize> = engine
            .running
            .iter()
            .filter(|(end, _)| *end <= now)
            .map(|(_, request)| *request)
            .collect();
        engine.running.retain(|(end, _)| *end > now);
        for request in ended {
            let request = &requests[request];
            let record = request.ticket.send_record(&"e-1".into());
            dispatchers[request.gateway].record_send_outcome(at(now), &record, outcome(way));
        }
        while engine.running.len() < SLOTS
            && let Some((_, request)) = engine.queue.pop_first()
        {
            engine.running.push((now + HOLDING, request));
            let load = ReportedLoad {
                running: engine.running.len() as u32,
                waiting: engine.queue.len() as u32,
                machine_time: Stated::Missing,
            };
            let request = &requests[request];
            dispatchers[request.gateway].record_load(at(now), &"e-1".into(), load);
            let (class, waited) = (&mut totals.classes[request.class], now - request.arrived);
            match waited <= [500, 5_000][request.class] {
                true => class.in_time += 1.0,
                false => class.late += 1.0,
            }
        }
        if now >= START + 1_000 {
            totals.idle += SLOTS - engine.running.len();
        }
        totals.longest_queue = totals.longest_queue.max(engine.queue.len());
        // Updates.
        in_flight_before.push(engine.running.len() + engine.queue.len());
        let known = in_flight_before
            .len()
            .saturating_sub((REPORT_DELAY / STEP) as usize + 1);
        let known = in_flight_before[known];
        for (number, dispatcher) in dispatchers.iter_mut().enumerate() {
            if (now + number as u64 * STEP) % interval < STEP {
                dispatcher.report(at(now));
                let loads = vec![InstanceLoad {
                    instance: "e-1".into(),
                    in_flight: known as u32,
                }];
                let received = GatewayUpdate {
                    first: false,
                    document: None,
                    loads,
                    ..update(1, gateways as u32, Vec::new())
                };
                dispatcher.update(at(now), received);
            }
        }
        // Arrivals, and requests that decide again.
        let is_over = returns != Return::Never && now > START + 6_000;
        let rate = if is_over { per_second / 2 } else { per_second };
        let mut arrivals = Vec::new();
        for _ in 0..rate * STEP {
            if draw(1_000) == 0 {
                arrivals.push((usize::from(draw(5) >= 2), TIMEOUT, false));
            }
        }
        let back = returning.extract_if(.., |(at, _, _)| *at <= now);
        arrivals.extend(back.map(|(_, class, timeout)| (class, timeout, true)));
        let within = returning.iter().filter(|(at, _, _)| *at <= now + 100);
        totals.most_at_once = totals.most_at_once.max(within.count());
        for (class, timeout, is_return) in arrivals {
            let gateway = draw(gateways as u64) as usize;
            let ticket = begin(&mut dispatchers[gateway], now, class, timeout);
            match is_return {
                true => totals.returned += 1,
                false => totals.classes[class].arrived += 1.0,
            }
            waiting.push((requests.len(), now));
            requests.push(Request {
                gateway,
                class,
                arrived: now,
                ticket,
                is_return,
            });
        }
        let mut again = true;
        while std::mem::take(&mut again) {
            let mut called = BTreeSet::new();
            for (number, dispatcher) in dispatchers.iter_mut().enumerate() {
                called.extend(dispatcher.take_called().into_iter().map(|it| (number, it)));
            }
            for (number, until) in std::mem::take(&mut waiting) {
                let request = &mut requests[number];
                let is_called = request
                    .ticket
                    .waiting()
                    .is_some_and(|waiter| called.contains(&(request.gateway, waiter)));
                if until > now && !is_called {
                    waiting.push((number, until));
                    continue;
                }
                again = true;
                let dispatcher = &mut dispatchers[request.gateway];
                let outstanding = &mut told[request.gateway];
                let choice = match returns {
                    Return::InOrderCounted if *outstanding > now + 500 => {
                        let retry_after = Duration::from_millis(*outstanding - now);
                        let reason = RefusalReason::Full;
                        Choice::Refuse {
                            reason,
                            retry_after,
                        }
                    }
                    _ => dispatcher.choose(at(now), &mut request.ticket),
                };
                match choice {
                    Choice::Forward { .. } => panic!("forwarded although the engine is reached"),
                    Choice::Wait { until } => {
                        waiting.push((number, until.as_millis().max(now + 1)))
                    }
                    Choice::Refuse { retry_after, .. } => {
                        totals.classes[request.class].refused += 1.0;
                        totals.refused_again += usize::from(request.is_return);
                        let left = request.ticket.deadline.since(at(now));
                        let after = match returns {
                            Return::Constant => Duration::from_millis(250),
                            _ => retry_after,
                        };
                        let honoured = after * 3 <= left && !request.is_return;
                        if returns != Return::Never && honoured {
                            let back_at = now + after.as_millis() as u64;
                            let left = left - after;
                            returning.push((back_at, request.class, left.as_millis() as u64));
                            *outstanding = back_at.max(*outstanding);
                        }
                        let quarter = [125, 1_250][request.class];
                        let held = now - request.arrived > quarter;
                        totals.held_and_refused += usize::from(held);
                    }
                    Choice::Send { .. } if engine.queue.len() >= QUEUE => {
                        totals.rejected += 1;
                        totals.classes[request.class].refused += 1.0;
                        let record = request.ticket.send_record(&"e-1".into());
                        dispatcher.record_send_outcome(at(now), &record, SendOutcome::Full);
                    }
                    Choice::Send { .. } => {
                        engine.queue.insert((request.class, number));
                    }
                }
            }
        }
    }
    totals
}

/// Guards against idle slots beside refused callers, a queue at the engine that overflows or makes
/// urgent requests late, and urgent requests that are served less often than others.
#[rstest]
#[case::three(3)]
#[case::first_customer(61)]
#[case::design_target(986)]
fn engine_queue_serves_more_in_time_than_a_brief_wait(#[case] gateways: usize) {
    for per_second in [22, 30] {
        let brief = run(Way::WaitBriefly, gateways, per_second, Return::Never);
        let expected = run(Way::ByExpectedWait, gateways, per_second, Return::Never);
        println!("gateways={gateways} per_second={per_second}\n  {brief:?}\n  {expected:?}");
        let in_time =
            |totals: &Totals| -> f64 { totals.classes.iter().map(|class| class.in_time).sum() };
        let share = |class: &Class| (class.in_time + class.late) / class.arrived;
        assert!(in_time(&expected) >= in_time(&brief));
        let [rush, batch] = &expected.classes;
        assert!(share(rush) >= share(batch) - 0.05, "{rush:?} {batch:?}");
        assert!(expected.idle <= brief.idle, "idle slots");
        assert!(expected.longest_queue <= QUEUE);
        assert_eq!(expected.rejected, 0, "the engine's queue overflows");
        assert!(expected.held_and_refused <= 5, "held in vain");
    }
}

/// Guards against refused callers that return together and are refused again.
#[rstest]
#[case::three(3)]
#[case::first_customer(61)]
#[case::design_target(986)]
fn callers_told_to_return_in_order_are_refused_again_less_often(#[case] gateways: usize) {
    let ways = [Return::Constant, Return::InOrder, Return::InOrderCounted];
    let totals = ways.map(|returns| run(Way::ByExpectedWait, gateways, 48, returns));
    let again = |totals: &Totals| totals.refused_again as f64 / totals.returned.max(1) as f64;
    for (returns, totals) in ways.iter().zip(&totals) {
        println!(
            "gateways={gateways} {returns:?} {:.2} {totals:?}",
            again(totals)
        );
    }
    assert!(again(&totals[1]) <= again(&totals[0]));
}
