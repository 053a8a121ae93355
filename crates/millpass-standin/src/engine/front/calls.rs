//! Reads a completion request: body by API, and the headers that routers add.

use crate::content::{self, Answer};
use crate::engine::messages::{EngineRequest, RequestHandle};
use crate::engine::model::EngineModel;
use crate::run::{ScaledClock, header_number, header_text, malformed_header, parse_json};
use http::HeaderMap;
use millpass_http::{Request, Response};
use millpass_proto::{
    AdapterName, Duration, Incarnation, ModelName, SlotId, TenantName, Timestamp, Urgency,
    VersionLabel,
};
use serde::Deserialize;

/// Tokens of an answer when the caller names none.
const DEFAULT_MAXIMUM_TOKENS: u32 = 16;
/// What separates a model from an adapter in the body's `model`.
const ADAPTER_MARK: char = ':';

/// Which of the two APIs is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: Option<String>,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: Option<String>,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// What the body says.
pub struct Body {
    model: Option<String>,
    prompt: String,
    maximum_tokens: u32,
    is_streamed: bool,
}

impl Body {
    /// Reads the body.
    pub fn parse(api: Api, bytes: &[u8]) -> Result<Self, Box<Response>> {
        match api {
            Api::Completions => {
                let body: CompletionBody = parse_json(bytes)?;
                Ok(Body {
                    model: body.model,
                    prompt: body.prompt,
                    maximum_tokens: body.max_tokens.unwrap_or(DEFAULT_MAXIMUM_TOKENS),
                    is_streamed: body.stream,
                })
            }
            Api::Chat => {
                let body: ChatBody = parse_json(bytes)?;
                let messages = body.messages.iter();
                let lines = messages.map(|one| (one.role.as_str(), one.content.as_str()));
                let maximum = body.max_completion_tokens.or(body.max_tokens);
                Ok(Body {
                    prompt: content::chat_prompt(lines),
                    model: body.model,
                    maximum_tokens: maximum.unwrap_or(DEFAULT_MAXIMUM_TOKENS),
                    is_streamed: body.stream,
                })
            }
        }
    }
}

/// One completion request, ready for the model.
pub struct Call {
    /// Which API.
    pub api: Api,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Model that answers.
    pub model: ModelName,
    /// Its version.
    pub version: VersionLabel,
    /// Text of the answer.
    pub answer: Answer,
    /// What the batch gets to see. The driver sets the handle.
    pub request: EngineRequest,
}

impl Call {
    /// Reads headers and body, and finds the slot.
    pub fn parse(
        api: Api,
        request: &Request,
        model: &EngineModel,
        clock: ScaledClock,
        now: Timestamp,
    ) -> Result<Self, Box<Response>> {
        let body = Body::parse(api, &request.body)?;
        let headers = Headers::parse(&request.headers)?;
        let (named, body_adapter) = split_model(body.model.as_deref());
        let slot = headers.slot.or_else(|| model.slot_of_model(named?));
        let loaded = slot.and_then(|slot| Some((slot, model.loaded_model(slot)?)));
        // A slot that is not loaded here goes to the model all the same: it refuses and counts.
        let slot = slot.unwrap_or(SlotId(0));
        let (name, version) = match loaded {
            Some((_, (name, version))) => (name.clone(), version.clone()),
            None => (ModelName::from(""), VersionLabel::from("")),
        };
        let limit = model.settings().limits.maximum_tokens;
        let adapter = headers.adapter.or(body_adapter);
        let deadline = headers
            .deadline
            .map(|remaining| now + clock.to_simulated(remaining));
        Ok(Call {
            api,
            is_streamed: body.is_streamed,
            answer: Answer::new(&name, &version, adapter.as_ref(), &body.prompt),
            model: name,
            version,
            request: EngineRequest {
                handle: RequestHandle(0),
                request_id: headers.request_id.unwrap_or_default(),
                tenant: headers.tenant,
                slot,
                incarnation: headers.incarnation,
                prompt_tokens: content::prompt_tokens(&body.prompt),
                prefix_blocks: content::prefix_blocks(adapter.as_ref(), &body.prompt),
                adapter,
                urgency: headers.urgency,
                maximum_tokens: body.maximum_tokens.min(limit),
                resume_from: headers.resume_from,
                deadline,
                idempotency_key: headers.idempotency_key,
            },
        })
    }
}

/// Headers that routers add.
struct Headers {
    request_id: Option<String>,
    tenant: TenantName,
    slot: Option<SlotId>,
    incarnation: Option<Incarnation>,
    urgency: Urgency,
    resume_from: u32,
    deadline: Option<Duration>,
    adapter: Option<AdapterName>,
    idempotency_key: Option<String>,
}

impl Headers {
    fn parse(headers: &HeaderMap) -> Result<Self, Box<Response>> {
        let text = |name| header_text(headers, name);
        Ok(Headers {
            request_id: text("x-request-id").map(str::to_owned),
            tenant: TenantName::from(text("millpass-tenant").unwrap_or_default()),
            slot: header_number(headers, "millpass-slot")?.map(SlotId),
            incarnation: header_number(headers, "millpass-incarnation")?.map(Incarnation),
            urgency: urgency(text("millpass-priority"))?,
            resume_from: header_number(headers, "millpass-resume-from")?.unwrap_or(0),
            deadline: header_number(headers, "millpass-deadline-ms")?.map(Duration::from_millis),
            adapter: text("millpass-adapter").map(AdapterName::from),
            idempotency_key: text("idempotency-key").map(str::to_owned),
        })
    }
}

fn urgency(text: Option<&str>) -> Result<Urgency, Box<Response>> {
    match text {
        Some("interactive") => Ok(Urgency::Interactive),
        Some("normal") | None => Ok(Urgency::Normal),
        Some("batch") => Ok(Urgency::Batch),
        Some(_) => Err(malformed_header(
            "millpass-priority",
            "interactive, normal or batch",
        )),
    }
}

/// `model` or `model:adapter`.
fn split_model(model: Option<&str>) -> (Option<&str>, Option<AdapterName>) {
    match model.and_then(|name| name.split_once(ADAPTER_MARK)) {
        Some((name, adapter)) => (Some(name), Some(AdapterName::from(adapter))),
        None => (model, None),
    }
}
