//! Loads ahead of a likely arrival, with memory and permits that nothing else asks for.

use crate::Scheduler;
use crate::placing::Means;
use crate::proposals::Subject;
use crate::round::Round;
use crate::settings::KeepAlive;
use crate::view::ModelView;

/// Real gaps that a history must hold before it is acted on.
const MINIMUM_GAPS: u32 = 4;
/// Least expected gain for which a model is loaded ahead, as a share of the cost of a cold start.
const LEAST_GAIN: f64 = 0.1;
/// Models loaded ahead in one round.
const PREWARMS_PER_ROUND: usize = 1;

impl Scheduler {
    /// Proposes loads ahead of demand, if no request waits for a load.
    pub(crate) fn prewarm<'a>(&mut self, round: &mut Round<'a>, views: &[ModelView<'a>]) {
        let adaptive = self.settings.keep_alive == KeepAlive::Adaptive;
        let waiting = views.iter().any(|view| view.wants_another());
        if !adaptive || !self.settings.prewarm || !round.may_retire || waiting {
            return;
        }
        let cold = views.iter().filter(|view| self.may_prewarm(view));
        let mut likely: Vec<(f64, &ModelView<'a>)> = cold
            .map(|view| {
                (
                    self.keep_alive_benefit(view, self.silence(round, view)),
                    view,
                )
            })
            .filter(|(gain, view)| *gain > self.cold_start_cost(view) * LEAST_GAIN)
            .collect();
        likely.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, view) in likely.into_iter().take(PREWARMS_PER_ROUND) {
            self.place_one(round, view, views, Means::FreeMemory);
        }
    }

    fn may_prewarm(&self, view: &ModelView<'_>) -> bool {
        let none_there = view.replicas.slots == 0 && view.has_free_slot();
        let under_way = self.proposals.contains(&Subject::Place(view.name.clone()));
        if !none_there || under_way || !view.idle() || view.version.is_none() {
            return false;
        }
        let history = self.demand.arrivals(&view.name);
        history.map_or(0, |arrivals| arrivals.gap_count()) >= MINIMUM_GAPS
    }

    fn cold_start_cost(&self, view: &ModelView<'_>) -> f64 {
        let weight = f64::from(self.settings.cold_start_weight);
        weight * self.load_time(view).as_secs_f64()
    }

    fn silence(&self, round: &Round<'_>, view: &ModelView<'_>) -> millpass_proto::Duration {
        round.now.since(self.last_active(&view.name))
    }
}
