//! Case 2: gateways hold the bodies of all requests that they have read, without a bound on their sum.
//!
//! Callers send bodies just below `max_body_bytes`. A burst makes more of them wait than the memory of
//! the machine holds.

use crate::deploy::{Deployment, Operator, eventually};
use crate::server::{self, Server};
use crate::traffic::{Clients, Load};
use crate::{Case, Outcome, http};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const SERVICE: &str = "wuno96b";
const FRONTS: usize = 2;
const CORES: usize = 3;
const SERVERS: usize = 4;
/// Slots and queue of each server, as of the web services of the site file.
const SLOTS: u64 = 6;
const QUEUE: u64 = 24;
const WORK: Duration = Duration::from_millis(1_000);
/// Below `max_body_bytes`, 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// Requests a second, over all gateways: two thirds of what the servers do.
const USUAL: f64 = 16.0;
/// `burst`: `x` and `for_s`.
const BURST: f64 = 2.4;
const BURST_LENGTH: Duration = Duration::from_millis(5_000);
const BURSTS: usize = 3;
/// Time between two bursts.
const CALM: Duration = Duration::from_secs(12);
/// `memory_mb` of a `front` machine.
const MEMORY_MB: f64 = 260.0;
/// Ends of its own in the day at which a machine counts for the rule.
const ENDS: usize = 3;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/draft/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":5000,\
         \"target_latency_ms\":4000,\"priority\":1,\"backend\":\"{SERVICE}\",\"max_attempts\":1,\
         \"session_affinity\":false,\"allow_resume\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let mut system = Deployment::new(record.clone(), &case.folder, CORES, FRONTS);
    system.start_all();
    let operator = Operator {
        controls: system.controls(),
        record: record.clone(),
    };
    let limit = Duration::from_secs(20);
    if operator.put(1, &configuration(), limit).is_none() {
        return Outcome::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let _servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let id = format!("i-{number}");
            let run = server::worker(&id, SLOTS, QUEUE, WORK, record.clone());
            let ip = format!("127.41.2.{}", number + 1);
            Server::start(&id, SERVICE, &ip, SLOTS as u32, system.controls(), run)
        })
        .collect();
    for number in 0..FRONTS {
        let front = system.front(number);
        if !eventually(limit, || is_served(front)) {
            return Outcome::CouldNotRun("no request is served".to_owned());
        }
    }
    let load = Load {
        fronts: (0..FRONTS).map(|number| system.front(number)).collect(),
        host: HOST.to_owned(),
        method: "POST",
        path: "/draft/1".to_owned(),
        body: Arc::new(vec![b'x'; BODY_BYTES]),
        deadline: Duration::from_millis(5_000),
    };
    let clients = Clients::start(load, USUAL, record.clone());
    let mut platform = Platform::default();
    platform.watch(&mut system, CALM);
    record.line(format!(
        "usual load: most memory {:?} MB",
        platform.take_peaks()
    ));
    for _ in 0..BURSTS {
        if case.trouble {
            record.line(format!(
                "burst: {BURST} times the traffic for {BURST_LENGTH:?}"
            ));
            clients.set_rate(USUAL * BURST);
        }
        platform.watch(&mut system, BURST_LENGTH);
        clients.set_rate(USUAL);
        platform.watch(&mut system, CALM);
        record.line(format!("most memory {:?} MB", platform.take_peaks()));
    }
    let ended = clients.finish();
    let served = ended.iter().filter(|it| it.is_served()).count();
    let cut = ended.iter().filter(|it| it.result.is_err()).count();
    record.line(format!(
        "{} requests, {served} served, {cut} connections closed without an answer",
        ended.len()
    ));
    record.line(format!(
        "processes killed because of memory over the limit: {:?} of front-0 and front-1",
        platform.ends
    ));
    let machines = platform.ends.iter().filter(|ends| **ends >= ENDS).count();
    match machines >= 2 {
        true => Outcome::Broken(format!(
            "Fault: on {machines} of {} machines processes end by themselves three times (memory over \
             the limit)",
            CORES + FRONTS
        )),
        false => Outcome::Held(format!("ends by memory: {:?}", platform.ends)),
    }
}

fn is_served(front: std::net::SocketAddr) -> bool {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", "first".to_owned()),
        ("X-Deadline-Ms", "3000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let limit = Duration::from_secs(4);
    let answer = http::call(front, "POST", "/draft/0", &headers, b"x", limit);
    answer.is_ok_and(|answer| answer.status == 200)
}

/// What the platform does: it kills a process whose memory exceeds its limit and starts it again.
#[derive(Default)]
struct Platform {
    ends: [usize; FRONTS],
    peaks: [f64; FRONTS],
}

impl Platform {
    fn watch(&mut self, system: &mut Deployment, time: Duration) {
        let since = Instant::now();
        while since.elapsed() < time {
            for front in 0..FRONTS {
                let memory = system.memory_mb(CORES + front);
                self.peaks[front] = self.peaks[front].max(memory);
                if memory > MEMORY_MB {
                    let line = format!("front-{front} uses {memory:.0} MB and is killed");
                    system.record.line(line);
                    self.ends[front] += 1;
                    system.kill(CORES + front);
                    thread::sleep(Duration::from_millis(300));
                    system.start(CORES + front);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn take_peaks(&mut self) -> [u64; FRONTS] {
        std::mem::take(&mut self.peaks).map(|peak| peak as u64)
    }
}
