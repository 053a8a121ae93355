//! Error responses to callers.

use bytes::Bytes;
use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use millpass_http::Response;
use millpass_routing::{Executed, Refusal, RefusalReason};
use std::time::Duration;

/// Header stating whether a refused request may have run.
pub(crate) const EXECUTED_HEADER: HeaderName = HeaderName::from_static("millpass-executed");
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// An error response, independent of its cause.
#[derive(Clone, Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) executed: Executed,
    pub(crate) retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// A malformed request: it did not run, and retrying it unchanged fails again.
    pub(crate) fn malformed(code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse {
            status: StatusCode::BAD_REQUEST,
            code,
            message: message.into(),
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// Replaces the status.
    pub(crate) fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Response for a request that has sent nothing yet.
    pub(crate) fn response(&self, request_id: &str) -> Response {
        let mut response = Response::json(self.status, &self.json(request_id))
            .with_header(REQUEST_ID_HEADER, request_id);
        let executed = HeaderValue::from_static(executed_name(self.executed));
        response.headers.insert(EXECUTED_HEADER, executed);
        if let Some(retry_after) = self.retry_after {
            let seconds = ceil_seconds(retry_after);
            response
                .headers
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Final event of an aborted stream.
    pub(crate) fn event(&self, request_id: &str) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.json(request_id)))
    }

    fn json(&self, request_id: &str) -> serde_json::Value {
        serde_json::json!({"error": self.details(request_id)})
    }

    /// Error object returned to the caller.
    pub(crate) fn details(&self, request_id: &str) -> serde_json::Value {
        let mut error = serde_json::json!({
            "code": self.code,
            "message": self.message,
            "executed": executed_name(self.executed),
            "request_id": request_id,
        });
        if let Some(retry_after) = self.retry_after {
            error["retry_after_ms"] = (retry_after.as_millis() as u64).into();
        }
        error
    }
}

impl From<Refusal> for ErrorResponse {
    fn from(refusal: Refusal) -> Self {
        let (status, code) = status_and_code(refusal.reason);
        ErrorResponse {
            status,
            code,
            message: refusal.message,
            executed: refusal.executed,
            retry_after: refusal.retry_after,
        }
    }
}

fn executed_name(executed: Executed) -> &'static str {
    match executed {
        Executed::No => "no",
        Executed::Unknown => "unknown",
    }
}

fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

fn status_and_code(reason: RefusalReason) -> (StatusCode, &'static str) {
    match reason {
        RefusalReason::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown_key"),
        RefusalReason::NotFound => (StatusCode::NOT_FOUND, "not_found"),
        RefusalReason::PolicyDenied => (StatusCode::FORBIDDEN, "policy_denied"),
        RefusalReason::KeyRequired => (StatusCode::BAD_REQUEST, "idempotency_key_required"),
        RefusalReason::KeyExpired => (StatusCode::BAD_REQUEST, "idempotency_key_expired"),
        RefusalReason::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "idempotency_key_reused"),
        RefusalReason::InProgress => (StatusCode::CONFLICT, "in_progress"),
        RefusalReason::MayHaveRun => (StatusCode::CONFLICT, "may_have_run"),
        RefusalReason::Hopeless => (StatusCode::SERVICE_UNAVAILABLE, "deadline_hopeless"),
        RefusalReason::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
        RefusalReason::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "queue_full"),
        RefusalReason::TenantLimit => (StatusCode::TOO_MANY_REQUESTS, "tenant_limit"),
        RefusalReason::NoLease => (StatusCode::SERVICE_UNAVAILABLE, "no_lease"),
        RefusalReason::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        RefusalReason::BackendFailed => (StatusCode::BAD_GATEWAY, "backend_failed"),
        RefusalReason::ClaimUnavailable => (StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable"),
    }
}
