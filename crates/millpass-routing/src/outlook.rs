//! What the leader expects of models that have no replica to serve them yet.

use millpass_proto::{Duration, LoadEstimate, ModelName, Timestamp};
use std::collections::BTreeMap;

/// How long a model may be unplaceable before its requests are refused: long enough for one
/// unload or one lost machine to settle, short against any deadline.
pub(crate) const UNPLACEABLE_GRACE: Duration = Duration::from_millis(500);

/// Expectation of one model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// When a replica should serve.
    pub ready: Timestamp,
    /// Since when no replica can be placed, if so.
    pub unplaceable_since: Option<Timestamp>,
}

/// The expectations of the last update.
#[derive(Debug, Default)]
pub(crate) struct Outlooks {
    models: BTreeMap<ModelName, Expectation>,
}

impl Outlooks {
    /// Replaces all expectations; how long a model has been unplaceable is kept.
    pub fn replace(&mut self, outlooks: &[LoadEstimate], now: Timestamp) {
        let mut models = BTreeMap::new();
        for outlook in outlooks {
            let before = self.models.get(&outlook.model);
            let since = before
                .and_then(|held| held.unplaceable_since)
                .unwrap_or(now);
            let expectation = Expectation {
                ready: now + Duration::from_millis(outlook.ready_in_millis),
                unplaceable_since: (!outlook.placeable).then_some(since),
            };
            models.insert(outlook.model.clone(), expectation);
        }
        self.models = models;
    }

    /// Expectation of a model, if the leader gave one.
    pub fn of(&self, model: &ModelName) -> Option<Expectation> {
        self.models.get(model).copied()
    }
}
