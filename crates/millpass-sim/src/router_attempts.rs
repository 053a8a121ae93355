//! Attempts that a router sends to back ends, with their answers and failures.

use crate::content::{ContentSeed, to_bytes};
use crate::event::{
    ANY_RUN, AnswerPart, AttemptKey, BackEnd, BackEndRequest, EngineEvent, ReplyTo, RouterEvent,
    WebEvent,
};
use crate::router_node::RunningAttempt;
use crate::settings::MILLIS;
use crate::world::World;
use millpass_proto::RecordedAnswer;
use millpass_routing::{AttemptFailure, Dispatch, RequestNumber, RoutingInput, Target};

const CONNECT_TIMEOUT_MICROS: u64 = 250 * MILLIS;
const STATUS_OK: u32 = 200;

impl World {
    /// Sends an attempt, unless its send deadline has passed.
    pub(crate) fn send_attempt(&mut self, router: usize, dispatch: Dispatch) {
        let request = dispatch.request;
        let key = AttemptKey {
            request: request.0,
            attempt: dispatch.attempt,
        };
        if !self.routers[router].requests.contains_key(&request.0) {
            return;
        }
        let local = self.routers[router].clock.local(self.now);
        let too_late = local > dispatch.send_before && self.settings.mechanisms.send_before;
        let Some(backend) = self.back_end_at(&dispatch.address) else {
            return self.not_sent(router, key, 0);
        };
        self.begin_attempt(router, key, backend, dispatch.record);
        if too_late {
            self.statistics.attempts_not_sent += 1;
            return self.not_sent(router, key, 0);
        }
        let (from, to) = (self.routers[router].zone, self.zone_of(backend));
        if !self.network.passes_both(from, to) {
            return self.not_sent(router, key, CONNECT_TIMEOUT_MICROS);
        }
        if !self.is_alive(backend) {
            return self.not_sent(router, key, 2 * MILLIS);
        }
        let request = self.back_end_request(router, key, &dispatch);
        self.statistics.attempts += 1;
        let delay = self.network.stream_delay(&mut self.random, from, to);
        match backend {
            BackEnd::Engine(engine) => {
                let event = EngineEvent::Request(Box::new(request));
                self.engine_later(engine, ANY_RUN, delay.unwrap_or(MILLIS), event);
            }
            BackEnd::Web(web) => {
                let event = WebEvent::Request(Box::new(request));
                self.web_later(web, ANY_RUN, delay.unwrap_or(MILLIS), event);
            }
        }
        let timeout = self.settings.times.attempt_timeout;
        self.router_later(router, timeout, RouterEvent::NoProgress(key, 0));
    }

    fn begin_attempt(&mut self, router: usize, key: AttemptKey, backend: BackEnd, record: bool) {
        if let Some(active) = self.routers[router].requests.get_mut(&key.request) {
            active.attempt = Some(RunningAttempt {
                key,
                backend,
                answered: false,
                progress: 0,
                record,
            });
        }
    }

    /// Reports an attempt as not sent after the time it takes to detect that.
    fn not_sent(&mut self, router: usize, key: AttemptKey, delay: u64) {
        let failed = RouterEvent::Failed(key, AttemptFailure::NotSent);
        self.router_later(router, delay, failed);
    }

    fn back_end_request(
        &self,
        router: usize,
        key: AttemptKey,
        dispatch: &Dispatch,
    ) -> BackEndRequest {
        let node = &self.routers[router];
        let caller = &node.requests[&key.request].caller;
        let adapter = match &caller.target {
            Target::Model { adapter, .. } => adapter.clone(),
            Target::Web { .. } => None,
        };
        BackEndRequest {
            request: caller.id,
            key: caller.key.clone(),
            seed: ContentSeed::of(caller.id, caller.key.as_ref()),
            length: caller.length,
            resume_from: dispatch.resume_from,
            slot: dispatch.slot.as_ref().map(|(slot, _)| *slot),
            adapter,
            reply_to: ReplyTo {
                router,
                run: node.run,
                key,
            },
        }
    }

