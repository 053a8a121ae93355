//! Adapters of loaded replicas: attached on demand, detached to free memory or when deleted.

use crate::Scheduler;
use crate::demand::Demand;
use crate::memory::EngineMemory;
use crate::proposals::ProposalKey;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    AdapterDecision, AdapterName, AdapterPhase, CheckpointTier, Duration, Replica,
};
use millpass_state::{adapter_bytes_each, replica_bytes_each};

impl Scheduler {
    /// Adapters with waiting requests that no loaded replica has in any phase.
    pub(crate) fn missing_adapters<'v, 'a>(
        &self,
        views: &'v [ModelView<'a>],
    ) -> Vec<(Demand, &'v ModelView<'a>, AdapterName)> {
        let mut missing = Vec::new();
        for view in views.iter().filter(|view| view.demand.waiting > 0) {
            for (adapter, demand) in self.demand.active_adapters(&view.name) {
                if demand.waiting > 0 && !has_adapter(view, adapter) {
                    missing.push((demand, view, adapter.clone()));
                }
            }
        }
        missing
    }

    /// Attaches an adapter to the loaded replica with the shortest load time, or frees memory for
    /// it.
    pub(crate) fn attach_adapter<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        name: AdapterName,
    ) {
        let Some(adapter) = round.state.adapter(&name) else {
            return;
        };
        let bytes = adapter.bytes;
        let mut best: Option<((Duration, u64), &Replica, CheckpointTier)> = None;
        for replica in &view.replicas.loaded {
            let key = ProposalKey::Adapter(replica.slot, name.clone());
            if self.proposals.contains(&key) {
                return;
            }
            if !self.may_attach(round, replica, &name, bytes) {
                continue;
            }
            let tier = self.engines.tier(&replica.backend, &adapter.checkpoint);
            if tier == CheckpointTier::Remote && !self.permits.available() {
                continue;
            }
            let time = self.loads.expected_time(&self.settings, tier, bytes);
            let rank = (time, replica.adapters.len() as u64);
            if best.as_ref().is_none_or(|(least, _, _)| rank < *least) {
                best = Some((rank, replica, tier));
            }
        }
        let Some((rank, replica, tier)) = best else {
            if !fits_now(round, view, bytes) {
                self.free_memory_for_adapter(round, view, views, bytes);
            }
            return;
        };
        if tier == CheckpointTier::Remote {
            self.permits.acquire();
        }
        round.loads.add(&replica.backend, rank.0, Some(tier));
        let slot = replica.slot;
        round.attach(AdapterDecision {
            slot,
            adapter: name,
        });
    }

    fn may_attach(
        &self,
        round: &Round<'_>,
        replica: &Replica,
        name: &AdapterName,
        bytes: u64,
    ) -> bool {
        let decision = AdapterDecision {
            slot: replica.slot,
            adapter: name.clone(),
        };
        let each = adapter_bytes_each(bytes, replica.accelerators.len());
        let index = round.memory.index_of(&replica.backend);
        let fits = index.is_some_and(|index| {
            let engine = round.memory.engine(index);
            engine.fits_now(&replica.accelerators, each)
        });
        let retiring = round.retiring.contains(&replica.slot);
        fits && !retiring && round.state.check_attach(&decision).is_ok()
    }

    /// Frees memory for an adapter at some loaded replica, unless pending unloads already do. Idle
    /// adapters are detached first, then idle replicas are unloaded.
    fn free_memory_for_adapter<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        bytes: u64,
    ) {
        if !round.may_retire || fits_after_unloads(round, view, bytes) {
            return;
        }
        if !self.detach_idle_adapters(round, view, bytes) {
            self.evict_neighbor(round, view, views, bytes);
        }
    }

    /// Detaches the fewest idle adapters that free enough memory at one replica. Returns true if
    /// any are being detached.
    fn detach_idle_adapters(
        &mut self,
        round: &mut Round<'_>,
        view: &ModelView<'_>,
        bytes: u64,
    ) -> bool {
        let active = self.demand.active_adapters(&view.name);
        let active: Vec<&AdapterName> = active.into_iter().map(|(name, _)| name).collect();
        let mut plan: Option<(&Replica, Vec<AdapterName>)> = None;
        for replica in &view.replicas.loaded {
            if round.retiring.contains(&replica.slot) || is_detaching(replica) {
                return true;
            }
            let Some(idle) = self.detachable(round, replica, &active, bytes) else {
                continue;
            };
            if plan
                .as_ref()
                .is_none_or(|(_, fewest)| idle.len() < fewest.len())
            {
                plan = Some((replica, idle));
            }
        }
        let Some((replica, idle)) = plan else {
            return false;
        };
        for adapter in idle {
            let slot = replica.slot;
            let key = ProposalKey::Adapter(slot, adapter.clone());
            if !self.proposals.contains(&key) {
                round.detach(AdapterDecision { slot, adapter });
            }
        }
        true
    }

    /// Unloads one replica that shares accelerators with a loaded replica of the model: a spare
    /// replica of the same model or a replica of an idle model.
    fn evict_neighbor<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        bytes: u64,
    ) {
        let spare = view.replicas.loaded.len() > view.spec.minimum_replicas.max(1) as usize;
        let own = view.replicas.loaded.iter().copied();
        let own = own.filter(|replica| spare && self.slot_requests(replica) == 0);
        let idle = self.idle_replicas(round, views);
        let candidates: Vec<&'a Replica> = own.chain(idle).collect();
        for kept in &view.replicas.loaded {
            let frees_enough = |other: &&&'a Replica| {
                other.slot != kept.slot && unload_frees_enough(round, kept, other, bytes)
            };
            let found = candidates.iter().find(frees_enough).copied();
            if let Some(other) = found {
                round.retire(other);
                return;
            }
        }
    }

    /// Idle adapters of a replica that together free enough memory; `None` if they do not.
    fn detachable(
        &self,
        round: &Round<'_>,
        replica: &Replica,
        active: &[&AdapterName],
        bytes: u64,
    ) -> Option<Vec<AdapterName>> {
        let count = replica.accelerators.len();
        let index = round.memory.index_of(&replica.backend)?;
        let mut trial = round.memory.engine(index).clone();
        let each = adapter_bytes_each(bytes, count);
        let mut chosen = Vec::new();
        for attachment in &replica.adapters {
            if trial.fits_after_unloads(&replica.accelerators, each) {
                break;
            }
            let idle = !active.contains(&&attachment.adapter);
            if idle && attachment.phase == AdapterPhase::Loaded {
                let freed = adapter_bytes_each(attachment.bytes, count);
                trial.add_pending_free(&replica.accelerators, freed);
                chosen.push(attachment.adapter.clone());
            }
        }
        let fits = trial.fits_after_unloads(&replica.accelerators, each);
        (fits && !chosen.is_empty()).then_some(chosen)
    }

    /// Detaches adapters that are no longer in the catalog.
    pub(crate) fn detach_removed<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        if !round.may_retire {
            return;
        }
        for view in views {
            for replica in &view.replicas.loaded {
                self.detach_removed_from(round, replica);
            }
        }
    }

    fn detach_removed_from(&self, round: &mut Round<'_>, replica: &Replica) {
        if round.retiring.contains(&replica.slot) {
            return;
        }
        for attachment in &replica.adapters {
            let removed = round.state.adapter(&attachment.adapter).is_none();
            let key = ProposalKey::Adapter(replica.slot, attachment.adapter.clone());
            let in_progress = self.proposals.contains(&key);
            if removed && !in_progress && attachment.phase != AdapterPhase::Unloading {
                round.detach(AdapterDecision {
                    slot: replica.slot,
                    adapter: attachment.adapter.clone(),
                });
            }
        }
    }
}

