//! What a router adds: latency and throughput through it against the caller talking straight to
//! the same engine, side by side in one run, and memory with many streams at once.
//!
//! `cargo run --release -p millpass-router --example router_bench`. Engine and router run as
//! processes of their own, so that the router's memory is its own. The engine answers at once and
//! is built on the HTTP server that the router uses too.

#[path = "../tests/common/mod.rs"]
mod common;

use anyhow::{Context, Result, ensure};
use bpaf::Bpaf;
use common::control::Control;
use common::engine::{Engine, answer_whole, done, open_stream, token};
use common::{completion_to, prompt};
use hdrhistogram::Histogram;
use millpass_router::RouterProcessSettings;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Barrier;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of one stream.
const STREAM_TOKENS: u64 = 100;
/// Time between two tokens of a stream.
const TOKEN_PAUSE: Duration = Duration::from_millis(20);
/// Stack of a caller's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Concurrency of the replica, so that the router never queues.
const CONCURRENCY: u32 = 10_000;

/// Measures what a router adds.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Role of a child process: `engine`, or `router` with the control address
    #[bpaf(hide)]
    role: Option<String>,
    /// Control address for a router
    #[bpaf(hide)]
    control: Option<SocketAddr>,
    /// Seconds of each phase
    #[bpaf(fallback(4))]
    seconds: u64,
    /// Requests a second of the latency phase, to the engine and through the router each
    #[bpaf(fallback(500))]
    rate: u64,
    /// Connections of the throughput phase
    #[bpaf(fallback(64))]
    connections: usize,
    /// Streams at once
    #[bpaf(fallback(500))]
    streams: usize,
}

fn main() -> Result<()> {
    let options = options().run();
    match options.role.as_deref() {
        Some("engine") => run_engine(),
        Some(_) => run_router(options.control.context("a router needs --control")?),
        None => measure(&options),
    }
}

/// Tells the parent the address, then runs until the parent closes standard input.
fn announce_and_wait(address: SocketAddr) -> Result<()> {
    println!("{address}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

fn run_engine() -> Result<()> {
    let engine = Engine::start_quiet(|request, responder| {
        if !request.body.ends_with(b"\"stream\":true}") {
            answer_whole(responder, "short");
            return;
        }
        let mut body = open_stream(responder);
        for position in 0..STREAM_TOKENS {
            if body.write(token(position)).is_err() {
                return;
            }
            thread::sleep(TOKEN_PAUSE);
        }
        let _ = body.write(done());
        body.finish();
    });
    announce_and_wait(engine.address())
}

fn run_router(control: SocketAddr) -> Result<()> {
    let router = millpass_router::start(RouterProcessSettings {
        control_members: vec![control],
        ..RouterProcessSettings::default()
    })?;
    announce_and_wait(router.address())
}

/// A child process; ends when dropped.
struct Role {
    child: Child,
    address: SocketAddr,
}

impl Role {
    fn start(arguments: &[String]) -> Result<Role> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().context("its output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().parse()?;
        Ok(Role { child, address })
    }

    /// A line of the process's status, in MiB.
    fn memory(&self, key: &str) -> Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with(key));
        let word = line.and_then(|line| line.split_whitespace().nth(1));
        let kibibytes: f64 = word.context("a memory line")?.parse()?;
        Ok(kibibytes / 1024.0)
    }

    /// Processor time used so far, in seconds.
    fn processor_seconds(&self) -> Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, rest) = stat.rsplit_once(')').context("a stat line")?;
        let words: Vec<&str> = rest.split_whitespace().collect();
        let ticks: u64 = words[11].parse::<u64>()? + words[12].parse::<u64>()?;
        Ok(ticks as f64 / 100.0)
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

fn measure(options: &Options) -> Result<()> {
    let engine = Role::start(&["--role".into(), "engine".into()])?;
    let control = Control::start();
    control.add_replica_for(1, engine.address, CONCURRENCY);
    let router = Role::start(&[
        "--role".into(),
        "router".into(),
        "--control".into(),
        control.address().to_string(),
    ])?;
    control.wait_until_applied();
    println!("router memory at rest {:.1} MiB", router.memory("VmRSS")?);
    latency(options, &engine, &router)?;
    throughput(options, &engine, &router)?;
    streams(options, "engine", engine.address, &router)?;
    streams(options, "router", router.address, &router)
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(true)
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .into()
}

/// Sends one short request and reads its answer.
fn send_short(agent: &ureq::Agent, address: SocketAddr) -> Result<Duration> {
    let request = completion_to(address).body(prompt(false))?;
    let started = Instant::now();
    let mut answer = agent.run(request)?;
    let body = answer.body_mut().read_to_string()?;
    let elapsed = started.elapsed();
    ensure!(body.contains("short"), "another answer: {body}");
    Ok(elapsed)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn print_latency(name: &str, times: &Histogram<u64>) {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name}: {} requests, p50 {:.3} ms, p90 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
        times.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(0.999)
    );
}

