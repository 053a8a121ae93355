//! Disconnects, interrupted streams, failing engines and claimed requests.

mod common;

use common::control::Control;
use common::engine::{
    Engine, header, open_stream, refuse, respond_buffered, resume_from, stream_tokens, token,
    tokens,
};
use common::{
    TEST_TIMEOUT, call, completion, fresh_key, prompt, read_until, send_raw, settings,
    start_router, wait_until,
};
use crossbeam::channel::{bounded, unbounded};
use http::StatusCode;
use millpass_http::Response;
use millpass_proto::{BackendKind, BackendObservation, WatchedBackend};
use millpass_router::RouterHandle;
use rstest::rstest;
use std::io::Read;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

#[test]
fn disconnect_while_streaming_cancels_at_the_engine() {
    let (gone, closed) = bounded(1);
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        body.write(token(0)).unwrap();
        let gone = gone.clone();
        body.caller_gone().on_gone(move || gone.send(()).unwrap());
        // The engine must be notified although it writes nothing more.
        while !body.is_caller_gone() {
            thread::yield_now();
        }
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let stream = send_raw(&router, "/v1/completions", "", &prompt(true));
    read_until(&stream, "t0 ");
    drop(stream);
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection is closed");
    let id = header(&engine.request(), "x-request-id").to_owned();
    assert_eq!(engine.cancelled.recv_timeout(TEST_TIMEOUT).unwrap(), id);
}

#[test]
fn disconnect_before_the_response_cancels_at_the_engine() {
    let (keep, kept) = unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let stream = send_raw(&router, "/v1/completions", "", &prompt(false));
    let responder = kept.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(stream);
    wait_until("disconnect seen by the engine", || {
        responder.is_caller_gone()
    });
    assert!(engine.cancelled.recv_timeout(TEST_TIMEOUT).is_ok());
}

#[test]
fn disconnected_waiting_request_is_not_sent_to_an_engine() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    let router = start_router(&control);
    let waiting = |count: u32| {
        let state = control.lock();
        let demand = &state.last_report.as_ref().unwrap().demand;
        demand.iter().map(|demand| demand.waiting).sum::<u32>() == count
    };
    let stream = send_raw(&router, "/v1/completions", "", &prompt(false));
    wait_until("request waiting", || waiting(1));
    drop(stream);
    wait_until("request no longer waiting", || waiting(0));
    control.add_replica(1, engine.address());
    let response = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(response.status, 200);
    assert_eq!(engine.requests.len(), 1);
}

/// An engine that aborts its first streams after `kept` tokens and completes later ones.
fn start_interrupting_engine(interruptions: usize, kept: u64, end: u64) -> Engine {
    let seen = AtomicUsize::new(0);
    Engine::start(move |request, responder| {
        if seen.fetch_add(1, Ordering::SeqCst) >= interruptions {
            stream_tokens(request, responder, end);
            return;
        }
        let mut body = open_stream(responder);
        let start = resume_from(request);
        for position in start..start + kept {
            body.write(token(position)).unwrap();
        }
        body.abort();
    })
}

#[rstest]
#[case::once(1)]
#[case::twice(2)]
fn a_broken_stream_goes_on_with_no_token_lost_or_twice(#[case] interruptions: usize) {
    let engine = start_interrupting_engine(interruptions, 2, 8);
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let response = call(completion(&router).body(prompt(true)).unwrap());
    assert_eq!(response.tokens(), tokens(8));
    assert!(response.complete && response.body.ends_with("data: [DONE]\n\n"));
    let positions: Vec<u64> = (0..=interruptions as u64).map(|turn| turn * 2).collect();
    let requested: Vec<u64> = engine
        .requests
        .try_iter()
        .map(|request| resume_from(&request))
        .collect();
    assert_eq!(requested, positions);
}

