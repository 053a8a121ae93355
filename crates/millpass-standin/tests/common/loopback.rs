//! Pieces of the loopback tests.

use millpass_standin::run::FrontSettings;
use std::time::{Duration, Instant};
use ureq::Agent;

/// Simulated seconds in a real one, so that tests are fast.
pub const SCALE: f64 = 50.0;
/// Longest wait for anything; reached only by a defect.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_PAUSE: Duration = Duration::from_millis(2);

/// A front end on a free port, on the fast clock.
pub fn fast() -> FrontSettings {
    FrontSettings {
        time_scale: SCALE,
        ..FrontSettings::default()
    }
}

/// A client that gives every status as an answer.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build();
    Agent::new_with_config(config)
}

/// JSON of a GET.
pub fn get<T: serde::de::DeserializeOwned>(url: &str) -> T {
    let mut answer = agent().get(url).call().unwrap();
    answer.body_mut().read_json().unwrap()
}

/// Polls until something holds.
pub fn wait_until(holds: impl Fn() -> bool) {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < PATIENCE, "condition did not come true");
        std::thread::sleep(POLL_PAUSE);
    }
}
