//! Measures the capacity of the stand-ins.
//!
//! `capacity serve STREAMS STEP_MICROS SECONDS`: runs one engine; prints its address and, at the end, its
//! peak resident memory and number of tokens.
//! `capacity call ADDRESS STREAMS TOKENS`: runs concurrent streams and checks each completion.
//! `capacity engines COUNT`: measures the memory of idle engines in one process.

use anyhow::{Context, Result, bail};
use millpass_proto::*;
use millpass_standin::content::Completion;
use millpass_standin::engine::*;
use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

const MODEL: &str = "narrator";
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |place: usize| -> Result<u64> {
        let text = arguments.get(place).context("missing numeric argument")?;
        Ok(text.parse()?)
    };
    match arguments.first().map(String::as_str) {
        Some("serve") => serve(number(1)?, number(2)?, number(3)?),
        Some("call") => {
            let address = arguments.get(1).context("missing address argument")?;
            call(address, number(2)?, number(3)?)
        }
        Some("engines") => measure_engines(number(1)?),
        _ => bail!("usage: capacity serve|call|engines; see the comment at the top of capacity.rs"),
    }
}

fn serve(streams: u64, step_micros: u64, seconds: u64) -> Result<()> {
    let mut settings = EngineSettings::default();
    settings.limits.batch_slots = usize::try_from(streams)?;
    settings.limits.waiting_requests = usize::try_from(streams)?;
    settings.limits.cache_bytes_per_token = 1;
    settings.timing.step_base = Duration::from_micros(step_micros);
    settings.timing.step_per_request = Duration::ZERO;
    settings.timing.load_setup = Duration::ZERO;
    let mut front = EngineFront::default();
    front.front.executor_threads = 2;
    let engine = start(settings, &front)?;
    load_model(&engine)?;
    println!("{}", engine.address());
    std::thread::sleep(Duration::from_secs(seconds));
    let audit = engine.audit();
    println!(
        "finished={} tokens={} peak_resident_kib={}",
        audit.requests_finished,
        audit.tokens,
        memory_kib("VmHWM:")?
    );
    Ok(())
}

fn call(address: &str, streams: u64, tokens: u64) -> Result<()> {
    let begin = Instant::now();
    let callers: Vec<_> = (0..streams)
        .map(|caller| {
            let address = address.to_owned();
            std::thread::spawn(move || stream(&address, caller, tokens))
        })
        .collect();
    let mut whole = 0_u64;
    for caller in callers {
        let is_whole = caller.join().ok().context("a caller panicked")??;
        whole += u64::from(is_whole);
    }
    let seconds = begin.elapsed().as_secs_f64();
    let rate = (whole * tokens) as f64 / seconds;
    println!("streams={streams} whole={whole} seconds={seconds:.2} tokens_per_second={rate:.0}");
    Ok(())
}

fn load_model(engine: &EngineHandle) -> Result<()> {
    let order = EngineOrder {
        fence: LogPosition { term: 1, index: 1 },
        backend: BackendName::from("engine-1"),
        incarnation: Incarnation(1),
        action: OrderAction::LoadModel(LoadModelOrder {
            slot: SlotId(1),
            model: ModelName::from(MODEL),
            version: VersionLabel::from("1"),
            accelerators: vec![0],
            weights_bytes: 1,
            cache_bytes: 1 << 30,
            checkpoint: "narrator-1".to_owned(),
        }),
    };
    let url = format!("http://{}/engine/orders", engine.address());
    ureq::post(&url).send_json(&order)?;
    let begin = Instant::now();
    while engine.audit().model_loads == 0 {
        if begin.elapsed() > START_TIMEOUT {
            bail!("model was not loaded within 10 s; check the engine");
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Reads one stream; returns whether it is the complete completion of this caller's prompt.
fn stream(address: &str, caller: u64, tokens: u64) -> Result<bool> {
    let prompt = format!("write a listing nonce=caller-{caller}");
    let body = serde_json::json!({
        "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true
    });
    let url = format!("http://{address}/v1/completions");
    let response = ureq::post(&url).send_json(body)?;
    let mut text = String::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        let Some(json) = line.strip_prefix("data: {") else {
            continue;
        };
        let event: serde_json::Value = serde_json::from_str(&format!("{{{json}"))?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    let version = VersionLabel::from("1");
    let expected = Completion::new(&ModelName::from(MODEL), &version, None, &prompt);
    Ok(expected.matches(0, u32::try_from(tokens)?, &text))
}

fn measure_engines(count: u64) -> Result<()> {
    let before = resident_kib()?;
    let settings = (1..=count).map(|number| EngineSettings {
        backend: BackendName(format!("engine-{number}")),
        incarnation: Incarnation(number),
        ..EngineSettings::default()
    });
    let engines = start_many(settings, &EngineFront::default())?;
    let idle = resident_kib()?;
    for engine in &engines {
        let url = format!("http://{}/engine/report", engine.address());
        ureq::get(&url).call()?;
    }
    let after_report = resident_kib()?;
    let each = |after: u64| (after - before) as f64 / count as f64;
    println!(
        "engines={count} resident_kib_each_idle={:.1} after_one_report_each={:.1}",
        each(idle),
        each(after_report)
    );
    Ok(())
}

fn resident_kib() -> Result<u64> {
    memory_kib("VmRSS:")
}

fn memory_kib(name: &str) -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with(name))
        .context("line missing in /proc/self/status")?;
    let number = line
        .split_whitespace()
        .nth(1)
        .context("number missing in /proc/self/status")?;
    Ok(number.parse()?)
}
