//! Idempotency keys and nonces of requests.

use serde::{Deserialize, Serialize};

/// The random part of a key, drawn with the schedule; the time is added when the run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedKey {
    /// When the key is born, in microseconds from the start of the run. A repeat carries the
    /// time of the first request.
    pub born_at_micros: u64,
    /// Random bits of the key.
    pub random: [u8; 10],
}

impl PlannedKey {
    /// The UUIDv7 key of a run that starts at this wall-clock time.
    pub fn render(&self, run_start_unix_millis: u64) -> String {
        let born_unix_millis = run_start_unix_millis + self.born_at_micros / 1_000;
        uuid::Builder::from_unix_timestamp_millis(born_unix_millis, &self.random)
            .into_uuid()
            .to_string()
    }
}

/// Text that no other request holds: the seed of the schedule and a number. Short enough that an
/// engine repeats all of it in its tokens.
pub fn nonce(seed: u64, number: u64) -> String {
    format!("n{seed:016x}-{number:08}")
}
