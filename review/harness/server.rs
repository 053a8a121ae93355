//! A server stand-in: it announces itself, and runs requests as a case says.

use crate::deploy::Record;
use crate::http::{self, Request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server does with a request: writes its response; false ends the connection.
pub type Run = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        ip: &str,
        slots: u32,
        controls: Vec<SocketAddr>,
        run: Run,
    ) -> Server {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        let address = listener.local_addr().expect("address");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
        };
        let name = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let (run, name) = (run.clone(), name.clone());
                thread::spawn(move || serve(&name, stream, &run));
            }
        });
        server.announce(slots, controls);
        server
    }

    fn announce(&self, slots: u32, controls: Vec<SocketAddr>) {
        let (id, service, address) = (self.id.clone(), self.service.clone(), self.address);
        thread::spawn(move || {
            let mut sequence = 0;
            let mut node = 0;
            loop {
                sequence += 1;
                for _ in 0..controls.len() {
                    let target = controls[node % controls.len()];
                    if heartbeat(&id, &service, address, slots, sequence, target) {
                        break;
                    }
                    node += 1;
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Sends one heartbeat; returns whether it was acknowledged.
pub fn heartbeat(
    id: &str,
    service: &str,
    address: SocketAddr,
    slots: u32,
    sequence: u64,
    control: SocketAddr,
) -> bool {
    let body = format!(
        "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"pnw-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"seq\":{sequence}}}"
    );
    let path = format!("/millpass/instances/{id}/heartbeat");
    let headers = [
        ("Host", control.to_string()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let limit = Duration::from_secs(1);
    let sent = http::call(control, "POST", &path, &headers, body.as_bytes(), limit);
    sent.is_ok_and(|answer| answer.status == 200)
}

fn serve(id: &str, stream: TcpStream, run: &Run) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        let expected = request.header("x-expect-instance");
        let goes_on = if request.path == "/healthz" {
            let head =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(head.as_bytes()).is_ok()
        } else if !expected.is_empty() && expected != id {
            let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n";
            let head = format!("{head}X-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(head.as_bytes()).is_ok()
        } else {
            run(&request, &mut writer)
        };
        if !goes_on {
            return;
        }
    }
}

/// Writes a whole response with the server's signature.
pub fn respond(request: &Request, writer: &mut TcpStream, id: &str, body: &[u8]) -> bool {
    let attempt = request.header("x-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes()).is_ok() && writer.write_all(body).is_ok()
}

/// A server that works for some time on a limited number of requests at once and queues others up to a
/// limit; it rejects the rest.
pub fn worker(id: &str, slots: u64, queue: u64, work: Duration, record: Record) -> Run {
    let id = id.to_owned();
    let held = Arc::new(AtomicU64::new(0));
    let running = Arc::new((std::sync::Mutex::new(0_u64), std::sync::Condvar::new()));
    Arc::new(move |request: &Request, writer: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").to_owned();
        if held.fetch_add(1, Ordering::AcqRel) >= slots + queue {
            held.fetch_sub(1, Ordering::AcqRel);
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Server-Load: {slots},{queue},{slots}\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let (count, freed) = &*running;
        let mut now = count.lock().expect("slots");
        while *now >= slots {
            now = freed.wait(now).expect("slots");
        }
        *now += 1;
        drop(now);
        record.line(format!(
            "run {attempt} at {id}, {} bytes",
            request.body.len()
        ));
        thread::sleep(work);
        *count.lock().expect("slots") -= 1;
        freed.notify_one();
        held.fetch_sub(1, Ordering::AcqRel);
        respond(request, writer, &id, b"done")
    })
}
