//! Error responses.

use crate::api::{ErrorBody, ErrorDetail};
use http::StatusCode;
use http::header::{ALLOW, RETRY_AFTER, WWW_AUTHENTICATE};
use millpass_http::Response;
use millpass_policy::PolicyError;

/// Retry-After of failures that a retry can resolve.
const RETRY_AFTER_SECONDS: &str = "1";

/// An error response: status and body.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    status: StatusCode,
    /// Boxed to keep `Result`s small.
    detail: Box<ErrorDetail>,
    retry: bool,
    allowed_methods: Option<&'static str>,
}

impl Failure {
    pub(crate) fn new(
        status: StatusCode,
        kind: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Failure {
            status,
            detail: Box::new(ErrorDetail {
                kind: kind.to_owned(),
                message: message.into(),
                remedy: remedy.into(),
                ..ErrorDetail::default()
            }),
            retry: false,
            allowed_methods: None,
        }
    }

    /// Adds a Retry-After header.
    fn with_retry(mut self) -> Self {
        self.retry = true;
        self
    }

    pub(crate) fn malformed(message: impl Into<String>, remedy: &str) -> Self {
        Failure::new(StatusCode::BAD_REQUEST, "malformed", message, remedy)
    }

    pub(crate) fn unauthenticated(message: &str, remedy: &str) -> Self {
        Failure::new(StatusCode::UNAUTHORIZED, "unauthenticated", message, remedy)
    }

    pub(crate) fn forbidden(message: impl Into<String>) -> Self {
        let remedy = "use the key of an account with a role that may do it";
        Failure::new(StatusCode::FORBIDDEN, "forbidden", message, remedy)
    }

    pub(crate) fn method_not_allowed(allowed: &'static str) -> Self {
        let message = "this path does not take this method";
        let remedy = format!("use {allowed}");
        Failure {
            allowed_methods: Some(allowed),
            ..Failure::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                message,
                remedy,
            )
        }
    }

    /// Valid JSON with invalid content; nothing was changed.
    pub(crate) fn rejected(reason: impl Into<String>) -> Self {
        let (message, remedy) = split_remedy(reason.into());
        Failure::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "rejected",
            message,
            remedy,
        )
    }

    /// An invalid policy; the current one stays in force.
    pub(crate) fn policy_rejected(error: &PolicyError) -> Self {
        let (message, remedy) = split_remedy(error.to_string());
        let mut failure = Failure::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "policy_rejected",
            message,
            format!("{remedy}; the policy in force until now stays in force"),
        );
        if let PolicyError::Program {
            program,
            line,
            column,
            ..
        } = error
        {
            failure.detail.program = Some(program.to_string());
            failure.detail.line = Some(*line);
            failure.detail.column = Some(*column);
        }
        failure
    }

    pub(crate) fn version_conflict(current_version: u64) -> Self {
        let message = match current_version {
            0 => "the object does not exist; nothing was changed".to_owned(),
            version => format!("the object is at version {version}; nothing was changed"),
        };
        let remedy = "read the object, apply the change to what it is now, \
                      and submit it with that version and a new change id";
        let mut failure = Failure::new(StatusCode::CONFLICT, "version_conflict", message, remedy);
        failure.detail.current_version = Some(current_version);
        failure
    }

    /// This member does not lead; nothing was done.
    pub(crate) fn not_leader(leader_address: Option<String>) -> Self {
        let remedy = match &leader_address {
            Some(address) => format!("send it to {address}"),
            None => "try again in a second, here or at another member".to_owned(),
        };
        let message = "this member does not lead the control group; nothing was done";
        let mut failure = Failure::new(
            StatusCode::MISDIRECTED_REQUEST,
            "not_leader",
            message,
            remedy,
        );
        failure.retry = leader_address.is_none();
        failure.detail.leader_address = leader_address;
        failure
    }

    /// It is unknown whether the change was or will be made.
    pub(crate) fn outcome_unknown(resend: &str) -> Self {
        let message = "no answer of a majority in time; it may have been done or may yet be";
        Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "outcome_unknown",
            message,
            resend,
        )
        .with_retry()
    }

    /// Overloaded; nothing was done.
    pub(crate) fn busy(message: impl Into<String>) -> Self {
        Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            message,
            "send it again after a second",
        )
        .with_retry()
    }

    /// A bug in this program.
    pub(crate) fn internal(message: impl Into<String>) -> Self {
        let message = message.into();
        log::error!("event=administration_fault message={message:?}");
        Failure::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            message,
            "report it with the log of this member",
        )
    }

    pub(crate) fn into_response(self) -> Response {
        let body = ErrorBody {
            error: *self.detail,
        };
        let json = serde_json::to_value(&body).unwrap_or_default();
        let mut response = Response::json(self.status, &json);
        if self.retry {
            response = response.with_header(RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        if self.status == StatusCode::UNAUTHORIZED {
            response = response.with_header(WWW_AUTHENTICATE, "Bearer");
        }
        if let Some(allowed) = self.allowed_methods {
            response = response.with_header(ALLOW, allowed);
        }
        response
    }
}

/// Splits an error message of the form `reason; remedy`.
fn split_remedy(text: String) -> (String, String) {
    match text.rsplit_once("; ") {
        Some((reason, remedy)) => (reason.to_owned(), remedy.to_owned()),
        None => (text, "correct it and submit it again".to_owned()),
    }
}
