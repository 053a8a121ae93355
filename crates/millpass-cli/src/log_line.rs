//! Parses log lines of gateways and members.

use std::collections::BTreeMap;

/// A line of key=value pairs.
pub(crate) struct LogLine {
    prefix_seconds: Option<f64>,
    pub(crate) pairs: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line. Words before the first pair are a prefix, of which the first number is the
    /// time in seconds.
    pub(crate) fn parse(line: &str) -> LogLine {
        let mut parsed = LogLine {
            prefix_seconds: None,
            pairs: BTreeMap::new(),
        };
        let mut rest = line.trim_start();
        while !rest.is_empty() {
            let word_end = rest.find(char::is_whitespace).unwrap_or(rest.len());
            let Some((key, _)) = rest[..word_end].split_once('=') else {
                if parsed.pairs.is_empty() && parsed.prefix_seconds.is_none() {
                    let seconds = rest[..word_end].parse().ok();
                    parsed.prefix_seconds = seconds.filter(|seconds: &f64| *seconds >= 0.0);
                }
                rest = rest[word_end..].trim_start();
                continue;
            };
            let (value, after) = take_value(&rest[key.len() + 1..]);
            parsed.pairs.insert(key.to_owned(), value);
            rest = after.trim_start();
        }
        parsed
    }

    /// Returns the value of a key; empty if the line lacks it.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    /// Returns the value of a key as a number.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.text(key).parse().ok()
    }

    /// Returns when the line was written: milliseconds of its `at_unix_ms`, or of its prefix.
    pub(crate) fn time_ms(&self) -> Option<u64> {
        let from_prefix = self
            .prefix_seconds
            .map(|seconds| (seconds * 1_000.0) as u64);
        self.number("at_unix_ms").or(from_prefix)
    }
}

/// Splits a plain or quoted value from the rest of a line.
fn take_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &quoted[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            _ => value.push(character),
        }
    }
    (value, "")
}
