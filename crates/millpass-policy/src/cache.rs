//! Cache of verdicts, cleared when the catalog changes.

use crate::attributes::RequestAttributes;
use crate::evaluate::{CompiledPolicies, Verdict};
use std::collections::HashMap;
use std::sync::Arc;

/// Separates the parts of a key; names cannot contain it.
const SEPARATOR: char = '\u{0}';

/// Bounded verdict cache with two generations: when the newer one is full it replaces the older
/// one. A hit in the older generation moves the entry to the newer one. The maps are only accessed
/// by key, so their iteration order cannot influence decisions.
#[derive(Debug)]
pub struct VerdictCache {
    half_capacity: usize,
    younger: HashMap<String, Arc<Verdict>>,
    older: HashMap<String, Arc<Verdict>>,
    key: String,
}

impl VerdictCache {
    /// Returns a cache of at most `capacity` verdicts.
    pub fn new(capacity: usize) -> Self {
        VerdictCache {
            half_capacity: (capacity / 2).max(1),
            younger: HashMap::new(),
            older: HashMap::new(),
            key: String::new(),
        }
    }

    /// Drops all verdicts; must be called for each catalog revision.
    pub fn clear(&mut self) {
        self.younger.clear();
        self.older.clear();
    }

    /// Number of cached verdicts.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    /// Returns true if no verdict is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the verdict on a request, evaluating the policies on a miss.
    pub fn verdict(
        &mut self,
        policies: &CompiledPolicies,
        facts: &RequestAttributes<'_>,
    ) -> Arc<Verdict> {
        self.write_key(facts);
        if let Some(verdict) = self.younger.get(&self.key) {
            return Arc::clone(verdict);
        }
        let verdict = match self.older.remove(&self.key) {
            Some(verdict) => verdict,
            None => Arc::new(policies.evaluate(facts)),
        };
        if self.younger.len() >= self.half_capacity {
            self.older = std::mem::take(&mut self.younger);
        }
        self.younger.insert(self.key.clone(), Arc::clone(&verdict));
        verdict
    }

    fn write_key(&mut self, facts: &RequestAttributes<'_>) {
        self.key.clear();
        for (_, value) in facts.variables() {
            self.key.push_str(value);
            self.key.push(SEPARATOR);
        }
    }
}
