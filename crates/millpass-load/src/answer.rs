//! Checks that an answer is whole and that it is the caller's own.

use millpass_standin::content::page;
use serde::{Deserialize, Serialize};

/// Verdict on the text of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// Every token, once, in order, and the explicit end.
    Whole,
    /// A correct start of the own answer that lacks its end.
    Truncated,
    /// A token appears more often than it should, or again after its place.
    Duplicated,
    /// Text that does not belong to this request.
    Foreign,
}

/// Compares the text received with the tokens expected.
///
/// `ended` says whether the explicit end was seen (`[DONE]` of a stream, or a whole body).
pub fn check_tokens(expected: &[String], received: &str, ended: bool) -> AnswerVerdict {
    let whole: String = expected.concat();
    if received == whole {
        return if ended {
            AnswerVerdict::Whole
        } else {
            AnswerVerdict::Truncated
        };
    }
    if whole.starts_with(received) {
        return AnswerVerdict::Truncated;
    }
    if is_made_of(expected, received) {
        return AnswerVerdict::Duplicated;
    }
    AnswerVerdict::Foreign
}

/// Tokens of `expected` that a correct start of the answer holds.
pub fn tokens_received(expected: &[String], received: &str) -> usize {
    let mut rest = received;
    for (count, token) in expected.iter().enumerate() {
        match rest.strip_prefix(token.as_str()) {
            Some(after) => rest = after,
            None => return count,
        }
    }
    expected.len()
}

/// Whether the text is made of own tokens only, in whatever order and number.
fn is_made_of(expected: &[String], received: &str) -> bool {
    let mut rest = received;
    let mut position = 0;
    while !rest.is_empty() {
        let in_order = expected.get(position).filter(|token| starts(rest, token));
        let found = in_order.or_else(|| expected.iter().find(|token| starts(rest, token)));
        let Some(token) = found else {
            return false;
        };
        let index = expected.iter().position(|other| other == token);
        position = index.unwrap_or(position) + 1;
        rest = &rest[token.len()..];
    }
    true
}

fn starts(text: &str, token: &str) -> bool {
    !token.is_empty() && text.starts_with(token)
}

/// Whether a page is the whole page of the path asked for.
pub fn check_page(path: &str, body: &[u8]) -> AnswerVerdict {
    let whole = page(path);
    if body == whole.as_bytes() {
        AnswerVerdict::Whole
    } else if whole.as_bytes().starts_with(body) {
        AnswerVerdict::Truncated
    } else {
        AnswerVerdict::Foreign
    }
}

#[derive(Deserialize)]
struct RunBody {
    path: String,
    key: Option<String>,
    runs: u64,
}

/// Whether the answer of a request that may not be repeated is for this key, and of its first run.
pub fn check_run(path: &str, key: &str, body: &[u8]) -> AnswerVerdict {
    let Ok(run) = serde_json::from_slice::<RunBody>(body) else {
        return AnswerVerdict::Truncated;
    };
    if run.path != path || run.key.as_deref() != Some(key) {
        AnswerVerdict::Foreign
    } else if run.runs != 1 {
        AnswerVerdict::Duplicated
    } else {
        AnswerVerdict::Whole
    }
}
