//! Adapters beside loaded replicas: attached on demand, detached when memory or the catalog asks.

use crate::Scheduler;
use crate::demand::Demand;
use crate::memory::EngineMemory;
use crate::proposals::Subject;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    AdapterDecision, AdapterName, AdapterPhase, CheckpointTier, Duration, Replica,
};
use millpass_state::{adapter_bytes_each, replica_bytes_each};

impl Scheduler {
    /// Adapters that requests wait for and that no replica has or is loading.
    pub(crate) fn wanted_adapters<'v, 'a>(
        &self,
        views: &'v [ModelView<'a>],
    ) -> Vec<(Demand, &'v ModelView<'a>, AdapterName)> {
        let mut wanted = Vec::new();
        for view in views.iter().filter(|view| view.demand.waiting > 0) {
            for (adapter, demand) in self.demand.active_adapters(&view.name) {
                if demand.waiting > 0 && !view_has(view, adapter) {
                    wanted.push((demand, view, adapter.clone()));
                }
            }
        }
        wanted
    }

    /// Attaches an adapter to the loaded replica where it serves soonest, or makes room for it.
    pub(crate) fn attach_one<'a>(
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
            let subject = Subject::Adapter(replica.slot, name.clone());
            if self.proposals.contains(&subject) {
                return;
            }
            if !self.may_attach(round, replica, &name, bytes) {
                continue;
            }
            let tier = self.engines.tier(&replica.backend, &adapter.checkpoint);
            if tier == CheckpointTier::Remote && !self.permits.available() {
                continue;
            }
            let time = self.loads.expected(&self.settings, tier, bytes);
            let rank = (time, replica.adapters.len() as u64);
            if best.as_ref().is_none_or(|(least, _, _)| rank < *least) {
                best = Some((rank, replica, tier));
            }
        }
        let Some((rank, replica, tier)) = best else {
            if !fits_somewhere(round, view, bytes) {
                self.make_room(round, view, views, bytes);
            }
            return;
        };
        if tier == CheckpointTier::Remote {
            self.permits.take();
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

    /// Makes room for an adapter beside some loaded replica, unless that is under way already:
    /// adapters that nothing asks for go first, then replicas that nothing asks for.
    fn make_room<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        bytes: u64,
    ) {
        if !round.may_retire || room_is_coming(round, view, bytes) {
            return;
        }
        if !self.detach_for(round, view, bytes) {
            self.evict_beside(round, view, views, bytes);
        }
    }

    /// Detaches adapters that nothing asks for from the replica where that makes room. Says
    /// whether some are detached, now or already.
    fn detach_for(&mut self, round: &mut Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
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
                .is_none_or(|(_, least)| idle.len() < least.len())
            {
                plan = Some((replica, idle));
            }
        }
        let Some((replica, idle)) = plan else {
            return false;
        };
        for adapter in idle {
            let slot = replica.slot;
            let subject = Subject::Adapter(slot, adapter.clone());
            if !self.proposals.contains(&subject) {
                round.detach(AdapterDecision { slot, adapter });
            }
        }
        true
    }

    /// Unloads one replica that shares accelerators with a loaded one of the model: another of
    /// the same model with nothing running, or one of a model that nothing asks for.
    fn evict_beside<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        views: &[ModelView<'a>],
        bytes: u64,
    ) {
        let spare = view.replicas.loaded.len() > view.spec.minimum_replicas.max(1) as usize;
        let own = view.replicas.loaded.iter().copied();
        let own = own.filter(|replica| spare && self.busy(replica) == 0);
        let idle = self.idle_replicas(round, views);
        let candidates: Vec<&'a Replica> = own.chain(idle).collect();
        for kept in &view.replicas.loaded {
            let makes_room = |other: &&&'a Replica| {
                other.slot != kept.slot && frees_enough(round, kept, other, bytes)
            };
            let found = candidates.iter().find(makes_room).copied();
            if let Some(other) = found {
                round.retire(other);
                return;
            }
        }
    }

    /// Idle adapters of a replica that together make room for these bytes; none if they do not.
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
            if trial.fits_soon(&replica.accelerators, each) {
                break;
            }
            let idle = !active.contains(&&attachment.adapter);
            if idle && attachment.phase == AdapterPhase::Loaded {
                let freed = adapter_bytes_each(attachment.bytes, count);
                trial.free_soon(&replica.accelerators, freed);
                chosen.push(attachment.adapter.clone());
            }
        }
        let fits = trial.fits_soon(&replica.accelerators, each);
        (fits && !chosen.is_empty()).then_some(chosen)
    }

    /// Detaches adapters that are not in the catalog any more.
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
            let gone = round.state.adapter(&attachment.adapter).is_none();
            let subject = Subject::Adapter(replica.slot, attachment.adapter.clone());
            let under_way = self.proposals.contains(&subject);
            if gone && !under_way && attachment.phase != AdapterPhase::Unloading {
                round.detach(AdapterDecision {
                    slot: replica.slot,
                    adapter: attachment.adapter.clone(),
                });
            }
        }
    }
}

/// Whether the adapter fits beside some loaded replica now: then only the store is awaited.
fn fits_somewhere(round: &Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
    has_room(
        round,
        view,
        |engine, replica, each| engine.fits_now(&replica.accelerators, each),
        bytes,
    )
}

/// Whether unloads under way make room beside some loaded replica.
fn room_is_coming(round: &Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
    has_room(
        round,
        view,
        |engine, replica, each| engine.fits_soon(&replica.accelerators, each),
        bytes,
    )
}

fn has_room(
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

/// Whether the unload of another replica makes room for an adapter beside this one.
fn frees_enough(round: &Round<'_>, kept: &Replica, other: &Replica, bytes: u64) -> bool {
    if other.backend != kept.backend || round.retiring.contains(&other.slot) {
        return false;
    }
    let Some(index) = round.memory.index_of(&kept.backend) else {
        return false;
    };
    let mut trial = round.memory.engine(index).clone();
    trial.free_soon(&other.accelerators, replica_bytes_each(other));
    let each = adapter_bytes_each(bytes, kept.accelerators.len());
    trial.fits_soon(&kept.accelerators, each)
}

/// Whether some replica has the adapter, or is loading it.
fn view_has(view: &ModelView<'_>, name: &AdapterName) -> bool {
    let replicas = view.replicas.loaded.iter();
    let mut adapters = replicas.flat_map(|replica| &replica.adapters);
    adapters.any(|one| one.adapter == *name)
}

fn is_detaching(replica: &Replica) -> bool {
    let mut adapters = replica.adapters.iter();
    adapters.any(|one| one.phase == AdapterPhase::Unloading)
}
