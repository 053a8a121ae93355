//! Hashes of API keys and the tenants that own them. Keys are hashed when a request is read and
//! never stored.

use millpass_proto::TenantName;
use std::collections::HashMap;
use std::fmt;

/// Maximum length of a key in bytes; longer keys are invalid.
pub const MAXIMUM_KEY_BYTES: usize = 1_024;

/// BLAKE3 hash of an API key; compared in constant time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        KeyHash(blake3::hash(key))
    }

    /// Parses a hash in hexadecimal; `None` if the text is not a hash.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(KeyHash)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.to_hex())
    }
}

/// The key sent with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    #[default]
    Missing,
    /// Hash of the key.
    One(KeyHash),
    /// Several keys, an empty key or one that is too long.
    Unusable,
}

impl PresentedKey {
    /// Reads the key from the values of a header, which must occur once.
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

/// Maps key hashes to tenants.
#[derive(Clone, Debug, Default)]
pub struct KeyDirectory {
    tenants: HashMap<KeyHash, TenantName>,
}

impl KeyDirectory {
    /// Adds keys of a tenant, as hexadecimal hashes; other texts are ignored.
    pub fn add(&mut self, tenant: &TenantName, hashes: &[String]) {
        for hash in hashes.iter().filter_map(|hash| KeyHash::from_hex(hash)) {
            self.tenants.insert(hash, tenant.clone());
        }
    }

    /// Removes keys of a tenant. Keys that were since added for another tenant are kept.
    pub fn remove(&mut self, tenant: &TenantName, hashes: &[String]) {
        for hash in hashes.iter().filter_map(|hash| KeyHash::from_hex(hash)) {
            if self.tenants.get(&hash) == Some(tenant) {
                self.tenants.remove(&hash);
            }
        }
    }

    /// Returns the tenant that owns a key.
    pub fn tenant(&self, key: &KeyHash) -> Option<&TenantName> {
        self.tenants.get(key)
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.tenants.clear();
    }
}
