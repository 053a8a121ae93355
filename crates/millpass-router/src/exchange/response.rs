//! Forwarding of a backend's response to the caller, buffered or event by event.

use super::Exchange;
use crate::backend::{BackendResponse, forwarded_headers};
use crate::stream::{StreamEnd, StreamRelay};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use millpass_http::Response;
use millpass_proto::RecordedAnswer;
use millpass_routing::{AttemptFailure, Dispatch, RoutingInput, Target};
use std::io::Read;

impl Exchange {
    /// Forwards a response completely.
    pub(super) fn forward_response(
        &mut self,
        response: BackendResponse,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        let is_model = matches!(self.parsed.target, Target::Model { .. });
        if is_model && response.status().is_server_error() {
            return Err(self.incomplete());
        }
        if self.parsed.stream && is_event_stream(&response) {
            return self.forward_stream(response, dispatch);
        }
        self.forward_buffered(response, dispatch)
    }

    /// Failure of an attempt whose response is incomplete.
    fn incomplete(&self) -> AttemptFailure {
        if !self.caller.is_streaming() {
            return AttemptFailure::MayHaveRun;
        }
        AttemptFailure::BrokenOff {
            tokens: self.tokens,
        }
    }

    /// Reads a response completely before forwarding it, so that the caller never gets a partial
    /// one.
    fn forward_buffered(
        &mut self,
        response: BackendResponse,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        if !has_framed_body(&response, &self.request.method) || self.caller.is_streaming() {
            return Err(self.incomplete());
        }
        let (head, body) = response.into_parts();
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
            return Err(self.incomplete());
        }
        let body = Bytes::from(bytes);
        let answer = dispatch
            .record
            .then(|| self.record(head.status, &head.headers, &body));
        self.observe_first_byte();
        self.completed(answer.flatten());
        let mut headers = forwarded_headers(&head.headers);
        if self.request.method != Method::HEAD {
            headers.remove(CONTENT_LENGTH);
        }
        self.caller.respond(Response {
            status: head.status,
            headers,
            body,
        });
        Ok(())
    }

    /// Record of a claimed request's response; `None` if it is too large.
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

    /// Forwards a stream event by event.
    fn forward_stream(
        &mut self,
        response: BackendResponse,
        dispatch: &Dispatch,
    ) -> Result<(), AttemptFailure> {
        let (head, body) = response.into_parts();
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
                    return Err(self.incomplete());
                }
            }
        }
    }

    /// Writes to the caller's stream, opening it first if necessary.
    fn write_stream(
        &mut self,
        bytes: &Bytes,
        headers: &HeaderMap,
        record: bool,
    ) -> Result<(), AttemptFailure> {
        if record && self.recorded.len() <= self.shared.limits.maximum_recorded_bytes {
            self.recorded.extend_from_slice(bytes);
        }
        if self.caller.is_waiting() {
            self.open_stream(headers);
        }
        if self.caller.write(bytes.clone()).is_err() && !record {
            // The disconnect handler notified the core, which cancels the attempt. A claimed
            // request continues, because its response is recorded.
            return Err(self.incomplete());
        }
        Ok(())
    }

    fn open_stream(&mut self, headers: &HeaderMap) {
        let driver = &self.shared.driver;
        driver.step(RoutingInput::FirstByte(self.number));
        self.observe_first_byte();
        self.caller.open_stream(forwarded_headers(headers));
    }

    fn finish_stream(&mut self, headers: &HeaderMap, record: bool) {
        let body = std::mem::take(&mut self.recorded);
        let answer = record.then(|| self.record(StatusCode::OK, headers, &body));
        self.completed(answer.flatten());
        self.caller.finish_stream();
    }

    fn observe_first_byte(&self) {
        let driver = &self.shared.driver;
        let elapsed = driver.clock.now().since(self.arrived);
        let histogram = &driver.metrics.first_byte_seconds;
        histogram.observe(elapsed.as_secs_f64());
    }
}

fn is_event_stream(response: &BackendResponse) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    response.status() == StatusCode::OK
        && text.is_some_and(|text| text.starts_with("text/event-stream"))
}

/// Returns true if the end of the body is distinguishable from a lost connection.
fn has_framed_body(response: &BackendResponse, method: &Method) -> bool {
    let headers = response.headers();
    let status = response.status();
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
