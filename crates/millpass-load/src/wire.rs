//! Header names and paths of the caller API.

/// Deadline of a request in milliseconds from its arrival.
pub const DEADLINE_HEADER: &str = "millpass-deadline-ms";
/// Idempotency key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Request ID, passed unchanged from caller to back end.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Whether a refused request was executed: `no` or `unknown`.
pub const EXECUTED_HEADER: &str = "millpass-executed";
/// Marks a response replayed from an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Retry delay, in seconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the last event of a complete stream.
pub const STREAM_END: &str = "[DONE]";