    /// Handles a part of an answer.
    pub(crate) fn handle_answer_part(&mut self, router: usize, key: AttemptKey, part: AnswerPart) {
        if self.settings.mechanisms.drops_stale_attempts && !self.is_current_attempt(router, key) {
            return;
        }
        let Some(active) = self.routers[router].requests.get_mut(&key.request) else {
            return;
        };
        let mut first = false;
        if let Some(attempt) = &mut active.attempt {
            first = !attempt.answered;
            attempt.answered = true;
            attempt.progress += 1;
        }
        let progress = active.attempt.map_or(0, |attempt| attempt.progress);
        let last = part.last;
        active.delivered += part.tokens.len() as u64;
        let (caller, stream) = (active.caller.id, active.caller.stream);
        if stream {
            self.forward_answer(caller, part);
        } else {
            active.buffered.extend(part.tokens);
        }
        if first {
            let number = RequestNumber(key.request);
            self.router_step(router, RoutingInput::FirstByte(number));
        }
        if last {
            return self.complete_answer(router, key);
        }
        let timeout = self.settings.times.attempt_timeout;
        self.router_later(router, timeout, RouterEvent::NoProgress(key, progress));
    }

    fn complete_answer(&mut self, router: usize, key: AttemptKey) {
        let Some(active) = self.routers[router].requests.get(&key.request) else {
            return;
        };
        let tokens = active.buffered.clone();
        let record = active.attempt.is_some_and(|attempt| attempt.record);
        let answer = record.then(|| RecordedAnswer {
            status: STATUS_OK,
            content_type: "application/octet-stream".to_owned(),
            body: to_bytes(&tokens).into(),
        });
        if active.caller.stream {
            self.routers[router].requests.remove(&key.request);
        } else {
            self.complete_request(router, key.request, tokens);
        }
        let request = RequestNumber(key.request);
        self.router_step(router, RoutingInput::Completed { request, answer });
    }

    /// Handles a failed attempt.
    pub(crate) fn attempt_failed(
        &mut self,
        router: usize,
        key: AttemptKey,
        failure: AttemptFailure,
    ) {
        if !self.is_current_attempt(router, key) {
            return;
        }
        let Some(active) = self.routers[router].requests.get_mut(&key.request) else {
            return;
        };
        active.attempt = None;
        let sent_to_caller = if active.caller.stream {
            active.delivered
        } else {
            0
        };
        if !active.caller.stream {
            active.buffered.clear();
            active.delivered = 0;
        }
        let failure = match failure {
            AttemptFailure::MayHaveRun if !self.settings.mechanisms.accurate_failures => {
                AttemptFailure::NotSent
            }
            AttemptFailure::MayHaveRun if sent_to_caller > 0 => AttemptFailure::BrokenOff {
                tokens: sent_to_caller,
            },
            other => other,
        };
        self.statistics.failed_attempts += 1;
        let request = RequestNumber(key.request);
        self.router_step(router, RoutingInput::Failed { request, failure });
    }

    /// Cancels an attempt that made no progress within its timeout.
    pub(crate) fn no_progress(&mut self, router: usize, key: AttemptKey, progress: u64) {
        let active = self.routers[router].requests.get(&key.request);
        let attempt = active.and_then(|active| active.attempt);
        let stalled =
            attempt.is_some_and(|attempt| attempt.key == key && attempt.progress == progress);
        if stalled {
            self.cancel_at_back_end(router, key);
            self.attempt_failed(router, key, AttemptFailure::MayHaveRun);
        }
    }

    /// Cancels the current attempt of a request, if any.
    pub(crate) fn cancel_attempt(&mut self, router: usize, request: u64) {
        let Some(active) = self.routers[router].requests.get_mut(&request) else {
            return;
        };
        if let Some(attempt) = active.attempt {
            self.cancel_at_back_end(router, attempt.key);
        }
        if let Some(active) = self.routers[router].requests.get_mut(&request) {
            active.attempt = None;
        }
    }

    fn cancel_at_back_end(&mut self, router: usize, key: AttemptKey) {
        let active = self.routers[router].requests.get(&key.request);
        let Some(attempt) = active.and_then(|active| active.attempt) else {
            return;
        };
        let reply_to = ReplyTo {
            router,
            run: self.routers[router].run,
            key,
        };
        let (from, to) = (self.routers[router].zone, self.zone_of(attempt.backend));
        let Some(delay) = self.network.stream_delay(&mut self.random, from, to) else {
            return;
        };
        match attempt.backend {
            BackEnd::Engine(engine) => {
                self.engine_later(engine, ANY_RUN, delay, EngineEvent::Cancel(reply_to));
            }
            BackEnd::Web(web) => self.web_later(web, ANY_RUN, delay, WebEvent::Cancel(reply_to)),
        }
    }
}
