//! The engine for a replica: where it serves soonest, then near its demand, then the tightest fit.

use crate::Scheduler;
use crate::memory::{Fit, MemoryTable};
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{BackendName, CheckpointTier, Duration, VersionSpec, ZoneName};
use millpass_state::version_bytes_each;
use std::collections::{BTreeMap, BTreeSet};

/// Adapters for which a placement leaves room where it can.
const ADAPTERS_OF_HEADROOM: u64 = 4;

/// An engine that fits, with what decides between several.
pub struct Candidate {
    /// Index in the round's memory table.
    pub index: usize,
    /// Accelerators.
    pub fit: Fit,
    /// Where its machine has the checkpoint.
    pub tier: CheckpointTier,
    rank: Rank,
}

/// Compared field by field; the least is chosen.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Replicas of one model are spread over engines.
    hosts_model: bool,
    /// Loads that the engine was ordered to do, and this one.
    ready: Duration,
    /// Not in the zone where most requests wait.
    elsewhere: bool,
    /// Bytes left over: large gaps are kept for large models.
    left_over: u64,
}

/// What the search found.
pub struct Choice {
    /// The best engine that fits now and needs no permit that is lacking.
    pub best: Option<Candidate>,
    /// Some engine fits and must wait for the store.
    pub fits_behind_store: bool,
}

/// What is known of engines by their index, looked up once for a whole search.
struct Knowledge {
    tiers: BTreeMap<usize, CheckpointTier>,
    hosts: BTreeSet<usize>,
    queued: BTreeMap<usize, Duration>,
    zone: Option<ZoneName>,
    /// Time of the load from each tier, in the order of the tiers.
    transfer: [Duration; 3],
}

impl Knowledge {
    fn rank(&self, index: usize, zone: &ZoneName, fit: &Fit) -> (CheckpointTier, Rank) {
        let tier = self.tiers.get(&index).copied();
        let tier = tier.unwrap_or(CheckpointTier::Remote);
        let queued = self.queued.get(&index).copied().unwrap_or_default();
        let rank = Rank {
            hosts_model: self.hosts.contains(&index),
            ready: queued + self.transfer[tier as usize],
            elsewhere: self.zone.as_ref().is_some_and(|near| near != zone),
            left_over: fit.left_over,
        };
        (tier, rank)
    }
}

impl Scheduler {
    /// Looks for the engine to place a replica on.
    pub(crate) fn choose_engine(
        &self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        version: &VersionSpec,
    ) -> Choice {
        let count = view.spec.accelerators_per_replica;
        let bytes = version_bytes_each(version, count);
        let knowledge = self.knowledge(round, view, version);
        let headroom = round.headroom * ADAPTERS_OF_HEADROOM;
        let roomy = self.choose_with(round, &knowledge, count, bytes + headroom);
        if headroom == 0 || roomy.best.is_some() || roomy.fits_behind_store {
            return roomy;
        }
        self.choose_with(round, &knowledge, count, bytes)
    }

    /// Looks for the best engine with this much free on each accelerator.
    fn choose_with(
        &self,
        round: &Round<'_>,
        knowledge: &Knowledge,
        count: u32,
        bytes: u64,
    ) -> Choice {
        let store_open = self.permits.available();
        let mut choice = Choice {
            best: None,
            fits_behind_store: false,
        };
        for (index, engine) in round.memory.live() {
            let Some(fit) = engine.fit_now(count as usize, bytes) else {
                continue;
            };
            let zone = &engine.backend.registration.zone;
            let (tier, rank) = knowledge.rank(index, zone, &fit);
            if tier == CheckpointTier::Remote && !store_open {
                choice.fits_behind_store = true;
                continue;
            }
            if choice.best.as_ref().is_none_or(|best| rank < best.rank) {
                choice.best = Some(Candidate {
                    index,
                    fit,
                    tier,
                    rank,
                });
            }
        }
        choice
    }

    fn knowledge(
        &self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        version: &VersionSpec,
    ) -> Knowledge {
        let memory = &round.memory;
        let sets = &view.replicas;
        let replicas = sets.loaded.iter().chain(&sets.loading);
        let replicas = replicas.chain(&sets.outdated).chain(&sets.overdue);
        let hosts = replicas.filter_map(|replica| memory.index_of(&replica.backend));
        let expected = |tier| {
            let bytes = version.weights_bytes;
            self.loads.expected(&self.settings, tier, bytes)
        };
        Knowledge {
            tiers: by_index(memory, self.engines.holders(&version.checkpoint)),
            hosts: hosts.collect(),
            queued: by_index(memory, round.loads.queued.iter()),
            zone: self.demand.zone_of(&view.name),
            transfer: [
                expected(CheckpointTier::Remote),
                expected(CheckpointTier::Disk),
                expected(CheckpointTier::Memory),
            ],
        }
    }
}

fn by_index<'e, T: Copy + 'e>(
    memory: &MemoryTable<'_>,
    by_name: impl Iterator<Item = (&'e BackendName, &'e T)>,
) -> BTreeMap<usize, T> {
    by_name
        .filter_map(|(name, value)| Some((memory.index_of(name)?, *value)))
        .collect()
}
