//! HTTP interface of the web back end.

use super::model::{
    WebInput, WebModel, WebOutput, WebRequest, WebRequestId, WebResponse, WebSettings,
};
use crate::run::{
    Alarms, Driver, EXECUTED_HEADER, FrontSettings, RunRecorder, RunStep, ScaledClock, Served,
    TimedModel, error_response, header_number, header_text, json_response, retry_after_response,
};
use anyhow::Result;
use bytes::Bytes;
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response};
use millpass_proto::{
    BackendKind, BackendState, Duration, Incarnation, PlatformMachine, TenantName, Timestamp,
};
use std::sync::Arc;

const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl TimedModel for WebModel {
    type Input = WebInput;
    type Output = WebOutput;

    fn advance(&mut self, now: Timestamp, input: Option<WebInput>) -> Vec<WebOutput> {
        self.step(now, input.unwrap_or(WebInput::Tick))
    }

    fn next_wake(&self) -> Option<Timestamp> {
        WebModel::next_wake(self)
    }

    fn waiter_of(output: &WebOutput) -> Option<(u64, bool)> {
        Some((output.id.0, true))
    }
}

/// A running web back end.
pub type WebHandle = Served<WebModel>;

/// Starts a web back end and registers it in the platform's list at `platform`, if given.
pub fn start(
    settings: WebSettings,
    front: &FrontSettings,
    platform: Option<&str>,
) -> Result<WebHandle> {
    let alarms = Alarms::start(ScaledClock::start(front.time_scale))?;
    let machine = PlatformMachine {
        backend: settings.backend.clone(),
        kind: BackendKind::Web,
        group: Some(settings.group.clone()),
        zone: settings.zone.clone(),
        address: String::new(),
        state: BackendState::Live,
    };
    let runs = RunRecorder {
        journal: front.journal.clone(),
        backend: settings.backend.clone(),
        incarnation: settings.incarnation,
    };
    let model = WebModel::new(settings, alarms.clock().now());
    let driver = Driver::new(model, alarms);
    let service = Arc::new(Service {
        driver: driver.clone(),
        runs,
    });
    let served = Served::start(machine.backend.as_str(), front, driver, service)?;
    Ok(served.register(platform, machine))
}

struct Service {
    driver: Arc<Driver<WebModel>>,
    runs: RunRecorder,
}

impl Handler for Service {
    fn handle(&self, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/web/report") => {
                let report = self.driver.read(WebModel::report);
                responder.send(json_response(StatusCode::OK, &report));
            }
            (&Method::GET, "/web/audit") => {
                let audit = self.driver.read(|model, _| model.audit());
                responder.send(json_response(StatusCode::OK, &audit));
            }
            (&Method::GET | &Method::HEAD | &Method::POST, _) => self.serve(&request, responder),
            _ => responder.send(error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "unknown_method",
                "use GET, HEAD or POST",
                false,
            )),
        }
    }
}

impl Service {
    fn serve(&self, request: &Request, responder: Responder) {
        let tenant = header_text(&request.headers, "millpass-tenant").unwrap_or_default();
        let key = header_text(&request.headers, "idempotency-key").map(str::to_owned);
        let is_post = request.method == Method::POST;
        let path = request.uri.path().to_owned();
        let incarnation = match header_number(&request.headers, "millpass-incarnation") {
            Ok(number) => number.map(Incarnation),
            Err(response) => return responder.send(*response),
        };
        let (_, responses) = self.driver.open(|waiter| {
            WebInput::Request(WebRequest {
                id: WebRequestId(waiter),
                is_post,
                path: path.clone(),
                tenant: TenantName::from(tenant),
                key: key.clone(),
                incarnation,
            })
        });
        if let Ok(output) = responses.recv() {
            if matches!(output.response, WebResponse::Page(_) | WebResponse::Ran(_)) {
                let id = header_text(&request.headers, "x-request-id").unwrap_or_default();
                let tenant = TenantName::from(tenant);
                self.runs
                    .record(id, &tenant, key.as_deref(), RunStep::Started);
            }
            responder.send(to_response(&path, key.as_deref(), output.response));
        }
    }
}

fn to_response(path: &str, key: Option<&str>, response: WebResponse) -> Response {
    match response {
        WebResponse::Page(page) => {
            let html = "text/html; charset=utf-8";
            Response::with_type(StatusCode::OK, html, Bytes::from(page))
        }
        WebResponse::Ran(runs) => {
            let body = serde_json::json!({"path": path, "key": key, "runs": runs});
            Response::json(StatusCode::OK, &body).with_header(EXECUTED_HEADER, "yes")
        }
        WebResponse::NotFound => {
            let message = "this path accepts no POST; see docs/interfaces/web-back-end.md";
            error_response(StatusCode::NOT_FOUND, "unknown_path", message, false)
        }
        WebResponse::WrongIncarnation(own) => {
            let message =
                format!("request names another incarnation; this is {own}; read the report again");
            let status = StatusCode::CONFLICT;
            error_response(status, "wrong_incarnation", &message, false)
        }
        WebResponse::Busy => {
            let message = "too many concurrent requests; retry later";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            retry_after_response(status, "busy", message, BUSY_RETRY_AFTER)
        }
    }
}
