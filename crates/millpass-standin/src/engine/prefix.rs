//! Prefix cache of one slot: LRU cache of prompt blocks.

use millpass_proto::CacheChange;
use std::collections::BTreeMap;

/// A cache change to publish.
pub type PrefixChange = (u64, CacheChange);

/// Cached blocks of one slot. Cached blocks and running requests share the slot's cache memory, so the
/// capacity shrinks while requests run.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    recency_by_block: BTreeMap<u64, u64>,
    blocks_by_recency: BTreeMap<u64, u64>,
    recency: u64,
}

impl PrefixCache {
    pub fn len(&self) -> usize {
        self.recency_by_block.len()
    }

    pub fn contains(&self, block: u64) -> bool {
        self.recency_by_block.contains_key(&block)
    }

    /// Returns the number of leading blocks that are cached, and marks them as most recently used.
    pub fn use_prefix(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count();
        self.touch_all(&blocks[..cached]);
        cached
    }

    /// Returns the number of leading blocks that are cached, without changing their order.
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count()
    }

    /// Caches leading blocks up to `capacity` blocks and evicts older ones beyond it.
    pub fn insert(&mut self, blocks: &[u64], capacity: usize, changes: &mut Vec<PrefixChange>) {
        let cacheable = &blocks[..blocks.len().min(capacity)];
        for block in cacheable {
            if !self.contains(*block) {
                changes.push((*block, CacheChange::Inserted));
            }
        }
        self.touch_all(cacheable);
        self.shrink(capacity, changes);
    }

    /// Evicts the least recently used blocks until at most `capacity` remain.
    pub fn shrink(&mut self, capacity: usize, changes: &mut Vec<PrefixChange>) {
        while self.len() > capacity {
            let Some((_, block)) = self.blocks_by_recency.pop_first() else {
                return;
            };
            self.recency_by_block.remove(&block);
            changes.push((block, CacheChange::Evicted));
        }
    }

    /// Marks a prefix as most recently used. Later blocks are evicted first, because they are useless without
    /// the preceding ones.
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
