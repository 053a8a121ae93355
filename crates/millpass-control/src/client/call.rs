//! Calls in the form in which they are sent and resent.

use super::ClientError;
use crate::api::{ErrorDetail, MAXIMUM_BODY_BYTES, kind_plural};
use http::{Method, StatusCode};
use millpass_proto::ObjectKind;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;

/// A call that can be sent any number of times.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// Whether the call is a change.
    pub(super) changes: bool,
}

impl Call {
    pub(super) fn read(path: String) -> Self {
        Call {
            method: Method::GET,
            path,
            body: Vec::new(),
            changes: false,
        }
    }

    pub(super) fn change<T: Serialize>(
        method: Method,
        path: String,
        body: &T,
    ) -> Result<Self, ClientError> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| ClientError::UnexpectedResponse(error.to_string()))?;
        if body.len() > MAXIMUM_BODY_BYTES {
            return Err(too_large());
        }
        Ok(Call {
            method,
            path,
            body,
            changes: true,
        })
    }
}

/// Error for an oversized body. Checked locally, as a member may close the connection before its error
/// response is read.
fn too_large() -> ClientError {
    ClientError::Rejected {
        status: StatusCode::PAYLOAD_TOO_LARGE.as_u16(),
        detail: Box::new(ErrorDetail {
            kind: "body_too_large".to_owned(),
            message: format!("the body exceeds the limit of {MAXIMUM_BODY_BYTES} bytes"),
            remedy: "split the object".to_owned(),
            ..ErrorDetail::default()
        }),
    }
}

pub(super) fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("/v1/{}/{}", kind_plural(kind), encode(name))
}

/// Percent-encodes a path segment or query value.
pub(super) fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
