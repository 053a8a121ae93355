//! Case 2: streams go on at other servers while the first one, which is only busy, still works on them.
//!
//! In a burst a server puts running requests back for want of memory, and the queue of its new connections is
//! full. The gateway takes it for out of reach, resumes its streams elsewhere, and keeps their connections
//! open until the other servers begin to answer.

use crate::deploy::{Deployment, Operator, Record, eventually};
use crate::http::{self, Request};
use crate::{Case, Outcome};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const SERVICE: &str = "huvo11a";
const MODEL: &str = "daka510000";
const SLOTS: u32 = 64;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 60;
const PACE: Duration = Duration::from_millis(100);
/// Time to the first token, as usual and of what arrives in the burst.
const USUAL_FIRST: Duration = Duration::from_millis(100);
const BURST_FIRST: Duration = Duration::from_millis(900);
/// Time for which a server that ran out of memory puts running requests back, and takes no connection.
const PUT_BACK: Duration = Duration::from_millis(1_600);
/// Length of a server's queue of new connections, and the connections of other callers that fill it.
const QUEUE: i32 = 4;
const OTHER_CALLERS: usize = 8;
const STREAMS: usize = 12;
/// The rule's time.
const BOUND: Duration = Duration::from_millis(400);

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Work of a server on a request.
#[derive(Clone, Debug)]
struct Run {
    attempt: String,
    server: usize,
    after: u64,
    begun: Instant,
    worked_until: Instant,
}

/// What all servers share.
struct Fleet {
    runs: Mutex<Vec<Run>>,
    /// End of the time in which a server puts requests back and takes no connection.
    put_back: Mutex<Option<(usize, Instant)>>,
    in_burst: AtomicBool,
    record: Record,
}

impl Fleet {
    fn is_put_back(&self, server: usize) -> bool {
        let state = self.put_back.lock().expect("state");
        state.is_some_and(|(number, until)| number == server && Instant::now() < until)
    }

