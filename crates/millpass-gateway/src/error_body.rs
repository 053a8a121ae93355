//! Reads the bodies of error responses as a whole.

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use millpass_proto::Duration;

/// Maximum size of a buffered error response body.
const MAXIMUM_ERROR_BODY_BYTES: usize = 256 * 1024;
/// Maximum time to receive an error response body.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the body of an error response; `None` if it is incomplete, too large or not received in
/// time.
pub(crate) async fn read_error_body(body: Incoming) -> Option<Bytes> {
    let read = async {
        let collected = Limited::new(body, MAXIMUM_ERROR_BODY_BYTES).collect().await;
        collected.ok().map(http_body_util::Collected::to_bytes)
    };
    let timer = async {
        Timer::after(ERROR_BODY_TIMEOUT).await;
        None
    };
    future::or(read, timer).await
}
