//! Helpers of the loopback tests.

use millpass_standin::run::FrontSettings;
use std::time::{Duration, Instant};
use ureq::Agent;

/// Simulated seconds per real second.
pub const SCALE: f64 = 50.0;
/// Upper bound of every wait and request.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PAUSE: Duration = Duration::from_millis(2);

/// Front-end settings with a free port and an accelerated clock.
pub fn fast() -> FrontSettings {
    FrontSettings {
        time_scale: SCALE,
        ..FrontSettings::default()
    }
}

/// Client that does not treat HTTP error statuses as errors.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build();
    Agent::new_with_config(config)
}

/// Sends a GET request and parses the JSON response.
pub fn get<T: serde::de::DeserializeOwned>(url: &str) -> T {
    let mut response = agent().get(url).call().unwrap();
    response.body_mut().read_json().unwrap()
}

/// Polls until the condition holds.
pub fn wait_until(holds: impl Fn() -> bool) {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < TIMEOUT, "condition did not hold in time");
        std::thread::sleep(POLL_PAUSE);
    }
}
