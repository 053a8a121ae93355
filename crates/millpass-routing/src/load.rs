//! Requests running at each replica and web back end, as far as this router knows.
//!
//! How many routers share a replica is not known here, so its concurrency cannot be split. A
//! router counts its own attempts; of a back end that it happens to watch it also knows what
//! others run: the reported count less its own count when the report came. That estimate lags
//! like the reports do and is dropped after [`OBSERVATION_VALIDITY`]. Engines queue what comes
//! beyond their batch, so a wrong estimate costs waiting time, never correctness.

use crate::request::Place;
use millpass_proto::{BackendObservation, Duration, Timestamp};
use std::collections::BTreeMap;

/// How long a reported count is used.
pub(crate) const OBSERVATION_VALIDITY: Duration = Duration::from_secs(2);

/// Most places with a count of others.
const MAXIMUM_OBSERVED: usize = 4_096;

/// Counts.
#[derive(Debug, Default)]
pub(crate) struct BackendLoad {
    own: BTreeMap<Place, u32>,
    others: BTreeMap<Place, (u32, Timestamp)>,
    total: usize,
}

impl BackendLoad {
    /// An attempt starts at a place.
    pub fn started(&mut self, place: &Place) {
        *self.own.entry(place.clone()).or_insert(0) += 1;
        self.total += 1;
    }

    /// An attempt ended at a place.
    pub fn ended(&mut self, place: &Place) {
        let Some(count) = self.own.get_mut(place) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.own.remove(place);
        }
    }

    /// Attempts of this router in flight, everywhere.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Requests believed to run at a place.
    pub fn at(&self, place: &Place, now: Timestamp) -> u32 {
        let own = self.own.get(place).copied().unwrap_or(0);
        let others = match self.others.get(place) {
            Some((count, seen)) if now.since(*seen) < OBSERVATION_VALIDITY => *count,
            _ => 0,
        };
        own.saturating_add(others)
    }

    /// Takes in what a watched back end reported.
    pub fn observe(&mut self, observation: &BackendObservation, now: Timestamp) {
        if self.others.len() >= MAXIMUM_OBSERVED {
            self.others
                .retain(|_, (_, seen)| now.since(*seen) < OBSERVATION_VALIDITY);
        }
        match observation {
            BackendObservation::Engine(report) => {
                for slot in &report.slots {
                    let running = slot.running.saturating_add(slot.waiting);
                    self.note_others(Place::Slot(slot.slot), running, now);
                }
            }
            BackendObservation::Web(report) => {
                self.note_others(Place::Web(report.backend.clone()), report.running, now);
            }
            BackendObservation::Unreachable(_) => {}
        }
    }

    fn note_others(&mut self, place: Place, running: u32, now: Timestamp) {
        let own = self.own.get(&place).copied().unwrap_or(0);
        if self.others.len() < MAXIMUM_OBSERVED || self.others.contains_key(&place) {
            self.others
                .insert(place, (running.saturating_sub(own), now));
        }
    }
}
