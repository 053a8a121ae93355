//! Host of a web back end, which answers each request after a short service time.

use crate::back_ends::Run;
use crate::event::{ANY_RUN, AnswerPart, BackEnd, BackEndRequest, ReplyTo, SimEvent, WebEvent};
use crate::settings::MILLIS;
use crate::world::World;
use millpass_checkers::{Event, RunEnding};
use millpass_proto::{BackendObservation, WebReport};
use millpass_routing::AttemptFailure;

const SERVICE_MICROS: u64 = 5 * MILLIS;
const SERVICE_JITTER: u64 = 60 * MILLIS;

impl World {
    /// Schedules an event for a web back end.
    pub(crate) fn web_later(&mut self, web: usize, run: u64, delay: u64, event: WebEvent) {
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Web(web, run, event));
    }

    /// Handles an event of a web back end.
    pub(crate) fn web_event(&mut self, web: usize, run: u64, event: WebEvent) {
        let node = &self.web[web];
        let for_this_run = run == ANY_RUN || run == node.run;
        if !node.alive || !for_this_run {
            if let WebEvent::Request(request) = event {
                let backend = BackEnd::Web(web);
                self.fail_attempt(backend, request.reply_to, AttemptFailure::MayHaveRun);
            }
            return;
        }
        match event {
            WebEvent::Request(request) => self.web_request(web, *request),
            WebEvent::Cancel(reply_to) => self.end_web_run(web, reply_to, RunEnding::Cancelled),
            WebEvent::Done(reply_to) => self.web_done(web, reply_to),
            WebEvent::Poll(router, run) => self.send_web_report(web, router, run),
        }
    }

    fn web_request(&mut self, web: usize, request: BackEndRequest) {
        let service = SERVICE_MICROS + self.random.below(SERVICE_JITTER);
        let node = &mut self.web[web];
        let reply_to = request.reply_to;
        let (started, event) = Run::begin(&node.name, node.incarnation, request);
        node.runs.insert(reply_to, started);
        let run = node.run;
        self.record(event);
        self.web_later(web, run, service, WebEvent::Done(reply_to));
    }

    fn web_done(&mut self, web: usize, reply_to: ReplyTo) {
        let Some(run) = self.web[web].runs.get(&reply_to) else {
            return;
        };
        let (from, to) = (run.position, run.request.length);
        let part = AnswerPart {
            tokens: run.request.seed.tokens(from, to),
            last: true,
        };
        self.end_web_run(web, reply_to, RunEnding::Finished);
        self.send_answer_part(BackEnd::Web(web), reply_to, part);
    }

    fn end_web_run(&mut self, web: usize, reply_to: ReplyTo, ending: RunEnding) {
        let node = &mut self.web[web];
        let Some(run) = node.runs.remove(&reply_to) else {
            return;
        };
        let event = run.end(&node.name, node.incarnation, ending);
        self.record(event);
    }

    fn send_web_report(&mut self, web: usize, router: usize, run: u64) {
        let node = &mut self.web[web];
        node.sequence += 1;
        let report = WebReport {
            backend: node.name.clone(),
            incarnation: node.incarnation,
            zone: crate::control_node::zone_name(node.zone),
            sequence: node.sequence,
            running: node.runs.len() as u32,
        };
        let zone = node.zone;
        self.send_observation(zone, router, run, BackendObservation::Web(report));
    }

    /// Ends a web back end's process and interrupts its running requests.
    pub(crate) fn end_web(&mut self, web: usize) {
        let node = &mut self.web[web];
        node.alive = false;
        node.run += 1;
        let replies: Vec<ReplyTo> = node.runs.keys().copied().collect();
        for reply_to in replies {
            self.end_web_run(web, reply_to, RunEnding::CutOff);
            self.fail_attempt(BackEnd::Web(web), reply_to, AttemptFailure::MayHaveRun);
        }
    }

    /// Starts a web back end's process.
    pub(crate) fn start_web(&mut self, web: usize) {
        if self.web[web].alive {
            return;
        }
        let incarnation = self.new_incarnation();
        let node = &mut self.web[web];
        node.alive = true;
        node.run += 1;
        node.incarnation = incarnation;
        let process = self.back_end_name(BackEnd::Web(web));
        self.record(Event::Started { process });
    }
}
