//! Load of each replica and web backend, as observed by this router.
//!
//! The load is the number of own attempts plus, for watched backends, the last reported count less
//! the own attempts at that time. Engines queue requests beyond their batch size, so a wrong
//! estimate costs waiting time, not correctness.

use crate::request::Endpoint;
use millpass_proto::{BackendObservation, Duration, Timestamp};
use std::collections::BTreeMap;

/// How long a reported count is used.
pub(crate) const OBSERVATION_VALIDITY: Duration = Duration::from_secs(2);

/// Maximum number of endpoints with a reported count.
const MAXIMUM_OBSERVED: usize = 4_096;

/// Attempts in flight per endpoint.
#[derive(Debug, Default)]
pub(crate) struct BackendLoad {
    own: BTreeMap<Endpoint, u32>,
    others: BTreeMap<Endpoint, (u32, Timestamp)>,
    total: usize,
}

impl BackendLoad {
    /// Records the start of an attempt.
    pub fn record_start(&mut self, endpoint: &Endpoint) {
        *self.own.entry(endpoint.clone()).or_insert(0) += 1;
        self.total += 1;
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, endpoint: &Endpoint) {
        let Some(count) = self.own.get_mut(endpoint) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.own.remove(endpoint);
        }
    }

    pub fn total(&self) -> usize {
        self.total
    }

    /// Estimated number of requests at an endpoint.
    pub fn at(&self, endpoint: &Endpoint, now: Timestamp) -> u32 {
        let own = self.own.get(endpoint).copied().unwrap_or(0);
        let others = match self.others.get(endpoint) {
            Some((count, observed_at)) if now.since(*observed_at) < OBSERVATION_VALIDITY => *count,
            _ => 0,
        };
        own.saturating_add(others)
    }

    /// Records the load reported by a watched backend.
    pub fn record_observation(&mut self, observation: &BackendObservation, now: Timestamp) {
        if self.others.len() >= MAXIMUM_OBSERVED {
            self.others
                .retain(|_, (_, observed_at)| now.since(*observed_at) < OBSERVATION_VALIDITY);
        }
        match observation {
            BackendObservation::Engine(report) => {
                for slot in &report.slots {
                    let running = slot.running.saturating_add(slot.waiting);
                    self.record_others(Endpoint::Slot(slot.slot), running, now);
                }
            }
            BackendObservation::Web(report) => {
                self.record_others(Endpoint::Web(report.backend.clone()), report.running, now);
            }
            BackendObservation::Unreachable(_) => {}
        }
    }

    fn record_others(&mut self, endpoint: Endpoint, running: u32, now: Timestamp) {
        let own = self.own.get(&endpoint).copied().unwrap_or(0);
        if self.others.len() < MAXIMUM_OBSERVED || self.others.contains_key(&endpoint) {
            self.others
                .insert(endpoint, (running.saturating_sub(own), now));
        }
    }
}