#[test]
fn stream_that_cannot_resume_ends_with_an_error_event() {
    let engine = start_interrupting_engine(100, 1, 8);
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "2000");
    let response = call(request.body(prompt(true)).unwrap());
    assert_eq!(response.status, 200);
    assert!(!response.complete);
    assert!(!response.body.contains("[DONE]"));
    let (_, error) = response
        .body
        .split_once("event: error\ndata: ")
        .expect("an error event");
    let error: serde_json::Value = serde_json::from_str(error.trim()).unwrap();
    assert_eq!(error["error"]["executed"], "unknown");
    assert!(error["error"]["request_id"].is_string());
}

#[test]
fn an_engine_that_ends_without_done_is_not_passed_off_as_whole() {
    let engine = Engine::start(|request, responder| {
        let mut body = open_stream(responder);
        if resume_from(request) == 0 {
            body.write(token(0)).unwrap();
        }
        body.finish();
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "2000");
    let response = call(request.body(prompt(true)).unwrap());
    assert!(!response.complete && response.body.contains("event: error"));
}

#[test]
fn request_refused_by_one_engine_is_retried_on_another() {
    let first = Engine::start(|_, responder| refuse(responder));
    let second = Engine::start(|_, responder| respond_buffered(responder, "second"));
    let control = Control::start();
    control.add_replica(1, first.address());
    control.add_replica(2, second.address());
    let router = start_router(&control);
    for _ in 0..4 {
        let response = call(completion(&router).body(prompt(false)).unwrap());
        assert_eq!(response.json()["choices"][0]["text"], "second");
    }
}

#[test]
fn request_to_an_unreachable_engine_is_retried_on_another() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let engine = Engine::start(|_, responder| respond_buffered(responder, "there"));
    let control = Control::start();
    control.add_replica(1, closed);
    control.add_replica(2, engine.address());
    let router = start_router(&control);
    let response = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(response.json()["choices"][0]["text"], "there");
}

/// An engine that reads one request per connection and closes it without a response.
fn start_failing_engine() -> (std::net::SocketAddr, crossbeam::channel::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (request_seen, received) = unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buffer = [0; 4096];
            let length = stream.unwrap().read(&mut buffer).unwrap_or(0);
            if length > 0 {
                let _ = request_seen.send(());
            }
        }
    });
    (address, received)
}

#[test]
fn a_claimed_request_whose_engine_dies_is_never_run_again() {
    let (failing, received) = start_failing_engine();
    let control = Control::start();
    control.add_replica(1, failing);
    let router = start_router(&control);
    let key = fresh_key();
    let send = || {
        let request = completion(&router).header("Idempotency-Key", key.as_str());
        call(request.body(prompt(false)).unwrap())
    };
    let first = send();
    assert_eq!(first.error("executed"), "unknown", "{first:?}");
    let second = send();
    assert_eq!(
        (second.status, second.error("code").as_str()),
        (409, Some("may_have_run"))
    );
    assert_eq!(received.len(), 1);
}

