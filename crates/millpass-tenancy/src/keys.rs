//! Hashes of API keys, and whose they are. A key itself is never kept: it is hashed where a request is read.

use millpass_proto::TenantName;
use std::collections::HashMap;
use std::fmt;

/// Most bytes of a key; a longer one is nobody's.
pub const MAXIMUM_KEY_BYTES: usize = 1_024;

/// Hash of an API key. Two hashes are compared in constant time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyHash(blake3::hash(key))
    }

    /// A hash written in hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(KeyHash)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.to_hex())
    }
}

/// The key that came with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// None.
    #[default]
    Missing,
    /// One key, by its hash.
    One(KeyHash),
    /// Several keys, or something that cannot be a key.
    Unusable,
}

impl PresentedKey {
    /// The key among the values of a request's header for keys: exactly one of them, not empty.
    pub fn from_header_values<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(first) = values.next() else {
            return PresentedKey::Missing;
        };
        let usable = !first.is_empty() && first.len() <= MAXIMUM_KEY_BYTES;
        if !usable || values.next().is_some() {
            return PresentedKey::Unusable;
        }
        PresentedKey::One(KeyHash::of(first))
    }
}

/// Whose each key is.
#[derive(Clone, Debug, Default)]
pub struct KeyDirectory {
    tenants: HashMap<KeyHash, TenantName>,
}

impl KeyDirectory {
    /// Gives a tenant these keys, as hashes in hexadecimal digits. What is no hash is nobody's key.
    pub fn add(&mut self, tenant: &TenantName, hashes: &[String]) {
        for hash in hashes.iter().filter_map(|hash| KeyHash::from_hex(hash)) {
            self.tenants.insert(hash, tenant.clone());
        }
    }

    /// Takes these keys from a tenant; one that is another tenant's by now stays that one's.
    pub fn remove(&mut self, tenant: &TenantName, hashes: &[String]) {
        for hash in hashes.iter().filter_map(|hash| KeyHash::from_hex(hash)) {
            if self.tenants.get(&hash) == Some(tenant) {
                self.tenants.remove(&hash);
            }
        }
    }

    /// Whose a key is.
    pub fn tenant(&self, key: &KeyHash) -> Option<&TenantName> {
        self.tenants.get(key)
    }

    /// Forgets all keys.
    pub fn clear(&mut self) {
        self.tenants.clear();
    }
}
