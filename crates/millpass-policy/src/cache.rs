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
    generation_capacity: usize,
    newer: HashMap<String, Arc<Verdict>>,
    older: HashMap<String, Arc<Verdict>>,
    key: String,
}

impl VerdictCache {
    /// Returns a cache of at most `capacity` verdicts.
    pub fn new(capacity: usize) -> Self {
        VerdictCache {
            generation_capacity: (capacity / 2).max(1),
            newer: HashMap::new(),
            older: HashMap::new(),
            key: String::new(),
        }
    }

    /// Drops all verdicts; must be called for each catalog revision.
    pub fn clear(&mut self) {
        self.newer.clear();
        self.older.clear();
    }

    /// Number of cached verdicts.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns true if no verdict is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the verdict on a request, evaluating the policies on a miss.
    pub fn verdict(
        &mut self,
        policies: &CompiledPolicies,
        attributes: &RequestAttributes<'_>,
    ) -> Arc<Verdict> {
        self.write_key(attributes);
        if let Some(verdict) = self.newer.get(&self.key) {
            return Arc::clone(verdict);
        }
        let verdict = match self.older.remove(&self.key) {
            Some(verdict) => verdict,
            None => Arc::new(policies.evaluate(attributes)),
        };
        if self.newer.len() >= self.generation_capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(self.key.clone(), Arc::clone(&verdict));
        verdict
    }

    fn write_key(&mut self, attributes: &RequestAttributes<'_>) {
        self.key.clear();
        for (_, value) in attributes.variables() {
            self.key.push_str(value);
            self.key.push(SEPARATOR);
        }
    }
}
