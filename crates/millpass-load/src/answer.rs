//! Checks that a response is complete and belongs to the request.

use millpass_standin::content::page;
use serde::{Deserialize, Serialize};

/// Result of checking a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// Every token once and in order, with the explicit end.
    Whole,
    /// A correct prefix of the response without its end.
    Truncated,
    /// A token is repeated or out of order.
    Duplicated,
    /// Text that does not belong to this request.
    Foreign,
}

/// Compares the received text with the expected tokens.
///
/// `ended` states whether the explicit end was received (`[DONE]` or a complete body).
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
    if consists_of_tokens(expected, received) {
        return AnswerVerdict::Duplicated;
    }
    AnswerVerdict::Foreign
}

/// Returns the number of leading `expected` tokens that `received` starts with.
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

/// Returns whether the text consists of expected tokens only, in any order and number.
fn consists_of_tokens(expected: &[String], received: &str) -> bool {
    let mut rest = received;
    let mut position = 0;
    while !rest.is_empty() {
        let in_order = expected
            .get(position)
            .filter(|token| starts_with_token(rest, token));
        let found =
            in_order.or_else(|| expected.iter().find(|token| starts_with_token(rest, token)));
        let Some(token) = found else {
            return false;
        };
        let index = expected.iter().position(|other| other == token);
        position = index.unwrap_or(position) + 1;
        rest = &rest[token.len()..];
    }
    true
}

fn starts_with_token(text: &str, token: &str) -> bool {
    !token.is_empty() && text.starts_with(token)
}

/// Checks the body of a page against the requested path.
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

/// Checks that the response to a non-idempotent request has this path and key, and that the
/// request was executed once.
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
