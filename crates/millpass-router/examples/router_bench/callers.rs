//! Open-loop callers of short requests.
//!
//! Requests are due at fixed times, independent of earlier ones, and latency is measured from the
//! due time, so slow responses do not reduce the load.

use crate::common::completion_to;
use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use millpass_standin::content::Answer;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Barrier, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of a short request; the engine returns them with the prefill.
const TOKENS: u32 = 1;
/// Delay between the last caller's readiness and the first request.
const START_DELAY: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Load parameters.
pub struct Load {
    /// Requests per second over all targets.
    pub rate: u64,
    /// Duration.
    pub time: Duration,
    /// Number of threads; each has a connection to each target.
    pub callers: usize,
}

/// Latencies of one target.
pub struct Latencies {
    microseconds: Histogram<u64>,
    elapsed: Duration,
}

impl Default for Latencies {
    fn default() -> Self {
        let microseconds = Histogram::new(3).expect("three digits are allowed");
        Latencies {
            microseconds,
            elapsed: Duration::ZERO,
        }
    }
}

impl Latencies {
    /// Returns the latency at a quantile, in milliseconds.
    pub fn millis_at(&self, quantile: f64) -> f64 {
        self.microseconds.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Number of responses.
    pub fn answered(&self) -> u64 {
        self.microseconds.len()
    }

    /// Responses per second.
    pub fn rate(&self) -> f64 {
        self.answered() as f64 / self.elapsed.as_secs_f64()
    }

    pub fn record(&mut self, latency: Duration) {
        let recorded = self.microseconds.record(latency.as_micros() as u64);
        recorded.expect("the histogram grows as needed");
    }
}

pub fn print_latency(name: &str, latencies: &Latencies) {
    println!(
        "{name}: {} requests, p50 {:.3} ms, p90 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
        latencies.answered(),
        latencies.millis_at(0.5),
        latencies.millis_at(0.9),
        latencies.millis_at(0.99),
        latencies.millis_at(0.999)
    );
}

/// Creates an agent with its own connections.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(true)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into()
}

/// Returns a prompt with a nonce that the response must repeat.
pub fn prompt(number: u64) -> String {
    format!("describe the flat nonce=caller-{number}")
}

pub fn body(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": "writer", "prompt": prompt, "max_tokens": tokens, "stream": stream
    });
    body.to_string()
}

/// Returns true if `text` is the complete response to `prompt`.
pub fn is_expected_response(prompt: &str, tokens: u32, text: &str) -> bool {
    let expected = Answer::new(&"writer".into(), &"v1".into(), None, prompt);
    expected.is_whole(0, tokens, text)
}

/// Sends a load over the targets in turn; returns the latencies of each.
pub fn run(load: &Load, targets: &[SocketAddr]) -> Result<Vec<Latencies>> {
    let next = AtomicU64::new(0);
    let ready = Barrier::new(load.callers);
    let start = OnceLock::new();
    let mut totals: Vec<Latencies> = targets.iter().map(|_| Latencies::default()).collect();
    thread::scope(|scope| -> Result<()> {
        let run_caller = || {
            call(load, targets, &next, || {
                ready.wait();
                *start.get_or_init(|| Instant::now() + START_DELAY)
            })
        };
        let callers: Vec<_> = (0..load.callers).map(|_| scope.spawn(run_caller)).collect();
        for caller in callers {
            let one = caller.join().expect("a caller does not panic")?;
            for (total, one) in totals.iter_mut().zip(&one) {
                total.microseconds.add(&one.microseconds)?;
            }
        }
        Ok(())
    })?;
    for total in &mut totals {
        total.elapsed = start.get().map_or(load.time, Instant::elapsed);
    }
    Ok(totals)
}

/// Runs one caller, which sends the next due request until the duration has elapsed.
fn call(
    load: &Load,
    targets: &[SocketAddr],
    next: &AtomicU64,
    wait_for_start: impl FnOnce() -> Instant,
) -> Result<Vec<Latencies>> {
    let agent = agent();
    // Opens connections and starts their threads before the measurement.
    let warm_up = targets
        .iter()
        .try_for_each(|target| send(&agent, *target, u64::MAX));
    let start = wait_for_start();
    warm_up?;
    let mut latencies: Vec<Latencies> = targets.iter().map(|_| Latencies::default()).collect();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let offset = Duration::from_secs_f64(number as f64 / load.rate as f64);
        if offset >= load.time {
            return Ok(latencies);
        }
        let due = start + offset;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let target = number as usize % targets.len();
        send(&agent, targets[target], number)?;
        latencies[target].record(due.elapsed());
    }
}

/// Sends one request and verifies its response.
fn send(agent: &ureq::Agent, target: SocketAddr, number: u64) -> Result<()> {
    let prompt = prompt(number);
    let request = completion_to(target).body(body(&prompt, TOKENS, false))?;
    let mut response = agent.run(request)?;
    let response: serde_json::Value = response.body_mut().read_json()?;
    let text = response["choices"][0]["text"].as_str().unwrap_or_default();
    ensure!(
        is_expected_response(&prompt, TOKENS, text),
        "unexpected response: {response}"
    );
    Ok(())
}
