//! Where requests can go: loaded replicas, their adapters, and how many requests each holds.

use crate::catalog::Catalog;
use crate::routers::Target;
use millpass_proto::{AdapterPhase, Replica, ReplicaPhase, SlotId};
use millpass_state::State;
use std::collections::{BTreeMap, BTreeSet};

/// A loaded replica that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Slot.
    pub slot: SlotId,
    /// Number of its engine.
    pub engine: usize,
}

#[derive(Clone, Debug)]
struct Loaded {
    seat: Seat,
    adapters: BTreeSet<usize>,
}

/// All loaded replicas.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    by_model: BTreeMap<usize, Vec<Loaded>>,
    in_flight: BTreeMap<SlotId, u32>,
}

impl Seats {
    /// Reads the loaded replicas from the state.
    pub fn refresh(&mut self, state: &State, catalog: &Catalog) {
        self.by_model.clear();
        for replica in state.replicas() {
            if replica.phase != ReplicaPhase::Loaded {
                continue;
            }
            let model = catalog.model_number(&replica.model);
            let engine = catalog.engine_number(&replica.backend);
            if let (Some(model), Some(engine)) = (model, engine) {
                let seat = Seat {
                    slot: replica.slot,
                    engine,
                };
                let adapters = loaded_adapters(replica, model, catalog);
                let loaded = self.by_model.entry(model).or_default();
                loaded.push(Loaded { seat, adapters });
            }
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Whether some replica could serve the target, busy or not.
    pub fn serves(&self, target: Target) -> bool {
        let loaded = self.by_model.get(&target.0).into_iter().flatten();
        loaded.into_iter().any(|one| one.serves(target))
    }

    /// The least busy replica that serves the target and has room; its room is taken.
    pub fn take(&mut self, target: Target, concurrency: u32) -> Option<Seat> {
        let loaded = self.by_model.get(&target.0)?.iter();
        let serving = loaded.filter(|one| one.serves(target));
        let count = |seat: &Seat| self.in_flight.get(&seat.slot).copied().unwrap_or(0);
        let seats = serving.map(|one| one.seat);
        let seat = seats
            .filter(|seat| count(seat) < concurrency)
            .min_by_key(count)?;
        *self.in_flight.entry(seat.slot).or_default() += 1;
        Some(seat)
    }

    /// A request left a replica.
    pub fn give_back(&mut self, slot: SlotId) {
        if let Some(count) = self.in_flight.get_mut(&slot) {
            *count -= 1;
        }
    }

    /// Whether any request runs.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight.values().any(|count| *count > 0)
    }

    /// What the replicas of a model serve: no adapter, and the loaded ones.
    pub fn targets_of(&self, model: usize) -> Vec<Option<usize>> {
        let loaded = self.by_model.get(&model).into_iter().flatten();
        let adapters: BTreeSet<usize> = loaded.flat_map(|one| one.adapters.clone()).collect();
        let named = adapters.into_iter().map(Some);
        std::iter::once(None).chain(named).collect()
    }
}

impl Loaded {
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
