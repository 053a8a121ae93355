//! Client that engines use to fetch checkpoints from the weight store.

use crate::engine::FetchResult;
use crate::run::ScaledClock;
use millpass_proto::Duration;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use std::sync::OnceLock;
use ureq::Agent;

/// Real-time limit of a transfer; the load fails after it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);
/// Retry delay if the store names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After in real milliseconds, finer than the standard header.
pub(crate) const RETRY_AFTER_MILLIS: &str = "millpass-retry-after-ms";
const TOO_MANY_REQUESTS: u16 = 429;

/// Source of an engine's checkpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// Weight store at this IP address and port.
    At(String),
    /// No store: each fetch completes immediately. For tests that do not cover the store.
    Instant,
}

/// Fetches a checkpoint; blocks until the transfer ends or is refused.
pub fn fetch(
    access: &StoreAccess,
    clock: ScaledClock,
    checkpoint: &str,
    bytes: u64,
) -> FetchResult {
    let StoreAccess::At(address) = access else {
        return FetchResult::Done;
    };
    let name = utf8_percent_encode(checkpoint, NON_ALPHANUMERIC);
    let url = format!("http://{address}/checkpoints/{name}?bytes={bytes}");
    match agent().get(&url).call() {
        Ok(response) if response.status().is_success() => read_body(response),
        Ok(response) if response.status().as_u16() == TOO_MANY_REQUESTS => {
            FetchResult::RetryAfter(clock.to_simulated(retry_after_of(&response)))
        }
        Ok(response) => FetchResult::Failed(format!(
            "weight store returned {}; check the checkpoint's name",
            response.status()
        )),
        Err(error) => FetchResult::Failed(format!(
            "request to weight store failed: {error}; retry the load"
        )),
    }
}

fn read_body(mut response: http::Response<ureq::Body>) -> FetchResult {
    match response.body_mut().read_to_vec() {
        Ok(_) => FetchResult::Done,
        Err(error) => FetchResult::Failed(format!(
            "transfer from weight store aborted: {error}; retry the load"
        )),
    }
}

fn retry_after_of(response: &http::Response<ureq::Body>) -> Duration {
    let value = response.headers().get(RETRY_AFTER_MILLIS);
    let millis = value.and_then(|value| value.to_str().ok()?.parse().ok());
    millis.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

fn agent() -> &'static Agent {
    static AGENT: OnceLock<Agent> = OnceLock::new();
    AGENT.get_or_init(|| {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(FETCH_TIMEOUT))
            .build();
        Agent::new_with_config(config)
    })
}
