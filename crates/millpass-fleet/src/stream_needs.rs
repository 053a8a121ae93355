//! Loads for streams that go on only at one software version.

use crate::demand::StreamNeed;
use crate::planner::{ServiceView, Step};
use crate::round::{PlanningRound, Victims};
use millpass_proto::InstanceId;

/// Loads the models and adapters that streams wait for at engines of their software version.
pub(crate) fn serve(view: &mut ServiceView<'_>, round: &mut PlanningRound, steps: &mut Vec<Step>) {
    for need in view.demand.stream_needs(view.now, view.service) {
        view.serve_stream(&need, round, steps);
    }
}

impl ServiceView<'_> {
    fn serve_stream(
        &mut self,
        need: &StreamNeed,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        let model = &need.key.model;
        let Some(adapters) = round.model(self.specification, model).map(|it| it.adapters) else {
            return;
        };
        let holders = round.holders_of(model).iter();
        let holders: Vec<InstanceId> = holders
            .filter(|instance| self.runs(instance, need))
            .cloned()
            .collect();
        if holders.is_empty() {
            return self.load_for_stream(need, round, steps);
        }
        let is_met = match &need.key.adapter {
            Some(adapter) if adapters > 0 => {
                !self.is_load_quarantined(model, Some(adapter))
                    && self.load_adapter_at(&need.key, adapter, &holders, round, steps)
            }
            _ => true,
        };
        if is_met {
            self.demand.end_stream_need(need);
        }
    }

    fn load_for_stream(
        &mut self,
        need: &StreamNeed,
        round: &mut PlanningRound,
        steps: &mut Vec<Step>,
    ) {
        let model = &need.key.model;
        let is_incoming = self.available().any(|instance| {
            let engine = self.engine(instance);
            let incoming = engine.is_some_and(|it| it.incoming_models().any(|it| it == model));
            incoming && self.runs(instance, need)
        });
        if is_incoming {
            return;
        }
        let limit = round.eviction_limit(model, need.requests);
        let placement = round.cheapest_placement(
            self.specification,
            model,
            need.requests,
            limit,
            Victims::Settled,
            |site, _| self.runs(&site.instance, need),
        );
        if let Some(placement) = placement.filter(|it| it.available_in.is_zero()) {
            self.start_load(&placement, model, "stream-version", round, steps);
        }
    }

    /// Returns true if an engine runs the software that a stream needs.
    fn runs(&self, instance: &InstanceId, need: &StreamNeed) -> bool {
        let record = self.registry.get(instance);
        let software = record.and_then(|record| record.software.version());
        software == Some(&need.software)
    }
}
