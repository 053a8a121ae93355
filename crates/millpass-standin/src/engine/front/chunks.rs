//! JSON bodies and stream events in the format of the OpenAI API.

use super::calls::{Api, Call};
use bytes::Bytes;
use serde::Serialize;

/// Last event of a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
/// All requested tokens were emitted.
const FINISH_REASON: &str = "length";

#[derive(Serialize)]
struct Envelope<'a, Choice: Serialize> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    system_fingerprint: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: Message<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct MessageChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// Creates a stream event with one token.
pub fn token_event(call: &Call, position: u32, is_last: bool) -> Bytes {
    let text = call.completion.token(position);
    let finish_reason = is_last.then_some(FINISH_REASON);
    let json = match call.api {
        Api::Completions => {
            let choice = TextChoice {
                index: 0,
                text: &text,
                finish_reason,
            };
            to_json(&envelope(call, "text_completion", choice, None))
        }
        Api::Chat => {
            let choice = DeltaChoice {
                index: 0,
                delta: Message {
                    role: (position == 0).then_some("assistant"),
                    content: &text,
                },
                finish_reason,
            };
            to_json(&envelope(call, "chat.completion.chunk", choice, None))
        }
    };
    event(&json)
}

/// Creates the stream event that states why a stream is aborted.
pub fn error_event(code: &str, message: &str) -> Bytes {
    let json = serde_json::json!({
        "error": {"code": code, "message": message, "executed": "yes"}
    });
    event(json.to_string().as_bytes())
}

/// Creates the body of a response without streaming, with the tokens `from..to`.
pub fn full_completion(call: &Call, from: u32, to: u32) -> Vec<u8> {
    let text = call.completion.text(from, to);
    let completion_tokens = to - from;
    let usage = Some(Usage {
        prompt_tokens: call.request.prompt_tokens,
        completion_tokens,
        total_tokens: call.request.prompt_tokens.saturating_add(completion_tokens),
    });
    let finish_reason = Some(FINISH_REASON);
    match call.api {
        Api::Completions => {
            let choice = TextChoice {
                index: 0,
                text: &text,
                finish_reason,
            };
            to_json(&envelope(call, "text_completion", choice, usage))
        }
        Api::Chat => {
            let choice = MessageChoice {
                index: 0,
                message: Message {
                    role: Some("assistant"),
                    content: &text,
                },
                finish_reason,
            };
            to_json(&envelope(call, "chat.completion", choice, usage))
        }
    }
}

fn envelope<'a, Choice: Serialize>(
    call: &'a Call,
    object: &'static str,
    choice: Choice,
    usage: Option<Usage>,
) -> Envelope<'a, Choice> {
    Envelope {
        id: &call.request.request_id,
        object,
        // Responses are pure functions of the request, so they contain no wall-clock time.
        created: 0,
        model: call.model.as_str(),
        system_fingerprint: call.version.as_str(),
        choices: [choice],
        usage,
    }
}

/// Serialization cannot fail: the types hold only strings and numbers.
fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn event(json: &[u8]) -> Bytes {
    let mut bytes = Vec::with_capacity(json.len() + 8);
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(json);
    bytes.extend_from_slice(b"\n\n");
    Bytes::from(bytes)
}
