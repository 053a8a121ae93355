//! Parses completion requests: the body of each API, and the headers that routers add.

use crate::content::{self, Completion};
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

/// Completion length if the caller names none.
const DEFAULT_MAXIMUM_TOKENS: u32 = 16;
/// Separator between model and adapter in the body's `model`.
const ADAPTER_SEPARATOR: char = ':';
/// Id of no slot: slot ids are log positions, which start at 1.
const NO_SLOT: SlotId = SlotId(0);

/// Completion API of a request.
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

/// Body fields common to both APIs.
struct Body {
    model: Option<String>,
    prompt: String,
    maximum_tokens: u32,
    is_streamed: bool,
}

impl Body {
    fn parse(api: Api, bytes: &[u8]) -> Result<Self, Box<Response>> {
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
    pub api: Api,
    /// Whether the response is streamed.
    pub is_streamed: bool,
    /// Requested model; empty if its slot is not loaded.
    pub model: ModelName,
    pub version: VersionLabel,
    pub completion: Completion,
    /// Request for the batch scheduler; its handle is set on submission.
    pub request: EngineRequest,
}

/// A parsed request whose slot has not been resolved.
pub struct Parsed {
    api: Api,
    body: Body,
    headers: Headers,
    adapter: Option<AdapterName>,
    prompt_tokens: u32,
    prefix_blocks: Vec<u64>,
}

/// Engine state that a request depends on.
pub struct SlotView {
    /// Resolved slot; [`NO_SLOT`] if none was found, which the model refuses and counts.
    slot: SlotId,
    /// Model and version of the slot, if it is loaded.
    loaded: Option<(ModelName, VersionLabel)>,
    /// Maximum number of tokens of a completion.
    maximum_tokens: u32,
    /// Current time.
    now: Timestamp,
}

impl Parsed {
    /// Parses headers and body.
    pub fn read(api: Api, request: &Request) -> Result<Self, Box<Response>> {
        let body = Body::parse(api, &request.body)?;
        let headers = Headers::parse(&request.headers)?;
        let model_adapter = split_model(body.model.as_deref()).1;
        let adapter = headers.adapter.clone().or(model_adapter);
        Ok(Parsed {
            api,
            prompt_tokens: content::prompt_tokens(&body.prompt),
            prefix_blocks: content::prefix_blocks(adapter.as_ref(), &body.prompt),
            body,
            headers,
            adapter,
        })
    }

    /// Resolves the slot: the one named, or the first that has the model.
    pub fn find_slot(&self, model: &EngineModel, now: Timestamp) -> SlotView {
        let named = split_model(self.body.model.as_deref()).0;
        let slot = self.headers.slot.or_else(|| model.slot_of_model(named?));
        let slot = slot.unwrap_or(NO_SLOT);
        let loaded = model.loaded_model(slot);
        SlotView {
            slot,
            loaded: loaded.map(|(name, version)| (name.clone(), version.clone())),
            maximum_tokens: model.settings().limits.maximum_tokens,
            now,
        }
    }

    /// Creates the call for the resolved slot.
    pub fn into_call(self, view: SlotView, clock: ScaledClock) -> Call {
        let unknown = || (ModelName::from(""), VersionLabel::from(""));
        let (model, version) = view.loaded.unwrap_or_else(unknown);
        let headers = self.headers;
        let timeout = headers.timeout.map(|timeout| clock.to_simulated(timeout));
        Call {
            api: self.api,
            is_streamed: self.body.is_streamed,
            completion: Completion::new(&model, &version, self.adapter.as_ref(), &self.body.prompt),
            model,
            version,
            request: EngineRequest {
                handle: RequestHandle(0),
                request_id: headers.request_id.unwrap_or_default(),
                tenant: headers.tenant,
                slot: view.slot,
                incarnation: headers.incarnation,
                prompt_tokens: self.prompt_tokens,
                prefix_blocks: self.prefix_blocks,
                adapter: self.adapter,
                urgency: headers.urgency,
                maximum_tokens: self.body.maximum_tokens.min(view.maximum_tokens),
                resume_from: headers.resume_from,
                deadline: timeout.map(|timeout| view.now + timeout),
                idempotency_key: headers.idempotency_key,
            },
        }
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
    timeout: Option<Duration>,
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
            timeout: header_number(headers, "millpass-deadline-ms")?.map(Duration::from_millis),
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

/// Splits `model` or `model:adapter`.
fn split_model(model: Option<&str>) -> (Option<&str>, Option<AdapterName>) {
    match model.and_then(|name| name.split_once(ADAPTER_SEPARATOR)) {
        Some((name, adapter)) => (Some(name), Some(AdapterName::from(adapter))),
        None => (model, None),
    }
}