    fn wait(&self, server: usize) {
        while self.is_put_back(server) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn worked(&self, position: usize) {
        self.runs.lock().expect("runs")[position].worked_until = Instant::now();
    }
}

fn start_server(number: usize, controls: Vec<SocketAddr>, fleet: &Arc<Fleet>) -> SocketAddr {
    let ip = format!("127.41.2.{}", number + 1);
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("server");
    // SAFETY: a system call on a socket that is open.
    unsafe { listen(listener.as_raw_fd(), QUEUE) };
    let address = listener.local_addr().expect("address");
    let shared = fleet.clone();
    thread::spawn(move || {
        loop {
            shared.wait(number);
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let shared = shared.clone();
            thread::spawn(move || serve(number, stream, &shared));
        }
    });
    thread::spawn(move || {
        let id = format!("i-{number}");
        for sequence in 1.. {
            let _ = controls
                .iter()
                .any(|control| engine_heartbeat(&id, address, sequence, *control));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    address
}

fn engine_heartbeat(id: &str, address: SocketAddr, sequence: u64, control: SocketAddr) -> bool {
    let body = format!(
        "{{\"backend\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"pnw-a\",\"version\":\"v1\",\
         \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\
         \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"seq\":{sequence}}}"
    );
    let headers = [
        ("Host", control.to_string()),
        ("Connection", "close".to_owned()),
    ];
    let path = format!("/millpass/instances/{id}/heartbeat");
    let sent = http::call(
        control,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        Duration::from_secs(1),
    );
    sent.is_ok_and(|answer| answer.status == 200)
}

fn serve(number: usize, stream: TcpStream, fleet: &Fleet) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        let goes_on = match request.path.as_str() {
            "/millpass/report" => {
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":1,\
                     \"kv_used\":1000,\"kv_total\":265792,\"handles\":0}}"
                );
                plain(&mut writer, "200 OK", "", &body)
            }
            "/millpass/order" => plain(&mut writer, "409 Conflict", "", ""),
            "/healthz" => plain(
                &mut writer,
                "200 OK",
                &format!("X-Instance-Id: i-{number}\r\n"),
                "",
            ),
            _ => stream_events(number, &request, &mut writer, fleet),
        };
        if !goes_on {
            return;
        }
    }
}

fn plain(writer: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(head.as_bytes()).is_ok()
}

fn has_left(writer: &TcpStream) -> bool {
    let _ = writer.set_nonblocking(true);
    let peeked = writer.peek(&mut [0]);
    let _ = writer.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn stream_events(number: usize, request: &Request, writer: &mut TcpStream, fleet: &Fleet) -> bool {
    let attempt = request.header("x-attempt-id").to_owned();
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    fleet.record.line(format!(
        "{attempt} reaches i-{number}, after event {after}, which begins work"
    ));
    let position = {
        let mut runs = fleet.runs.lock().expect("runs");
        let now = Instant::now();
        runs.push(Run {
            attempt: attempt.clone(),
            server: number,
            after,
            begun: now,
            worked_until: now,
        });
        runs.len() - 1
    };
    let first = if fleet.in_burst.load(Ordering::Acquire) {
        BURST_FIRST
    } else {
        USUAL_FIRST
    };
    let begun = Instant::now();
    while begun.elapsed() < first {
        if has_left(writer) {
            return false;
        }
        fleet.worked(position);
        thread::sleep(Duration::from_millis(10));
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: i-{number}.{attempt}\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=EVENTS {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if has_left(writer) || writer.write_all(chunk.as_bytes()).is_err() {
            fleet.record.line(format!(
                "{attempt}: i-{number} sees the close before event {event}"
            ));
            return false;
        }
        fleet.worked(position);
        thread::sleep(PACE);
        fleet.wait(number);
    }
    fleet
        .record
        .line(format!("{attempt}: i-{number} ends the stream"));
    writer.write_all(b"0\r\n\r\n").is_ok()
}

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"{HOST}\",\"path_prefix\":\"/draft/\",\
         \"route_type\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\
         \"backend\":\"{SERVICE}\",\"max_attempts\":2,\"session_affinity\":true,\"allow_resume\":true,\
         \"gap_aim_ms\":300}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity_tokens\":265792,\"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":65100.0,\
         \"load_time_s\":2.9,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.57,\"disk_s\":1.2}}],\
         \"weights_mb\":210000.0,\"adapter_slots\":8,\"loads_per_s\":4.2}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The part of a prompt that is the request's own.
fn own_part(attempt: &str) -> u32 {
    let start = 0x91bd_3f06_u32;
    attempt.bytes().fold(start, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    })
}

fn call(front: SocketAddr, attempt: &str) -> std::io::Result<http::Response> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Usage", "1460,80".to_owned()),
        (
            "X-Prompt-Prefix",
            format!("5c1e07a2:800,{:x}:660", own_part(attempt)),
        ),
        ("Connection", "close".to_owned()),
    ];
    http::call(
        front,
        "POST",
        "/draft/1",
        &headers,
        b"prompt",
        Duration::from_secs(16),
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
    let limit = Duration::from_secs(20);
    if operator.put(1, &configuration(), limit).is_none() {
        return Outcome::CouldNotRun("the configuration is not acknowledged".to_owned());
    }
    let fleet = Arc::new(Fleet {
        runs: Mutex::default(),
        put_back: Mutex::default(),
        in_burst: AtomicBool::new(false),
        record: record.clone(),
    });
    let servers: Vec<SocketAddr> = (0..3)
        .map(|number| start_server(number, system.controls(), &fleet))
        .collect();
    let front = system.front(0);
    if !eventually(limit, || {
        call(front, "first").is_ok_and(|answer| answer.status == 200)
    }) {
        return Outcome::CouldNotRun("no request is served".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut requests = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        requests.push(thread::spawn(move || {
            let attempt = format!("a{number}");
            let answer = call(front, &attempt);
            let text = answer
                .map(|it| (it.status, it.complete, it.body.len()))
                .map_err(|it| it.to_string());
            record.line(format!("{attempt} answered {text:?}"));
        }));
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut others = Vec::new();
    if case.trouble {
        let busiest = {
            let runs = fleet.runs.lock().expect("runs");
            let count = |server: usize| {
                runs.iter()
                    .filter(|run| run.server == server && run.attempt != "first")
                    .count()
            };
            (0..3).max_by_key(|server| count(*server)).unwrap_or(0)
        };
        record.line(format!(
            "burst: i-{busiest} puts its requests back and its queue of new connections is full"
        ));
        fleet.in_burst.store(true, Ordering::Release);
        *fleet.put_back.lock().expect("state") = Some((busiest, Instant::now() + PUT_BACK));
        for _ in 0..OTHER_CALLERS {
            let address = servers[busiest];
            others.push(thread::spawn(move || {
                TcpStream::connect_timeout(&address, Duration::from_secs(3))
                    .inspect(|_| thread::sleep(Duration::from_secs(2)))
            }));
        }
    }
    for request in requests {
        let _ = request.join();
    }
    drop(others);
    let runs = fleet.runs.lock().expect("runs").clone();
    let mut twice = 0;
    for later in runs.iter().filter(|run| run.after > 0) {
        let earlier = runs.iter().filter(|run| {
            run.attempt == later.attempt && run.server != later.server && run.begun < later.begun
        });
        for earlier in earlier {
            let still = earlier.worked_until.saturating_duration_since(later.begun);
            record.line(format!(
                "{} goes on at i-{}; i-{} works on it for another {} ms",
                later.attempt,
                later.server,
                earlier.server,
                still.as_millis()
            ));
            twice += usize::from(still > BOUND);
        }
    }
    match twice {
        0 => Outcome::Held("no request is worked on at two servers".to_owned()),
        _ => Outcome::Broken(format!(
            "TWICE: {twice} requests go on at another server while, {} ms later, the previous one still works",
            BOUND.as_millis()
        )),
    }
}
