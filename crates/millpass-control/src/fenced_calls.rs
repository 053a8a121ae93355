//! HTTP agent for calls to engines and the platform.

use millpass_proto::{Duration, Timestamp};
use millpass_telemetry::ProcessClock;
use ureq::Agent;

/// Size of a connection's buffers. Messages are small, and the default of 128 KiB adds up over the
/// pool.
const BUFFER_BYTES: usize = 8 * 1024;

/// HTTP agent for the calls of a leader.
pub struct FencedCalls {
    agent: Agent,
}

impl FencedCalls {
    /// Creates an agent whose calls take at most `timeout` each. `read_error_statuses` returns
    /// responses with an error status instead of errors.
    pub fn new(_clock: ProcessClock, timeout: Duration, read_error_statuses: bool) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(!read_error_statuses)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES);
        FencedCalls {
            agent: config.build().into(),
        }
    }

    /// Returns the agent.
    pub fn agent(&self) -> Agent {
        self.agent.clone()
    }
}

/// Makes a call on this thread. The deadline is not enforced.
pub fn send_before<R>(_deadline: Timestamp, call: impl FnOnce() -> R) -> R {
    call()
}
