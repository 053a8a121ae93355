//! Identifies a stream.

use millpass_proto::{StreamKey, TenantName};

/// Returns the key of the stream that an attempt began. Tenants and routes never share a key, and a
/// key does not show the attempt.
pub fn stream_key(tenant: Option<&TenantName>, route: &str, attempt: &str) -> StreamKey {
    let mut hasher = blake3::Hasher::new();
    let tenant = tenant.map_or("", TenantName::as_str);
    for part in [tenant, route, attempt] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let hash = hasher.finalize();
    let half = |from: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[from..from + 8]);
        u64::from_le_bytes(bytes)
    };
    StreamKey {
        high: half(0),
        low: half(8),
    }
}
