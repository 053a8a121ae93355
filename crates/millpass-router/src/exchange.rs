//! One caller's request from arrival to its one final answer.
//!
//! The thread that reads the request carries it: it waits for signals of the decision core, sends
//! the attempts, passes the answer on, and reports what it saw. Nobody else answers the caller.

use crate::attempt::AttemptControl;
use crate::backend::{BackendAnswer, Outgoing, passed_on};
use crate::caller::CallerRequest;
use crate::explain::failure_word;
use crate::process::Shared;
use crate::refusal::{ErrorAnswer, REQUEST_ID_HEADER};
use crate::requests::Signal;
use crate::stream::{StreamEnd, StreamRelay};
use bytes::Bytes;
use crossbeam::channel::Receiver;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use millpass_http::{BodyWriter, Request, Responder, Response};
use millpass_proto::{RecordedAnswer, Timestamp};
use millpass_routing::{
    Arrival, AttemptFailure, Dispatch, Executed, RequestNumber, RoutingInput, Target,
};
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

/// How long after the deadline a thread waits for the core's word. The core refuses at the
/// deadline; this only keeps a thread from waiting for ever should that fail.
const DEADLINE_SLACK: Duration = Duration::from_secs(5);
/// Header of an answer that was recorded for its idempotency key before.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Where the answer goes.
enum CallerSide {
    /// Nothing was sent yet.
    Waiting(Responder),
    /// A stream is open.
    Streaming(BodyWriter),
    /// The whole answer, or the last of it, was handed over, or the caller is gone.
    Done,
}

/// One request.
pub(crate) struct Exchange {
    shared: Arc<Shared>,
    number: RequestNumber,
    request: Request,
    read: CallerRequest,
    request_id: String,
    /// Identity at back ends. A caller may use a request id twice, or another caller's, hence
    /// the addition.
    backend_request_id: String,
    arrived: Timestamp,
    deadline: Timestamp,
    caller: CallerSide,
    /// Tokens passed on.
    tokens: u64,
    /// Bytes passed on, kept for the record of a claimed stream.
    recorded: Vec<u8>,
    dispatched: bool,
    outcome: &'static str,
}

