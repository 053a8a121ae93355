//! Hang-ups, broken streams, failing engines and claimed requests.

mod common;

use common::control::Control;
use common::engine::{
    Engine, answer_whole, header, open_stream, refuse, resume_from, stream_tokens, token, tokens,
};
use common::{
    PATIENCE, call, completion, fresh_key, prompt, read_until, send_raw, settings, start_router,
    wait_until,
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
    let (gone, told) = bounded(1);
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        body.write(token(0)).unwrap();
        let gone = gone.clone();
        body.caller_gone().on_gone(move || gone.send(()).unwrap());
        // Nothing more is written: the engine must be told without it.
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
    told.recv_timeout(PATIENCE)
        .expect("the connection is closed");
    let id = header(&engine.request(), "x-request-id").to_owned();
    assert_eq!(engine.cancelled.recv_timeout(PATIENCE).unwrap(), id);
}

#[test]
fn disconnect_before_the_response_cancels_at_the_engine() {
    let (keep, kept) = unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let stream = send_raw(&router, "/v1/completions", "", &prompt(false));
    let responder = kept.recv_timeout(PATIENCE).unwrap();
    drop(stream);
    wait_until("the engine sees it", || responder.is_caller_gone());
    assert!(engine.cancelled.recv_timeout(PATIENCE).is_ok());
}

#[test]
fn disconnected_waiting_request_is_not_sent_to_an_engine() {
    let engine = Engine::start(|_, responder| answer_whole(responder, "x"));
    let control = Control::start();
    let router = start_router(&control);
    let waiting = |count: u32| {
        let state = control.lock();
        let demand = &state.last_report.as_ref().unwrap().demand;
        demand.iter().map(|demand| demand.waiting).sum::<u32>() == count
    };
    let stream = send_raw(&router, "/v1/completions", "", &prompt(false));
    wait_until("it waits", || waiting(1));
    drop(stream);
    wait_until("it no longer waits", || waiting(0));
    control.add_replica(1, engine.address());
    let answer = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(answer.status, 200);
    assert_eq!(engine.requests.len(), 1);
}

/// An engine that breaks its first streams off after `kept` tokens and gives later ones whole.
fn breaking_engine(breaks: usize, kept: u64, end: u64) -> Engine {
    let seen = AtomicUsize::new(0);
    Engine::start(move |request, responder| {
        if seen.fetch_add(1, Ordering::SeqCst) >= breaks {
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
fn a_broken_stream_goes_on_with_no_token_lost_or_twice(#[case] breaks: usize) {
    let engine = breaking_engine(breaks, 2, 8);
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let answer = call(completion(&router).body(prompt(true)).unwrap());
    assert_eq!(answer.tokens(), tokens(8));
    assert!(answer.whole && answer.body.ends_with("data: [DONE]\n\n"));
    let positions: Vec<u64> = (0..=breaks as u64).map(|turn| turn * 2).collect();
    let asked: Vec<u64> = engine
        .requests
        .try_iter()
        .map(|request| resume_from(&request))
        .collect();
    assert_eq!(asked, positions);
}

#[test]
fn stream_that_cannot_resume_ends_with_an_error_event() {
    let engine = breaking_engine(100, 1, 8);
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "2000");
    let answer = call(request.body(prompt(true)).unwrap());
    assert_eq!(answer.status, 200);
    assert!(!answer.whole);
    assert!(!answer.body.contains("[DONE]"));
    let (_, error) = answer
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
    let answer = call(request.body(prompt(true)).unwrap());
    assert!(!answer.whole && answer.body.contains("event: error"));
}

#[test]
fn request_refused_by_one_engine_is_retried_on_another() {
    let first = Engine::start(|_, responder| refuse(responder));
    let second = Engine::start(|_, responder| answer_whole(responder, "second"));
    let control = Control::start();
    control.add_replica(1, first.address());
    control.add_replica(2, second.address());
    let router = start_router(&control);
    for _ in 0..4 {
        let answer = call(completion(&router).body(prompt(false)).unwrap());
        assert_eq!(answer.json()["choices"][0]["text"], "second");
    }
}

#[test]
fn request_to_an_unreachable_engine_is_retried_on_another() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let engine = Engine::start(|_, responder| answer_whole(responder, "there"));
    let control = Control::start();
    control.add_replica(1, closed);
    control.add_replica(2, engine.address());
    let router = start_router(&control);
    let answer = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(answer.json()["choices"][0]["text"], "there");
}

/// Reads one request, then closes the connection without an answer.
fn start_dying_engine() -> (std::net::SocketAddr, crossbeam::channel::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (reached, reaches) = unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buffer = [0; 4096];
            let length = stream.unwrap().read(&mut buffer).unwrap_or(0);
            if length > 0 {
                let _ = reached.send(());
            }
        }
    });
    (address, reaches)
}

#[test]
fn a_claimed_request_whose_engine_dies_is_never_run_again() {
    let (dying, reaches) = start_dying_engine();
    let control = Control::start();
    control.add_replica(1, dying);
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
    assert_eq!(reaches.len(), 1);
}

fn claimed(router: &RouterHandle, key: &str, body: &str) -> common::Answer {
    let request = completion(router).header("Idempotency-Key", key);
    call(request.body(body.to_owned()).unwrap())
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn claimed_request_runs_once_and_its_response_is_replayed(#[case] stream: bool) {
    let engine = Engine::start(move |request, responder| match stream {
        true => stream_tokens(request, responder, 3),
        false => answer_whole(responder, "once"),
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let key = fresh_key();
    let first = claimed(&router, key.as_str(), &prompt(stream));
    assert_eq!(first.status, 200);
    wait_until("recorded", || {
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
    let engine = Engine::start(|_, responder| answer_whole(responder, "x"));
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
    let responder = kept.recv_timeout(PATIENCE).unwrap();
    let second = claimed(&router, key.as_str(), &prompt(false));
    assert_eq!(
        (second.status, second.error("code").as_str()),
        (409, Some("in_progress"))
    );
    answer_whole(responder, "once");
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
    let responder = kept.recv_timeout(PATIENCE).unwrap();
    drop(first);
    // A second request passes, so that the hang-up has been seen.
    let other = claimed(&router, key.as_str(), &prompt(false));
    assert_eq!(other.error("code"), "in_progress");
    answer_whole(responder, "once");
    wait_until("recorded", || {
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
    let engine = Engine::start(|_, responder| answer_whole(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    control.lock().mute_claims = true;
    let mut settings = settings(vec![control.address()]);
    settings.routing.claim_timeout = std::time::Duration::from_millis(50);
    let router = common::start_with(&control, settings);
    let answer = claimed(&router, fresh_key().as_str(), &prompt(false));
    assert_eq!(
        (answer.status, answer.error("executed").as_str()),
        (503, Some("no"))
    );
    assert_eq!(engine.requests.len(), 0);
}

#[test]
fn leader_stated_by_a_member_is_followed() {
    let engine = Engine::start(|_, responder| answer_whole(responder, "x"));
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
    let engine = Engine::start(|_, responder| answer_whole(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    control.lock().last_report = None;
    control.cut();
    let answer = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(answer.status, 200);
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
