//! Concurrent streams.

use crate::callers::{Latencies, agent, body, is_expected_response, print_latency, prompt};
use crate::common::completion_to;
use crate::processes::Role;
use crate::roles::STREAM_TOKEN_TIME;
use anyhow::{Result, ensure};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

const TOKENS: u32 = 100;
/// Stack size of a caller's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Read buffer size of a caller.
const READ_BYTES: usize = 1024;
/// Prefix of an event with a token.
const EVENT: &str = "data: {";

/// Opens streams to one target, verifies each, and prints the router's resource usage.
pub fn measure(name: &str, count: usize, target: SocketAddr, router: &Role) -> Result<()> {
    println!("\n{count} streams at once of {TOKENS} tokens, one in {STREAM_TOKEN_TIME:?}, {name}:");
    let barrier = Barrier::new(count + 1);
    let before = router.processor_time()?;
    let mut first_tokens = Latencies::default();
    let mut last_tokens = Latencies::default();
    thread::scope(|scope| -> Result<()> {
        let mut callers = Vec::new();
        for number in 0..count as u64 {
            let barrier = &barrier;
            let run_caller = move || stream(target, number, barrier);
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            callers.push(builder.spawn_scoped(scope, run_caller)?);
        }
        barrier.wait();
        thread::sleep(STREAM_TOKEN_TIME * TOKENS / 2);
        let memory = router.memory("VmRSS")?;
        println!("router memory in their midst: {memory:.1} MiB");
        for caller in callers {
            let (first, last) = caller.join().expect("a caller does not panic")?;
            first_tokens.record(first);
            last_tokens.record(last);
        }
        Ok(())
    })?;
    let used = router.processor_time()? - before;
    let peak = router.memory("VmHWM")?;
    println!(
        "all {count} whole; the router used {:.2} s of processor time; its peak memory {peak:.1} MiB",
        used.as_secs_f64()
    );
    print_latency("time to the first token", &first_tokens);
    print_latency("time to the end", &last_tokens);
    Ok(())
}

/// Runs one stream; returns the times to its first token and to its end.
fn stream(target: SocketAddr, number: u64, barrier: &Barrier) -> Result<(Duration, Duration)> {
    let prompt = prompt(number);
    let request = completion_to(target).body(body(&prompt, TOKENS, true))?;
    let agent = agent();
    barrier.wait();
    let started = Instant::now();
    let response = agent.run(request)?;
    let lines = BufReader::with_capacity(READ_BYTES, response.into_body().into_reader()).lines();
    let mut text = String::new();
    let mut first = None;
    let mut is_done = false;
    for line in lines {
        let line = line?;
        if line.starts_with(EVENT) {
            first.get_or_insert_with(|| started.elapsed());
            let event: serde_json::Value = serde_json::from_str(&line["data: ".len()..])?;
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        is_done |= line == "data: [DONE]";
    }
    ensure!(
        is_done && is_expected_response(&prompt, TOKENS, &text),
        "incomplete stream: {text}"
    );
    Ok((first.unwrap_or_default(), started.elapsed()))
}
