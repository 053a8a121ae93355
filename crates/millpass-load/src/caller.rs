//! Sends one request over HTTP and checks the response.

use crate::answer::{AnswerVerdict, check_page, check_run, check_tokens, tokens_received};
use crate::expected::expected_tokens;
use crate::history::Outcome;
use crate::refusal::{Executed, check_refusal};
use crate::schedule::{PlannedRequest, Target};
use crate::stream::{StreamEvent, next_event};
use crate::wire;
use millpass_proto::{AdapterName, ModelName};
use millpass_standin::content::chat_prompt;
use serde::{Deserialize, Serialize};
use std::io::{BufReader, Read};
use std::time::{Duration, Instant};

/// Longer bodies are truncated.
const MAXIMUM_BODY_BYTES: u64 = 16 * 1024 * 1024;
const CHAT_ROLE: &str = "user";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_CONNECTIONS_PER_ROUTER: usize = 256;
const IDLE_CONNECTIONS: usize = 1_024;

/// Parameters of a call besides the planned request.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Base address of the router, `IP:port`.
    pub router: &'a str,
    /// API key.
    pub api_key: &'a str,
    /// Request ID, unique in the run.
    pub request_id: &'a str,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Time after the deadline until the caller records [`Outcome::NoAnswer`].
    pub grace: Duration,
}

/// Result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Outcome.
    pub outcome: Outcome,
    /// Arrival of the first token or byte.
    pub first: Option<Instant>,
    /// Longest interval between two tokens.
    pub longest_pause: Duration,
    /// Correct tokens received.
    pub tokens: u32,
}

