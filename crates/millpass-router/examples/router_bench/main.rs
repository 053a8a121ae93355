//! Benchmarks the latency, throughput and memory overhead of a router, compared with direct
//! requests to the engine stand-in in the same run.
//!
//! Run: `cargo run --release -p millpass-router --example router_bench`. Engine and router run as
//! child processes, so that processor time and memory are measured separately; callers and a
//! control member run in this process. Every response is verified.

mod callers;
#[path = "../../tests/common/mod.rs"]
mod common;
mod processes;
mod roles;
mod streams;

use anyhow::Result;
use bpaf::Bpaf;
use callers::{Load, print_latency};
use common::control::Control;
use millpass_proto::SlotId;
use processes::{Role, load_average};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of throughput runs per target, in alternation.
const THROUGHPUT_RUNS: usize = 2;

/// Slot of the engine for short requests.
const SHORT_SLOT: u64 = 1;
/// Slot of the engine for streams.
const STREAM_SLOT: u64 = 2;

/// Benchmarks the overhead of a router.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Run as the router, with this control address
    #[bpaf(hide)]
    router: Option<SocketAddr>,
    /// Run as the engine, with this slot
    #[bpaf(hide)]
    engine: Option<u64>,
    /// Engine time per token, in microseconds
    #[bpaf(hide, fallback(0))]
    token_micros: u64,
    /// Duration of each measurement, in seconds
    #[bpaf(fallback(5))]
    seconds: u64,
    /// Requests per second of the latency measurement, half of them through the router
    #[bpaf(fallback(1_000))]
    rate: u64,
    /// Requests per second of the throughput measurement
    #[bpaf(fallback(5_000))]
    throughput: u64,
    /// Number of caller threads, each with a connection
    #[bpaf(fallback(64))]
    callers: usize,
    /// Number of concurrent streams
    #[bpaf(fallback(500))]
    streams: usize,
}

fn main() -> Result<()> {
    let options = options().run();
    if let Some(control) = options.router {
        return roles::run_router(control);
    }
    if let Some(slot) = options.engine {
        let token_time = Duration::from_micros(options.token_micros);
        return roles::run_engine(SlotId(slot), token_time);
    }
    measure(&options)
}

fn measure(options: &Options) -> Result<()> {
    println!("load average at the start: {}", load_average()?);
    let engine = start_engine(SHORT_SLOT, roles::SHORT_TOKEN_TIME)?;
    let control = Control::start();
    control.add_replica_for(SHORT_SLOT, engine.address, roles::CONCURRENCY);
    let router = Role::start(&["--router".into(), control.address().to_string()])?;
    control.wait_until_applied();
    println!("router memory at rest: {:.1} MiB", router.memory("VmRSS")?);
    latency(options, &engine, &router)?;
    throughput(options, &engine, &router)?;
    drop(engine);
    let engine = start_engine(STREAM_SLOT, roles::STREAM_TOKEN_TIME)?;
    control.lock().replicas.clear();
    control.add_replica_for(STREAM_SLOT, engine.address, roles::CONCURRENCY);
    control.wait_until_applied();
    streams::measure("straight", options.streams, engine.address, &router)?;
    streams::measure(
        "through the router",
        options.streams,
        router.address,
        &router,
    )?;
    println!("load average at the end: {}", load_average()?);
    Ok(())
}

fn start_engine(slot: u64, token_time: Duration) -> Result<Role> {
    Role::start(&[
        "--engine".into(),
        slot.to_string(),
        "--token-micros".into(),
        token_time.as_micros().to_string(),
    ])
}

/// Alternates requests between engine and router, so that both run under the same conditions.
fn latency(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    println!("\nlatency at {} requests/s, in turn:", options.rate);
    let load = Load {
        rate: options.rate,
        time: Duration::from_secs(options.seconds),
        callers: options.callers,
    };
    let results = callers::run(&load, &[engine.address, router.address])?;
    let [direct, routed] = &results[..] else {
        anyhow::bail!("two targets give two results");
    };
    print_latency("straight", direct);
    print_latency("through the router", routed);
    let added = |quantile| routed.millis_at(quantile) - direct.millis_at(quantile);
    println!("added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
    Ok(())
}

/// Open loop at a high rate, alternating between engine and router.
fn throughput(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    println!("\nopen loop at {} requests/s:", options.throughput);
    let load = Load {
        rate: options.throughput,
        time: Duration::from_secs(options.seconds),
        callers: options.callers,
    };
    for _ in 0..THROUGHPUT_RUNS {
        for (name, address) in [("straight", engine.address), ("through", router.address)] {
            let before = [engine.processor_time()?, router.processor_time()?];
            let results = callers::run(&load, &[address])?;
            let after = [engine.processor_time()?, router.processor_time()?];
            print_latency(name, &results[0]);
            let each = |index: usize| {
                let used: Duration = after[index] - before[index];
                used.as_secs_f64() * 1e6 / results[0].answered() as f64
            };
            println!(
                "  answered {:.0} requests/s; processor time a request: engine {:.0} us, router \
                 {:.0} us",
                results[0].rate(),
                each(0),
                each(1)
            );
        }
    }
    println!("router memory: {:.1} MiB", router.memory("VmRSS")?);
    Ok(())
}
