//! Tests of complete responses, limits, drain and stop.

mod common;

use common::{Caller, TEST_TIMEOUT, header, start, wait_until};
use crossbeam::channel::{bounded, unbounded};
use http::StatusCode;
use millpass_http::{Request, Responder, Response, Server, ServerSettings};
use std::sync::Arc;
use std::time::Duration;

fn echo(request: Request, responder: Responder) {
    let text = String::from_utf8_lossy(&request.body).into_owned();
    responder.send(Response::text(
        StatusCode::OK,
        format!("{} {} {text}", request.method, request.uri),
    ));
}

#[test]
fn one_connection_serves_many_requests() {
    let server = start(ServerSettings::default(), echo);
    let mut caller = Caller::connect(server.local_address());
    for index in 0..20 {
        caller.post(&format!("/{index}?q=1"), "hello");
        let response = caller.read_response();
        assert_eq!(response.body, format!("POST /{index}?q=1 hello"));
    }
}

#[test]
fn a_request_without_response_gets_500() {
    let server = start(
        ServerSettings::default(),
        |_: Request, responder: Responder| drop(responder),
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    let response = caller.read_response();
    assert_eq!(response.status, 500);
    assert_eq!(
        header(&response.head, "millpass-executed").as_deref(),
        Some("unknown")
    );
}

#[test]
fn a_handler_panic_returns_500_and_the_server_continues() {
    let settings = ServerSettings {
        handler_threads: 1,
        ..ServerSettings::default()
    };
    let server = start(settings, |request: Request, responder: Responder| {
        assert!(request.uri.path() != "/panic", "on purpose");
        echo(request, responder);
    });
    let mut caller = Caller::connect(server.local_address());
    caller.get("/panic");
    assert_eq!(caller.read_response().status, 500);
    caller.get("/fine");
    assert_eq!(caller.read_response().status, 200);
}

#[test]
fn one_handler_thread_serves_many_callers_in_turn() {
    let settings = ServerSettings {
        handler_threads: 1,
        ..ServerSettings::default()
    };
    let server = start(settings, echo);
    let mut callers: Vec<Caller> = (0..16)
        .map(|_| Caller::connect(server.local_address()))
        .collect();
    callers.iter_mut().for_each(|caller| caller.get("/"));
    assert!(
        callers
            .iter_mut()
            .all(|caller| caller.read_response().status == 200)
    );
}

#[test]
fn handler_threads_grow_until_every_request_is_handled() {
    let (arrived, arrivals) = unbounded();
    let (release, released) = unbounded::<()>();
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            arrived.send(()).unwrap();
            released.recv_timeout(TEST_TIMEOUT).unwrap();
            responder.send(Response::text(StatusCode::OK, ""));
        },
    );
    let mut callers: Vec<Caller> = (0..50)
        .map(|_| Caller::connect(server.local_address()))
        .collect();
    callers.iter_mut().for_each(|caller| caller.get("/"));
    for _ in 0..50 {
        arrivals
            .recv_timeout(TEST_TIMEOUT)
            .expect("all fifty are handled at once");
    }
    (0..50).for_each(|_| release.send(()).unwrap());
    assert!(
        callers
            .iter_mut()
            .all(|caller| caller.read_response().status == 200)
    );
}

#[test]
fn a_connection_above_the_limit_gets_503_until_another_closes() {
    let settings = ServerSettings {
        maximum_connections: 2,
        ..ServerSettings::default()
    };
    let server = start(settings, echo);
    let mut held: Vec<Caller> = (0..2)
        .map(|_| Caller::connect(server.local_address()))
        .collect();
    for caller in &mut held {
        caller.get("/");
        assert_eq!(caller.read_response().status, 200);
    }
    let mut refused = Caller::connect(server.local_address());
    refused.get("/");
    let response = refused.read_response();
    assert_eq!(response.status, 503);
    assert!(header(&response.head, "retry-after").is_some());
    assert_eq!(
        header(&response.head, "millpass-executed").as_deref(),
        Some("no")
    );
    assert!(response.body.contains("limit of 2 open connections"));
    assert!(refused.is_closed());
    held.pop();
    wait_until("a connection slot is free", || {
        let mut caller = Caller::connect(server.local_address());
        caller.get("/");
        caller.read_response().status == 200
    });
}

