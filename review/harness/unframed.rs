//! Case 3: all servers of a service crash, and the answers that they had begun look whole.
//!
//! The servers' answers carry no length: the end of the connection is the end of the answer. The gateway
//! finds that the servers refuse connections, takes this for nothing, and ends the answers as whole ones.

use crate::deploy::{Deployment, Operator, ends_with_this, eventually};
use crate::http::{self, Response};
use crate::server::{self, Server};
use crate::{Case, Outcome};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOST: &str = "ficu95.example";
const SERVICE: &str = "wuno96b";
/// A service whose servers go on: the gateway is not cut off.
const OTHER_SERVICE: &str = "huvo11a";
const SERVERS: usize = 3;
const SLOTS: u32 = 12;
/// An answer takes a second, as a piece each tenth of it.
const PIECES: usize = 10;
const PACE: Duration = Duration::from_millis(100);
const REQUESTS: usize = 60;
const REQUEST_GAP: Duration = Duration::from_millis(50);
/// The request with which the servers crash.
const CRASH_AT: usize = 30;

fn piece(number: usize) -> String {
    format!("line {number:04} of the whole answer\n")
}

fn whole() -> Vec<u8> {
    (0..PIECES).map(piece).collect::<String>().into_bytes()
}

/// `harness serve ID SERVICE IP CONTROL...`: a server in a process of its own.
pub fn serve(arguments: &[String]) {
    let [id, service, ip, controls @ ..] = arguments else {
        return;
    };
    let controls = controls.iter().map(|it| it.parse().expect("address"));
    let name = id.clone();
    let run: server::Run = Arc::new(move |request, writer| {
        let attempt = request.header("x-attempt-id");
        println!("run {attempt} at {name}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {name}.{attempt}\r\n\
             Content-Type: text/plain\r\nConnection: close\r\n\r\n"
        );
        let mut goes_on = writer.write_all(head.as_bytes()).is_ok();
        for number in 0..PIECES {
            goes_on = goes_on && writer.write_all(piece(number).as_bytes()).is_ok();
            thread::sleep(PACE);
        }
        // The end of the connection ends the answer.
        false
    });
    let _server = Server::start(id, service, ip, SLOTS, controls.collect(), run);
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
             \"route_type\":\"non_idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":2000,\
             \"priority\":1,\"backend\":\"{service}\",\"max_attempts\":1,\
             \"session_affinity\":false,\"allow_resume\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-page", "/page/", SERVICE),
        route("r-other", "/other/", OTHER_SERVICE),
        service(SERVICE),
        service(OTHER_SERVICE)
    )
}

/// Server processes, which end with the case.
struct Servers(Vec<Child>);

impl Servers {
    fn start(
        &mut self,
        id: &str,
        service: &str,
        ip: &str,
        controls: &[SocketAddr],
    ) -> io::Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("serve").args([id, service, ip]);
        command.args(controls.iter().map(SocketAddr::to_string));
        command.stdin(Stdio::null()).stdout(Stdio::inherit());
        self.0.push(ends_with_this(&mut command).spawn()?);
        Ok(())
    }

    fn kill(&mut self, count: usize) {
        for server in self.0.iter_mut().take(count) {
            let _ = server.kill();
        }
        for server in self.0.iter_mut().take(count) {
            let _ = server.wait();
        }
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.kill(usize::MAX);
    }
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let mut system = Deployment::new(record.clone(), &case.folder, 3, 1);
    system.start_all();
    let operator = Operator {
        controls: system.controls(),
        record: record.clone(),
    };
    let limit = Duration::from_secs(20);
    if operator.put(1, &configuration(), limit).is_none() {
        return Outcome::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let controls = system.controls();
    let mut servers = Servers(Vec::new());
    for number in 0..SERVERS {
        let (id, ip) = (format!("i-{number}"), format!("127.41.2.{}", number + 1));
        servers
            .start(&id, SERVICE, &ip, &controls)
            .expect("a server");
    }
    for number in 0..SERVERS {
        let (id, ip) = (
            format!("i-other-{number}"),
            format!("127.41.3.{}", number + 1),
        );
        servers
            .start(&id, OTHER_SERVICE, &ip, &controls)
            .expect("a server");
    }
    let front = system.front(0);
    let is_served = |path: &str| {
        let answer = call(front, "first", path);
        answer.is_ok_and(|answer| answer.status == 200 && answer.body == whole())
    };
    if !eventually(limit, || is_served("/page/0") && is_served("/other/0")) {
        return Outcome::CouldNotRun("no request is served".to_owned());
    }
    // All servers are known after a heartbeat of each.
    thread::sleep(Duration::from_millis(1_500));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let (answers, record) = (answers.clone(), record.clone());
        requests.push(thread::spawn(move || {
            let path = if number % 8 == 7 {
                "/other/1"
            } else {
                "/page/1"
            };
            let attempt = format!("a{number}");
            let answer = call(front, &attempt, path);
            record.line(describe(&attempt, path, &answer));
            answers.lock().expect("answers").push(answer);
        }));
        thread::sleep(REQUEST_GAP);
        if number == CRASH_AT && case.trouble {
            case.record
                .line(format!("the {SERVERS} servers of {SERVICE} crash"));
            servers.kill(SERVERS);
        }
    }
    for request in requests {
        let _ = request.join();
    }
    let answers = answers.lock().expect("answers");
    let whole = whole();
    let successes = answers.iter().flatten().filter(|it| it.status == 200);
    let is_false = |it: &&Response| it.complete && it.body != whole;
    let broken_off = successes.clone().filter(|it| !it.complete).count();
    let falsely_whole = successes.clone().filter(is_false).count();
    let rightly_whole = successes.filter(|it| it.body == whole).count();
    let text = format!(
        "{falsely_whole} answers of 200 end early and look complete, {broken_off} are broken off, \
         {rightly_whole} are whole"
    );
    case.record.line(&text);
    match falsely_whole {
        0 => Outcome::Held(text),
        _ => Outcome::Broken(format!("MIXED: {text}")),
    }
}

fn call(front: SocketAddr, attempt: &str, path: &str) -> io::Result<Response> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "5000".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    http::call(front, "GET", path, &headers, b"", Duration::from_secs(6))
}

fn describe(attempt: &str, path: &str, answer: &io::Result<Response>) -> String {
    match answer {
        Ok(answer) => format!(
            "{attempt} {path} answered {} with {} bytes, {}, signature {:?}",
            answer.status,
            answer.body.len(),
            if answer.complete {
                "ended as its framing says"
            } else {
                "broken off"
            },
            answer.header("x-response-signature"),
        ),
        Err(error) => format!("{attempt} {path} failed: {error}"),
    }
}
