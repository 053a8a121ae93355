//! Prompt prefixes that an instance has recently read, as far as this gateway sent them.

use crate::request::RequestDescription;
use millpass_proto::Timestamp;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most prefixes kept per instance.
const MAX_PREFIXES: usize = 192;

/// A prefix of a prompt, ending with one of its parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptPrefix {
    /// Hash of the parts and of their model and adapter.
    pub(crate) hash: u64,
    /// Tokens of the last part.
    pub(crate) tokens: u32,
}

/// Prefixes by hash, with the time each was last sent.
#[derive(Debug, Default)]
pub(crate) struct PromptIndex {
    prefixes: HashMap<u64, Timestamp>,
}

impl PromptIndex {
    /// Splits prefixes into those that were sent here before, and the rest.
    pub(crate) fn split<'a>(
        &self,
        prefixes: &'a [PromptPrefix],
    ) -> (&'a [PromptPrefix], &'a [PromptPrefix]) {
        let known = prefixes
            .iter()
            .take_while(|prefix| self.prefixes.contains_key(&prefix.hash))
            .count();
        prefixes.split_at(known)
    }

    /// Records a prompt that is sent.
    pub(crate) fn record(&mut self, now: Timestamp, prefixes: &[PromptPrefix]) {
        for prefix in prefixes {
            self.prefixes.insert(prefix.hash, now);
        }
        if self.prefixes.len() <= MAX_PREFIXES {
            return;
        }
        let mut times: Vec<Timestamp> = self.prefixes.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() / 4];
        self.prefixes.retain(|_, sent| *sent >= oldest_kept);
    }

    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
    }
}

pub(crate) fn total_tokens(prefixes: &[PromptPrefix]) -> u32 {
    prefixes.iter().map(|prefix| prefix.tokens).sum()
}

/// Returns the prefixes of a prompt, shortest first. Parts match only for the same model and
/// adapter and after the same parts.
pub(crate) fn prefixes(description: &RequestDescription) -> Vec<PromptPrefix> {
    let mut hasher = DefaultHasher::new();
    description.model.hash(&mut hasher);
    description.adapter.hash(&mut hasher);
    description
        .prompt
        .iter()
        .map(|part| {
            part.identity.hash(&mut hasher);
            PromptPrefix {
                hash: hasher.finish(),
                tokens: part.tokens,
            }
        })
        .collect()
}

/// Rendezvous rank of an instance for a hash, the same at every gateway.
pub(crate) fn rendezvous(prefix: u64, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
