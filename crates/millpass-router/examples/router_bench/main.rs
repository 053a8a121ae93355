//! What a router adds: latency, throughput and memory, against callers that talk straight to the
//! engine stand-in, side by side in one run.
//!
//! `cargo run --release -p millpass-router --example router_bench`. Engine and router run as
//! processes of their own (this program started with another role), so that each one's processor
//! time and memory can be told apart; callers and a control member of one run in this process.
//! Every answer is checked to be whole and its caller's own.

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

/// Times that each throughput measurement is made, in turn with the other side's.
const TURNS: usize = 2;

/// Slot of the engine that answers short requests.
const SHORT_SLOT: u64 = 1;
/// Slot of the engine that streams.
const STREAM_SLOT: u64 = 2;

/// Measures what a router adds.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Role of a child process: `router`, with the control address
    #[bpaf(hide)]
    router: Option<SocketAddr>,
    /// Role of a child process: `engine`, with its slot and the microseconds of a token
    #[bpaf(hide)]
    engine: Option<u64>,
    /// Microseconds of a token
    #[bpaf(hide, fallback(0))]
    token_micros: u64,
    /// Seconds of each measurement
    #[bpaf(fallback(5))]
    seconds: u64,
    /// Requests a second of the latency measurement, half of them through the router
    #[bpaf(fallback(1_000))]
    rate: u64,
    /// Requests a second of the throughput measurement
    #[bpaf(fallback(5_000))]
    throughput: u64,
    /// Threads of callers, each with a connection
    #[bpaf(fallback(64))]
    callers: usize,
    /// Streams at once
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

/// Requests in turn to the engine and through the router, so that both meet the same machine.
fn latency(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    println!("\nlatency at {} requests/s, in turn:", options.rate);
    let load = Load {
        rate: options.rate,
        time: Duration::from_secs(options.seconds),
        callers: options.callers,
    };
    let results = callers::run(&load, &[engine.address, router.address])?;
    let [straight, through] = &results[..] else {
        anyhow::bail!("two targets give two results");
    };
    print_latency("straight", straight);
    print_latency("through the router", through);
    let added = |quantile| through.millis_at(quantile) - straight.millis_at(quantile);
    println!("added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
    Ok(())
}

/// Open loop at a high rate: engine, router, engine, router.
fn throughput(options: &Options, engine: &Role, router: &Role) -> Result<()> {
    println!("\nopen loop at {} requests/s:", options.throughput);
    let load = Load {
        rate: options.throughput,
        time: Duration::from_secs(options.seconds),
        callers: options.callers,
    };
    for _ in 0..TURNS {
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
