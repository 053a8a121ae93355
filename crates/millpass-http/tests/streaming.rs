//! Tests of streamed responses, disconnects and truncated bodies.

mod common;

use bytes::Bytes;
use common::{Caller, TEST_TIMEOUT, start, status};
use crossbeam::channel::{bounded, unbounded};
use http::{HeaderMap, StatusCode};
use millpass_http::{Request, Responder, Response, ServerSettings};

#[test]
fn a_chunk_arrives_before_the_next_is_written() {
    let (go_on, may_go_on) = bounded::<()>(0);
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
            for index in 0..3 {
                body.write(Bytes::from(format!("chunk {index}"))).unwrap();
                may_go_on.recv_timeout(TEST_TIMEOUT).unwrap();
            }
            body.finish();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    assert_eq!(status(&caller.read_head()), 200);
    for index in 0..3 {
        let chunk = caller.read_chunk().unwrap();
        assert_eq!(chunk, Some(format!("chunk {index}")));
        go_on.send_timeout((), TEST_TIMEOUT).unwrap();
    }
    assert_eq!(caller.read_chunk().unwrap(), None);
}

#[test]
fn a_disconnect_while_streaming_fails_the_next_writes() {
    let (ended, end) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
            let chunk = Bytes::from(vec![b'x'; 1024]);
            while body.write(chunk.clone()).is_ok() {}
            ended.send(body.is_caller_gone()).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    drop(caller);
    assert!(end.recv_timeout(TEST_TIMEOUT).unwrap());
}

#[test]
fn a_disconnect_between_chunks_is_reported_without_a_write() {
    let (gone, notified) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
            body.write(Bytes::from_static(b"first")).unwrap();
            let gone = gone.clone();
            // Keeps the writer alive until the callback has run.
            let (release, released) = bounded(1);
            body.caller_gone().on_gone(move || {
                gone.send(()).unwrap();
                release.send(()).unwrap();
            });
            released.recv_timeout(TEST_TIMEOUT).unwrap();
            assert!(body.is_caller_gone());
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    caller.read_chunk().unwrap();
    drop(caller);
    notified.recv_timeout(TEST_TIMEOUT).unwrap();
}

#[test]
fn a_disconnect_before_the_response_is_reported() {
    let (waiting, waiting_responders) = unbounded();
    let (gone, notified) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            let gone = gone.clone();
            responder
                .caller_gone()
                .on_gone(move || gone.send(()).unwrap());
            // Stays in the channel without a response, as in a queue.
            waiting.send(responder).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.post("/", "body");
    let kept = waiting_responders.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(!kept.is_caller_gone());
    drop(caller);
    notified.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(kept.is_caller_gone());
}

#[test]
fn a_callback_registered_after_the_disconnect_runs_at_once() {
    let (waiting, waiting_responders) = unbounded();
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            waiting.send(responder).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    let kept: Responder = waiting_responders.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(caller);
    common::wait_until("disconnect", || kept.is_caller_gone());
    let (called, call) = bounded(1);
    kept.caller_gone().on_gone(move || called.send(()).unwrap());
    assert!(call.try_recv().is_ok());
}

#[test]
fn a_complete_response_never_marks_the_caller_gone() {
    let (kept, flags) = unbounded();
    let server = start(
        ServerSettings::default(),
        move |_: Request, responder: Responder| {
            kept.send(responder.caller_gone()).unwrap();
            responder.send(Response::text(StatusCode::OK, "whole"));
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    assert_eq!(caller.read_response().body, "whole");
    drop(caller);
    server.stop();
    assert!(!flags.recv_timeout(TEST_TIMEOUT).unwrap().is_gone());
}

#[test]
fn an_aborted_body_is_delivered_up_to_the_abort_and_truncated() {
    let server = start(
        ServerSettings::default(),
        |_: Request, responder: Responder| {
            let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
            body.write(Bytes::from_static(b"some")).unwrap();
            body.abort();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    assert_eq!(caller.read_chunk().unwrap(), Some("some".to_owned()));
    assert!(caller.read_chunk().is_err());
}

#[test]
fn a_body_dropped_by_a_panic_is_truncated() {
    let server = start(
        ServerSettings::default(),
        |_: Request, responder: Responder| {
            let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
            body.write(Bytes::from_static(b"some")).unwrap();
            panic!("on purpose");
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    assert_eq!(caller.read_chunk().unwrap(), Some("some".to_owned()));
    assert!(caller.read_chunk().is_err());
}

#[test]
fn a_slow_caller_blocks_the_writer() {
    let settings = ServerSettings {
        stream_buffer_chunks: 2,
        ..ServerSettings::default()
    };
    let (counted, count) = unbounded();
    let server = start(settings, move |_: Request, responder: Responder| {
        let mut body = responder.stream(StatusCode::OK, HeaderMap::new());
        let chunk = Bytes::from(vec![b'x'; 1024 * 1024]);
        for index in 0..64 {
            body.write(chunk.clone()).unwrap();
            counted.send(index).unwrap();
        }
        body.finish();
    });
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    // 64 MiB exceed all buffers on the path, so the writer cannot be done.
    count.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(count.try_iter().all(|index| index < 63));
    let mut bytes = 0;
    while let Some(chunk) = caller.read_chunk().unwrap() {
        bytes += chunk.len();
    }
    assert_eq!(bytes, 64 * 1024 * 1024);
}
