//! Delivers one request's outputs to its caller.

use super::calls::Call;
use super::chunks::{DONE, error_event, full_completion, token_event};
use crate::engine::messages::{EngineOutput, FinishReason, Refusal};
use crate::run::{EXECUTED_HEADER, RunStep, ScaledClock, error_response, retry_after_response};
use bytes::Bytes;
use crossbeam::channel::Receiver;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::{BodyWriter, CallerGone, Responder, Response};
use millpass_proto::Duration;

/// Retry-After of requests whose deadline passed while they were queued.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of delivering a request's outputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request has ended in the model.
    Ended,
    /// The caller disconnected; the request must be cancelled.
    CallerGone,
}

/// Waits for the model's outputs and sends them to the caller.
pub fn deliver(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    responder: Responder,
    clock: ScaledClock,
    record_step: &dyn Fn(RunStep),
) -> Delivery {
    // The channel closes when the engine stops; dropping the responder closes the connection.
    match outputs.recv() {
        Ok(EngineOutput::Refused(_, refusal)) => {
            responder.send(refusal_response(&refusal, clock));
            Delivery::Ended
        }
        Ok(EngineOutput::Started(_)) if call.is_streamed => {
            record_step(first_step(call));
            let writer = responder.stream(StatusCode::OK, stream_headers());
            deliver_stream(call, outputs, writer, record_step)
        }
        Ok(EngineOutput::Started(_)) => {
            record_step(first_step(call));
            deliver_full(call, outputs, responder, record_step)
        }
        Ok(_) if responder.is_caller_gone() => Delivery::CallerGone,
        Ok(_) => {
            let (code, message) = finish_error(FinishReason::Cancelled);
            responder.send(error_response(StatusCode::CONFLICT, code, message, false));
            Delivery::Ended
        }
        Err(_) => Delivery::Ended,
    }
}

fn deliver_stream(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    mut writer: BodyWriter,
    record_step: &dyn Fn(RunStep),
) -> Delivery {
    for output in outputs {
        let written = match output {
            EngineOutput::Tokens { from, count, .. } => {
                write_tokens(call, &mut writer, from, count)
            }
            EngineOutput::Finished(_, FinishReason::Complete) => {
                record_step(RunStep::Finished);
                let written = writer.write(Bytes::from_static(DONE));
                writer.finish();
                return delivery_after_write(written);
            }
            EngineOutput::Finished(_, reason) => {
                record_step(last_step(reason));
                let (code, message) = finish_error(reason);
                let written = writer.write(error_event(code, message));
                writer.abort();
                return delivery_after_write(written);
            }
            _ => Ok(()),
        };
        if written.is_err() {
            return Delivery::CallerGone;
        }
    }
    record_step(RunStep::CutOff);
    writer.abort();
    Delivery::Ended
}

fn write_tokens(
    call: &Call,
    writer: &mut BodyWriter,
    from: u32,
    count: u32,
) -> Result<(), CallerGone> {
    for position in from..from + count {
        let is_last = position + 1 == call.request.maximum_tokens;
        writer.write(token_event(call, position, is_last))?;
    }
    Ok(())
}

fn deliver_full(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    responder: Responder,
    record_step: &dyn Fn(RunStep),
) -> Delivery {
    let mut range: Option<(u32, u32)> = None;
    for output in outputs {
        match output {
            EngineOutput::Tokens { from, count, .. } => {
                let first = range.map_or(from, |(first, _)| first);
                range = Some((first, from + count));
            }
            EngineOutput::Finished(_, FinishReason::Complete) => {
                record_step(RunStep::Finished);
                let (from, to) = range.unwrap_or_default();
                let body = Bytes::from(full_completion(call, from, to));
                let response = Response::with_type(StatusCode::OK, "application/json", body);
                responder.send(response.with_header(EXECUTED_HEADER, "yes"));
                return Delivery::Ended;
            }
            EngineOutput::Finished(_, reason) => {
                record_step(last_step(reason));
                let is_caller_gone = responder.is_caller_gone();
                responder.send(aborted_response(reason));
                return if is_caller_gone {
                    Delivery::CallerGone
                } else {
                    Delivery::Ended
                };
            }
            _ => {}
        }
    }
    record_step(RunStep::CutOff);
    Delivery::Ended
}

fn delivery_after_write(written: Result<(), CallerGone>) -> Delivery {
    match written {
        Ok(()) => Delivery::Ended,
        Err(CallerGone) => Delivery::CallerGone,
    }
}

fn first_step(call: &Call) -> RunStep {
    if call.request.resume_from > 0 {
        RunStep::Resumed
    } else {
        RunStep::Started
    }
}

fn last_step(reason: FinishReason) -> RunStep {
    match reason {
        FinishReason::Complete => RunStep::Finished,
        FinishReason::Cancelled => RunStep::Cancelled,
        FinishReason::DeadlinePassed | FinishReason::Unloaded => RunStep::CutOff,
    }
}

fn stream_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(EXECUTED_HEADER, HeaderValue::from_static("yes"));
    headers
}

fn refusal_response(refusal: &Refusal, clock: ScaledClock) -> Response {
    let message = refusal.to_string();
    let conflict = |code| error_response(StatusCode::CONFLICT, code, &message, false);
    match refusal {
        Refusal::SlotNotLoaded => conflict("slot_not_loaded"),
        Refusal::AdapterNotLoaded => conflict("adapter_not_loaded"),
        Refusal::WrongIncarnation(_) => conflict("wrong_incarnation"),
        Refusal::WrongRole => conflict("wrong_role"),
        Refusal::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            error_response(status, "too_large", &message, false)
        }
        Refusal::QueueFull { retry_after } => {
            let pause = clock.to_real(*retry_after);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_after_response(status, "queue_full", &message, pause)
        }
        Refusal::DeadlinePassed => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_after_response(status, "deadline_passed", &message, DEADLINE_RETRY_AFTER)
        }
    }
}

fn aborted_response(reason: FinishReason) -> Response {
    let (code, message) = finish_error(reason);
    let status = match reason {
        FinishReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    error_response(status, code, message, true)
}

fn finish_error(reason: FinishReason) -> (&'static str, &'static str) {
    match reason {
        FinishReason::Complete => ("complete", "the response is complete"),
        FinishReason::DeadlinePassed => (
            "deadline_passed",
            "deadline passed while the request ran; allow more time",
        ),
        FinishReason::Unloaded => (
            "unloaded",
            "model was unloaded; resume the stream at another replica",
        ),
        FinishReason::Cancelled => ("cancelled", "request was cancelled; send it again"),
    }
}
