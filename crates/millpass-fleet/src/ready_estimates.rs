//! Ready estimates as published to gateways. With dozens of loads at once some estimate moves in
//! every planning round; gateways are sent those that moved since their last update.

use crate::demand::ModelKey;
use crate::update_schedule::KeyHash;
use millpass_proto::{Duration, EstimateKey, ModelReadyEstimate, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Difference between a published and a current ready time, below which gateways are not updated.
/// For distant times, a tenth of the remaining time applies.
const READY_TIME_TOLERANCE: Duration = Duration::from_millis(100);
/// Minimum time between two published moves of an estimate, unless it halves. The estimates of models
/// that wait for an engine move in every planning round, as their likely engine changes; at 300 of
/// them, publishing each move would cost each gateway 20 KB a second.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// Ended estimates kept for gateways that have not received them. Gateways that miss older ones are
/// sent the whole list.
const MAX_ENDED: usize = 1_024;

struct Published {
    ready: Timestamp,
    at: Timestamp,
    /// Ready time as of the last planning round.
    current: Timestamp,
    revision: u64,
    model: KeyHash,
}

/// Estimates that were published, moved or ended after a revision.
pub(crate) struct EstimateChanges {
    pub(crate) moved: Vec<ModelReadyEstimate>,
    pub(crate) ended: Vec<EstimateKey>,
}

/// Earliest ready time of each model and adapter that is loading or waits to be loaded.
#[derive(Default)]
pub(crate) struct ReadyEstimates {
    entries: BTreeMap<ModelKey, Published>,
    ended: VecDeque<(u64, ModelKey)>,
    discarded_revision: u64,
    revision: u64,
    /// Revision of the last change of which models are listed.
    list_revision: u64,
    /// Models whose estimates are new or moved since [`ReadyEstimates::take_moved`].
    moved: BTreeSet<KeyHash>,
    /// Revision of the newest estimate of each model.
    by_model: HashMap<KeyHash, u64>,
}

impl ReadyEstimates {
    /// Revision of the last change of any estimate.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the last estimate that is new or ended.
    pub(crate) fn list_revision(&self) -> u64 {
        self.list_revision
    }

    /// Replaces the estimates by those of a planning round. Of several estimates for one model the
    /// earliest counts.
    pub(crate) fn refresh(&mut self, now: Timestamp, estimates: Vec<ModelReadyEstimate>) {
        let mut earliest: BTreeMap<ModelKey, Timestamp> = BTreeMap::new();
        for estimate in estimates {
            let ready = now + Duration::from_millis(estimate.ready_in_millis);
            let key = ModelKey {
                service: estimate.service,
                model: estimate.model,
                adapter: estimate.adapter,
            };
            let entry = earliest.entry(key).or_insert(ready);
            *entry = ready.min(*entry);
        }
        let listed = std::mem::take(&mut self.entries);
        for (key, published) in listed {
            if earliest.contains_key(&key) {
                self.entries.insert(key, published);
            } else {
                self.end(key);
            }
        }
        for (key, ready) in earliest {
            self.publish(now, key, ready);
        }
        self.by_model.clear();
        for published in self.entries.values() {
            let newest = self.by_model.entry(published.model).or_default();
            *newest = published.revision.max(*newest);
        }
    }

    fn end(&mut self, key: ModelKey) {
        self.revision += 1;
        self.list_revision = self.revision;
        self.ended.push_back((self.revision, key));
        if self.ended.len() > MAX_ENDED
            && let Some((revision, _)) = self.ended.pop_front()
        {
            self.discarded_revision = revision;
        }
    }

    fn publish(&mut self, now: Timestamp, key: ModelKey, ready: Timestamp) {
        let is_new = match self.entries.get_mut(&key) {
            Some(published) => {
                published.current = ready;
                let has_halved = ready.since(now) * 2 < published.ready.since(now);
                let is_due = has_halved || now.since(published.at) >= MOVE_INTERVAL;
                if !is_due || !has_moved(now, published.ready, ready) {
                    return;
                }
                false
            }
            None => true,
        };
        self.revision += 1;
        if is_new {
            self.list_revision = self.revision;
            self.ended.retain(|(_, ended)| *ended != key);
        }
        let model = KeyHash::model(&key.service, &key.model);
        self.moved.insert(model);
        let published = Published {
            ready,
            at: now,
            current: ready,
            revision: self.revision,
            model,
        };
        self.entries.insert(key, published);
    }

    /// Returns the models whose estimates are new or moved since the last call.
    pub(crate) fn take_moved(&mut self) -> BTreeSet<KeyHash> {
        std::mem::take(&mut self.moved)
    }

    /// Returns all estimates.
    pub(crate) fn all(&self, now: Timestamp) -> Vec<ModelReadyEstimate> {
        let entries = self.entries.iter();
        entries.map(|(key, it)| estimate(now, key, it)).collect()
    }

    /// Returns the estimates of these models.
    pub(crate) fn of_models(
        &self,
        now: Timestamp,
        models: &BTreeSet<KeyHash>,
    ) -> Vec<ModelReadyEstimate> {
        if models.is_empty() {
            return Vec::new();
        }
        let entries = self.entries.iter();
        let matching = entries.filter(|(_, published)| models.contains(&published.model));
        matching.map(|(key, it)| estimate(now, key, it)).collect()
    }

    /// Returns whether a model has an estimate newer than a revision.
    pub(crate) fn has_moved_since(&self, model: KeyHash, revision: u64) -> bool {
        let newest = self.by_model.get(&model);
        newest.is_some_and(|newest| *newest > revision)
    }

    /// Returns what changed after a revision; none if ended estimates since then were discarded.
    pub(crate) fn changes_since(&self, now: Timestamp, revision: u64) -> Option<EstimateChanges> {
        if revision < self.discarded_revision {
            return None;
        }
        let entries = self.entries.iter();
        let moved = entries.filter(|(_, published)| published.revision > revision);
        let ended = self.ended.iter().filter(|(at, _)| *at > revision);
        Some(EstimateChanges {
            moved: moved.map(|(key, it)| estimate(now, key, it)).collect(),
            ended: ended
                .map(|(_, key)| EstimateKey {
                    service: key.service.clone(),
                    model: key.model.clone(),
                    adapter: key.adapter.clone(),
                })
                .collect(),
        })
    }
}

fn estimate(now: Timestamp, key: &ModelKey, published: &Published) -> ModelReadyEstimate {
    ModelReadyEstimate {
        service: key.service.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        ready_in_millis: published.current.since(now).as_millis() as u64,
    }
}

/// Returns whether a ready time differs from the published one by more than the tolerance.
fn has_moved(now: Timestamp, published: Timestamp, ready: Timestamp) -> bool {
    // Gateways treat elapsed ready times as now.
    let published = published.max(now);
    let difference = ready.since(published).max(published.since(ready));
    difference > READY_TIME_TOLERANCE.max(ready.since(now) / 10)
}