impl Exchange {
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: Request,
        read: CallerRequest,
        request_id: String,
        responder: Responder,
    ) -> Self {
        let number = shared.next_request();
        let arrived = shared.driver.clock.now();
        let incarnation = shared.incarnation;
        Exchange {
            deadline: arrived + read.deadline,
            backend_request_id: format!("{request_id}.{incarnation}.{}", number.0),
            shared,
            number,
            request,
            read,
            request_id,
            arrived,
            caller: CallerSide::Waiting(responder),
            tokens: 0,
            recorded: Vec::new(),
            dispatched: false,
            outcome: "panicked",
        }
    }

    /// Carries the request to its end.
    pub(crate) fn run(mut self) {
        let driver = self.shared.driver.clone();
        let (_entry, signals) = driver.requests.add(self.number);
        driver.metrics.in_flight.inc();
        driver.step(RoutingInput::Arrived(Arrival {
            request: self.number,
            request_id: self.request_id.clone(),
            api_key: std::mem::take(&mut self.read.api_key),
            target: self.read.target.clone(),
            deadline: self.deadline,
            idempotency: self.read.idempotency.take(),
        }));
        self.watch_caller();
        self.outcome = self.follow_signals(&signals);
    }

    /// Tells the core and this thread when the caller hangs up, wherever the request is.
    fn watch_caller(&self) {
        let CallerSide::Waiting(responder) = &self.caller else {
            return;
        };
        let driver = Arc::downgrade(&self.shared.driver);
        let number = self.number;
        responder.caller_gone().on_gone(move || {
            if let Some(driver) = driver.upgrade() {
                driver.step(RoutingInput::CallerGone(number));
                if let Some(entry) = driver.requests.get(number) {
                    entry.send(Signal::CallerGone);
                }
            }
        });
    }

    /// Does what the core says until the request ended; returns its outcome.
    fn follow_signals(&mut self, signals: &Receiver<Signal>) -> &'static str {
        loop {
            let left = self.shared.driver.clock.left_until(self.deadline);
            match signals.recv_timeout(left + DEADLINE_SLACK) {
                Ok(Signal::Dispatch(dispatch, control)) => {
                    if self.attempt(&dispatch, &control) {
                        return "answered";
                    }
                }
                Ok(Signal::Refuse(refusal)) => return self.refuse(&refusal.into()),
                Ok(Signal::Replay(answer)) => return self.replay(answer),
                Ok(Signal::CallerGone) => {
                    self.caller = CallerSide::Done;
                    return "caller_gone";
                }
                Err(_) => return self.give_up(),
            }
        }
    }

    /// Sends one attempt and passes its answer on. Says whether that was the whole answer.
    fn attempt(&mut self, dispatch: &Dispatch, control: &Arc<AttemptControl>) -> bool {
        self.note_dispatch();
        let outgoing = Outgoing {
            request: &self.request,
            request_id: &self.backend_request_id,
            stream: self.read.stream,
            dispatch,
        };
        let shared = self.shared.clone();
        let passed = match shared.backends.send(&outgoing, control) {
            Ok(answer) => self.pass_on(answer, dispatch),
            Err(failure) => Err(failure),
        };
        match passed {
            Ok(()) => {
                shared.driver.metrics.count_attempt("completed");
                true
            }
            Err(failure) => {
                self.attempt_failed(failure, dispatch, control);
                false
            }
        }
    }

    fn note_dispatch(&mut self) {
        if self.dispatched {
            return;
        }
        self.dispatched = true;
        let driver = &self.shared.driver;
        let waited = driver.clock.now().since(self.arrived);
        driver.metrics.wait_seconds.observe(waited.as_secs_f64());
    }

    fn attempt_failed(
        &mut self,
        failure: AttemptFailure,
        dispatch: &Dispatch,
        control: &AttemptControl,
    ) {
        let driver = self.shared.driver.clone();
        if control.is_cancelled() {
            driver.metrics.count_attempt("cancelled");
            if control.may_have_sent() && dispatch.slot.is_some() {
                let backends = &self.shared.backends;
                backends.cancel(&dispatch.address, &self.backend_request_id);
            }
            // The core cancelled it and needs no word.
            return;
        }
        let result = failure_word(failure);
        driver.metrics.count_attempt(result);
        let backend = &dispatch.backend;
        let request_id = &self.request_id;
        log::warn!("event=attempt_failed request={request_id} backend={backend} result={result}");
        driver.step(RoutingInput::Failed {
            request: self.number,
            failure,
        });
    }

    fn pass_on(
        &mut self,
        answer: BackendAnswer,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        let is_model = matches!(self.read.target, Target::Model { .. });
        if is_model && answer.status().is_server_error() {
            return Err(self.broken());
        }
        if self.read.stream && is_event_stream(&answer) {
            return self.pass_stream_on(answer, dispatch);
        }
        self.pass_whole_on(answer, dispatch)
    }

    /// How an attempt failed whose answer did not arrive whole.
    fn broken(&self) -> AttemptFailure {
        match &self.caller {
            CallerSide::Streaming(_) => AttemptFailure::BrokenOff {
                tokens: self.tokens,
            },
            _ => AttemptFailure::MayHaveRun,
        }
    }

    /// Reads an answer to its end before any of it goes to the caller: it is whole or nothing.
    fn pass_whole_on(
        &mut self,
        answer: BackendAnswer,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        if !has_stated_end(&answer, &self.request.method) || self.is_streaming() {
            return Err(self.broken());
        }
        let (head, body) = answer.into_parts();
        let limit = self.shared.limits.maximum_answer_bytes;
        let mut bytes = Vec::new();
        let read = body
            .into_with_config()
            .limit(limit)
            .reader()
            .read_to_end(&mut bytes);
        if let Err(error) = read {
            let backend = &dispatch.backend;
            log::debug!("event=answer_broke_off backend={backend} error=\"{error}\"");
            return Err(self.broken());
        }
        let body = Bytes::from(bytes);
        let answer = dispatch
            .record
            .then(|| self.record(head.status, &head.headers, &body));
        self.observe_first_byte();
        self.completed(answer.flatten());
        let mut headers = passed_on(&head.headers);
        if self.request.method != Method::HEAD {
            headers.remove(CONTENT_LENGTH);
        }
        self.respond(Response {
            status: head.status,
            headers,
            body,
        });
        Ok(())
    }

    fn is_streaming(&self) -> bool {
        matches!(self.caller, CallerSide::Streaming(_))
    }

    /// The record of a claimed request's answer, unless it is too large for one.
    fn record(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Option<RecordedAnswer> {
        if body.len() > self.shared.limits.maximum_recorded_bytes {
            return None;
        }
        let content_type = headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream");
        Some(RecordedAnswer {
            status: u32::from(status.as_u16()),
            content_type: content_type.to_owned(),
            body: body.to_vec().into(),
        })
    }

    fn completed(&self, answer: Option<RecordedAnswer>) {
        let driver = &self.shared.driver;
        driver.step(RoutingInput::Completed {
            request: self.number,
            answer,
        });
    }

    /// Passes a stream on, event by event.
    fn pass_stream_on(
        &mut self,
        answer: BackendAnswer,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        let (head, body) = answer.into_parts();
        let mut relay = StreamRelay::new(body.into_reader());
        loop {
            let batch = relay.next_batch();
            if !batch.bytes.is_empty() {
                self.write_stream(&batch.bytes, &head.headers, dispatch.record)?;
                self.tokens += batch.tokens;
            }
            match batch.end {
                None => {}
                Some(StreamEnd::Done(done)) => {
                    self.write_stream(&done, &head.headers, dispatch.record)?;
                    self.finish_stream(&head.headers, dispatch.record);
                    return Ok(());
                }
                Some(StreamEnd::Broken(reason)) => {
                    let backend = &dispatch.backend;
                    log::debug!("event=stream_broke_off backend={backend} reason=\"{reason}\"");
                    return Err(self.broken());
                }
            }
        }
    }

    /// Writes to the caller's stream, and opens it before the first bytes.
    fn write_stream(
        &mut self,
        bytes: &Bytes,
        headers: &HeaderMap,
        record: bool,
    ) -> Result<(), AttemptFailure> {
        if record && self.recorded.len() <= self.shared.limits.maximum_recorded_bytes {
            self.recorded.extend_from_slice(bytes);
        }
        if matches!(self.caller, CallerSide::Waiting(_)) {
            self.open_stream(headers);
        }
        if let CallerSide::Streaming(writer) = &mut self.caller
            && writer.write(bytes.clone()).is_err()
            && !record
        {
            // The hang-up's callback told the core, which cancels the attempt. A claimed one
            // goes on, for its answer is recorded.
            return Err(self.broken());
        }
        Ok(())
    }

    fn open_stream(&mut self, headers: &HeaderMap) {
        let CallerSide::Waiting(responder) = std::mem::replace(&mut self.caller, CallerSide::Done)
        else {
            return;
        };
        self.shared
            .driver
            .step(RoutingInput::FirstByte(self.number));
        self.observe_first_byte();
        let mut headers = passed_on(headers);
        headers.remove(CONTENT_LENGTH);
        self.add_request_id(&mut headers);
        let writer = responder.stream(StatusCode::OK, headers);
        self.caller = CallerSide::Streaming(writer);
    }

    fn finish_stream(&mut self, headers: &HeaderMap, record: bool) {
        let body = std::mem::take(&mut self.recorded);
        let answer = record.then(|| self.record(StatusCode::OK, headers, &body));
        self.completed(answer.flatten());
        if let CallerSide::Streaming(writer) = std::mem::replace(&mut self.caller, CallerSide::Done)
        {
            writer.finish();
        }
    }

    fn observe_first_byte(&self) {
        let driver = &self.shared.driver;
        let elapsed = driver.clock.now().since(self.arrived);
        let histogram = &driver.metrics.first_byte_seconds;
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Answers with a refusal, or breaks an open stream off with it. Returns the outcome.
    fn refuse(&mut self, error: &ErrorAnswer) -> &'static str {
        let (request, code) = (&self.request_id, error.code);
        log::info!(
            "event=request_refused request={request} code={code} tokens={}",
            self.tokens
        );
        match std::mem::replace(&mut self.caller, CallerSide::Done) {
            CallerSide::Waiting(responder) => {
                responder.send(error.response(&self.request_id));
                error.code
            }
            CallerSide::Streaming(mut writer) => {
                // A caller that is gone needs no error.
                let _ = writer.write(error.event(&self.request_id));
                writer.abort();
                "broken_off"
            }
            CallerSide::Done => "caller_gone",
        }
    }

    fn replay(&mut self, answer: RecordedAnswer) -> &'static str {
        let status = u16::try_from(answer.status).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
            headers.insert(CONTENT_TYPE, content_type);
        }
        self.respond(Response {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
            headers,
            body: Bytes::from(answer.body.into_vec()),
        });
        "replayed"
    }

    fn respond(&mut self, mut response: Response) {
        self.add_request_id(&mut response.headers);
        if let CallerSide::Waiting(responder) =
            std::mem::replace(&mut self.caller, CallerSide::Done)
        {
            responder.send(response);
        }
    }

    fn add_request_id(&self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.request_id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
    }

    /// The core said nothing until well after the deadline. This is a fault; the caller still
    /// gets an answer.
    fn give_up(&mut self) -> &'static str {
        log::error!("event=request_without_decision request={}", self.request_id);
        self.refuse(&ErrorAnswer {
            status: StatusCode::GATEWAY_TIMEOUT,
            code: "deadline_passed",
            message: "the deadline passed; allow more time".to_owned(),
            executed: match self.dispatched {
                true => Executed::Unknown,
                false => Executed::No,
            },
            retry_after: None,
        })
    }
}

/// The request leaves the tables however it ends. For the core, one that ended is unknown
/// already; one that panicked is abandoned.
impl Drop for Exchange {
    fn drop(&mut self) {
        let driver = &self.shared.driver;
        driver.requests.remove(self.number);
        driver.metrics.in_flight.dec();
        driver.metrics.count_request(self.outcome);
        if self.outcome != "answered" {
            driver.step(RoutingInput::CallerGone(self.number));
        }
    }
}

fn is_event_stream(answer: &BackendAnswer) -> bool {
    let content_type = answer.headers().get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    answer.status() == StatusCode::OK
        && text.is_some_and(|text| text.starts_with("text/event-stream"))
}

/// Whether the end of the body can be told from a broken connection.
fn has_stated_end(answer: &BackendAnswer, method: &Method) -> bool {
    let headers = answer.headers();
    let status = answer.status();
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
