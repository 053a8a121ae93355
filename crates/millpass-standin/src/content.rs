//! Generates completions and pages as pure functions of the request, so that callers can verify that a
//! response is complete and theirs, and a resumed stream continues with the same text.

use millpass_proto::{AdapterName, ModelName, VersionLabel};

/// Prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;
/// Maximum number of prompt blocks that the prefix cache considers.
pub const MAXIMUM_BLOCKS: usize = 256;
/// Marker that precedes the caller's nonce in a prompt.
pub const NONCE_MARK: &str = "nonce=";
/// Maximum length in bytes of a nonce that is echoed in tokens.
pub const MAXIMUM_NONCE_BYTES: usize = 32;

/// Generated text of one completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    seed: u64,
    nonce: String,
}

impl Completion {
    /// Creates the completion of `prompt` by this model, version and optional adapter.
    pub fn new(
        model: &ModelName,
        version: &VersionLabel,
        adapter: Option<&AdapterName>,
        prompt: &str,
    ) -> Self {
        let adapter = adapter.map_or("", AdapterName::as_str);
        let seed = hash_parts(&[model.as_str(), version.as_str(), adapter, prompt]);
        Completion {
            seed,
            nonce: nonce_of(prompt).unwrap_or("-").to_owned(),
        }
    }

    /// Returns the token at `position`, counted from 0.
    pub fn token(&self, position: u32) -> String {
        let word = mix(self.seed ^ mix(u64::from(position) + 1)) as u32;
        format!("{}.{position}.{word:08x} ", self.nonce)
    }

    /// Returns the tokens `from..to` as text.
    pub fn text(&self, from: u32, to: u32) -> String {
        (from..to).map(|position| self.token(position)).collect()
    }

    /// Whether `text` is exactly the tokens `from..to`.
    pub fn matches(&self, from: u32, to: u32, text: &str) -> bool {
        self.text(from, to) == text
    }
}

/// Returns the caller's nonce: the word after the last `nonce=` in the prompt, if it is valid.
pub fn nonce_of(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.rsplit_once(NONCE_MARK)?;
    let word = rest.split_whitespace().next()?;
    let is_plain = word
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    (is_plain && word.len() <= MAXIMUM_NONCE_BYTES).then_some(word)
}

/// Number of tokens of a prompt: its words, but at least one.
pub fn prompt_tokens(prompt: &str) -> u32 {
    let words = prompt.split_whitespace().count().max(1);
    u32::try_from(words).unwrap_or(u32::MAX)
}

/// Returns the chained hashes of a prompt's full blocks, one for each cacheable prefix. The hashes
/// include the adapter, because it changes the cached values.
pub fn prefix_blocks(adapter: Option<&AdapterName>, prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt
        .split_whitespace()
        .take(BLOCK_TOKENS * MAXIMUM_BLOCKS)
        .collect();
    let mut chain = hash_parts(&[adapter.map_or("", AdapterName::as_str)]);
    let mut hashes = Vec::new();
    for block in words.chunks_exact(BLOCK_TOKENS) {
        chain = mix(chain ^ hash_parts(block));
        hashes.push(chain);
    }
    hashes
}

/// Hashes a list of texts together with their lengths.
fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Mixes a number with the SplitMix64 finalizer.
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Joins chat messages into one prompt, one `role: text` line each.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let lines = messages.into_iter();
    lines
        .map(|(role, text)| format!("{role}: {text}\n"))
        .collect()
}

/// Returns the page of a path; the same for all back ends of a group.
pub fn page(path: &str) -> String {
    const PAGE_LINES: u64 = 16;
    let seed = hash_parts(&["page", path]);
    let lines = (0..PAGE_LINES).map(|line| format!("<p>{line}: {:016x}</p>\n", mix(seed ^ line)));
    format!(
        "<!doctype html>\n<title>{path}</title>\n{}",
        lines.collect::<String>()
    )
}
