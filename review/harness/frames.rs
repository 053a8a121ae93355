//! Case 1: a member of the core misses some changes of a large configuration and never catches up.
//!
//! Three members, one of which may be lost. One is down for 4 s while the configuration changes, and is
//! back for 12 s, three times `catch_up_s`. Then another one loses its disk.

use crate::deploy::{Deployment, Operator, Record, eventually};
use crate::server::{self, Server};
use crate::traffic::{Clients, Load};
use crate::{Case, Outcome, http};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const SERVICE: &str = "wuno96b";
/// `big_config` adds this many routes at a time, the largest dose of the site file.
const GROWTH_STEPS: usize = 11;
const GROWTH: usize = 350;
/// `config_storm`: a change each `gap_s` for `for_s`.
const STORM_GAP: Duration = Duration::from_millis(250);
const STORM: Duration = Duration::from_millis(4_000);
/// Changes without which the messages to the member are not large.
const LEAST_CHANGES: usize = 15;
/// `node_kill` on the core: `for_s`.
const DOWN: Duration = Duration::from_millis(4_000);
/// Time for which the member is back before the next loss; `catch_up_s` is 4.
const BACK: Duration = Duration::from_secs(12);
/// Time for which the member that loses its disk is dark.
const WIPED: Duration = Duration::from_millis(3_000);
/// `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time for the read-back; `contact_ms` at least.
const READ_BACK: Duration = Duration::from_secs(15);
const MEMORY_MB: f64 = 256.0;

/// Returns a configuration with one route that is used and others that are idle.
fn configuration(version: u64, idle: usize) -> String {
    let route = |name: String, prefix: String, timeout: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":{timeout},\"target_latency_ms\":150,\
             \"priority\":2,\"backend\":\"{SERVICE}\",\"max_attempts\":2,\
             \"session_affinity\":false,\"allow_resume\":false}}"
        )
    };
    let used = route("r-used".to_owned(), "/reveal/".to_owned(), 1_500 + version);
    let idle = (0..idle).map(|number| {
        let name = format!("r-idle-{number:05}");
        route(name, format!("/idle/{number:05}/"), 5_000)
    });
    let routes: Vec<String> = std::iter::once(used).chain(idle).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let mut system = Deployment::new(record.clone(), &case.folder, 3, 1);
    system.start_all();
    let operator = Operator {
        controls: system.controls(),
        record: record.clone(),
    };
    let mut version = 1;
    let limit = Duration::from_secs(20);
    if operator
        .put(version, &configuration(version, 8), limit)
        .is_none()
    {
        return Outcome::CouldNotRun("the first configuration is not acknowledged".to_owned());
    }
    let _servers: Vec<Server> = (0..2)
        .map(|number| {
            let id = format!("i-{number}");
            let work = Duration::from_millis(30);
            let run = server::worker(&id, 6, 24, work, record.clone());
            let ip = format!("127.41.2.{}", number + 1);
            Server::start(&id, SERVICE, &ip, 6, system.controls(), run)
        })
        .collect();
    let front = system.front(0);
    if !eventually(limit, || is_served(front)) {
        return Outcome::CouldNotRun("no request is served".to_owned());
    }
    let load = Load {
        fronts: vec![front],
        host: HOST.to_owned(),
        method: "GET",
        path: "/reveal/1".to_owned(),
        body: Arc::default(),
        deadline: Duration::from_millis(1_500),
    };
    let clients = Clients::start(load, 10.0, record.clone());
    let began = Instant::now();

    let mut idle = 8;
    for _ in 0..GROWTH_STEPS {
        version += 1;
        idle += GROWTH;
        if put(&operator, version, idle).is_none() {
            return Outcome::CouldNotRun("the configuration does not grow".to_owned());
        }
        pause(&mut system, Duration::from_millis(1_000));
    }
    let Some(leader) = leader(&system) else {
        return Outcome::CouldNotRun("no leader is found".to_owned());
    };
    let missing = (leader + 1) % 3;
    let wiped = (leader + 2) % 3;
    record.line(format!(
        "core-{leader} acknowledges; core-{missing} is going to miss changes"
    ));

    let down_at = Instant::now();
    if case.trouble {
        system.kill(missing);
    }
    let mut changes = 0;
    while down_at.elapsed() < STORM {
        let at = Instant::now();
        version += 1;
        changes += usize::from(put(&operator, version, idle).is_some());
        thread::sleep(STORM_GAP.saturating_sub(at.elapsed()));
    }
    thread::sleep(DOWN.saturating_sub(down_at.elapsed()));
    record.line(format!(
        "{changes} changes were acknowledged in the meantime"
    ));
    if changes < LEAST_CHANGES {
        return Outcome::CouldNotRun("this machine is too slow for the changes".to_owned());
    }
    if case.trouble {
        system.start(missing);
    }
    pause(&mut system, BACK);
    let acknowledged = version;
    let before = operator.get(Duration::from_secs(3));
    let calm = Instant::now();
    let (served_before, sent_before) = clients.served(began, calm);

    if case.trouble {
        system.kill(wiped);
        system.wipe(wiped);
        pause(&mut system, WIPED);
        system.start(wiped);
    }
    let back = Instant::now();
    pause(&mut system, RECOVER);
    let recovered = Instant::now();
    let read = operator.get(READ_BACK);
    pause(
        &mut system,
        Duration::from_secs(5).saturating_sub(recovered.elapsed()),
    );
    let (served_after, sent_after) = clients.served(back + RECOVER, Instant::now());
    clients.finish();
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    record.line(format!(
        "read back before: {before:?}; read back at the end: {read:?}; last acknowledged: {acknowledged}"
    ));
    record.line(format!(
        "served before: {served_before} of {sent_before}; more than recover_s after all are back: \
         {served_after} of {sent_after}"
    ));
    describe_refusals(&system, leader, record);
    let lost_service =
        share(served_before, sent_before) >= 0.25 && share(served_after, sent_after) < 0.25;
    match read {
        Some(read) if read >= acknowledged && !lost_service => {
            Outcome::Held("the configuration is read back and requests are served".to_owned())
        }
        Some(read) if read >= acknowledged => Outcome::Broken("RECOVER: no service".to_owned()),
        Some(read) => Outcome::Broken(format!("CONFIG: version {read} is older")),
        None => Outcome::Broken(format!(
            "CONFIG: the configuration doesn't come{}",
            if lost_service {
                "; RECOVER: no service"
            } else {
                ""
            }
        )),
    }
}