fn claimed(router: &RouterHandle, key: &str, body: &str) -> common::CallerResponse {
    let request = completion(router).header("Idempotency-Key", key);
    call(request.body(body.to_owned()).unwrap())
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn claimed_request_runs_once_and_its_response_is_replayed(#[case] stream: bool) {
    let engine = Engine::start(move |request, responder| match stream {
        true => stream_tokens(request, responder, 3),
        false => respond_buffered(responder, "once"),
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let key = fresh_key();
    let first = claimed(&router, key.as_str(), &prompt(stream));
    assert_eq!(first.status, 200);
    wait_until("response recorded", || {
        control
            .lock()
            .claims
            .values()
            .any(|claim| claim.1.is_some())
    });
    let second = claimed(&router, key.as_str(), &prompt(stream));
    assert_eq!((second.status, &second.body), (200, &first.body));
    assert_eq!(second.header("idempotency-replayed"), Some("true"));
    assert_eq!(second.header("content-type"), first.header("content-type"));
    assert_eq!(engine.requests.len(), 1);
    assert_eq!(header(&engine.request(), "idempotency-key"), key.as_str());
}

#[test]
fn reuse_of_a_key_for_another_request_is_refused() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let key = fresh_key();
    assert_eq!(claimed(&router, key.as_str(), &prompt(false)).status, 200);
    let other = r#"{"model":"writer","prompt":"another"}"#;
    let second = claimed(&router, key.as_str(), other);
    assert_eq!(
        (second.status, second.error("executed").as_str()),
        (422, Some("no"))
    );
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let (keep, kept) = unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let key = fresh_key();
    let header_line = format!("Idempotency-Key: {}\r\n", key.as_str());
    let first = send_raw(&router, "/v1/completions", &header_line, &prompt(false));
    let responder = kept.recv_timeout(TEST_TIMEOUT).unwrap();
    let second = claimed(&router, key.as_str(), &prompt(false));
    assert_eq!(
        (second.status, second.error("code").as_str()),
        (409, Some("in_progress"))
    );
    respond_buffered(responder, "once");
    read_until(&first, "once");
    assert_eq!(engine.requests.len(), 1);
}

#[test]
fn disconnect_does_not_cancel_a_claimed_request_in_flight() {
    let (keep, kept) = unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let key = fresh_key();
    let header_line = format!("Idempotency-Key: {}\r\n", key.as_str());
    let first = send_raw(&router, "/v1/completions", &header_line, &prompt(false));
    let responder = kept.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(first);
    // The second request is handled after the disconnect was observed.
    let other = claimed(&router, key.as_str(), &prompt(false));
    assert_eq!(other.error("code"), "in_progress");
    respond_buffered(responder, "once");
    wait_until("response recorded", || {
        control
            .lock()
            .claims
            .values()
            .any(|claim| claim.1.is_some())
    });
    let repeat = claimed(&router, key.as_str(), &prompt(false));
    assert_eq!(repeat.json()["choices"][0]["text"], "once");
    assert_eq!(engine.requests.len(), 1);
}

#[test]
fn without_an_answer_to_its_claim_a_request_is_refused_as_not_run() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    control.lock().ignore_claims = true;
    let mut settings = settings(vec![control.address()]);
    settings.routing.claim_timeout = std::time::Duration::from_millis(50);
    let router = common::start_with(&control, settings);
    let response = claimed(&router, fresh_key().as_str(), &prompt(false));
    assert_eq!(
        (response.status, response.error("executed").as_str()),
        (503, Some("no"))
    );
    assert_eq!(engine.requests.len(), 0);
}

#[test]
fn leader_stated_by_a_member_is_followed() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let leader = Control::start();
    leader.add_replica(1, engine.address());
    let follower = Control::start();
    follower.lock().leader_hint = Some(leader.address());
    let router = millpass_router::start(settings(vec![follower.address()])).unwrap();
    leader.wait_until_applied();
    assert_eq!(
        call(completion(&router).body(prompt(false)).unwrap()).status,
        200
    );
}

#[test]
fn lost_link_is_reestablished_while_requests_are_served() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    control.lock().last_report = None;
    control.close_connections();
    let response = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(response.status, 200);
    control.wait_until_applied();
}

#[test]
fn polled_backends_are_reported_including_unreachable_ones() {
    let web = Engine::start(|request, responder| {
        assert_eq!(request.uri.path(), "/web/report");
        let report = serde_json::json!({
            "backend": "web-1", "incarnation": 7, "zone": "zone", "sequence": 5, "running": 2,
        });
        responder.send(Response::json(StatusCode::OK, &report));
    });
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let control = Control::start();
    let watched = |name: &str, kind, address: std::net::SocketAddr| WatchedBackend {
        backend: name.into(),
        kind,
        address: address.to_string(),
    };
    control.lock().watch = vec![
        watched("web-1", BackendKind::Web, web.address()),
        watched("engine-1", BackendKind::Engine, closed),
    ];
    let _router = start_router(&control);
    let seen = control.observation(|seen| matches!(seen, BackendObservation::Web(_)));
    let BackendObservation::Web(report) = seen else {
        unreachable!("picked above");
    };
    assert_eq!((report.sequence, report.running), (5, 2));
    let silent = control.observation(|seen| matches!(seen, BackendObservation::Unreachable(_)));
    assert_eq!(silent, BackendObservation::Unreachable("engine-1".into()));
}
