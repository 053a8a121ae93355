//! Names of headers and paths of the caller API, in one place.

/// Deadline of a request in milliseconds from its arrival.
pub const DEADLINE_HEADER: &str = "millpass-deadline-ms";
/// Idempotency key of a request that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Identity of a request, the same from caller to back end.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Whether a refused request ran: `no` or `unknown`.
pub const EXECUTED_HEADER: &str = "millpass-executed";
/// Marks an answer that was recorded earlier for the same key.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// When to come back, in seconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the last event of a whole stream.
pub const STREAM_END: &str = "[DONE]";