fn put(operator: &Operator, version: u64, idle: usize) -> Option<()> {
    let limit = Duration::from_millis(4_000 + 3 * idle as u64);
    let (status, _) = operator.put(version, &configuration(version, idle), limit)?;
    (status == 200).then_some(())
}

fn is_served(front: std::net::SocketAddr) -> bool {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", "first".to_owned()),
        ("X-Deadline-Ms", "1000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let limit = Duration::from_secs(2);
    let answer = http::call(front, "GET", "/reveal/0", &headers, b"", limit);
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Returns the member that answers a read itself: the others name it.
fn leader(system: &Deployment) -> Option<usize> {
    (0..3).find(|number| {
        let address = system.control(*number);
        let headers = [
            ("Host", address.to_string()),
            ("Connection", "close".to_owned()),
        ];
        let limit = Duration::from_secs(2);
        let answer = http::call(address, "GET", "/millpass/config/get", &headers, b"", limit);
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

/// Waits, and does meanwhile what the platform does: it kills a process whose memory exceeds its limit
/// and starts it again.
fn pause(system: &mut Deployment, time: Duration) {
    let since = Instant::now();
    let mut peaks = [0.0_f64; 3];
    while since.elapsed() < time {
        for (number, peak) in peaks.iter_mut().enumerate() {
            let memory = system.memory_mb(number);
            *peak = peak.max(memory);
            if memory > MEMORY_MB {
                let name = &system.nodes[number].name;
                system
                    .record
                    .line(format!("{name} uses {memory:.0} MB and is killed"));
                system.kill(number);
                thread::sleep(Duration::from_millis(300));
                system.start(number);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let peaks = peaks.map(|peak| peak as u64);
    if time > Duration::from_secs(2) {
        system.record.line(format!(
            "most memory of the core in the meantime: {peaks:?} MB"
        ));
    }
}

/// Copies from a log why a message was not sent.
fn describe_refusals(system: &Deployment, number: usize, record: &Record) {
    let log = system.log(number);
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("exceeds"))
        .collect();
    record.line(format!(
        "{} lines of core-{number} say that a frame is too large",
        lines.len()
    ));
    if let Some(line) = lines.last() {
        record.line(format!("the last: {line}"));
    }
}