impl CallResult {
    fn of(outcome: Outcome) -> Self {
        CallResult {
            outcome,
            first: None,
            longest_pause: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// Creates the HTTP client shared by all callers.
pub fn client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_ROUTER)
        .max_redirects(0)
        .build()
        .new_agent()
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: String,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

#[derive(Serialize)]
struct ChatBody<'a> {
    model: String,
    messages: [ChatMessage<'a>; 1],
    max_tokens: u32,
    stream: bool,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

/// Returns the `model` field of a request: `MODEL` or `MODEL:ADAPTER`.
pub fn model_field(model: &ModelName, adapter: Option<&AdapterName>) -> String {
    match adapter {
        Some(adapter) => format!("{model}:{adapter}"),
        None => model.to_string(),
    }
}

/// Sends one request and checks the response.
pub fn call(agent: &ureq::Agent, planned: &PlannedRequest, context: &CallContext) -> CallResult {
    let sent = send(agent, planned, context);
    let response = match sent {
        Ok(response) => response,
        Err(error) => return CallResult::of(error_outcome(&error)),
    };
    let status = response.status().as_u16();
    if status >= 300 {
        return CallResult::of(read_refusal(response));
    }
    match &planned.target {
        Target::Tokens { streamed: true, .. } => read_stream(response, planned),
        Target::Tokens { .. } => read_completion(response, planned),
        Target::WebRead { .. } | Target::WebWrite { .. } => {
            read_web(response, planned, context.key.unwrap_or_default())
        }
    }
}

fn error_outcome(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) => Outcome::TransportError {
            reason: "connect timed out".to_owned(),
        },
        ureq::Error::Timeout(_) => Outcome::NoAnswer,
        other => Outcome::TransportError {
            reason: other.to_string(),
        },
    }
}

type HttpResponse = ureq::http::Response<ureq::Body>;

fn send(
    agent: &ureq::Agent,
    planned: &PlannedRequest,
    context: &CallContext,
) -> Result<HttpResponse, ureq::Error> {
    let base = format!("http://{}", context.router);
    let limit = Some(context.time_left + context.grace);
    match &planned.target {
        Target::WebRead { path, .. } => {
            let request = agent.get(format!("{base}{path}"));
            with_headers(request, context)
                .config()
                .timeout_global(limit)
                .build()
                .call()
        }
        Target::WebWrite { path, body, .. } => {
            let request = post(agent, &format!("{base}{path}"), context);
            request.config().timeout_global(limit).build().send(body)
        }
        Target::Tokens { chat: true, .. } => {
            let url = format!("{base}{}", wire::CHAT_PATH);
            let request = post(agent, &url, context);
            let request = request.config().timeout_global(limit).build();
            request.send(tokens_body(&planned.target))
        }
        Target::Tokens { .. } => {
            let url = format!("{base}{}", wire::COMPLETIONS_PATH);
            let request = post(agent, &url, context);
            let request = request.config().timeout_global(limit).build();
            request.send(tokens_body(&planned.target))
        }
    }
}

fn tokens_body(target: &Target) -> Vec<u8> {
    let Target::Tokens {
        model,
        adapter,
        chat,
        streamed,
        prompt,
        tokens,
        ..
    } = target
    else {
        return Vec::new();
    };
    let model = model_field(model, adapter.as_ref());
    let encoded = if *chat {
        serde_json::to_vec(&ChatBody {
            model,
            messages: [ChatMessage {
                role: CHAT_ROLE,
                content: prompt,
            }],
            max_tokens: *tokens,
            stream: *streamed,
        })
    } else {
        serde_json::to_vec(&CompletionBody {
            model,
            prompt,
            max_tokens: *tokens,
            stream: *streamed,
        })
    };
    encoded.unwrap_or_default()
}

fn post(
    agent: &ureq::Agent,
    url: &str,
    context: &CallContext,
) -> ureq::RequestBuilder<ureq::typestate::WithBody> {
    let request = agent.post(url).header("content-type", "application/json");
    with_headers(request, context)
}

fn with_headers<B>(
    request: ureq::RequestBuilder<B>,
    context: &CallContext,
) -> ureq::RequestBuilder<B> {
    let request = request
        .header("authorization", format!("Bearer {}", context.api_key))
        .header(wire::REQUEST_ID_HEADER, context.request_id)
        .header(
            wire::DEADLINE_HEADER,
            context.time_left.as_millis().to_string(),
        );
    match context.key {
        Some(key) => request.header(wire::KEY_HEADER, key),
        None => request,
    }
}

fn header<'a>(response: &'a HttpResponse, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn read_refusal(mut response: HttpResponse) -> Outcome {
    let status = response.status().as_u16();
    let executed = header(&response, wire::EXECUTED_HEADER).map(str::to_owned);
    let retry_after = header(&response, wire::RETRY_AFTER_HEADER).map(str::to_owned);
    let body = response.body_mut().read_to_vec().unwrap_or_default();
    match check_refusal(status, executed.as_deref(), retry_after.as_deref(), &body) {
        Ok(refusal) => Outcome::Refused {
            status,
            code: refusal.code,
            executed: refusal.executed,
            retry_after_seconds: refusal.retry_after_seconds,
        },
        Err(fault) => Outcome::FaultyRefusal { status, fault },
    }
}

fn is_replayed(response: &HttpResponse) -> bool {
    header(response, wire::REPLAYED_HEADER).is_some()
}

fn expected_response(planned: &PlannedRequest) -> Vec<String> {
    match &planned.target {
        Target::Tokens {
            model,
            version,
            adapter,
            chat,
            prompt,
            tokens,
            ..
        } => {
            let prompt = if *chat {
                chat_prompt([(CHAT_ROLE, prompt.as_str())])
            } else {
                prompt.clone()
            };
            expected_tokens(model, version, adapter.as_ref(), &prompt, *tokens)
        }
        _ => Vec::new(),
    }
}

fn read_stream(response: HttpResponse, planned: &PlannedRequest) -> CallResult {
    let status = response.status().as_u16();
    let replayed = is_replayed(&response);
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut reading = StreamReading::default();
    let ended = loop {
        match next_event(&mut reader) {
            Ok(Some(StreamEvent::Text(text))) => reading.append_text(&text),
            Ok(Some(StreamEvent::Empty)) => {}
            Ok(Some(StreamEvent::End)) => break true,
            Ok(Some(StreamEvent::Error(code, executed))) => {
                reading.error = Some((code, executed.unwrap_or(Executed::Unknown)));
            }
            Ok(None) | Err(_) => break false,
        }
    };
    let expected = expected_response(planned);
    let tokens = tokens_received(&expected, &reading.text);
    let verdict = check_tokens(&expected, &reading.text, ended);
    let outcome = match reading.error {
        // An error event ends a stream validly unless the text before it is wrong.
        Some((code, executed)) if verdict == AnswerVerdict::Truncated => Outcome::Refused {
            status,
            code,
            executed,
            retry_after_seconds: None,
        },
        _ => Outcome::Answered {
            status,
            verdict,
            replayed,
        },
    };
    CallResult {
        outcome,
        first: reading.first,
        longest_pause: reading.longest_pause,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
    }
}

#[derive(Default)]
struct StreamReading {
    text: String,
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
    error: Option<(String, Executed)>,
}

impl StreamReading {
    fn append_text(&mut self, text: &str) {
        let now = Instant::now();
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.text.push_str(text);
    }
}

#[derive(Deserialize)]
struct CompletionResponse {
    choices: Vec<ResponseChoice>,
}

#[derive(Deserialize)]
struct ResponseChoice {
    text: Option<String>,
    message: Option<ResponseMessage>,
}

#[derive(Deserialize)]
struct ResponseMessage {
    content: String,
}

/// Returns the text of a completion; `None` if the body is not a valid response.
fn response_text(body: &[u8]) -> Option<String> {
    let answer: CompletionResponse = serde_json::from_slice(body).ok()?;
    let choice = answer.choices.into_iter().next()?;
    let from_message = choice.message.map(|message| message.content);
    choice.text.or(from_message)
}

/// Reads a body; the flag is false if reading failed before the end.
fn read_body(response: HttpResponse) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(MAXIMUM_BODY_BYTES);
    let complete = reader.read_to_end(&mut body).is_ok();
    (body, complete)
}

fn read_completion(response: HttpResponse, planned: &PlannedRequest) -> CallResult {
    let status = response.status().as_u16();
    let replayed = is_replayed(&response);
    let (body, complete) = read_body(response);
    let expected = expected_response(planned);
    let text = response_text(&body);
    let (verdict, tokens) = match &text {
        Some(text) => (
            check_tokens(&expected, text, complete),
            tokens_received(&expected, text),
        ),
        None if complete => (AnswerVerdict::Foreign, 0),
        None => (AnswerVerdict::Truncated, 0),
    };
    CallResult {
        outcome: Outcome::Answered {
            status,
            verdict,
            replayed,
        },
        // A response that is not streamed has no time to first token.
        first: None,
        longest_pause: Duration::ZERO,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
    }
}

fn read_web(response: HttpResponse, planned: &PlannedRequest, key: &str) -> CallResult {
    let status = response.status().as_u16();
    let replayed = is_replayed(&response);
    let first = Some(Instant::now());
    let (body, complete) = read_body(response);
    let verdict = match &planned.target {
        _ if !complete => AnswerVerdict::Truncated,
        Target::WebWrite { path, .. } => check_run(path, key, &body),
        Target::WebRead { path, .. } => check_page(path, &body),
        Target::Tokens { .. } => AnswerVerdict::Foreign,
    };
    CallResult {
        outcome: Outcome::Answered {
            status,
            verdict,
            replayed,
        },
        first,
        longest_pause: Duration::ZERO,
        tokens: 0,
    }
}
