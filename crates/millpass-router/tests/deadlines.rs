//! Responses to callers whose backend does not respond.

mod common;

use common::control::Control;
use common::engine::Engine;
use common::{call, completion, prompt, settings, start_router, start_with};
use crossbeam::channel::unbounded;
use millpass_http::{Request, Responder, Server, ServerSettings};
use millpass_router::{BackendTimeouts, RouterProcessSettings};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn unresponsive_backend_causes_a_refusal_with_unknown_execution(#[case] streamed: bool) {
    let (keep, _kept) = unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "300");
    let response = call(request.body(prompt(streamed)).unwrap());
    assert_eq!(response.status, 504);
    assert!(
        response.body.contains("deadline_passed"),
        "{}",
        response.body
    );
    assert!(response.body.contains("unknown"), "{}", response.body);
}

#[test]
fn core_refuses_before_a_read_times_out() {
    let slack = BackendTimeouts::default().deadline_slack;
    let tick = RouterProcessSettings::default().tick_interval;
    assert!(slack > tick * 4);
}

/// The engine accepts requests and cancellations but responds to neither. Guards against a refusal
/// that is delayed by the cancellation or a read timeout.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn refusal_does_not_wait_for_the_backend(#[case] streamed: bool) {
    let (keep, _kept) = unbounded();
    let handler = move |_: Request, responder: Responder| keep.send(responder).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any_port, ServerSettings::default()).unwrap();
    let engine = server.serve(Arc::new(handler));
    let control = Control::start();
    control.add_replica(1, engine.local_address());
    let mut settings = settings(vec![control.address()]);
    settings.backends.cancel_timeout = Duration::from_secs(600);
    settings.backends.deadline_slack = Duration::from_secs(600);
    let router = start_with(&control, settings);
    let request = completion(&router).header("Millpass-Deadline-Ms", "200");
    let response = call(request.body(prompt(streamed)).unwrap());
    assert_eq!(response.status, 504);
    assert_eq!(response.error("executed"), "unknown");
    // Aborts the cancellation, which blocks a thread of the router.
    engine.stop();
}
