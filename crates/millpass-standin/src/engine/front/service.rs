//! Request handling of the engine's HTTP interface.

use super::calls::{Api, Parsed};
use super::fetches::Fetches;
use super::streams::{Delivery, deliver};
use crate::engine::messages::{EngineInput, EngineOutput, FinishReason, RequestHandle};
use crate::engine::model::EngineModel;
use crate::run::{
    Driver, RunRecorder, RunStep, TimedModel, error_response, header_text, json_response,
    parse_json, path_segments, query_number,
};
use bytes::Bytes;
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response};
use millpass_proto::{EngineOrder, OrderResponse, SlotId, Timestamp};
use std::sync::Arc;

/// Maximum size of an imported KV cache block.
const MAXIMUM_CACHE_BYTES: usize = 64 * 1024;

impl TimedModel for EngineModel {
    type Input = EngineInput;
    type Output = EngineOutput;

    fn advance(&mut self, now: Timestamp, input: Option<EngineInput>) -> Vec<EngineOutput> {
        self.step(now, input.unwrap_or(EngineInput::Tick))
    }

    fn next_wake(&self) -> Option<Timestamp> {
        EngineModel::next_wake(self)
    }

    fn waiter_of(output: &EngineOutput) -> Option<(u64, bool)> {
        match output {
            EngineOutput::Refused(request, _) | EngineOutput::Finished(request, _) => {
                Some((request.0, true))
            }
            EngineOutput::Started(request) | EngineOutput::Tokens { request, .. } => {
                Some((request.0, false))
            }
            EngineOutput::OrderResponse(_)
            | EngineOutput::Fetch { .. }
            | EngineOutput::AbandonFetch(_)
            | EngineOutput::CacheImported(_) => None,
        }
    }
}

/// HTTP handler of one engine.
pub struct Service {
    pub driver: Arc<Driver<EngineModel>>,
    pub fetches: Arc<Fetches>,
    pub runs: RunRecorder,
}

impl Handler for Service {
    fn handle(&self, request: Request, responder: Responder) {
        let segments = path_segments(&request.uri);
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["v1", "completions"]) => {
                self.complete(Api::Completions, &request, responder);
            }
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.complete(Api::Chat, &request, responder);
            }
            (&Method::POST, ["engine", "orders"]) => responder.send(self.order(&request)),
            (&Method::DELETE, ["engine", "requests", id]) => responder.send(self.cancel(id)),
            (&Method::PUT, ["engine", "kv", hash]) => {
                responder.send(self.import(hash, &request));
            }
            (&Method::POST, ["engine", "faults", fault]) => {
                responder.send(self.fault(fault, &request));
            }
            (&Method::GET, path) => responder.send(self.read(path, &request)),
            _ => responder.send(unknown_path()),
        }
    }
}

impl Service {
    fn read(&self, path: &[&str], request: &Request) -> Response {
        let ok = StatusCode::OK;
        match path {
            ["engine", "report"] => json_response(ok, &self.driver.read(EngineModel::report)),
            ["engine", "audit"] => json_response(ok, &self.driver.read(EngineModel::audit)),
            ["engine", "events"] => {
                let after = query_number(&request.uri, "after").unwrap_or(0);
                let query = |model: &EngineModel, now| model.events_after(now, after);
                json_response(ok, &self.driver.read(query))
            }
            ["engine", "kv", hash] => self.export(hash, request),
            _ => unknown_path(),
        }
    }

    fn complete(&self, api: Api, request: &Request, responder: Responder) {
        let clock = self.driver.alarms().clock();
        let parsed = match Parsed::read(api, request) {
            Ok(parsed) => parsed,
            Err(response) => return responder.send(*response),
        };
        let view = self.driver.read(|model, now| parsed.find_slot(model, now));
        let mut call = parsed.into_call(view, clock);
        let caller_gone = responder.caller_gone();
        let (waiter, outputs) = self.driver.open_with_sender(
            |waiter| {
                call.request.handle = RequestHandle(waiter);
                if call.request.request_id.is_empty() {
                    call.request.request_id = format!("request-{waiter}");
                }
                EngineInput::Submit(call.request.clone())
            },
            |waiter, sender| {
                let sender = sender.clone();
                let handle = RequestHandle(waiter);
                // Wakes the delivering thread, even while the request is queued.
                caller_gone.on_gone(move || {
                    let reason = FinishReason::Cancelled;
                    let _ = sender.send(EngineOutput::Finished(handle, reason));
                });
            },
        );
        let record_step = |step| {
            let request = &call.request;
            let key = request.idempotency_key.as_deref();
            self.runs
                .record(&request.request_id, &request.tenant, key, step);
        };
        if deliver(&call, &outputs, responder, clock, &record_step) == Delivery::CallerGone {
            record_step(RunStep::Cancelled);
            self.driver
                .input(EngineInput::Cancel(RequestHandle(waiter)));
        }
    }

