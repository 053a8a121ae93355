//! Fingerprints shared by all attempts of a request, at any gateway.

use millpass_proto::{RequestFingerprint, RouteSpec, TenantAccess};

/// The parts of a request that all its attempts have in common. Attempt, deadline and other headers
/// differ between attempts and are excluded.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Tenant; none where callers need no key. Two tenants never share a fingerprint.
    pub tenant: Option<&'a TenantAccess>,
    /// Route, with its host as configured.
    pub route: &'a RouteSpec,
    /// Method.
    pub method: &'a str,
    /// Path with query, as sent.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the first 128 bits of a BLAKE3 hash: collisions cannot be crafted.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let tenant = self.tenant.map_or("", |tenant| tenant.name.0.as_str());
        let mut hasher = blake3::Hasher::new();
        for part in [tenant, &self.route.host, self.method, self.path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body);
        let hash = hasher.finalize();
        let half = |from: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&hash.as_bytes()[from..from + 8]);
            u64::from_le_bytes(bytes)
        };
        RequestFingerprint {
            high: half(0),
            low: half(8),
        }
    }
}
