//! Which prompt parts an instance has lately read, as far as this gateway's own sends tell.

use crate::request::RequestDescription;
use millpass_proto::Timestamp;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most beginnings of prompts remembered for one instance.
const MAXIMUM_BEGINNINGS: usize = 192;

/// A beginning of a prompt: all parts up to one of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beginning {
    /// Hash of the parts, and of the model and adapter that they are for.
    pub(crate) hash: u64,
    /// Tokens of the last of the parts.
    pub(crate) tokens: u32,
}

/// Beginnings of prompts, by hash, and when each was last sent.
#[derive(Debug, Default)]
pub(crate) struct PromptIndex {
    beginnings: HashMap<u64, Timestamp>,
}

impl PromptIndex {
    /// The beginnings that were sent here before, and the rest.
    pub(crate) fn split<'a>(
        &self,
        beginnings: &'a [Beginning],
    ) -> (&'a [Beginning], &'a [Beginning]) {
        let known = beginnings
            .iter()
            .take_while(|beginning| self.beginnings.contains_key(&beginning.hash))
            .count();
        beginnings.split_at(known)
    }

    /// Notes a prompt that is sent.
    pub(crate) fn note(&mut self, now: Timestamp, beginnings: &[Beginning]) {
        for beginning in beginnings {
            self.beginnings.insert(beginning.hash, now);
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
pub(crate) fn all_tokens(beginnings: &[Beginning]) -> u32 {
    beginnings.iter().map(|beginning| beginning.tokens).sum()
}

/// The beginnings of a prompt, the shortest first. Parts count only
/// for the same model and adapter, and only behind the same parts.
pub(crate) fn beginnings(description: &RequestDescription) -> Vec<Beginning> {
    let mut hasher = DefaultHasher::new();
    description.model.hash(&mut hasher);
    description.adapter.hash(&mut hasher);
    description
        .prompt
        .iter()
        .map(|part| {
            part.identity.hash(&mut hasher);
            Beginning {
                hash: hasher.finish(),
                tokens: part.tokens,
            }
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
