//! Prometheus metrics in the text format.

use prometheus::{Encoder, Registry, TextEncoder};

/// A registry whose metric names all start with `millpass_`.
pub fn registry() -> Registry {
    // Only an empty prefix is refused.
    Registry::new_custom(Some("millpass".to_owned()), None).unwrap_or_default()
}

/// The registry's metrics as Prometheus text.
pub fn exposition(registry: &Registry) -> String {
    let mut text = Vec::new();
    if TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .is_err()
    {
        return String::new();
    }
    String::from_utf8(text).unwrap_or_default()
}
