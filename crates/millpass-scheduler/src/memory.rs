//! Free memory of all engines during one scheduling round.
//!
//! Two views: what is free now, less what the round has proposed; and what will be free once the
//! unloads under way are confirmed, less what is promised to models that wait for them.

use millpass_proto::{BackendKind, BackendName, BackendState, ReplicaPhase};
use millpass_state::{Backend, State, replica_bytes_each};

/// One engine in the table.
#[derive(Clone, Debug)]
pub struct EngineMemory<'a> {
    /// The engine.
    pub backend: &'a Backend,
    /// Whether it takes new work.
    pub live: bool,
    now: Vec<u64>,
    soon: Vec<u64>,
}

/// Accelerators chosen on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fit {
    /// Indices, ascending.
    pub accelerators: Vec<u32>,
    /// Bytes left free on them, summed.
    pub left_over: u64,
}

impl EngineMemory<'_> {
    /// Accelerators that fit now, the tightest ones.
    pub fn fit_now(&self, count: usize, bytes_each: u64) -> Option<Fit> {
        fit(&self.now, count, bytes_each)
    }

    /// Accelerators that fit once the unloads under way are done.
    pub fn fit_soon(&self, count: usize, bytes_each: u64) -> Option<Fit> {
        fit(&self.soon, count, bytes_each)
    }

    /// Whether these accelerators have this much free now.
    pub fn fits_now(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|one| {
            let free = self.now.get(*one as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    /// Whether these accelerators will have this much free soon.
    pub fn fits_soon(&self, accelerators: &[u32], bytes_each: u64) -> bool {
        accelerators.iter().all(|one| {
            let free = self.soon.get(*one as usize);
            free.is_some_and(|free| *free >= bytes_each)
        })
    }

    /// Number of accelerators.
    pub fn accelerator_count(&self) -> usize {
        self.now.len()
    }

    /// Takes memory in both views: it is proposed, or promised to a model that waits.
    pub fn reserve(&mut self, accelerators: &[u32], bytes_each: u64) {
        for view in [&mut self.now, &mut self.soon] {
            for one in accelerators {
                if let Some(free) = view.get_mut(*one as usize) {
                    *free = free.saturating_sub(bytes_each);
                }
            }
        }
    }

    /// Adds memory that an unload will free.
    pub fn free_soon(&mut self, accelerators: &[u32], bytes_each: u64) {
        for one in accelerators {
            if let Some(free) = self.soon.get_mut(*one as usize) {
                *free += bytes_each;
            }
        }
    }
}

/// All engines, by name.
#[derive(Clone, Debug)]
pub struct MemoryTable<'a> {
    engines: Vec<EngineMemory<'a>>,
}

impl<'a> MemoryTable<'a> {
    /// Reads the engines' memory, with the unloads under way.
    pub fn new(state: &'a State) -> Self {
        let engines = state.backends_with_memory();
        let engines = engines
            .filter(|(backend, _)| backend.registration.kind == BackendKind::Engine)
            .map(|(backend, free)| EngineMemory {
                backend,
                live: backend.state == BackendState::Live,
                now: free.to_vec(),
                soon: free.to_vec(),
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
                    self.engines[index].free_soon(&replica.accelerators, bytes);
                }
            }
        }
    }

    /// Index of an engine.
    pub fn index_of(&self, name: &BackendName) -> Option<usize> {
        let found = self
            .engines
            .binary_search_by(|engine| engine.backend.registration.backend.cmp(name));
        found.ok()
    }

    /// One engine.
    pub fn engine(&self, index: usize) -> &EngineMemory<'a> {
        &self.engines[index]
    }

    /// One engine, to reserve on.
    pub fn engine_mut(&mut self, index: usize) -> &mut EngineMemory<'a> {
        &mut self.engines[index]
    }

    /// Memory of the largest accelerator; zero without engines.
    pub fn largest_accelerator(&self) -> u64 {
        let backends = self.engines.iter().map(|engine| engine.backend);
        let sizes = backends.flat_map(|backend| &backend.registration.accelerator_bytes);
        sizes.copied().max().unwrap_or(0)
    }

    /// Engines that take new work, with their indices.
    pub fn live(&self) -> impl Iterator<Item = (usize, &EngineMemory<'a>)> {
        let engines = self.engines.iter().enumerate();
        engines.filter(|(_, engine)| engine.live)
    }
}

/// The `count` accelerators with the least free memory that is enough.
fn fit(free: &[u64], count: usize, bytes_each: u64) -> Option<Fit> {
    if count == 1 {
        return fit_one(free, bytes_each);
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
    let left_over = enough.iter().map(|(free, _)| free - bytes_each).sum();
    let mut accelerators: Vec<u32> = enough.into_iter().map(|(_, index)| index).collect();
    accelerators.sort_unstable();
    Some(Fit {
        accelerators,
        left_over,
    })
}

/// The common case of one accelerator, without the list.
fn fit_one(free: &[u64], bytes: u64) -> Option<Fit> {
    let enough = (0_u32..).zip(free).filter(|(_, free)| **free >= bytes);
    let (index, free) = enough.min_by_key(|(_, free)| **free)?;
    Some(Fit {
        accelerators: vec![index],
        left_over: free - bytes,
    })
}
