//! What the process around a router's core does, in virtual time.

use crate::content::from_bytes;
use crate::event::{
    AnswerPart, AttemptKey, CallerEvent, CallerRequest, EngineEvent, RouterEvent, SimEvent,
    WebEvent,
};
use crate::router_node::Served;
use crate::world::World;
use millpass_checkers::{AnswerOutcome, Event, ProcessName, RequestId, StatedExecution};
use millpass_proto::{BackendKind, Duration, RouterReport, RouterToControl};
use millpass_routing::{
    Arrival, Executed, IdempotencyKey, Refusal, RequestNumber, RoutingInput, RoutingOutput,
};

/// Time between a router and its callers, one way.
pub const CALLER_MICROS: u64 = 1_000;
const HANDOFF_MICROS: u64 = 200;
const POLL_TIMEOUT_MICROS: u64 = 300_000;

impl World {
    /// Name of a router's process.
    pub(crate) fn router_name(&self, router: usize) -> ProcessName {
        ProcessName(self.routers[router].name.0.clone())
    }

    /// Schedules an event for a router's present run.
    pub(crate) fn router_later(&mut self, router: usize, delay: u64, event: RouterEvent) {
        let run = self.routers[router].run;
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Router(router, run, event));
    }

    /// Handles an event of a router.
    pub(crate) fn router_event(&mut self, router: usize, run: u64, event: RouterEvent) {
        let node = &mut self.routers[router];
        if node.run != run || node.core.is_none() {
            return self.router_is_gone(event);
        }
        if let RouterEvent::Request(request) = &event {
            let request = (**request).clone();
            self.record_sent(router, &request);
        }
        let node = &mut self.routers[router];
        if !node.frozen {
            return self.router_handle(router, event);
        }
        if !matches!(event, RouterEvent::Tick | RouterEvent::Poll) {
            node.backlog.push(event);
        }
    }

    /// A request that reaches no process is refused by the machine, and its caller tries another.
    /// One that the ended process had not read yet is lost with its connection.
    fn router_is_gone(&mut self, event: RouterEvent) {
        match event {
            RouterEvent::Request(request) => {
                let at = self.now + CALLER_MICROS;
                let again = CallerEvent::Send(request);
                self.queue.push(at, SimEvent::Caller(again));
            }
            RouterEvent::Woken(event) => self.lose_unread(*event),
            _ => {}
        }
    }

    pub(crate) fn lose_unread(&mut self, event: RouterEvent) {
        match event {
            RouterEvent::Request(request) => {
                let lost = CallerEvent::Ended(request.id, AnswerOutcome::ConnectionLost);
                self.queue
                    .push(self.now + CALLER_MICROS, SimEvent::Caller(lost));
            }
            RouterEvent::Woken(event) => self.lose_unread(*event),
            _ => {}
        }
    }

    pub(crate) fn router_handle(&mut self, router: usize, event: RouterEvent) {
        match event {
            RouterEvent::Tick => {
                let tick = self.settings.times.tick;
                self.router_later(router, tick, RouterEvent::Tick);
                self.check_link(router);
                self.router_step(router, RoutingInput::Tick);
            }
            RouterEvent::Input(input) => self.router_step(router, *input),
            RouterEvent::Send(dispatch) => self.send_attempt(router, *dispatch),
            RouterEvent::Poll => self.poll_back_ends(router),
            RouterEvent::Connect => self.connect(router),
            RouterEvent::Connected(connection, place) => self.connected(router, connection, place),
            RouterEvent::LinkEnded(connection) => self.link_ended(router, connection),
            RouterEvent::FromControl(connection, message) => {
                self.take_control_message(router, connection, *message);
            }
            RouterEvent::Request(request) => self.take_request(router, *request),
            RouterEvent::CallerGone(request) => self.caller_gone(router, request),
            RouterEvent::Answer(key, part) => self.take_answer(router, key, part),
            RouterEvent::Failed(key, failure) => self.attempt_failed(router, key, failure),
            RouterEvent::Woken(event) => self.router_handle(router, *event),
            RouterEvent::NoProgress(key, progress) => self.no_progress(router, key, progress),
        }
    }

    /// Gives an input to the core and carries out what it wants.
    pub(crate) fn router_step(&mut self, router: usize, input: RoutingInput) {
        let now = self.now;
        let node = &mut self.routers[router];
        let (local, wall) = (node.clock.local(now), node.clock.unix_millis(now));
        let Some(core) = &mut node.core else {
            return;
        };
        let outputs = core.step(local, wall, input);
        for output in outputs {
            self.router_output(router, output);
        }
    }

    fn router_output(&mut self, router: usize, output: RoutingOutput) {
        match output {
            RoutingOutput::Dispatch(dispatch) => {
                let delay = self.random.below(HANDOFF_MICROS);
                self.router_later(router, delay, RouterEvent::Send(dispatch));
                if self.routers[router].freeze_at_dispatch {
                    self.routers[router].freeze_at_dispatch = false;
                    self.freeze_router(router);
                }
            }
            RoutingOutput::Refuse(request, refusal) => self.refuse(router, request, refusal),
            RoutingOutput::Replay(request, answer) => {
                let tokens = from_bytes(&answer.body);
                self.answer_whole(router, request.0, tokens);
            }
            RoutingOutput::Cancel(request) => self.cancel_attempt(router, request.0),
            RoutingOutput::BreakOff(request, refusal) => {
                let reason = format!("{:?}", refusal.reason);
                self.statistics.refused(&format!("broken-off-{reason}"));
                self.end_request(router, request.0, AnswerOutcome::BrokenOff);
            }
            RoutingOutput::SendHello(hello) => {
                self.send_to_leader(router, RouterToControl::Hello(hello));
            }
            RoutingOutput::SendReport(report) => self.send_report(router, report),
            RoutingOutput::SendClaim(claim) => self.send_claim(router, claim),
            RoutingOutput::SendClaimFinish(finish) => self.send_claim_finish(router, finish),
            RoutingOutput::Watch(backends) => self.routers[router].watched = backends,
            RoutingOutput::Event(event) => {
                self.trace_event("router", router, event.name, &event.pairs);
            }
            RoutingOutput::Drained => self.router_drained(router),
        }
    }

    fn record_sent(&mut self, router: usize, request: &CallerRequest) {
        let seed = crate::content::ContentSeed::of(request.id, request.key.as_ref());
        self.statistics.requests += 1;
        let name = self.router_name(router);
        self.callers.accepted_by(request.id, router);
        self.record(Event::RequestSent {
            request: request.id,
            tenant: request.tenant.clone(),
            router: name,
            deadline_micros: request.sent_at + request.allowed_micros,
            expected: seed.digest(request.length),
            key: request.key.clone(),
        });
    }

    fn take_request(&mut self, router: usize, request: CallerRequest) {
        let now = self.now;
        let node = &mut self.routers[router];
        let number = node.next_request;
        node.next_request += 1;
        let arrival = Arrival {
            request_id: String::new(),
            request: RequestNumber(number),
            api_key: request.api_key.clone(),
            target: request.target.clone(),
            deadline: node.clock.local(now) + Duration::from_micros(request.allowed_micros),
            idempotency: request.key.as_ref().map(|key| IdempotencyKey {
                key: key.key.clone(),
                created_unix_millis: request.born_unix_millis,
                digest: format!("digest-of-{}", key.key),
            }),
        };
        let served = Served {
            caller: request,
            attempt: None,
            passed: 0,
            kept: Vec::new(),
        };
        node.requests.insert(number, served);
        self.router_step(router, RoutingInput::Arrived(arrival));
    }

    fn caller_gone(&mut self, router: usize, request: RequestId) {
        let Some(number) = self.routers[router].served_as(request) else {
            return;
        };
        self.router_step(router, RoutingInput::CallerGone(RequestNumber(number)));
        self.cancel_attempt(router, number);
        self.routers[router].requests.remove(&number);
    }

    fn refuse(&mut self, router: usize, request: RequestNumber, refusal: Refusal) {
        if !self.settings.mechanisms.refusals {
            return;
        }
        let executed = match refusal.executed {
            Executed::No => StatedExecution::No,
            Executed::Unknown => StatedExecution::Unknown,
        };
        let reason = format!("{:?}", refusal.reason);
        self.statistics.refused(&reason);
        let outcome = AnswerOutcome::Refused { executed, reason };
        self.end_request(router, request.0, outcome);
    }

    /// Gives a request its final outcome, other than a whole answer.
    pub(crate) fn end_request(&mut self, router: usize, request: u64, outcome: AnswerOutcome) {
        self.cancel_attempt(router, request);
        if let Some(served) = self.routers[router].requests.remove(&request) {
            let ended = CallerEvent::Ended(served.caller.id, outcome);
            self.queue
                .push(self.now + CALLER_MICROS, SimEvent::Caller(ended));
        }
    }

    /// Gives a request its whole answer.
    pub(crate) fn answer_whole(&mut self, router: usize, request: u64, tokens: Vec<u64>) {
        if let Some(served) = self.routers[router].requests.remove(&request) {
            let part = AnswerPart { tokens, last: true };
            self.pass_on(served.caller.id, part);
        }
    }

    /// Sends part of an answer to its caller.
    pub(crate) fn pass_on(&mut self, request: RequestId, part: AnswerPart) {
        let answer = CallerEvent::Answer(request, part);
        self.queue
            .push(self.now + CALLER_MICROS, SimEvent::Caller(answer));
    }

    fn send_report(&mut self, router: usize, report: RouterReport) {
        let node = &mut self.routers[router];
        let revision = report.configuration;
        if node.applied != Some(revision.0) {
            node.applied = Some(revision.0);
            let event = Event::RevisionApplied {
                router: node.name.clone(),
                incarnation: node.incarnation,
                revision,
            };
            self.record(event);
        }
        self.send_to_leader(router, RouterToControl::Report(report));
    }

    fn poll_back_ends(&mut self, router: usize) {
        let poll = self.settings.times.poll;
        self.router_later(router, poll, RouterEvent::Poll);
        let run = self.routers[router].run;
        for watched in self.routers[router].watched.clone() {
            let from = self.routers[router].zone;
            let zone = self.zone_of_back_end(&watched.address);
            let gap = self.stale_reports && self.random.chance(300);
            let delay = match zone {
                Some(zone) if !gap => self.network.delay(&mut self.random, from, zone),
                _ => None,
            };
            let Some(delay) = delay else {
                let unreachable =
                    millpass_proto::BackendObservation::Unreachable(watched.backend.clone());
                let input = RoutingInput::Observed(unreachable);
                let event = RouterEvent::Input(Box::new(input));
                self.router_later(router, POLL_TIMEOUT_MICROS, event);
                continue;
            };
            match watched.kind {
                BackendKind::Engine => {
                    if let Some(engine) = self.engine_at(&watched.address) {
                        let poll = EngineEvent::Poll(router, run);
                        self.engine_later(engine, crate::event::ANY_RUN, delay, poll);
                    }
                }
                BackendKind::Web => {
                    if let Some(web) = self.web_at(&watched.address) {
                        let poll = WebEvent::Poll(router, run);
                        self.web_later(web, crate::event::ANY_RUN, delay, poll);
                    }
                }
            }
        }
    }

    /// Whether the attempt is the one that goes on.
    pub(crate) fn is_present(&self, router: usize, key: AttemptKey) -> bool {
        let served = self.routers[router].requests.get(&key.request);
        let attempt = served.and_then(|served| served.attempt);
        attempt.is_some_and(|attempt| attempt.key == key)
    }
}
