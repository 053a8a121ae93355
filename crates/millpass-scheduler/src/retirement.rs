//! Retirement of replicas: leaving engines, replaced versions, surplus replicas and idle replicas.

use crate::Scheduler;
use crate::arrivals::{ArrivalHistogram, KeepAliveCosts};
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;
use millpass_proto::{CheckpointTier, Duration, ModelName, Replica, Timestamp, VersionSpec};
use millpass_state::version_bytes_each;

impl Scheduler {
    /// Proposes the unloads of a round; none until demand is known.
    pub(crate) fn propose_retirements<'a>(
        &mut self,
        round: &mut Round<'a>,
        views: &[ModelView<'a>],
    ) {
        if !round.may_retire {
            return;
        }
        self.retire_orphans(round);
        for view in views {
            self.retire_obsolete(round, view);
            self.retire_surplus(round, view);
            if view.idle() {
                self.retire_idle(round, view);
            }
        }
    }

    /// Retires replicas of models that are no longer in the catalog.
    fn retire_orphans(&self, round: &mut Round<'_>) {
        let state = round.state;
        for model in state.placed_models() {
            if state.model(model).is_none() {
                for replica in state.replicas_of(model) {
                    retire_unless_unloading(round, replica);
                }
            }
        }
    }

    /// Retires replicas on leaving engines, of other versions and with overdue loads. They are
    /// retired once replacements serve and they have no running requests, or one at a time if the
    /// maximum leaves no slot for a replacement.
    fn retire_obsolete(&self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let obsolete = obsolete_replicas(view);
        let serving = retained_replicas(round, view).len() as u32;
        if serving >= view.desired_count() {
            for replica in obsolete {
                if self.slot_requests(replica) == 0 {
                    retire_unless_unloading(round, replica);
                }
            }
            return;
        }
        if !view.should_load_another() || view.has_free_slot() {
            return;
        }
        let sets = &view.replicas;
        let unloading = sets.slots - view.usable_count() - sets.obsolete_count();
        let proposed = obsolete
            .iter()
            .any(|replica| round.retiring.contains(&replica.slot));
        let least_busy = obsolete
            .iter()
            .min_by_key(|replica| self.slot_requests(replica));
        if unloading == 0
            && !proposed
            && let Some(replica) = least_busy
        {
            retire_unless_unloading(round, replica);
        }
    }

    /// Retires replicas beyond the desired count, one per scale-down delay; never the last one.
    fn retire_surplus(&mut self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let loaded = retained_replicas(round, view);
        let needed = view.desired_count().max(1) as usize;
        if loaded.len() <= needed || self.never_unloads_idle() {
            self.surplus_since.remove(&view.name);
            return;
        }
        let since = self.surplus_since.entry(view.name.clone());
        let since = *since.or_insert(round.now);
        if round.now.since(since) < self.settings.scale_down_delay {
            return;
        }
        let mut idle = loaded
            .into_iter()
            .filter(|replica| self.slot_requests(replica) == 0);
        if let Some(replica) = idle.next_back() {
            retire_unless_unloading(round, replica);
            self.surplus_since.insert(view.name.clone(), round.now);
        }
    }

    /// Retires idle replicas of a model without demand.
    fn retire_idle(&self, round: &mut Round<'_>, view: &ModelView<'_>) {
        let loaded = retained_replicas(round, view);
        let spare = loaded
            .len()
            .saturating_sub(view.spec.minimum_replicas as usize);
        for replica in loaded.into_iter().take(spare) {
            let idle = self.idle_time(round.now, view, replica);
            if self.slot_requests(replica) == 0 && !self.should_keep_loaded(view, idle) {
                retire_unless_unloading(round, replica);
            }
        }
    }

    /// Returns true if the keep-alive strategy keeps a replica that has been idle for `idle`.
    fn should_keep_loaded(&self, view: &ModelView<'_>, idle: Duration) -> bool {
        match self.settings.keep_alive {
            KeepAlive::LeastRecentlyUsed | KeepAlive::AlwaysLoaded => true,
            KeepAlive::Fixed(time) => idle < time,
            KeepAlive::Adaptive => self.keep_alive_benefit(view, idle) > 0.0,
        }
    }

    fn never_unloads_idle(&self) -> bool {
        matches!(
            self.settings.keep_alive,
            KeepAlive::LeastRecentlyUsed | KeepAlive::AlwaysLoaded
        )
    }

