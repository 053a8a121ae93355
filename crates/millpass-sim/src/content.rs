//! Content of answers as a pure function of what was asked, so that a caller can tell whether an
//! answer is whole and its own.

use millpass_checkers::{AnswerDigest, RequestId, ScopedKey};

/// What an answer is made from: the request, or its key when the run may stand for several
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSeed(pub u64);

impl ContentSeed {
    /// Seed of a request's answer.
    pub fn of(request: RequestId, key: Option<&ScopedKey>) -> Self {
        match key {
            None => ContentSeed(mix(request.0)),
            Some(key) => ContentSeed(hash_text(&format!("{} {}", key.tenant, key.key))),
        }
    }

    /// Token at a position.
    pub fn token(&self, position: u64) -> u64 {
        mix(self.0 ^ mix(position + 1))
    }

    /// Tokens of a stretch.
    pub fn tokens(&self, from: u64, to: u64) -> Vec<u64> {
        (from..to).map(|position| self.token(position)).collect()
    }

    /// Digest of the whole answer of this length.
    pub fn digest(&self, length: u64) -> AnswerDigest {
        let mut digest = RunningDigest::default();
        digest.extend(&self.tokens(0, length));
        digest.value()
    }
}

/// Digest of an answer as it comes in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunningDigest(u64);

impl RunningDigest {
    /// Adds tokens in the order in which they came.
    pub fn extend(&mut self, tokens: &[u64]) {
        for token in tokens {
            self.0 = mix(self.0.rotate_left(5) ^ token);
        }
    }

    /// Digest of all so far.
    pub fn value(&self) -> AnswerDigest {
        AnswerDigest(self.0)
    }
}

/// Tokens as bytes, for recorded answers.
pub fn to_bytes(tokens: &[u64]) -> Vec<u8> {
    tokens
        .iter()
        .flat_map(|token| token.to_le_bytes())
        .collect()
}

/// What [`to_bytes`] gave.
pub fn from_bytes(bytes: &[u8]) -> Vec<u64> {
    let words = bytes.chunks_exact(8);
    words
        .filter_map(|word| word.try_into().ok())
        .map(u64::from_le_bytes)
        .collect()
}

/// Hash of a text, the same in every run.
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
