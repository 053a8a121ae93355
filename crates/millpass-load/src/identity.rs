//! Idempotency keys and nonces of requests.

use serde::{Deserialize, Serialize};

/// Idempotency key of a planned request; the wall-clock time is added when the run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedKey {
    /// Creation time, in microseconds from the start of the run. A repeat has the time of the
    /// first request.
    pub born_at_micros: u64,
    /// Random bits of the key.
    pub random: [u8; 10],
}

impl PlannedKey {
    /// Returns the UUIDv7 for a run that starts at this wall-clock time.
    pub fn render(&self, run_start_unix_millis: u64) -> String {
        let created_unix_millis = run_start_unix_millis + self.born_at_micros / 1_000;
        uuid::Builder::from_unix_timestamp_millis(created_unix_millis, &self.random)
            .into_uuid()
            .to_string()
    }
}

/// Returns text unique to a request. It must stay short enough for an engine to repeat it in its
/// tokens.
pub fn nonce(seed: u64, number: u64) -> String {
    format!("n{seed:016x}-{number:08}")
}
