//! Graceful stop of a router.

mod common;

use common::control::Control;
use common::engine::{Engine, done, open_stream, token};
use common::{
    TEST_TIMEOUT, agent, call, completion, completion_to, prompt, read_response, read_until,
    send_raw, settings, start_router, start_with, wait_until,
};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use millpass_http::{BodyWriter, DrainReport};
use millpass_router::RouterHandle;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Concurrent streams.
const STREAMS: usize = 20;

/// An engine that sends one token of each stream, and the rest once the sender is dropped.
fn start_blocked_engine() -> (Engine, Sender<()>) {
    let (release, proceed) = bounded::<()>(0);
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        body.write(token(0)).unwrap();
        // The test drops its sender to resume all streams.
        let _ = proceed.recv_timeout(TEST_TIMEOUT);
        body.write(token(1)).unwrap();
        body.write(done()).unwrap();
        body.finish();
    });
    (engine, release)
}

fn start_streams(router: &RouterHandle) -> Vec<TcpStream> {
    let streams: Vec<TcpStream> = (0..STREAMS)
        .map(|_| send_raw(router, "/v1/completions", "", &prompt(true)))
        .collect();
    for stream in &streams {
        read_until(stream, "t0 ");
    }
    streams
}

fn drain_in_background(router: &Arc<RouterHandle>) -> JoinHandle<DrainReport> {
    let router = router.clone();
    std::thread::spawn(move || router.drain())
}

#[test]
fn drain_lets_streams_finish_and_notifies_the_control_group() {
    let (engine, release) = start_blocked_engine();
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = Arc::new(start_router(&control));
    let streams = start_streams(&router);
    let drain = drain_in_background(&router);
    wait_until("draining reported", || {
        control.lock().last_report.as_ref().unwrap().draining
    });
    drop(release);
    for stream in &streams {
        read_until(stream, "t1 ");
        read_until(stream, "[DONE]");
    }
    let report = drain.join().unwrap();
    assert_eq!((report.finished, report.cut), (STREAMS, 0));
}

#[test]
fn new_requests_are_refused_during_a_drain() {
    let (engine, release) = start_blocked_engine();
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = Arc::new(start_router(&control));
    let address = router.address();
    // Reuses its connection, unlike the second agent.
    let kept = agent();
    let send = |agent: &ureq::Agent| {
        let request = completion_to(address).body(prompt(false)).unwrap();
        read_response(agent.run(request).unwrap())
    };
    let models = format!("http://{address}/v1/models");
    kept.get(&models)
        .call()
        .unwrap()
        .body_mut()
        .read_to_string()
        .unwrap();
    let streams = start_streams(&router);
    let drain = drain_in_background(&router);
    wait_until("draining reported", || {
        control.lock().last_report.as_ref().unwrap().draining
    });
    for agent in [kept, agent()] {
        let refused = send(&agent);
        assert_eq!(
            (refused.status, refused.error("code").as_str()),
            (503, Some("draining"))
        );
        assert_eq!(refused.error("executed"), "no");
        assert_eq!(refused.header("retry-after"), Some("1"));
    }
    assert_eq!(engine.requests.len(), STREAMS);
    drop(release);
    streams
        .iter()
        .for_each(|stream| read_until(stream, "[DONE]"));
    assert_eq!(drain.join().unwrap().cut, 0);
    assert!(TcpStream::connect(address).is_err());
}

/// An engine whose streams never end.
fn start_endless_engine() -> (Engine, Receiver<BodyWriter>) {
    let (keep, kept) = unbounded();
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        body.write(token(0)).unwrap();
        keep.send(body).unwrap();
    });
    (engine, kept)
}

#[test]
fn a_drain_cuts_what_outlasts_its_grace_and_says_how_many() {
    let (engine, _kept) = start_endless_engine();
    let control = Control::start();
    control.add_replica(1, engine.address());
    let mut settings = settings(vec![control.address()]);
    settings.drain_grace = Duration::from_millis(50);
    let router = start_with(&control, settings);
    let streams = start_streams(&router);
    let report = router.drain();
    assert_eq!((report.finished, report.cut), (0, STREAMS));
    drop(streams);
}

#[test]
fn drain_of_an_idle_router_completes() {
    let control = Control::start();
    let router = start_router(&control);
    let refused = call(completion(&router).body("{}".to_owned()).unwrap());
    assert_eq!(refused.status, 400);
    let report = router.drain();
    assert_eq!((report.finished, report.cut), (0, 0));
}
