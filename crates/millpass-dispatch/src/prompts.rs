//! Which prompt parts an instance has lately read, as far as this gateway's own sends tell.

use crate::request::Description;
use millpass_proto::Timestamp;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most beginnings of prompts remembered for one instance.
const MAXIMUM_BEGINNINGS: usize = 192;

/// Beginnings of prompts, by hash, and when each was last sent.
#[derive(Debug, Default)]
pub(crate) struct PromptIndex {
    beginnings: HashMap<u64, Timestamp>,
}

impl PromptIndex {
    /// Tokens of the prompt behind the beginning that was sent here before.
    pub(crate) fn unread_tokens(&self, beginnings: &[(u64, u32)]) -> u32 {
        let known: u32 = beginnings
            .iter()
            .take_while(|(hash, _)| self.beginnings.contains_key(hash))
            .map(|(_, tokens)| *tokens)
            .sum();
        all_tokens(beginnings) - known
    }

    /// Notes a prompt that is sent.
    pub(crate) fn note(&mut self, now: Timestamp, beginnings: &[(u64, u32)]) {
        for (hash, _) in beginnings {
            self.beginnings.insert(*hash, now);
        }
        if self.beginnings.len() <= MAXIMUM_BEGINNINGS {
            return;
        }
        let mut times: Vec<Timestamp> = self.beginnings.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() / 4];
        self.beginnings.retain(|_, sent| *sent >= oldest_kept);
    }

    /// What was kept of a model, or of all, is gone.
    pub(crate) fn clear(&mut self) {
        self.beginnings.clear();
    }
}

/// Tokens of a whole prompt.
pub(crate) fn all_tokens(beginnings: &[(u64, u32)]) -> u32 {
    beginnings.iter().map(|(_, tokens)| tokens).sum()
}

/// Hashes of each beginning of a prompt, with the tokens that the last part adds. Parts count only
/// for the same model and adapter, and only behind the same parts.
pub(crate) fn beginnings(description: &Description) -> Vec<(u64, u32)> {
    let mut hasher = DefaultHasher::new();
    description.model.hash(&mut hasher);
    description.adapter.hash(&mut hasher);
    description
        .prompt
        .iter()
        .map(|part| {
            part.identity.hash(&mut hasher);
            (hasher.finish(), part.tokens)
        })
        .collect()
}

/// Rank of an instance for a beginning; all gateways agree on it (rendezvous hashing).
pub(crate) fn rendezvous(beginning: u64, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    beginning.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