    /// Expected benefit of keeping the model loaded; see [`ArrivalHistogram::keep_alive_benefit`].
    pub(crate) fn keep_alive_benefit(&self, view: &ModelView<'_>, idle: Duration) -> f64 {
        let Some(version) = view.version else {
            return f64::NEG_INFINITY;
        };
        let tier = self.engines.best_tier(&version.checkpoint);
        let cold_start = self
            .loads
            .expected_time(&self.settings, tier, version.weights_bytes);
        let costs = KeepAliveCosts {
            cold_start_seconds: cold_start.as_secs_f64(),
            accelerators: self.accelerator_fraction(view, version),
            cold_start_weight: f64::from(self.settings.cold_start_weight),
            idle_weight: f64::from(self.settings.idle_weight),
        };
        let no_history = ArrivalHistogram::default();
        let arrivals = self.demand.arrivals(&view.name).unwrap_or(&no_history);
        arrivals.keep_alive_benefit(idle, &costs)
    }

    /// Accelerators that a replica occupies, weighted by the fraction of memory it fills: replicas
    /// are packed, so a replica next to others occupies no further accelerator.
    fn accelerator_fraction(&self, view: &ModelView<'_>, version: &VersionSpec) -> f64 {
        let count = view.spec.accelerators_per_replica;
        let bytes = version_bytes_each(version, count) as f64;
        let size = self.accelerator_bytes.max(1) as f64;
        f64::from(count) * (bytes / size).min(1.0)
    }

    /// Probability that a request for the model arrives within `horizon`.
    pub(crate) fn arrival_probability(
        &self,
        model: &ModelName,
        idle: Duration,
        horizon: Duration,
    ) -> f64 {
        let no_history = ArrivalHistogram::default();
        let arrivals = self.demand.arrivals(model).unwrap_or(&no_history);
        arrivals.arrival_probability(idle, horizon)
    }

    /// Idle time of a replica as observed by this leader: since the model's last activity. Baseline
    /// strategies count from the end of the load if that is later.
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
        let loaded = self.loads.loaded_at(replica.slot);
        now.since(active.max(loaded.unwrap_or(now)))
    }

    /// Last activity of a model; the first report received by this leader if there was none.
    pub(crate) fn last_active(&self, model: &ModelName) -> Timestamp {
        let arrivals = self.demand.arrivals(model);
        let active = arrivals.and_then(ArrivalHistogram::last_active);
        let first_report = self.first_report.unwrap_or(Timestamp::ZERO);
        active.unwrap_or(first_report)
    }

    /// Requests reported in a slot; zero if the engine has not reported the slot.
    pub(crate) fn slot_requests(&self, replica: &Replica) -> u32 {
        let busy = self.engines.slot_requests(&replica.backend, replica.slot);
        busy.unwrap_or(0)
    }

    /// Load time of a model from its fastest tier.
    pub(crate) fn load_time(&self, view: &ModelView<'_>) -> Duration {
        let Some(version) = view.version else {
            return Duration::ZERO;
        };
        let tier = self.engines.best_tier(&version.checkpoint);
        let bytes = version.weights_bytes;
        self.loads.expected_time(&self.settings, tier, bytes)
    }

    /// Fastest tier of a model's checkpoint.
    pub(crate) fn nearest_tier(&self, view: &ModelView<'_>) -> CheckpointTier {
        view.version.map_or(CheckpointTier::Remote, |version| {
            self.engines.best_tier(&version.checkpoint)
        })
    }
}

fn retire_unless_unloading(round: &mut Round<'_>, replica: &Replica) {
    let unloading = replica.phase == millpass_proto::ReplicaPhase::Unloading;
    if !unloading {
        round.retire(replica);
    }
}

/// Loaded replicas of the current version on live engines that are not being retired.
pub(crate) fn retained_replicas<'a>(round: &Round<'_>, view: &ModelView<'a>) -> Vec<&'a Replica> {
    let loaded = view.replicas.loaded.iter().copied();
    loaded
        .filter(|replica| !round.retiring.contains(&replica.slot))
        .collect()
}

/// Replicas to be replaced. Replicas of another version are kept while the current version does not
/// exist.
fn obsolete_replicas<'a>(view: &ModelView<'a>) -> Vec<&'a Replica> {
    let sets = &view.replicas;
    let mut obsolete: Vec<&'a Replica> = sets.overdue.clone();
    obsolete.extend(&sets.leaving);
    if view.version.is_some() {
        obsolete.extend(&sets.stale);
    }
    obsolete
}
