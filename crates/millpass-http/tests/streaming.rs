//! Streaming, hang-ups and cuts.

mod common;

use bytes::Bytes;
use common::{Caller, PATIENCE, start, status};
use crossbeam::channel::{bounded, unbounded};
use http::{HeaderMap, StatusCode};
use millpass_http::{Request, Responder, Response, ServerSettings};

#[test]
fn a_chunk_arrives_before_the_next_is_written() {
    let (go_on, may_go_on) = bounded::<()>(0);
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
            for index in 0..3 {
                body.write(Bytes::from(format!("chunk {index}"))).unwrap();
                may_go_on.recv_timeout(PATIENCE).unwrap();
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
        go_on.send_timeout((), PATIENCE).unwrap();
    }
    assert_eq!(caller.read_chunk().unwrap(), None);
}

#[test]
fn a_hang_up_while_streaming_fails_the_next_writes() {
    let (ended, end) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
            let chunk = Bytes::from(vec![b'x'; 1024]);
            while body.write(chunk.clone()).is_ok() {}
            ended.send(body.is_caller_gone()).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    drop(caller);
    assert!(end.recv_timeout(PATIENCE).unwrap());
}

#[test]
fn a_hang_up_between_chunks_is_told_without_a_write() {
    let (gone, told) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
            body.write(Bytes::from_static(b"first")).unwrap();
            let gone = gone.clone();
            // The writer stays alive in the callback's place until the caller is gone.
            let (release, released) = bounded(1);
            body.caller_gone().on_gone(move || {
                gone.send(()).unwrap();
                release.send(()).unwrap();
            });
            released.recv_timeout(PATIENCE).unwrap();
            assert!(body.is_caller_gone());
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    caller.read_head();
    caller.read_chunk().unwrap();
    drop(caller);
    told.recv_timeout(PATIENCE).unwrap();
}

#[test]
fn a_hang_up_while_waiting_for_the_answer_is_told() {
    let (waiting, waits) = unbounded();
    let (gone, told) = bounded(1);
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            let gone = gone.clone();
            answer.caller_gone().on_gone(move || gone.send(()).unwrap());
            // Kept unanswered in the channel, as a queue would.
            waiting.send(answer).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.post("/", "body");
    let kept = waits.recv_timeout(PATIENCE).unwrap();
    assert!(!kept.is_caller_gone());
    drop(caller);
    told.recv_timeout(PATIENCE).unwrap();
    assert!(kept.is_caller_gone());
}

#[test]
fn a_callback_set_after_the_hang_up_runs_at_once() {
    let (waiting, waits) = unbounded();
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            waiting.send(answer).unwrap();
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    let kept: Responder = waits.recv_timeout(PATIENCE).unwrap();
    drop(caller);
    common::wait_until("hang-up", || kept.is_caller_gone());
    let (called, call) = bounded(1);
    kept.caller_gone().on_gone(move || called.send(()).unwrap());
    assert!(call.try_recv().is_ok());
}

#[test]
fn a_whole_answer_never_marks_the_caller_gone() {
    let (kept, flags) = unbounded();
    let server = start(
        ServerSettings::default(),
        move |_: Request, answer: Responder| {
            kept.send(answer.caller_gone()).unwrap();
            answer.send(Response::text(StatusCode::OK, "whole"));
        },
    );
    let mut caller = Caller::connect(server.local_address());
    caller.get("/");
    assert_eq!(caller.read_answer().body, "whole");
    drop(caller);
    server.stop();
    assert!(!flags.recv_timeout(PATIENCE).unwrap().is_gone());
}

#[test]
fn an_aborted_body_arrives_up_to_the_cut_and_has_no_proper_end() {
    let server = start(
        ServerSettings::default(),
        |_: Request, answer: Responder| {
            let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
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
fn a_body_dropped_by_a_panic_has_no_proper_end() {
    let server = start(
        ServerSettings::default(),
        |_: Request, answer: Responder| {
            let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
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
fn a_slow_caller_holds_back_the_writer() {
    let settings = ServerSettings {
        stream_buffer_chunks: 2,
        ..ServerSettings::default()
    };
    let (counted, count) = unbounded();
    let server = start(settings, move |_: Request, answer: Responder| {
        let mut body = answer.stream(StatusCode::OK, HeaderMap::new());
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
    // The whole 64 MiB fit into no buffer on the way, so the writer cannot be done yet.
    count.recv_timeout(PATIENCE).unwrap();
    assert!(count.try_iter().all(|index| index < 63));
    let mut bytes = 0;
    while let Some(chunk) = caller.read_chunk().unwrap() {
        bytes += chunk.len();
    }
    assert_eq!(bytes, 64 * 1024 * 1024);
}
