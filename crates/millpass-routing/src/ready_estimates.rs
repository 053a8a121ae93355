//! Ready estimates of the leader for models that no replica serves yet.

use millpass_proto::{Duration, LoadEstimate, ModelName, Timestamp};
use std::collections::BTreeMap;

/// How long a model may be unplaceable before its requests are refused; covers one unload or the
/// loss of one machine.
pub(crate) const UNPLACEABLE_GRACE: Duration = Duration::from_millis(500);

/// Estimate for one model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyEstimate {
    /// When a replica is expected to serve.
    pub ready: Timestamp,
    /// Since when no replica can be placed; `None` if one can.
    pub unplaceable_since: Option<Timestamp>,
}

/// Estimates of the latest update.
#[derive(Debug, Default)]
pub(crate) struct ReadyEstimates {
    models: BTreeMap<ModelName, ReadyEstimate>,
}

impl ReadyEstimates {
    /// Replaces all estimates but keeps the start of unplaceable periods.
    pub fn replace(&mut self, estimates: &[LoadEstimate], now: Timestamp) {
        let mut models = BTreeMap::new();
        for estimate in estimates {
            let previous = self.models.get(&estimate.model);
            let since = previous
                .and_then(|estimate| estimate.unplaceable_since)
                .unwrap_or(now);
            let ready_estimate = ReadyEstimate {
                ready: now + Duration::from_millis(estimate.ready_in_millis),
                unplaceable_since: (!estimate.placeable).then_some(since),
            };
            models.insert(estimate.model.clone(), ready_estimate);
        }
        self.models = models;
    }

    /// Returns the estimate for a model, if the leader sent one.
    pub fn of(&self, model: &ModelName) -> Option<ReadyEstimate> {
        self.models.get(model).copied()
    }
}
