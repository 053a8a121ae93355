//! HTTP interface of the weight store.

use super::client::RETRY_AFTER_MILLIS;
use super::model::{StoreInput, StoreOutput, TransferId, WeightStoreModel, WeightStoreSettings};
use crate::run::{
    Alarms, Driver, FrontSettings, ScaledClock, Served, TimedModel, error_response, json_response,
    parse_json, path_segments, query_number, retry_after_response,
};
use anyhow::Result;
use crossbeam::channel::Receiver;
use http::header::HeaderName;
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response};
use millpass_proto::{Duration, Timestamp};
use serde::Deserialize;
use std::sync::Arc;

/// Slow factors accepted by the fault endpoint; 1 is normal speed.
const SLOW_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;
const THOUSANDTHS: f64 = 1_000.0;

impl TimedModel for WeightStoreModel {
    type Input = StoreInput;
    type Output = StoreOutput;

    fn advance(&mut self, now: Timestamp, input: Option<StoreInput>) -> Vec<StoreOutput> {
        self.step(now, input.unwrap_or(StoreInput::Tick))
    }

    fn next_wake(&self) -> Option<Timestamp> {
        WeightStoreModel::next_wake(self)
    }

    fn waiter_of(output: &StoreOutput) -> Option<(u64, bool)> {
        match output {
            StoreOutput::Refused(transfer, _) | StoreOutput::Done(transfer) => {
                Some((transfer.0, true))
            }
        }
    }
}

/// A running weight store.
pub type WeightStoreHandle = Served<WeightStoreModel>;

/// Starts a weight store.
pub fn start(settings: WeightStoreSettings, front: &FrontSettings) -> Result<WeightStoreHandle> {
    let alarms = Alarms::start(ScaledClock::start(front.time_scale))?;
    let model = WeightStoreModel::new(settings, alarms.clock().now());
    let driver = Driver::new(model, alarms);
    let service = Arc::new(Service {
        driver: driver.clone(),
    });
    Served::start("weight-store", front, driver, service)
}

struct Service {
    driver: Arc<Driver<WeightStoreModel>>,
}

/// Body of `POST /faults/slow`.
#[derive(Deserialize)]
struct SlowBody {
    factor: f64,
}

impl Handler for Service {
    fn handle(&self, request: Request, responder: Responder) {
        let segments = path_segments(&request.uri);
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (request.method.clone(), path.as_slice()) {
            (Method::GET, ["checkpoints", _]) => self.transfer(&request, responder),
            (Method::GET, ["audit"]) => {
                let audit = self.driver.read(|model, _| model.audit());
                responder.send(json_response(StatusCode::OK, &audit));
            }
            (Method::POST, ["faults", "slow"]) => responder.send(self.slow(&request)),
            _ => responder.send(error_response(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "see docs/interfaces/weight-store.md",
                false,
            )),
        }
    }
}

impl Service {
    fn transfer(&self, request: &Request, responder: Responder) {
        let Some(bytes) = query_number(&request.uri, "bytes") else {
            let message = "checkpoint size is missing; add ?bytes=N";
            let status = StatusCode::BAD_REQUEST;
            return responder.send(error_response(status, "missing_size", message, false));
        };
        let caller_gone = responder.caller_gone();
        let (waiter, ends) = self.driver.open_with_sender(
            |waiter| StoreInput::Request(TransferId(waiter), bytes),
            |waiter, sender| {
                // Any output wakes the waiting thread, which then sees the disconnect.
                let sender = sender.clone();
                caller_gone.on_gone(move || {
                    let _ = sender.send(StoreOutput::Done(TransferId(waiter)));
                });
            },
        );
        let response = self.wait(&ends);
        if responder.is_caller_gone() {
            self.driver.input(StoreInput::Abandon(TransferId(waiter)));
            return;
        }
        if let Some(response) = response {
            responder.send(response);
        }
    }

    /// Waits for the end of a transfer; `None` if the store has stopped.
    fn wait(&self, ends: &Receiver<StoreOutput>) -> Option<Response> {
        match ends.recv().ok()? {
            StoreOutput::Done(transfer) => {
                let body = format!("transfer {} over\n", transfer.0);
                Some(Response::text(StatusCode::OK, body))
            }
            StoreOutput::Refused(_, pause) => Some(self.refusal(pause)),
        }
    }

    fn refusal(&self, pause: Duration) -> Response {
        let real = self.driver.alarms().clock().to_real(pause);
        let millis = real.as_millis().max(1).to_string();
        let message = "too many loads are queued; retry later";
        let status = StatusCode::TOO_MANY_REQUESTS;
        retry_after_response(status, "rate_limited", message, real)
            .with_header(HeaderName::from_static(RETRY_AFTER_MILLIS), &millis)
    }

    fn slow(&self, request: &Request) -> Response {
        let body: SlowBody = match parse_json(&request.body) {
            Ok(body) => body,
            Err(response) => return *response,
        };
        if !SLOW_FACTOR_RANGE.contains(&body.factor) {
            let message = "factor is out of range; use 0.001 to 1000";
            let status = StatusCode::BAD_REQUEST;
            return error_response(status, "out_of_range", message, false);
        }
        let thousandths = (body.factor * THOUSANDTHS) as u64;
        self.driver.input(StoreInput::SlowFactor(thousandths));
        Response::text(StatusCode::OK, "")
    }
}
