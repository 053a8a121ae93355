//! Runs over HTTP against a server with correct, truncated, foreign and refused responses.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use millpass_http::{Request, Responder, Response, Server, ServerHandle, ServerSettings};
use millpass_load::answer::AnswerVerdict;
use millpass_load::expected::expected_tokens;
use millpass_load::history::read_history;
use millpass_load::runner::RunResult;
use millpass_load::workload::{KindMix, RateShape};
use millpass_load::{Outcome, Population, RunSettings, Schedule, Summary, Workload, run};
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: String,
    max_tokens: u32,
}

/// How the server responds to token requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Correct,
    Truncating,
    ForeignText,
    Refusing,
    RefusingWithoutCode,
}

fn tokens_of(completion: &CompletionRequest, behavior: Behavior) -> Vec<String> {
    let prompt = match behavior {
        Behavior::ForeignText => "somebody else's nonce=x",
        _ => completion.prompt.as_str(),
    };
    let (model, adapter) = match completion.model.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter.into())),
        None => (completion.model.as_str(), None),
    };
    let version = "v1".into();
    expected_tokens(
        &model.into(),
        &version,
        adapter.as_ref(),
        prompt,
        completion.max_tokens,
    )
}

fn answer(request: &Request, responder: Responder, behavior: Behavior) {
    match behavior {
        Behavior::Refusing => return refuse(responder, r#"{"error":{"code":"queue_full"}}"#),
        Behavior::RefusingWithoutCode => return refuse(responder, "busy"),
        _ => {}
    }
    let completion: CompletionRequest =
        serde_json::from_slice(&request.body).expect("a completion");
    let mut writer = responder.stream(StatusCode::OK, HeaderMap::new());
    let mut tokens = tokens_of(&completion, behavior);
    if behavior == Behavior::Truncating {
        tokens.pop();
    }
    for token in tokens {
        let chunk = serde_json::json!({"choices": [{"text": token}]});
        writer
            .write(Bytes::from(format!("data: {chunk}\n\n")))
            .expect("the caller is connected");
    }
    writer
        .write(Bytes::from_static(b"data: [DONE]\n\n"))
        .expect("the caller is connected");
    writer.finish();
}

fn refuse(responder: Responder, body: &'static str) {
    let mut headers = HeaderMap::new();
    headers.insert("millpass-executed", "no".parse().expect("a value"));
    headers.insert("retry-after", "1".parse().expect("a value"));
    responder.send(Response {
        status: StatusCode::TOO_MANY_REQUESTS,
        headers,
        body: Bytes::from_static(body.as_bytes()),
    });
}

fn serve(behavior: Behavior) -> ServerHandle {
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, ServerSettings::default()).expect("bound");
    server.serve(Arc::new(move |request: Request, responder: Responder| {
        answer(&request, responder, behavior);
    }))
}

/// Schedules streamed completions only, within 0.2 s.
fn schedule(population: &Population) -> Schedule {
    let mut workload = Workload::burst_peak(0.2);
    workload.bursts.clear();
    workload.shape = RateShape::Constant;
    workload.requests_per_second = 150.0;
    workload.streamed_share = 1.0;
    workload.kinds = KindMix {
        completion: 1.0,
        chat: 0.0,
        web_read: 0.0,
        web_write: 0.0,
    };
    Schedule::generate(&workload, population, 1).expect("valid")
}

fn run_against(behavior: Behavior) -> (RunResult, usize) {
    let server = serve(behavior);
    let population = Population::numbered(3, 4, 1);
    let planned = schedule(&population);
    let settings = RunSettings {
        routers: vec![server.local_address().to_string()],
        callers: 16,
        ..RunSettings::default()
    };
    let result = run(&planned, &population, &settings, &AtomicBool::new(false));
    (result.expect("run succeeds"), planned.requests.len())
}

#[test]
fn all_responses_of_a_correct_server_are_complete() {
    let (result, planned) = run_against(Behavior::Correct);
    assert_eq!(result.records.len(), planned);
    assert_eq!(result.summary.whole, planned as u64, "{}", result.summary);
    assert_eq!(result.summary.breaches(), 0, "{}", result.summary);
}

#[test]
fn truncated_and_foreign_responses_are_detected() {
    let (truncated, planned) = run_against(Behavior::Truncating);
    assert_eq!(truncated.summary.truncated, planned as u64);
    let (foreign, planned) = run_against(Behavior::ForeignText);
    assert_eq!(foreign.summary.foreign, planned as u64);
    assert!(foreign.records.iter().all(|record| matches!(
        record.outcome,
        Outcome::Answered {
            verdict: AnswerVerdict::Foreign,
            ..
        }
    )));
}

#[test]
fn refusals_are_counted_and_checked() {
    let (refused, planned) = run_against(Behavior::Refusing);
    assert_eq!(refused.summary.refusals["429 queue_full"], planned as u64);
    assert_eq!(refused.summary.breaches(), 0);
    let (faulty, planned) = run_against(Behavior::RefusingWithoutCode);
    assert_eq!(faulty.summary.faulty(), planned as u64);
}

#[test]
fn an_unreachable_router_counts_as_a_transport_error() {
    let server = serve(Behavior::Correct);
    let address = server.local_address().to_string();
    server.stop();
    drop(server);
    let population = Population::numbered(1, 1, 1);
    let planned = schedule(&population);
    let settings = RunSettings {
        routers: vec![address],
        callers: 4,
        ..RunSettings::default()
    };
    let result = run(&planned, &population, &settings, &AtomicBool::new(false));
    let summary = result.expect("run succeeds").summary;
    assert_eq!(summary.transport_errors, planned.requests.len() as u64);
}

#[test]
fn the_history_file_matches_the_summary() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("history.jsonl");
    let server = serve(Behavior::Correct);
    let population = Population::numbered(2, 2, 1);
    let planned = schedule(&population);
    let settings = RunSettings {
        routers: vec![server.local_address().to_string()],
        callers: 8,
        history: Some(path.clone()),
        ..RunSettings::default()
    };
    let result = run(&planned, &population, &settings, &AtomicBool::new(false)).expect("done");
    let read = read_history(&path).expect("readable");
    assert_eq!(Summary::of(&read), result.summary);
}