#[test]
fn each_connection_of_a_burst_above_the_limit_gets_503() {
    let settings = ServerSettings {
        maximum_connections: 1,
        ..ServerSettings::default()
    };
    let server = start(settings, echo);
    let mut held = Caller::connect(server.local_address());
    held.get("/");
    assert_eq!(held.read_response().status, 200);
    let mut burst: Vec<Caller> = (0..200)
        .map(|_| Caller::connect(server.local_address()))
        .collect();
    burst.iter_mut().for_each(|caller| caller.post("/", "body"));
    for caller in &mut burst {
        assert_eq!(caller.read_response().status, 503);
    }
}

#[test]
fn a_drain_completes_requests_in_flight_and_rejects_new_ones() {
    let (arrived, arrival) = bounded(1);
    let (release, released) = bounded::<()>(1);
    let server = start(
        ServerSettings::default(),
        move |request: Request, responder: Responder| {
            if request.uri.path() == "/slow" {
                arrived.send(()).unwrap();
                released.recv_timeout(TEST_TIMEOUT).unwrap();
            }
            responder.send(Response::text(StatusCode::OK, "whole"));
        },
    );
    let address = server.local_address();
    let server = Arc::new(server);
    let mut idle = Caller::connect(address);
    idle.get("/");
    assert_eq!(idle.read_response().status, 200);
    let mut caller = Caller::connect(address);
    wait_until("the response is complete", || server.in_flight() == 0);
    caller.get("/slow");
    arrival.recv_timeout(TEST_TIMEOUT).unwrap();
    let draining = server.clone();
    let drain = std::thread::spawn(move || draining.drain(TEST_TIMEOUT));
    wait_until("the drain began", || server.is_draining());
    let mut late = Caller::connect(address);
    late.get("/");
    assert_eq!(late.read_response().status, 503);
    idle.get("/");
    let refused = idle.read_response();
    assert_eq!(refused.status, 503);
    assert_eq!(header(&refused.head, "retry-after").as_deref(), Some("1"));
    assert_eq!(
        header(&refused.head, "millpass-executed").as_deref(),
        Some("no")
    );
    assert!(refused.body.contains("use another one"));
    assert!(idle.is_closed());
    release.send(()).unwrap();
    assert_eq!(caller.read_response().body, "whole");
    let report = drain.join().unwrap();
    assert_eq!((report.finished, report.cut), (1, 0));
    assert!(caller.is_closed());
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn a_drain_aborts_requests_that_exceed_the_grace_period() {
    let (arrived, arrival) = bounded(1);
    let (gone, notified) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            let gone = gone.clone();
            responder
                .caller_gone()
                .on_gone(move || gone.send(()).unwrap());
            arrived.send(responder).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    let _kept = arrival.recv_timeout(TEST_TIMEOUT).unwrap();
    let report = server.drain(Duration::from_millis(10));
    assert_eq!((report.finished, report.cut), (0, 1));
    notified.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(caller.is_closed());
}

#[test]
fn an_idle_server_drains_at_once() {
    let server = start(ServerSettings::default(), echo);
    let report = server.drain(TEST_TIMEOUT);
    assert_eq!((report.finished, report.cut), (0, 0));
}

#[test]
fn a_port_in_use_is_reported_with_the_remedy() {
    let server = start(ServerSettings::default(), echo);
    let second = Server::bind(server.local_address(), ServerSettings::default());
    let message = second.err().expect("the port is taken").to_string();
    assert!(message.contains("choose another address"), "{message}");
}
