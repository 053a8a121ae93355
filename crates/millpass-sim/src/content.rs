//! Content of answers as a pure function of the request, so that a caller can verify its answer.

use millpass_checkers::{AnswerDigest, RequestId, ScopedKey};

/// Seed of the content of an answer: the request id, or the claim key, which several requests may
/// share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSeed(pub u64);

impl ContentSeed {
    /// Returns the seed of the answer to a request.
    pub fn of(request: RequestId, key: Option<&ScopedKey>) -> Self {
        match key {
            None => ContentSeed(mix(request.0)),
            Some(key) => ContentSeed(hash_text(&format!("{} {}", key.tenant, key.key))),
        }
    }

    /// Returns the token at a position.
    pub fn token(&self, position: u64) -> u64 {
        mix(self.0 ^ mix(position + 1))
    }

    /// Returns the tokens from `from` up to `to`, exclusive.
    pub fn tokens(&self, from: u64, to: u64) -> Vec<u64> {
        (from..to).map(|position| self.token(position)).collect()
    }

    /// Returns the digest of a complete answer of this length.
    pub fn digest(&self, length: u64) -> AnswerDigest {
        let mut digest = RunningDigest::default();
        digest.extend(&self.tokens(0, length));
        digest.value()
    }
}

/// Incremental digest of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunningDigest(u64);

impl RunningDigest {
    /// Adds tokens in order of arrival.
    pub fn extend(&mut self, tokens: &[u64]) {
        for token in tokens {
            self.0 = mix(self.0.rotate_left(5) ^ token);
        }
    }

    /// Returns the digest of the tokens so far.
    pub fn value(&self) -> AnswerDigest {
        AnswerDigest(self.0)
    }
}

/// Encodes tokens as bytes, for recorded answers.
pub fn to_bytes(tokens: &[u64]) -> Vec<u8> {
    tokens
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect()
}

/// Decodes the bytes of [`to_bytes`].
pub fn from_bytes(bytes: &[u8]) -> Vec<u64> {
    let words = bytes.chunks_exact(8);
    words
        .filter_map(|word| word.try_into().ok())
        .map(u64::from_le_bytes)
        .collect()
}

/// Returns the hash of a text, stable over runs.
pub fn hash_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
