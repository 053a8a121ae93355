//! Loaded replicas with their adapters and numbers of requests in flight.

use crate::catalog::Catalog;
use crate::routers::Target;
use millpass_proto::{AdapterPhase, Replica, ReplicaPhase, SlotId};
use millpass_state::State;
use std::collections::{BTreeMap, BTreeSet};

/// A loaded replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadedReplica {
    /// Slot.
    pub slot: SlotId,
    /// Index of its engine in the catalog.
    pub engine: usize,
}

#[derive(Clone, Debug)]
struct PoolEntry {
    loaded_replica: LoadedReplica,
    adapters: BTreeSet<usize>,
}

/// All loaded replicas, by model.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPool {
    by_model: BTreeMap<usize, Vec<PoolEntry>>,
    in_flight: BTreeMap<SlotId, u32>,
}

impl ReplicaPool {
    /// Reloads the replicas from the state.
    pub fn refresh(&mut self, state: &State, catalog: &Catalog) {
        self.by_model.clear();
        for replica in state.replicas() {
            if replica.phase != ReplicaPhase::Loaded {
                continue;
            }
            let model = catalog.model_number(&replica.model);
            let engine = catalog.engine_number(&replica.backend);
            if let (Some(model), Some(engine)) = (model, engine) {
                let loaded_replica = LoadedReplica {
                    slot: replica.slot,
                    engine,
                };
                let adapters = loaded_adapters(replica, model, catalog);
                let loaded = self.by_model.entry(model).or_default();
                loaded.push(PoolEntry {
                    loaded_replica,
                    adapters,
                });
            }
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Returns whether a loaded replica serves the target, even if it has no free slot.
    pub fn serves(&self, target: Target) -> bool {
        let loaded = self.by_model.get(&target.0).into_iter().flatten();
        loaded.into_iter().any(|one| one.serves(target))
    }

    /// Reserves a request slot on the least busy replica that serves the target; `None` if all are
    /// full.
    pub fn acquire(&mut self, target: Target, concurrency: u32) -> Option<LoadedReplica> {
        let loaded = self.by_model.get(&target.0)?.iter();
        let serving = loaded.filter(|one| one.serves(target));
        let count = |loaded_replica: &LoadedReplica| {
            self.in_flight
                .get(&loaded_replica.slot)
                .copied()
                .unwrap_or(0)
        };
        let replicas = serving.map(|one| one.loaded_replica);
        let loaded_replica = replicas
            .filter(|loaded_replica| count(loaded_replica) < concurrency)
            .min_by_key(count)?;
        *self.in_flight.entry(loaded_replica.slot).or_default() += 1;
        Some(loaded_replica)
    }

    /// Releases a request slot reserved by [`ReplicaPool::acquire`].
    pub fn release(&mut self, slot: SlotId) {
        if let Some(count) = self.in_flight.get_mut(&slot) {
            *count -= 1;
        }
    }

    /// Returns whether any request is in flight.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight.values().any(|count| *count > 0)
    }

    /// Returns the adapters that the replicas of a model serve; `None` stands for no adapter.
    pub fn servable_adapters(&self, model: usize) -> Vec<Option<usize>> {
        let loaded = self.by_model.get(&model).into_iter().flatten();
        let adapters: BTreeSet<usize> = loaded.flat_map(|one| one.adapters.clone()).collect();
        let named = adapters.into_iter().map(Some);
        std::iter::once(None).chain(named).collect()
    }
}

impl PoolEntry {
    fn serves(&self, target: Target) -> bool {
        target
            .1
            .is_none_or(|adapter| self.adapters.contains(&adapter))
    }
}

fn loaded_adapters(replica: &Replica, model: usize, catalog: &Catalog) -> BTreeSet<usize> {
    let attached = replica.adapters.iter();
    let loaded = attached.filter(|one| one.phase == AdapterPhase::Loaded);
    let known = &catalog.models[model].adapters;
    loaded
        .filter_map(|one| known.iter().position(|name| *name == one.adapter))
        .collect()
}