    fn order(&self, request: &Request) -> Response {
        let order: EngineOrder = match parse_json(&request.body) {
            Ok(order) => order,
            Err(response) => return *response,
        };
        let summary = format!("fence={} action={:?}", order.fence, order.action);
        let mut outputs = self.driver.input(EngineInput::Order(order));
        let index = outputs
            .iter()
            .position(|output| matches!(output, EngineOutput::OrderResponse(_)));
        let response = index.map(|index| outputs.swap_remove(index));
        self.fetches.start_all(outputs);
        match response {
            Some(EngineOutput::OrderResponse(response)) => {
                log_order(&summary, &response);
                json_response(StatusCode::OK, &response)
            }
            _ => error_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "no_answer",
                "engine model returned no response; report this defect",
                true,
            ),
        }
    }

    fn cancel(&self, request_id: &str) -> Response {
        let handles = self
            .driver
            .read(|model, _| model.requests_named(request_id));
        if handles.is_empty() {
            let message = "no waiting or running request has this id";
            return error_response(StatusCode::NOT_FOUND, "unknown_request", message, false);
        }
        for handle in handles {
            self.driver.input(EngineInput::Cancel(handle));
        }
        Response::text(StatusCode::OK, "")
    }

    fn export(&self, hash: &str, request: &Request) -> Response {
        let Ok(prefix_hash) = hash.parse::<u64>() else {
            return malformed_hash();
        };
        let requested = slot_of(request);
        let content = self.driver.read(|model, _| {
            let slot = requested.or_else(|| model.slot_with_cached(prefix_hash))?;
            model
                .has_cached(slot, prefix_hash)
                .then(|| cache_content(model, slot, prefix_hash))?
        });
        match content {
            Some(content) => {
                let octets = "application/octet-stream";
                Response::with_type(StatusCode::OK, octets, Bytes::from(content))
            }
            None => error_response(
                StatusCode::NOT_FOUND,
                "not_cached",
                "block is not cached in this engine; prefill it",
                false,
            ),
        }
    }

    fn import(&self, hash: &str, request: &Request) -> Response {
        let Ok(prefix_hash) = hash.parse::<u64>() else {
            return malformed_hash();
        };
        if request.body.len() > MAXIMUM_CACHE_BYTES {
            let message = "KV cache block exceeds 64 KiB; send one block";
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return error_response(status, "body_too_large", message, false);
        }
        let Some(slot) = slot_of(request) else {
            let message = "slot is missing; name it in header millpass-slot";
            return error_response(StatusCode::BAD_REQUEST, "missing_slot", message, false);
        };
        let expected = self
            .driver
            .read(|model, _| cache_content(model, slot, prefix_hash));
        let is_expected = expected.is_some_and(|expected| expected.as_bytes() == &request.body[..]);
        if !is_expected {
            let message =
                "KV cache is of another model, version or block, or the slot is not loaded";
            return error_response(StatusCode::CONFLICT, "wrong_cache", message, false);
        }
        let outputs = self
            .driver
            .input(EngineInput::ImportCache { slot, prefix_hash });
        if outputs.contains(&EngineOutput::CacheImported(true)) {
            return Response::text(StatusCode::OK, "");
        }
        let message = "running requests leave no free cache memory; prefill instead";
        error_response(StatusCode::INSUFFICIENT_STORAGE, "no_room", message, false)
    }

    fn fault(&self, fault: &str, request: &Request) -> Response {
        let number = |key| {
            let value = query_number(&request.uri, key)?;
            u32::try_from(value).ok()
        };
        let input = match fault {
            "fail-loads" => number("count").map(EngineInput::FailLoads),
            "slow" => number("percent").map(EngineInput::SlowSteps),
            _ => return unknown_path(),
        };
        let Some(input) = input else {
            let message = "fault parameter is missing; use fail-loads?count=N or slow?percent=N";
            return error_response(StatusCode::BAD_REQUEST, "missing_number", message, false);
        };
        self.driver.input(input);
        Response::text(StatusCode::OK, "")
    }
}

/// Returns the exported KV cache of a block: a placeholder that identifies block, model and version, so that
/// an import into another model is refused.
fn cache_content(model: &EngineModel, slot: SlotId, prefix_hash: u64) -> Option<String> {
    let (name, version) = model.loaded_model(slot)?;
    Some(format!("kv {prefix_hash} {name} {version}"))
}

fn slot_of(request: &Request) -> Option<SlotId> {
    let text = header_text(&request.headers, "millpass-slot")?;
    text.parse().ok().map(SlotId)
}

fn log_order(summary: &str, response: &OrderResponse) {
    match response {
        OrderResponse::Accepted => log::info!("event=order_accepted {summary}"),
        refused => log::warn!("event=order_refused {summary} answer={refused:?}"),
    }
}

fn malformed_hash() -> Response {
    let message = "block hash must be a decimal number";
    error_response(StatusCode::BAD_REQUEST, "malformed_hash", message, false)
}

fn unknown_path() -> Response {
    let message = "see docs/interfaces/engine.md";
    error_response(StatusCode::NOT_FOUND, "unknown_path", message, false)
}