/// Requests at a steady rate over few connections, to the engine and through the router in turn.
fn latency(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    const CALLERS: u64 = 8;
    let pause = Duration::from_secs(CALLERS) / options.rate as u32;
    let worker = || -> Result<[Histogram<u64>; 2]> {
        let agent = agent();
        let mut times = [histogram(), histogram()];
        let until = Instant::now() + Duration::from_secs(options.seconds);
        while Instant::now() < until {
            for (index, address) in [engine.address, router.address].into_iter().enumerate() {
                let elapsed = send_short(&agent, address)?;
                times[index].record(elapsed.as_micros() as u64)?;
            }
            thread::sleep(pause);
        }
        Ok(times)
    };
    let mut totals = [histogram(), histogram()];
    thread::scope(|scope| -> Result<()> {
        let workers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(worker)).collect();
        for handle in workers {
            let times = handle.join().expect("a caller")?;
            for (total, one) in totals.iter_mut().zip(&times) {
                total.add(one)?;
            }
        }
        Ok(())
    })?;
    print_latency("latency straight to the engine", &totals[0]);
    print_latency("latency through the router", &totals[1]);
    let added = |quantile| {
        let of = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1000.0;
        of(&totals[1]) - of(&totals[0])
    };
    println!("added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
    Ok(())
}

/// As many requests as fit over many connections: engine, router, engine, router.
fn throughput(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    for _ in 0..2 {
        for (name, address) in [("engine", engine.address), ("router", router.address)] {
            let before = router.processor_seconds()?;
            let (count, times) = saturate(options, address)?;
            let used = router.processor_seconds()? - before;
            let rate = count as f64 / options.seconds as f64;
            println!(
                "throughput {name}: {rate:.0} requests/s over {} connections; the router used \
                 {:.2} processors",
                options.connections,
                used / options.seconds as f64
            );
            print_latency("  its latency", &times);
        }
    }
    println!("router memory {:.1} MiB", router.memory("VmRSS")?);
    Ok(())
}

fn saturate(options: &Options, address: SocketAddr) -> Result<(u64, Histogram<u64>)> {
    let mut total = histogram();
    thread::scope(|scope| -> Result<()> {
        let worker = || -> Result<Histogram<u64>> {
            let agent = agent();
            let mut times = histogram();
            let until = Instant::now() + Duration::from_secs(options.seconds);
            while Instant::now() < until {
                times.record(send_short(&agent, address)?.as_micros() as u64)?;
            }
            Ok(times)
        };
        let workers: Vec<_> = (0..options.connections)
            .map(|_| scope.spawn(worker))
            .collect();
        for handle in workers {
            total.add(handle.join().expect("a caller")?)?;
        }
        Ok(())
    })?;
    Ok((total.len(), total))
}

/// Many streams at once, each checked to be whole.
fn streams(options: &Options, name: &str, address: SocketAddr, router: &Role) -> Result<()> {
    let barrier = Barrier::new(options.streams + 1);
    let whole = AtomicU64::new(0);
    let first_byte = std::sync::Mutex::new(histogram());
    let worker = || -> Result<()> {
        let agent = agent();
        let request = completion_to(address).body(prompt(true))?;
        barrier.wait();
        let started = Instant::now();
        let answer = agent.run(request)?;
        let mut lines = BufReader::with_capacity(1024, answer.into_body().into_reader());
        let mut line = String::new();
        lines.read_line(&mut line)?;
        let elapsed = started.elapsed().as_micros() as u64;
        first_byte.lock().expect("no panic").record(elapsed)?;
        let mut rest = String::new();
        lines.read_to_string(&mut rest)?;
        let tokens = rest.matches("data: {").count() as u64 + 1;
        if tokens == STREAM_TOKENS && rest.ends_with("data: [DONE]\n\n") {
            whole.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    };
    let before = router.processor_seconds()?;
    thread::scope(|scope| -> Result<()> {
        let start = || thread::Builder::new().stack_size(STACK_BYTES);
        let workers: Vec<_> = (0..options.streams)
            .map(|_| start().spawn_scoped(scope, worker))
            .collect::<std::io::Result<_>>()?;
        barrier.wait();
        thread::sleep(TOKEN_PAUSE * STREAM_TOKENS as u32 / 2);
        let memory = router.memory("VmRSS")?;
        println!("router memory in the midst of streams: {memory:.1} MiB");
        for handle in workers {
            handle.join().expect("a caller")?;
        }
        Ok(())
    })?;
    let used = router.processor_seconds()? - before;
    println!(
        "streams {name}: {} of {} whole; the router used {used:.2} processor seconds; peak \
         memory {:.1} MiB",
        whole.load(Ordering::Relaxed),
        options.streams,
        router.memory("VmHWM")?
    );
    print_latency(
        "  time to first token",
        &first_byte.lock().expect("no panic"),
    );
    Ok(())
}
