//! Engine selection for a replica: engines without a replica of the model first, then by ready
//! time, zone of the demand and tightness of fit.

use crate::Scheduler;
use crate::memory::{Fit, MemoryTable};
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{BackendName, CheckpointTier, Duration, VersionSpec, ZoneName};
use millpass_state::version_bytes_each;
use std::collections::{BTreeMap, BTreeSet};

/// Placements leave room for this many of the largest adapters where possible.
const HEADROOM_ADAPTERS: u64 = 4;

/// An engine that fits, with its rank.
pub struct Candidate {
    /// Index in the round's memory table.
    pub index: usize,
    pub fit: Fit,
    /// Tier of the checkpoint on the engine's machine.
    pub tier: CheckpointTier,
    rank: Rank,
}

/// Compared field by field; the lowest rank wins.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Engines without a replica of the model are preferred.
    hosts_model: bool,
    /// Time until the engine's queued loads and this one complete.
    ready: Duration,
    /// Engines in the zone with the most waiting requests are preferred.
    other_zone: bool,
    /// The tightest fit is preferred, which keeps large gaps for large models.
    remaining_bytes: u64,
}

/// Result of an engine search.
pub struct EngineChoice {
    /// Best engine that fits now and can start the load.
    pub best: Option<Candidate>,
    /// Some engine fits but has to wait for a store permit.
    pub awaiting_store: bool,
}

/// Lookups by engine index, computed once per search.
struct SearchContext {
    tiers: BTreeMap<usize, CheckpointTier>,
    hosts: BTreeSet<usize>,
    queued: BTreeMap<usize, Duration>,
    zone: Option<ZoneName>,
    /// Load time from each tier, in tier order.
    transfer: [Duration; 3],
}

impl SearchContext {
    fn rank(&self, index: usize, zone: &ZoneName, fit: &Fit) -> (CheckpointTier, Rank) {
        let tier = self.tiers.get(&index).copied();
        let tier = tier.unwrap_or(CheckpointTier::Remote);
        let queued = self.queued.get(&index).copied().unwrap_or_default();
        let rank = Rank {
            hosts_model: self.hosts.contains(&index),
            ready: queued + self.transfer[tier as usize],
            other_zone: self.zone.as_ref().is_some_and(|busiest| busiest != zone),
            remaining_bytes: fit.remaining_bytes,
        };
        (tier, rank)
    }
}

impl Scheduler {
    /// Selects an engine for a replica, with headroom for adapters where possible.
    pub(crate) fn choose_engine(
        &self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        version: &VersionSpec,
    ) -> EngineChoice {
        let count = view.spec.accelerators_per_replica;
        let bytes = version_bytes_each(version, count);
        let context = self.context(round, view, version);
        let headroom = round.adapter_headroom * HEADROOM_ADAPTERS;
        let with_headroom = self.choose_engine_with(round, &context, count, bytes + headroom);
        if headroom == 0 || with_headroom.best.is_some() || with_headroom.awaiting_store {
            return with_headroom;
        }
        self.choose_engine_with(round, &context, count, bytes)
    }

    /// Selects the best engine with `bytes` free on each accelerator.
    fn choose_engine_with(
        &self,
        round: &Round<'_>,
        context: &SearchContext,
        count: u32,
        bytes: u64,
    ) -> EngineChoice {
        let store_open = self.permits.available();
        let mut choice = EngineChoice {
            best: None,
            awaiting_store: false,
        };
        for (index, engine) in round.memory.live() {
            let Some(fit) = engine.fit_now(count as usize, bytes) else {
                continue;
            };
            let zone = &engine.backend.registration.zone;
            let (tier, rank) = context.rank(index, zone, &fit);
            if tier == CheckpointTier::Remote && !store_open {
                choice.awaiting_store = true;
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

    fn context(
        &self,
        round: &Round<'_>,
        view: &ModelView<'_>,
        version: &VersionSpec,
    ) -> SearchContext {
        let memory = &round.memory;
        let sets = &view.replicas;
        let replicas = sets.loaded.iter().chain(&sets.loading);
        let replicas = replicas.chain(&sets.stale).chain(&sets.overdue);
        let hosts = replicas.filter_map(|replica| memory.index_of(&replica.backend));
        let expected = |tier| {
            let bytes = version.weights_bytes;
            self.loads.expected_time(&self.settings, tier, bytes)
        };
        SearchContext {
            tiers: by_index(memory, self.engines.holders(&version.checkpoint)),
            hosts: hosts.collect(),
            queued: by_index(memory, round.loads.queued.iter()),
            zone: self.demand.busiest_zone(&view.name),
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
