//! Prometheus metrics in the text format.

use prometheus::{Encoder, Registry, TextEncoder};

/// Creates a registry that prefixes metric names with `millpass_`.
pub fn registry() -> Registry {
    // Only fails for an empty prefix.
    Registry::new_custom(Some("millpass".to_owned()), None).unwrap_or_default()
}

/// Encodes the registry's metrics in the Prometheus text format; empty if encoding fails.
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
