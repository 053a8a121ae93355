//! Verdicts already reached, until the catalog changes.

use crate::attributes::RequestAttributes;
use crate::evaluate::{CompiledPolicies, Verdict};
use std::collections::HashMap;
use std::sync::Arc;

/// Separates the parts of a key; no name may hold it.
const SEPARATOR: char = '\u{0}';

/// A bounded cache of verdicts in two generations: when the younger one is full it becomes the
/// older one and that one is dropped. Entries in use move back to the younger generation. Only
/// looked up by key, so its unordered map cannot leak an order into decisions.
#[derive(Debug)]
pub struct VerdictCache {
    half_capacity: usize,
    younger: HashMap<String, Arc<Verdict>>,
    older: HashMap<String, Arc<Verdict>>,
    key: String,
}

impl VerdictCache {
    /// A cache of at most this many verdicts.
    pub fn new(capacity: usize) -> Self {
        VerdictCache {
            half_capacity: (capacity / 2).max(1),
            younger: HashMap::new(),
            older: HashMap::new(),
            key: String::new(),
        }
    }

    /// Forgets everything; called with each revision of the catalog.
    pub fn clear(&mut self) {
        self.younger.clear();
        self.older.clear();
    }

    /// Number of verdicts held.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The verdict on a request, evaluated when not held.
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
