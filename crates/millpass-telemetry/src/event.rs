//! Formatting of log events.

use std::fmt::Write as _;

/// Formats an event as `event=NAME key=value ...`. Empty values and values with whitespace, quotes or
/// `=` are quoted.
pub fn event_line(name: &str, pairs: &[(&str, String)]) -> String {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t', '\r']);
        // Writing to a `String` cannot fail.
        let _ = if plain {
            write!(line, " {key}={value}")
        } else {
            write!(line, " {key}={value:?}")
        };
    }
    line
}
