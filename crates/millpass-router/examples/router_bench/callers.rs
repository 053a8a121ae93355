//! Open-loop callers of short requests.
//!
//! Requests are due at fixed times, whatever became of earlier ones, and latency is counted from
//! the time at which a request was due: a slow answer cannot slow the measurement down.

use crate::common::completion_to;
use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use millpass_standin::content::Answer;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Barrier, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of a short request; the engine gives them with the prefill.
const TOKENS: u32 = 1;
/// Time between the last caller's readiness and the first request.
const START_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What is sent.
pub struct Load {
    /// Requests a second over all targets.
    pub rate: u64,
    /// For how long.
    pub time: Duration,
    /// Threads; each has a connection to each target.
    pub callers: usize,
}

/// What came back from one target.
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
    /// Latency at a quantile, in milliseconds.
    pub fn millis_at(&self, quantile: f64) -> f64 {
        self.microseconds.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Requests answered.
    pub fn answered(&self) -> u64 {
        self.microseconds.len()
    }

    /// Requests answered a second.
    pub fn rate(&self) -> f64 {
        self.answered() as f64 / self.elapsed.as_secs_f64()
    }

    /// Adds one.
    pub fn record(&mut self, latency: Duration) {
        let recorded = self.microseconds.record(latency.as_micros() as u64);
        recorded.expect("the histogram grows as needed");
    }
}

/// Prints the distribution of latencies.
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

/// An agent with a connection of its own.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(true)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Prompt of a request, with a word of its own that the answer must repeat.
pub fn prompt(number: u64) -> String {
    format!("describe the flat nonce=caller-{number}")
}

/// Body of a request.
pub fn body(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": "writer", "prompt": prompt, "max_tokens": tokens, "stream": stream
    });
    body.to_string()
}

/// Whether a text is the whole answer to a prompt.
pub fn is_own(prompt: &str, tokens: u32, text: &str) -> bool {
    let expected = Answer::new(&"writer".into(), &"v1".into(), None, prompt);
    expected.is_whole(0, tokens, text)
}

/// Sends a load over some targets in turn; the latencies of each.
pub fn run(load: &Load, targets: &[SocketAddr]) -> Result<Vec<Latencies>> {
    let next = AtomicU64::new(0);
    let ready = Barrier::new(load.callers);
    let start = OnceLock::new();
    let mut totals: Vec<Latencies> = targets.iter().map(|_| Latencies::default()).collect();
    thread::scope(|scope| -> Result<()> {
        let carry = || {
            call(load, targets, &next, || {
                ready.wait();
                *start.get_or_init(|| Instant::now() + START_DELAY)
            })
        };
        let callers: Vec<_> = (0..load.callers).map(|_| scope.spawn(carry)).collect();
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

/// One caller: takes the next request that is due, until the time is over.
fn call(
    load: &Load,
    targets: &[SocketAddr],
    next: &AtomicU64,
    wait_for_start: impl FnOnce() -> Instant,
) -> Result<Vec<Latencies>> {
    let agent = agent();
    // Connections are opened, and threads started for them, before anything is measured.
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

/// Sends one request and checks its answer.
fn send(agent: &ureq::Agent, target: SocketAddr, number: u64) -> Result<()> {
    let prompt = prompt(number);
    let request = completion_to(target).body(body(&prompt, TOKENS, false))?;
    let mut answer = agent.run(request)?;
    let answer: serde_json::Value = answer.body_mut().read_json()?;
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    ensure!(is_own(&prompt, TOKENS, text), "another answer: {answer}");
    Ok(())
}