/// Returns true if the adapter fits at some loaded replica now, so that only the store limits it.
fn fits_now(round: &Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
    fits_beside_any(
        round,
        view,
        |engine, replica, each| engine.fits_now(&replica.accelerators, each),
        bytes,
    )
}

/// Returns true if the adapter fits at some loaded replica once pending unloads are done.
fn fits_after_unloads(round: &Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
    fits_beside_any(
        round,
        view,
        |engine, replica, each| engine.fits_after_unloads(&replica.accelerators, each),
        bytes,
    )
}

fn fits_beside_any(
    round: &Round<'_>,
    view: &ModelView<'_>,
    fits: impl Fn(&EngineMemory<'_>, &Replica, u64) -> bool,
    bytes: u64,
) -> bool {
    let kept = view.replicas.loaded.iter();
    let mut kept = kept.filter(|replica| !round.retiring.contains(&replica.slot));
    kept.any(|replica| {
        let each = adapter_bytes_each(bytes, replica.accelerators.len());
        let index = round.memory.index_of(&replica.backend);
        index.is_some_and(|index| fits(round.memory.engine(index), replica, each))
    })
}

/// Returns true if unloading `other` frees enough memory for an adapter at `kept`.
fn unload_frees_enough(round: &Round<'_>, kept: &Replica, other: &Replica, bytes: u64) -> bool {
    if other.backend != kept.backend || round.retiring.contains(&other.slot) {
        return false;
    }
    let Some(index) = round.memory.index_of(&kept.backend) else {
        return false;
    };
    let mut trial = round.memory.engine(index).clone();
    trial.add_pending_free(&other.accelerators, replica_bytes_each(other));
    let each = adapter_bytes_each(bytes, kept.accelerators.len());
    trial.fits_after_unloads(&kept.accelerators, each)
}

/// Returns true if some loaded replica has the adapter in any phase.
fn has_adapter(view: &ModelView<'_>, name: &AdapterName) -> bool {
    let replicas = view.replicas.loaded.iter();
    let mut adapters = replicas.flat_map(|replica| &replica.adapters);
    adapters.any(|attachment| attachment.adapter == *name)
}

fn is_detaching(replica: &Replica) -> bool {
    let mut adapters = replica.adapters.iter();
    adapters.any(|attachment| attachment.phase == AdapterPhase::Unloading)
}
