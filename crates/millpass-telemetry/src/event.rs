//! The form of an event's line.

use std::fmt::Write as _;

/// One event as `event=NAME key=value ...`; values with spaces, quotes or `=` are quoted.
pub fn event_line(name: &str, pairs: &[(&str, String)]) -> String {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t', '\r']);
        // Writing to a string cannot fail.
        let _ = if plain {
            write!(line, " {key}={value}")
        } else {
            write!(line, " {key}={value:?}")
        };
    }
    line
}
