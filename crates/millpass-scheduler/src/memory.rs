//! Free memory of all engines during one scheduling round.
//!
//! Tracks two values per accelerator: memory free now, less proposed loads, and memory free once
//! pending unloads are confirmed, less reservations for models that wait for them.

use millpass_proto::{BackendKind, BackendName, BackendState, ReplicaPhase};
use millpass_state::{Backend, State, replica_bytes_each};

/// Memory of one engine.
#[derive(Clone, Debug)]
pub struct EngineMemory<'a> {
    pub backend: &'a Backend,
    /// False if the engine accepts no new replicas.
    pub live: bool,
    free_now: Vec<u64>,
    free_after_unloads: Vec<u64>,
}

/// Accelerators selected on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fit {
    /// Indices in ascending order.
    pub accelerators: Vec<u32>,
    /// Total bytes left free on them.
    pub remaining_bytes: u64,
}

impl EngineMemory<'_> {
    /// Returns the tightest accelerators with enough memory free now.
    pub fn fit_now(&self, count: usize, bytes_each: u64) -> Option<Fit> {
        tightest_fit(&self.free_now, count, bytes_each)
    }

    /// Returns the tightest accelerators with enough memory once pending unloads are done.
    pub fn fit_after_unloads(&self, count: usize, bytes_each: u64) -> Option<Fit> {
        tightest_fit(&self.free_after_unloads, count, bytes_each)
    }

    /// Returns true if each of these accelerators has `bytes_each` free now.
    pub fn fits_now(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|index| {
            let free = self.free_now.get(*index as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    /// Returns true if each of these accelerators has `bytes_each` free once pending unloads are
    /// done.
    pub fn fits_after_unloads(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|index| {
            let free = self.free_after_unloads.get(*index as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    pub fn accelerator_count(&self) -> usize {
        self.free_now.len()
    }

    /// Reserves memory in both views, for a proposed load or a model that waits for an unload.
    pub fn reserve(&mut self, accelerators: &[u32], bytes_each: u64) {
        for view in [&mut self.free_now, &mut self.free_after_unloads] {
            for index in accelerators {
                if let Some(free) = view.get_mut(*index as usize) {
                    *free = free.saturating_sub(bytes_each);
                }
            }
        }
    }

    /// Adds memory that a pending unload will free.
    pub fn add_pending_free(&mut self, accelerators: &[u32], bytes_each: u64) {
        for index in accelerators {
            if let Some(free) = self.free_after_unloads.get_mut(*index as usize) {
                *free += bytes_each;
            }
        }
    }
}

/// Memory of all engines, sorted by name.
#[derive(Clone, Debug)]
pub struct MemoryTable<'a> {
    engines: Vec<EngineMemory<'a>>,
}

impl<'a> MemoryTable<'a> {
    /// Reads the engines' free memory and pending unloads.
    pub fn new(state: &'a State) -> Self {
        let engines = state.backends_with_memory();
        let engines = engines
            .filter(|(backend, _)| backend.registration.kind == BackendKind::Engine)
            .map(|(backend, free)| EngineMemory {
                backend,
                live: backend.state == BackendState::Live,
                free_now: free.to_vec(),
                free_after_unloads: free.to_vec(),
            });
        let mut table = MemoryTable {
            engines: engines.collect(),
        };
        table.add_unloads(state);
        table
    }

    fn add_unloads(&mut self, state: &State) {
        for backend in state.engines_with_orders() {
            let Some(index) = self.index_of(backend) else {
                continue;
            };
            for replica in state.replicas_on(backend) {
                if replica.phase == ReplicaPhase::Unloading {
                    let bytes = replica_bytes_each(replica);
                    self.engines[index].add_pending_free(&replica.accelerators, bytes);
                }
            }
        }
    }

    pub fn index_of(&self, name: &BackendName) -> Option<usize> {
        let found = self
            .engines
            .binary_search_by(|engine| engine.backend.registration.backend.cmp(name));
        found.ok()
    }

    pub fn engine(&self, index: usize) -> &EngineMemory<'a> {
        &self.engines[index]
    }

    /// Returns an engine for reservations.
    pub fn engine_mut(&mut self, index: usize) -> &mut EngineMemory<'a> {
        &mut self.engines[index]
    }

    /// Memory of the largest accelerator; zero without engines.
    pub fn largest_accelerator(&self) -> u64 {
        let backends = self.engines.iter().map(|engine| engine.backend);
        let sizes = backends.flat_map(|backend| &backend.registration.accelerator_bytes);
        sizes.copied().max().unwrap_or(0)
    }

    /// Engines that accept new replicas, with their indices.
    pub fn live(&self) -> impl Iterator<Item = (usize, &EngineMemory<'a>)> {
        let engines = self.engines.iter().enumerate();
        engines.filter(|(_, engine)| engine.live)
    }
}

/// Selects the `count` accelerators with the least sufficient free memory.
fn tightest_fit(free: &[u64], count: usize, bytes_each: u64) -> Option<Fit> {
    if count == 1 {
        return tightest_single(free, bytes_each);
    }
    let mut enough: Vec<(u64, u32)> = (0_u32..)
        .zip(free)
        .filter(|(_, free)| **free >= bytes_each)
        .map(|(index, free)| (*free, index))
        .collect();
    if enough.len() < count || count == 0 {
        return None;
    }
    enough.sort_unstable();
    enough.truncate(count);
    let remaining_bytes = enough.iter().map(|(free, _)| free - bytes_each).sum();
    let mut accelerators: Vec<u32> = enough.into_iter().map(|(_, index)| index).collect();
    accelerators.sort_unstable();
    Some(Fit {
        accelerators,
        remaining_bytes,
    })
}

/// Allocation-free variant for one accelerator.
fn tightest_single(free: &[u64], bytes: u64) -> Option<Fit> {
    let enough = (0_u32..).zip(free).filter(|(_, free)| **free >= bytes);
    let (index, free) = enough.min_by_key(|(_, free)| **free)?;
    Some(Fit {
        accelerators: vec![index],
        remaining_bytes: free - bytes,
    })
}
