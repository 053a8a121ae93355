//! HTTP handlers of the caller API and the observation API.

use crate::caller::{self, CallerRequest};
use crate::exchange::Exchange;
use crate::explain::explanation_json;
use crate::models::ListError;
use crate::process::Shared;
use crate::refusal::ErrorResponse;
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response};
use millpass_routing::Executed;
use std::sync::Arc;
use std::time::Duration;

/// Retry-After of a router without a current catalog.
const NO_CATALOG_RETRY: Duration = Duration::from_secs(1);
const MODELS: &str = "/v1/models";
/// Path prefix of explanations.
const EXPLAIN: &str = "/v1/explain/";

/// Handler of the caller API.
pub(crate) struct CallerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CallerHandler {
    fn handle(&self, request: Request, responder: Responder) {
        let request_id = caller::request_id(&request.headers);
        if request.uri.path() == MODELS {
            responder.send(self.list_models(&request, &request_id));
            return;
        }
        match CallerRequest::read(&request, &self.shared.limits) {
            Ok(parsed) => {
                let shared = self.shared.clone();
                Exchange::new(shared, request, parsed, request_id, responder).run();
            }
            Err(error) => {
                self.shared.driver.metrics.count_request(error.code);
                let code = error.code;
                log::info!("event=request_malformed request={request_id} code={code}");
                responder.send(error.response(&request_id));
            }
        }
    }
}

impl CallerHandler {
    fn list_models(&self, request: &Request, request_id: &str) -> Response {
        let result = self.try_list_models(request);
        match result {
            Ok(body) => Response::json(StatusCode::OK, &body)
                .with_header(crate::refusal::REQUEST_ID_HEADER, request_id),
            Err(error) => error.response(request_id),
        }
    }

    fn try_list_models(&self, request: &Request) -> Result<serde_json::Value, ErrorResponse> {
        if request.method != Method::GET {
            let error = ErrorResponse::malformed("method_not_allowed", "use GET /v1/models");
            return Err(error.with_status(StatusCode::METHOD_NOT_ALLOWED));
        }
        let api_key = caller::api_key(&request.headers)?;
        if self.shared.driver.lease_remaining().is_zero() {
            // Without a lease the catalog may be stale, including its API keys.
            return Err(list_error(ListError::NoCatalog));
        }
        let models = self.shared.models.list(&api_key).map_err(list_error)?;
        let data: Vec<serde_json::Value> = models
            .iter()
            .map(|model| {
                serde_json::json!({
                    "id": model.name, "object": "model", "created": 0, "owned_by": "millpass",
                })
            })
            .collect();
        Ok(serde_json::json!({"object": "list", "data": data}))
    }
}

fn list_error(reason: ListError) -> ErrorResponse {
    match reason {
        ListError::UnknownKey => ErrorResponse::malformed(
            "unknown_key",
            "the API key is missing or unknown; send `Authorization: Bearer KEY`",
        )
        .with_status(StatusCode::UNAUTHORIZED),
        ListError::NoCatalog => ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            code: "no_lease",
            message: "this router has no current catalog; retry later or use another router"
                .to_owned(),
            executed: Executed::No,
            retry_after: Some(NO_CATALOG_RETRY),
        },
    }
}

/// Handler for operators and monitoring.
pub(crate) struct ObservationHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for ObservationHandler {
    fn handle(&self, request: Request, responder: Responder) {
        let path = request.uri.path();
        let response = match path {
            "/metrics" => self.metrics(),
            "/healthz" => self.health(),
            _ => match path.strip_prefix(EXPLAIN) {
                Some(request_id) => self.explain(request_id),
                None => Response::text(
                    StatusCode::NOT_FOUND,
                    "not found; use /metrics, /healthz or /v1/explain/REQUEST_ID\n",
                ),
            },
        };
        responder.send(response);
    }
}

impl ObservationHandler {
    fn metrics(&self) -> Response {
        self.shared.driver.update_gauges();
        let text = self.shared.driver.metrics.exposition();
        let format = "text/plain; version=0.0.4; charset=utf-8";
        Response::with_type(StatusCode::OK, format, text.into_bytes().into())
    }

    /// Returns 200 while the router serves, else 503 with the reason.
    fn health(&self) -> Response {
        let (status, status_name) = if self.shared.is_draining() {
            (StatusCode::SERVICE_UNAVAILABLE, "draining")
        } else if self.shared.driver.lease_remaining().is_zero() {
            (StatusCode::SERVICE_UNAVAILABLE, "no_lease")
        } else {
            (StatusCode::OK, "serving")
        };
        let body = serde_json::json!({"status": status_name, "router": self.shared.name});
        Response::json(status, &body)
    }

    fn explain(&self, request_id: &str) -> Response {
        match self.shared.driver.explain(request_id) {
            Some(explanation) => Response::json(StatusCode::OK, &explanation_json(&explanation)),
            None => {
                let error = serde_json::json!({"error": {
                    "code": "not_found",
                    "message": "no record of this request id on this router; query the router \
                                that handled it, or search its log for the id",
                }});
                Response::json(StatusCode::NOT_FOUND, &error)
            }
        }
    }
}
