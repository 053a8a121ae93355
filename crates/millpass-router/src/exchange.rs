//! One caller request, from arrival to its final response.
//!
//! The thread that reads the request handles it to the end: it waits for signals from the decision
//! core, sends the attempts, forwards the response and reports the result. No other thread responds
//! to the caller.

mod response;

use crate::attempt::AttemptControl;
use crate::backend::OutgoingRequest;
use crate::caller::CallerRequest;
use crate::caller_response::{CallerResponse, OUTCOME_CALLER_GONE};
use crate::explain::failure_name;
use crate::process::Shared;
use crate::refusal::ErrorResponse;
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

/// Time after the deadline for which a thread waits for the core's decision. The core refuses at
/// the deadline; this bounds the wait if it does not.
const DECISION_GRACE: Duration = Duration::from_secs(5);
/// Header of a response replayed for its idempotency key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// State of one request.
pub(crate) struct Exchange {
    shared: Arc<Shared>,
    number: RequestNumber,
    request: Request,
    parsed: CallerRequest,
    /// Request id sent to backends; unique even if callers reuse request ids.
    backend_request_id: String,
    arrived: Timestamp,
    deadline: Timestamp,
    caller: CallerResponse,
    /// Number of tokens forwarded.
    tokens: u64,
    /// Forwarded bytes of a claimed stream, kept for recording.
    recorded: Vec<u8>,
    dispatched: bool,
    /// Engine that may still run a cancelled attempt.
    cancel_address: Option<String>,
    outcome: &'static str,
}

impl Exchange {
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: Request,
        parsed: CallerRequest,
        request_id: String,
        responder: Responder,
    ) -> Self {
        let number = shared.next_request();
        let arrived = shared.driver.clock.now();
        let incarnation = shared.incarnation;
        Exchange {
            deadline: arrived + parsed.deadline,
            backend_request_id: format!("{request_id}.{incarnation}.{}", number.0),
            shared,
            number,
            request,
            parsed,
            arrived,
            caller: CallerResponse::new(request_id, responder),
            tokens: 0,
            recorded: Vec::new(),
            dispatched: false,
            cancel_address: None,
            outcome: "panicked",
        }
    }

    /// Handles the request to its end.
    pub(crate) fn run(mut self) {
        let driver = self.shared.driver.clone();
        let (_entry, signals) = driver.requests.add(self.number);
        driver.metrics.in_flight.inc();
        driver.step(RoutingInput::Arrived(Arrival {
            request: self.number,
            request_id: self.caller.request_id().to_owned(),
            api_key: std::mem::take(&mut self.parsed.api_key),
            target: self.parsed.target.clone(),
            deadline: self.deadline,
            idempotency: self.parsed.idempotency.take(),
        }));
        self.register_disconnect_handler();
        self.outcome = self.process_signals(&signals);
        self.finish_and_cancel();
    }

    /// Ends the request, then cancels its attempt at the engine. The caller already has its
    /// response, because cancelling at an unreachable engine takes the full timeout.
    fn finish_and_cancel(mut self) {
        let Some(address) = self.cancel_address.take() else {
            return;
        };
        let shared = self.shared.clone();
        let request_id = std::mem::take(&mut self.backend_request_id);
        drop(self);
        shared.backends.cancel(&address, &request_id);
    }

    /// Notifies the core and this thread when the caller disconnects.
    fn register_disconnect_handler(&self) {
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

    /// Acts on signals from the core until the request ends; returns the outcome.
    fn process_signals(&mut self, signals: &Receiver<Signal>) -> &'static str {
        loop {
            let left = self.shared.driver.clock.left_until(self.deadline);
            match signals.recv_timeout(left + DECISION_GRACE) {
                Ok(Signal::Dispatch(dispatch, control)) => {
                    if self.run_attempt(&dispatch, &control) {
                        return "answered";
                    }
                }
                Ok(Signal::Refuse(refusal)) => return self.refuse(&refusal.into()),
                Ok(Signal::Replay(answer)) => return self.replay(answer),
                Ok(Signal::CallerGone) => {
                    self.caller.close();
                    return OUTCOME_CALLER_GONE;
                }
                Err(_) => return self.refuse_without_decision(),
            }
        }
    }

    /// Sends one attempt and forwards its response. Returns true if the response was complete.
    fn run_attempt(&mut self, dispatch: &Dispatch, control: &Arc<AttemptControl>) -> bool {
        self.record_first_dispatch();
        let outgoing = OutgoingRequest {
            request: &self.request,
            request_id: &self.backend_request_id,
            stream: self.parsed.stream,
            dispatch,
        };
        let shared = self.shared.clone();
        let result = match shared.backends.send(&outgoing, control) {
            Ok(response) => self.forward_response(response, dispatch),
            Err(failure) => Err(failure),
        };
        match result {
            Ok(()) => {
                shared.driver.metrics.count_attempt("completed");
                true
            }
            Err(failure) => {
                self.handle_attempt_failure(failure, dispatch, control);
                false
            }
        }
    }

    fn record_first_dispatch(&mut self) {
        if self.dispatched {
            return;
        }
        self.dispatched = true;
        let driver = &self.shared.driver;
        let waited = driver.clock.now().since(self.arrived);
        driver.metrics.wait_seconds.observe(waited.as_secs_f64());
    }

    fn handle_attempt_failure(
        &mut self,
        failure: AttemptFailure,
        dispatch: &Dispatch,
        control: &AttemptControl,
    ) {
        let driver = self.shared.driver.clone();
        if control.is_cancelled() {
            driver.metrics.count_attempt("cancelled");
            if control.may_have_sent() && dispatch.slot.is_some() {
                self.cancel_address = Some(dispatch.address.clone());
            }
            // The core cancelled the attempt and sends the final signal itself.
            return;
        }
        let result = failure_name(failure);
        driver.metrics.count_attempt(result);
        let backend = &dispatch.backend;
        let request_id = self.caller.request_id();
        log::warn!("event=attempt_failed request={request_id} backend={backend} result={result}");
        driver.step(RoutingInput::Failed {
            request: self.number,
            failure,
        });
    }

    /// Responds with a refusal, or aborts an open stream with it. Returns the outcome.
    fn refuse(&mut self, error: &ErrorResponse) -> &'static str {
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

    /// Responds with an error because the core made no decision, which indicates a bug.
    fn refuse_without_decision(&mut self) -> &'static str {
        let request = self.caller.request_id();
        log::error!("event=request_without_decision request={request}");
        self.refuse(&ErrorResponse {
            status: StatusCode::GATEWAY_TIMEOUT,
            code: "deadline_passed",
            message: "deadline exceeded; send a longer deadline".to_owned(),
            executed: match self.dispatched {
                true => Executed::Unknown,
                false => Executed::No,
            },
            retry_after: None,
        })
    }
}

/// Removes the request from the tables however it ends. The core ignores requests that it already
/// finished; one that panicked is abandoned.
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
