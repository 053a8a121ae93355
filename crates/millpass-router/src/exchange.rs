//! One caller's request from arrival to its one final answer.
//!
//! The thread that reads the request carries it: it waits for signals of the decision core, sends
//! the attempts, passes the answer on, and reports what it saw. Nobody else answers the caller.

mod answer;

use crate::attempt::AttemptControl;
use crate::backend::Outgoing;
use crate::caller::CallerRequest;
use crate::caller_side::{CALLER_GONE, CallerSide};
use crate::explain::failure_word;
use crate::process::Shared;
use crate::refusal::ErrorAnswer;
use crate::requests::Signal;
use bytes::Bytes;
use crossbeam::channel::Receiver;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::{Request, Responder, Response};
use millpass_proto::{RecordedAnswer, Timestamp};
use millpass_routing::{Arrival, AttemptFailure, Dispatch, Executed, RequestNumber, RoutingInput};
use std::sync::Arc;
use std::time::Duration;

/// How long after the deadline a thread waits for the core's word. The core refuses at the
/// deadline; this only keeps a thread from waiting for ever should that fail.
const DEADLINE_SLACK: Duration = Duration::from_secs(5);
/// Header of an answer that was recorded for its idempotency key before.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// One request.
pub(crate) struct Exchange {
    shared: Arc<Shared>,
    number: RequestNumber,
    request: Request,
    read: CallerRequest,
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
    /// Address of the engine at which an attempt was cancelled that may run there.
    to_cancel: Option<String>,
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
            arrived,
            caller: CallerSide::new(request_id, responder),
            tokens: 0,
            recorded: Vec::new(),
            dispatched: false,
            to_cancel: None,
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
            request_id: self.caller.request_id().to_owned(),
            api_key: std::mem::take(&mut self.read.api_key),
            target: self.read.target.clone(),
            deadline: self.deadline,
            idempotency: self.read.idempotency.take(),
        }));
        self.watch_caller();
        self.outcome = self.follow_signals(&signals);
        self.end_with_cancellation();
    }

    /// Ends the request, and then its cancelled attempt at the engine. The caller has its answer
    /// by now: an engine behind a cut takes the whole time allowed for a cancellation.
    fn end_with_cancellation(mut self) {
        let Some(address) = self.to_cancel.take() else {
            return;
        };
        let shared = self.shared.clone();
        let request_id = std::mem::take(&mut self.backend_request_id);
        drop(self);
        shared.backends.cancel(&address, &request_id);
    }

    /// Tells the core and this thread when the caller hangs up, wherever the request is.
    fn watch_caller(&self) {
        let Some(gone) = self.caller.caller_gone() else {
            return;
        };
        let driver = Arc::downgrade(&self.shared.driver);
        let number = self.number;
        gone.on_gone(move || {
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
                    self.caller.let_go();
                    return CALLER_GONE;
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
                self.to_cancel = Some(dispatch.address.clone());
            }
            // The core cancelled it and needs no word. Its last one on the request follows.
            return;
        }
        let result = failure_word(failure);
        driver.metrics.count_attempt(result);
        let backend = &dispatch.backend;
        let request_id = self.caller.request_id();
        log::warn!("event=attempt_failed request={request_id} backend={backend} result={result}");
        driver.step(RoutingInput::Failed {
            request: self.number,
            failure,
        });
    }

    /// Answers with a refusal, or breaks an open stream off with it. Returns the outcome.
    fn refuse(&mut self, error: &ErrorAnswer) -> &'static str {
        let (request, code) = (self.caller.request_id(), error.code);
        log::info!(
            "event=request_refused request={request} code={code} tokens={}",
            self.tokens
        );
        self.caller.refuse(error)
    }

    fn replay(&mut self, answer: RecordedAnswer) -> &'static str {
        let status = u16::try_from(answer.status).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
            headers.insert(CONTENT_TYPE, content_type);
        }
        self.caller.respond(Response {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
            headers,
            body: Bytes::from(answer.body.into_vec()),
        });
        "replayed"
    }

    /// The core said nothing until well after the deadline. This is a fault; the caller still
    /// gets an answer.
    fn give_up(&mut self) -> &'static str {
        let request = self.caller.request_id();
        log::error!("event=request_without_decision request={request}");
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
