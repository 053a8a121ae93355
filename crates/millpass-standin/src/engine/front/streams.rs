//! Carries one request's outputs to its caller.

use super::calls::Call;
use super::chunks::{DONE, error_event, token_event, whole_answer};
use crate::engine::messages::{EngineOutput, FinishReason, Refusal};
use crate::run::{EXECUTED_HEADER, RunStep, ScaledClock, error_answer, retry_after_answer};
use bytes::Bytes;
use crossbeam::channel::Receiver;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::{BodyWriter, CallerGone, Responder, Response};
use millpass_proto::Duration;

/// Pause named to callers whose deadline passed while they waited.
const DEADLINE_PAUSE: Duration = Duration::from_secs(1);

/// What became of a request on its way to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The model is done with it.
    Ended,
    /// The caller went away: the model is to cancel it.
    CallerGone,
}

/// Waits for the model and answers the caller.
pub fn deliver(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    responder: Responder,
    clock: ScaledClock,
    note: &dyn Fn(RunStep),
) -> Delivery {
    // A closed channel means that the engine stops; dropping the responder cuts the connection.
    match outputs.recv() {
        Ok(EngineOutput::Refused(_, refusal)) => {
            responder.send(refusal_answer(&refusal, clock));
            Delivery::Ended
        }
        Ok(EngineOutput::Started(_)) if call.is_streamed => {
            note(first_step(call));
            let writer = responder.stream(StatusCode::OK, stream_headers());
            deliver_stream(call, outputs, writer, note)
        }
        Ok(EngineOutput::Started(_)) => {
            note(first_step(call));
            deliver_whole(call, outputs, responder, note)
        }
        Ok(_) if responder.is_caller_gone() => Delivery::CallerGone,
        Ok(_) => {
            let (code, message) = cut_text(FinishReason::Cancelled);
            responder.send(error_answer(StatusCode::CONFLICT, code, message, false));
            Delivery::Ended
        }
        Err(_) => Delivery::Ended,
    }
}

fn deliver_stream(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    mut writer: BodyWriter,
    note: &dyn Fn(RunStep),
) -> Delivery {
    for output in outputs {
        let written = match output {
            EngineOutput::Tokens { from, count, .. } => {
                write_tokens(call, &mut writer, from, count)
            }
            EngineOutput::Finished(_, FinishReason::Complete) => {
                note(RunStep::Finished);
                let written = writer.write(Bytes::from_static(DONE));
                writer.finish();
                return ended(written);
            }
            EngineOutput::Finished(_, reason) => {
                note(last_step(reason));
                let (code, message) = cut_text(reason);
                let written = writer.write(error_event(code, message));
                writer.abort();
                return ended(written);
            }
            _ => Ok(()),
        };
        if written.is_err() {
            return Delivery::CallerGone;
        }
    }
    note(RunStep::CutOff);
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

fn deliver_whole(
    call: &Call,
    outputs: &Receiver<EngineOutput>,
    responder: Responder,
    note: &dyn Fn(RunStep),
) -> Delivery {
    let mut range: Option<(u32, u32)> = None;
    for output in outputs {
        match output {
            EngineOutput::Tokens { from, count, .. } => {
                let first = range.map_or(from, |(first, _)| first);
                range = Some((first, from + count));
            }
            EngineOutput::Finished(_, FinishReason::Complete) => {
                note(RunStep::Finished);
                let (from, to) = range.unwrap_or_default();
                let body = Bytes::from(whole_answer(call, from, to));
                let answer = Response::with_type(StatusCode::OK, "application/json", body);
                responder.send(answer.with_header(EXECUTED_HEADER, "yes"));
                return Delivery::Ended;
            }
            EngineOutput::Finished(_, reason) => {
                note(last_step(reason));
                let is_gone = responder.is_caller_gone();
                responder.send(cut_answer(reason));
                return if is_gone {
                    Delivery::CallerGone
                } else {
                    Delivery::Ended
                };
            }
            _ => {}
        }
    }
    note(RunStep::CutOff);
    Delivery::Ended
}

fn ended(written: Result<(), CallerGone>) -> Delivery {
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

fn refusal_answer(refusal: &Refusal, clock: ScaledClock) -> Response {
    let message = refusal.to_string();
    let conflict = |code| error_answer(StatusCode::CONFLICT, code, &message, false);
    match refusal {
        Refusal::SlotNotLoaded => conflict("slot_not_loaded"),
        Refusal::AdapterNotLoaded => conflict("adapter_not_loaded"),
        Refusal::WrongIncarnation(_) => conflict("wrong_incarnation"),
        Refusal::WrongRole => conflict("wrong_role"),
        Refusal::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            error_answer(status, "too_large", &message, false)
        }
        Refusal::QueueFull { retry_after } => {
            let pause = clock.to_real(*retry_after);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_after_answer(status, "queue_full", &message, pause)
        }
        Refusal::DeadlinePassed => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_after_answer(status, "deadline_passed", &message, DEADLINE_PAUSE)
        }
    }
}

fn cut_answer(reason: FinishReason) -> Response {
    let (code, message) = cut_text(reason);
    let status = match reason {
        FinishReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    error_answer(status, code, message, true)
}

fn cut_text(reason: FinishReason) -> (&'static str, &'static str) {
    match reason {
        FinishReason::Complete => ("complete", "the answer is whole"),
        FinishReason::DeadlinePassed => (
            "deadline_passed",
            "deadline passed while the request ran; allow more time",
        ),
        FinishReason::Unloaded => (
            "unloaded",
            "model was unloaded; resume the stream at another replica",
        ),
        FinishReason::Cancelled => ("cancelled", "request was cancelled; send it anew"),
    }
}
