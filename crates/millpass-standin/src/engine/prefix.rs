//! Prefix cache of one slot: blocks of prompts, least recently used out first.

use millpass_proto::CacheChange;
use std::collections::BTreeMap;

/// A change of the cache, to be published.
pub type PrefixChange = (u64, CacheChange);

/// Cached blocks of one slot. The memory they may take shrinks while requests run: both share
/// the slot's cache memory.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    recency_by_block: BTreeMap<u64, u64>,
    blocks_by_recency: BTreeMap<u64, u64>,
    recency: u64,
}

impl PrefixCache {
    /// Number of blocks cached.
    pub fn len(&self) -> usize {
        self.recency_by_block.len()
    }

    /// Whether this block is cached.
    pub fn contains(&self, block: u64) -> bool {
        self.recency_by_block.contains_key(&block)
    }

    /// Number of leading blocks that are cached; they become the most recent ones.
    pub fn use_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count();
        self.touch_all(&blocks[..cached]);
        cached
    }

    /// Number of leading blocks that are cached, left as they are.
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count()
    }

    /// Caches blocks, as far as `room` (in blocks) allows.
    pub fn insert(&mut self, blocks: &[u64], capacity: usize, changes: &mut Vec<PrefixChange>) {
        let kept = &blocks[..blocks.len().min(capacity)];
        for block in kept {
            if !self.contains(*block) {
                changes.push((*block, CacheChange::Inserted));
            }
        }
        self.touch_all(kept);
        self.shrink(capacity, changes);
    }

    /// Evicts the least recently used blocks until at most `room` are left.
    pub fn shrink(&mut self, capacity: usize, changes: &mut Vec<PrefixChange>) {
        while self.len() > capacity {
            let Some((_, block)) = self.blocks_by_recency.pop_first() else {
                return;
            };
            self.recency_by_block.remove(&block);
            changes.push((block, CacheChange::Evicted));
        }
    }

    /// Makes a prefix the most recent one, its first block most of all: a prefix without its
    /// first block is of no use, so it goes last.
    fn touch_all(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
    }

    fn touch(&mut self, block: u64) {
        self.recency += 1;
        if let Some(before) = self.recency_by_block.insert(block, self.recency) {
            self.blocks_by_recency.remove(&before);
        }
        self.blocks_by_recency.insert(self.recency, block);
    }
}
