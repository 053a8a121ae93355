//! What the tries of one request share, at whichever gateway they arrive.

use millpass_proto::{RequestFingerprint, RouteSpec, TenantAccess};

/// The parts of a request that its tries have in common. Attempt, deadline and other headers differ between
/// tries and are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Whose it is; none where callers need no key. Two tenants never share a fingerprint.
    pub tenant: Option<&'a TenantAccess>,
    /// Its route, for the host as configured.
    pub route: &'a RouteSpec,
    /// Method.
    pub method: &'a str,
    /// Path with the query, as sent.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// The fingerprint: the first 128 bits of a BLAKE3 hash, so that nobody can make a request that is taken for
    /// another's.
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
