//! Unloads: engines that leave, versions that were replaced, replicas that are superfluous, and
//! idle ones by the keep-alive strategy.

use crate::Scheduler;
use crate::arrivals::{ArrivalHistogram, KeepAliveCosts};
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;
use millpass_proto::{CheckpointTier, Duration, ModelName, Replica, Timestamp, VersionSpec};
use millpass_state::version_bytes_each;

impl Scheduler {
    /// Proposes the unloads of a round; nothing while demand is not known.
    pub(crate) fn retire_unwanted<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        if !round.may_retire {
            return;
        }
        self.retire_orphans(round);
        for view in views {
            self.retire_replaced(round, view);
            self.retire_surplus(round, view);
            if view.idle() {
                self.retire_idle(round, view);
            }
        }
    }

    /// Replicas of models that are not in the catalog any more.
    fn retire_orphans(&self, round: &mut Round<'_>) {
        let state = round.state;
        for model in state.placed_models() {
            if state.model(model).is_none() {
                for replica in state.replicas_of(model) {
                    retire_once(round, replica);
                }
            }
        }
    }

    /// Replicas on leaving engines, of other versions, or stuck in loading. They go once others
    /// serve in their place and no request runs in them; or one at a time when the maximum leaves
    /// no room for the others.
    fn retire_replaced(&self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let replaced = replaced_replicas(view);
        let serving = kept_loaded(round, view).len() as u32;
        if serving >= view.desired() {
            for replica in replaced {
                if self.busy(replica) == 0 {
                    retire_once(round, replica);
                }
            }
            return;
        }
        if !view.wants_another() || view.has_free_slot() {
            return;
        }
        let sets = &view.replicas;
        let unloading = sets.slots - view.usable() - sets.replaced_count();
        let proposed = replaced
            .iter()
            .any(|replica| round.retiring.contains(&replica.slot));
        let idlest = replaced.iter().min_by_key(|replica| self.busy(replica));
        if unloading == 0
            && !proposed
            && let Some(replica) = idlest
        {
            retire_once(round, replica);
        }
    }

    /// Replicas beyond what demand asks for, of a model that goes on being served.
    fn retire_surplus(&mut self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let loaded = kept_loaded(round, view);
        let needed = view.desired().max(1) as usize;
        if loaded.len() <= needed || self.keeps_all() {
            self.surplus_since.remove(&view.name);
            return;
        }
        let since = self.surplus_since.entry(view.name.clone());
        let since = *since.or_insert(round.now);
        if round.now.since(since) < self.settings.scale_down_delay {
            return;
        }
        let mut idle = loaded.into_iter().filter(|replica| self.busy(replica) == 0);
        if let Some(replica) = idle.next_back() {
            retire_once(round, replica);
            self.surplus_since.insert(view.name.clone(), round.now);
        }
    }

    /// Replicas of a model that nothing asks for.
    fn retire_idle(&self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let loaded = kept_loaded(round, view);
        let spare = loaded
            .len()
            .saturating_sub(view.spec.minimum_replicas as usize);
        for replica in loaded.into_iter().take(spare) {
            let idle = self.idle_time(round.now, view, replica);
            if self.busy(replica) == 0 && !self.keeps(view, idle) {
                retire_once(round, replica);
            }
        }
    }

    /// Whether the keep-alive strategy keeps a replica that has been idle for so long.
    fn keeps(&self, view: &ModelView<'_>, idle: Duration) -> bool {
        match self.settings.keep_alive {
            KeepAlive::LeastRecentlyUsed | KeepAlive::AlwaysLoaded => true,
            KeepAlive::Fixed(time) => idle < time,
            KeepAlive::Adaptive => self.keep_alive_benefit(view, idle) > 0.0,
        }
    }

    fn keeps_all(&self) -> bool {
        matches!(
            self.settings.keep_alive,
            KeepAlive::LeastRecentlyUsed | KeepAlive::AlwaysLoaded
        )
    }

    /// Expected gain of keeping the model loaded after `idle`; see [`ArrivalHistogram::keep_alive_benefit`].
    pub(crate) fn keep_alive_benefit(&self, view: &ModelView<'_>, idle: Duration) -> f64 {
        let Some(version) = view.version else {
            return f64::NEG_INFINITY;
        };
        let tier = self.engines.best_tier(&version.checkpoint);
        let cold_start = self
            .loads
            .expected(&self.settings, tier, version.weights_bytes);
        let costs = KeepAliveCosts {
            cold_start_seconds: cold_start.as_secs_f64(),
            accelerators: self.accelerator_share(view, version),
            cold_start_weight: f64::from(self.settings.cold_start_weight),
            idle_weight: f64::from(self.settings.idle_weight),
        };
        let unknown = ArrivalHistogram::default();
        let arrivals = self.demand.arrivals(&view.name).unwrap_or(&unknown);
        arrivals.keep_alive_benefit(idle, &costs)
    }

    /// Accelerators that a replica takes, by the share of their memory that it fills: replicas are
    /// packed together, so that one more beside others holds no further accelerator.
    fn accelerator_share(&self, view: &ModelView<'_>, version: &VersionSpec) -> f64 {
        let count = view.spec.accelerators_per_replica;
        let bytes = version_bytes_each(version, count) as f64;
        let size = self.accelerator_bytes.max(1) as f64;
        f64::from(count) * (bytes / size).min(1.0)
    }

    /// Chance that a model is asked for within a time.
    pub(crate) fn arrival_probability(
        &self,
        model: &ModelName,
        idle: Duration,
        horizon: Duration,
    ) -> f64 {
        let unknown = ArrivalHistogram::default();
        let arrivals = self.demand.arrivals(model).unwrap_or(&unknown);
        arrivals.arrival_probability(idle, horizon)
    }

    /// How long a replica has been idle, as far as this leader knows: since its model's last
    /// activity, by which the adaptive strategy judges when the next arrival is due; with the plain
    /// strategies since the end of its load, if that is later.
    pub(crate) fn idle_time(
        &self,
        now: Timestamp,
        view: &ModelView<'_>,
        replica: &Replica,
    ) -> Duration {
        let active = self.last_active(&view.name);
        if self.settings.keep_alive == KeepAlive::Adaptive {
            return now.since(active);
        }
        let loaded = self.loads.loaded_since(replica.slot);
        now.since(active.max(loaded.unwrap_or(now)))
    }

    /// Last activity of a model; the first report that this leader heard stands for what came
    /// before.
    pub(crate) fn last_active(&self, model: &ModelName) -> Timestamp {
        let arrivals = self.demand.arrivals(model);
        let active = arrivals.and_then(ArrivalHistogram::last_active);
        let heard = self.first_report.unwrap_or(Timestamp::ZERO);
        active.unwrap_or(heard)
    }

    /// Requests that the engine reported in a slot; zero when it has reported nothing of it.
    pub(crate) fn busy(&self, replica: &Replica) -> u32 {
        let busy = self.engines.busy(&replica.backend, replica.slot);
        busy.unwrap_or(0)
    }

    /// Time that loading a model takes from the nearest tier.
    pub(crate) fn load_time(&self, view: &ModelView<'_>) -> Duration {
        let Some(version) = view.version else {
            return Duration::ZERO;
        };
        let tier = self.engines.best_tier(&version.checkpoint);
        let bytes = version.weights_bytes;
        self.loads.expected(&self.settings, tier, bytes)
    }

    /// Nearest tier of a model's checkpoint.
    pub(crate) fn nearest_tier(&self, view: &ModelView<'_>) -> CheckpointTier {
        view.version.map_or(CheckpointTier::Remote, |version| {
            self.engines.best_tier(&version.checkpoint)
        })
    }
}

fn retire_once(round: &mut Round<'_>, replica: &Replica) {
    let unloading = replica.phase == millpass_proto::ReplicaPhase::Unloading;
    if !unloading {
        round.retire(replica);
    }
}

/// Loaded replicas of the current version on live engines that nobody is retiring.
pub(crate) fn kept_loaded<'a>(round: &Round<'_>, view: &ModelView<'a>) -> Vec<&'a Replica> {
    let loaded = view.replicas.loaded.iter().copied();
    loaded
        .filter(|replica| !round.retiring.contains(&replica.slot))
        .collect()
}

/// Replicas that others are to stand in for. Those of another version stay as long as the current
/// one does not exist.
fn replaced_replicas<'a>(view: &ModelView<'a>) -> Vec<&'a Replica> {
    let sets = &view.replicas;
    let mut replaced: Vec<&'a Replica> = sets.overdue.clone();
    replaced.extend(&sets.leaving);
    if view.version.is_some() {
        replaced.extend(&sets.outdated);
    }
    replaced
}
