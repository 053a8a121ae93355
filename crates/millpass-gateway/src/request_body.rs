//! Reads the bodies of requests within their limits.

use crate::body_memory::{self, BodyRefusal, HeldBody};
use crate::relay::RelayBody;
use crate::responses::gateway_response;
use crate::shared::Shared;
use async_io::Timer;
use futures_lite::future;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use millpass_proto::Duration;

/// Body size limit if the configuration states none.
const DEFAULT_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry-After of a request whose body has no memory; the retry may reach another gateway.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why a request body was not read.
pub(crate) enum BodyError {
    Refused(BodyRefusal),
    TimedOut,
}

impl BodyError {
    /// Returns the response to the caller.
    pub(crate) fn response(&self, shared: &Shared, attempt: &str) -> Response<RelayBody> {
        let (status, retry_after) = match self {
            BodyError::Refused(BodyRefusal::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, None),
            BodyError::Refused(BodyRefusal::Unreadable) => (StatusCode::BAD_REQUEST, None),
            BodyError::TimedOut => (StatusCode::REQUEST_TIMEOUT, None),
            BodyError::Refused(BodyRefusal::NoMemory) => {
                let used = shared.body_memory.used();
                log::warn!("event=body_refused request={attempt} used_bytes={used}");
                shared.metrics.refused_bodies.inc();
                (
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(BODY_MEMORY_RETRY_AFTER),
                )
            }
        };
        let reason = match status {
            StatusCode::SERVICE_UNAVAILABLE => "too many bytes of other requests are held here",
            _ => "the request body exceeds the configured limit or was not received in time",
        };
        gateway_response(shared, attempt, status, reason, retry_after)
    }
}

/// Reads a request body within the configured size limit and the memory for bodies.
pub(crate) async fn read_body(shared: &Shared, mut body: Incoming) -> Result<HeldBody, BodyError> {
    let stated = shared
        .core()
        .table()
        .map_or(0, |table| table.document().limits.body_bytes);
    let limit = if stated == 0 {
        DEFAULT_BODY_BYTES
    } else {
        stated
    };
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = async { Some(shared.body_memory.read(&mut body, limit).await) };
    let timer = async {
        Timer::after(BODY_TIMEOUT).await;
        None
    };
    let read = future::or(read, timer).await;
    let read = read.ok_or(BodyError::TimedOut)?;
    if matches!(read, Err(BodyRefusal::NoMemory | BodyRefusal::TooLarge)) {
        shared.executor.spawn(body_memory::discard(body)).detach();
    }
    read.map_err(BodyError::Refused)
}
