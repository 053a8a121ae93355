//! What is sent, the same at each resend.

use super::ClientError;
use crate::api::{ErrorDetail, MAXIMUM_BODY_BYTES, kind_plural};
use http::{Method, StatusCode};
use millpass_proto::ObjectKind;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;

/// A call, ready to be sent any number of times.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// Whether it changes something.
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

/// Refused here: a member that refuses a body it has not read whole may cut the connection
/// before its answer is read.
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

/// Path of an object.
pub(super) fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("/v1/{}/{}", kind_plural(kind), encode(name))
}

/// A name as one segment of a path or as a value in a query.
pub(super) fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
