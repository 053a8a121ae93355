//! Counts runs by tenant and key.

use millpass_proto::{RepeatedRun, TenantName};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of repeated runs listed.
const MAXIMUM_REPEATED: usize = 256;

/// Bounded run counts by tenant and key; evicts the keys seen first.
#[derive(Clone, Debug)]
pub struct RunCounts {
    bound: usize,
    runs: BTreeMap<(TenantName, String), u64>,
    order: VecDeque<(TenantName, String)>,
    repeated: BTreeMap<(TenantName, String), u64>,
    evicted: u64,
}

impl RunCounts {
    /// Creates counts for at most `bound` keys.
    pub fn new(bound: usize) -> Self {
        RunCounts {
            bound: bound.max(1),
            runs: BTreeMap::new(),
            order: VecDeque::new(),
            repeated: BTreeMap::new(),
            evicted: 0,
        }
    }

    /// Counts one run and returns the number of runs of this key so far.
    pub fn count(&mut self, tenant: &TenantName, key: &str) -> u64 {
        let entry = (tenant.clone(), key.to_owned());
        let runs = self.runs.entry(entry.clone()).or_insert(0);
        *runs += 1;
        let total = *runs;
        if total == 1 {
            self.insert(entry);
        } else if self.repeated.len() < MAXIMUM_REPEATED || self.repeated.contains_key(&entry) {
            self.repeated.insert(entry, total);
        }
        total
    }

    /// Number of distinct keys held.
    pub fn keys(&self) -> usize {
        self.runs.len()
    }

    /// Number of keys evicted because the bound was reached.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Keys that ran more than once, up to a fixed maximum.
    pub fn repeated(&self) -> Vec<RepeatedRun> {
        self.repeated
            .iter()
            .map(|((tenant, key), runs)| RepeatedRun {
                tenant: tenant.clone(),
                key: key.clone(),
                runs: *runs,
            })
            .collect()
    }

    fn insert(&mut self, entry: (TenantName, String)) {
        self.order.push_back(entry);
        if self.order.len() <= self.bound {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.runs.remove(&oldest);
            self.evicted += 1;
        }
    }
}
