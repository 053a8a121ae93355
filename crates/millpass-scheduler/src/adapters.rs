//! Adapters beside loaded replicas: attached on demand, detached when memory or the catalog asks.

use crate::Scheduler;
use crate::demand::Demand;
use crate::proposals::Subject;
use crate::round::Round;
use crate::view::ModelView;
use millpass_proto::{
    AdapterDecision, AdapterName, AdapterPhase, CheckpointTier, Duration, Replica, Timestamp,
    Urgency,
};
use millpass_state::adapter_bytes_each;

/// Adapters that one round tries to attach.
const ADAPTERS_PER_ROUND: usize = 64;

impl Scheduler {
    /// Attaches adapters that requests wait for, most urgent first.
    pub(crate) fn attach_wanted<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        let mut wanted: Vec<(Demand, &ModelView<'a>, AdapterName)> = Vec::new();
        for view in views.iter().filter(|view| view.demand.waiting > 0) {
            for (adapter, demand) in self.demand.active_adapters(&view.name) {
                if demand.waiting > 0 && !view_has(view, adapter) {
                    wanted.push((demand, view, adapter.clone()));
                }
            }
        }
        wanted.sort_by_key(|(demand, _, _)| priority(demand));
        for (_, view, adapter) in wanted.into_iter().take(ADAPTERS_PER_ROUND) {
            self.attach_one(round, view, adapter, views);
        }
    }

    fn attach_one<'a>(
        &mut self,
        round: &mut Round<'a>,
        view: &ModelView<'a>,
        name: AdapterName,
        views: &[ModelView<'a>],
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
            if !self.detach_for(round, view, bytes) {
                self.evict_beside(round, view, bytes, views);
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

    /// Detaches adapters that nothing asks for from the replica where that makes room, unless
    /// such unloads are under way already; says whether room is being made.
    fn detach_for(&mut self, round: &mut Round<'_>, view: &ModelView<'_>, bytes: u64) -> bool {
        if !round.may_retire {
            return true;
        }
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

fn priority(demand: &Demand) -> (Urgency, Timestamp) {
    (demand.most_urgent, demand.waiting_since)
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
