//! Parses a streamed response: server-sent events with JSON chunks, terminated by `[DONE]`.

use crate::refusal::Executed;
use crate::wire::STREAM_END;
use serde::Deserialize;
use std::io::{self, BufRead};

/// Maximum bytes read per line.
const MAXIMUM_LINE_BYTES: u64 = 1024 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Text of one or more tokens.
    Text(String),
    /// A chunk without text, such as one with the finish reason.
    Empty,
    /// An error reported inside the stream: code, and whether the request was executed.
    Error(String, Option<Executed>),
    /// End of the stream.
    End,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ChunkError>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ChunkError {
    code: Option<String>,
    executed: Option<String>,
}

/// Reads the next event; `None` at end of input.
pub fn next_event(reader: &mut impl BufRead) -> io::Result<Option<StreamEvent>> {
    loop {
        let mut line = String::new();
        let read = io::Read::take(&mut *reader, MAXIMUM_LINE_BYTES).read_line(&mut line)?;
        if read == 0 {
            return Ok(None);
        }
        if let Some(data) = line.trim_end().strip_prefix("data:") {
            return parse_event(data.trim()).map(Some);
        }
    }
}

fn parse_event(data: &str) -> io::Result<StreamEvent> {
    if data == STREAM_END {
        return Ok(StreamEvent::End);
    }
    let chunk: Chunk = serde_json::from_str(data).map_err(io::Error::other)?;
    if let Some(error) = chunk.error {
        let code = error.code.unwrap_or_else(|| "no-code".to_owned());
        let executed = error.executed.as_deref().and_then(Executed::parse);
        return Ok(StreamEvent::Error(code, executed));
    }
    let text = chunk.choices.into_iter().next().and_then(|choice| {
        let from_delta = choice.delta.and_then(|delta| delta.content);
        choice.text.or(from_delta)
    });
    Ok(match text {
        Some(text) if !text.is_empty() => StreamEvent::Text(text),
        _ => StreamEvent::Empty,
    })
}
