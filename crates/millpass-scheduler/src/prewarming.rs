//! Prewarming: loads ahead of likely arrivals, using free memory and spare permits only.

use crate::Scheduler;
use crate::placement::MemorySource;
use crate::proposals::ProposalKey;
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;

/// Recorded gaps required before a model is prewarmed.
const MINIMUM_GAPS: u32 = 4;
/// Minimum expected benefit of prewarming, as a fraction of the cold start cost.
const MINIMUM_BENEFIT_RATIO: f64 = 0.1;
const MAXIMUM_PREWARMS_PER_ROUND: usize = 1;

impl Scheduler {
    /// Proposes loads ahead of demand, unless current demand or a minimum requires a load.
    pub(crate) fn prewarm<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        let adaptive = self.settings.keep_alive == KeepAlive::Adaptive;
        let waiting = views.iter().any(|view| view.should_load_another());
        if !adaptive || !self.settings.prewarm || !round.may_retire || waiting {
            return;
        }
        let cold = views.iter().filter(|view| self.may_prewarm(view));
        let mut by_benefit: Vec<(f64, &ModelView<'a>)> = cold
            .map(|view| {
                (
                    self.keep_alive_benefit(view, self.model_idle_time(round, view)),
                    view,
                )
            })
            .filter(|(benefit, view)| *benefit > self.cold_start_cost(view) * MINIMUM_BENEFIT_RATIO)
            .collect();
        by_benefit.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, view) in by_benefit.into_iter().take(MAXIMUM_PREWARMS_PER_ROUND) {
            self.try_place(round, view, views, MemorySource::FreeOnly);
        }
    }

    fn may_prewarm(&self, view: &ModelView<'_>) -> bool {
        let unplaced = view.replicas.slots == 0 && view.has_free_slot();
        let in_progress = self
            .proposals
            .contains(&ProposalKey::Place(view.name.clone()));
        if !unplaced || in_progress || !view.idle() || view.version.is_none() {
            return false;
        }
        let history = self.demand.arrivals(&view.name);
        history.map_or(0, |arrivals| arrivals.gap_count()) >= MINIMUM_GAPS
    }

    fn cold_start_cost(&self, view: &ModelView<'_>) -> f64 {
        let weight = f64::from(self.settings.cold_start_weight);
        weight * self.load_time(view).as_secs_f64()
    }

    fn model_idle_time(&self, round: &Round<'_>, view: &ModelView<'_>) -> millpass_proto::Duration {
        round.now.since(self.last_active(&view.name))
    }
}
