//! What watched back ends reported, until the leader has it.

use millpass_proto::{
    BackendName, BackendObservation, EngineAdapterReport, EngineSlotPhase, EngineSlotReport,
    SlotId, WatchedBackend,
};
use std::collections::BTreeMap;

/// Most back ends watched by one router.
pub(crate) const MAXIMUM_WATCHED: usize = 1_024;

/// The newest observation of one back end.
#[derive(Debug)]
struct Observed {
    observation: BackendObservation,
    sent: Option<u64>,
    acknowledged: bool,
}

/// The newest observation of each watched back end.
#[derive(Debug, Default)]
pub(crate) struct ObservationTable {
    /// Watched back ends, with what was last seen of them.
    watched: BTreeMap<BackendName, Option<Observed>>,
}

impl ObservationTable {
    /// Sets the share to watch; returns it, cut to the bound.
    pub fn watch(&mut self, backends: &[WatchedBackend]) -> Vec<WatchedBackend> {
        let share: Vec<_> = backends.iter().take(MAXIMUM_WATCHED).cloned().collect();
        let mut watched = BTreeMap::new();
        for entry in &share {
            let kept = self.watched.remove(&entry.backend).flatten();
            watched.insert(entry.backend.clone(), kept);
        }
        self.watched = watched;
        share
    }

    /// Takes an observation of a watched back end; true if the leader should have it at once.
    pub fn observe(&mut self, observation: BackendObservation) -> bool {
        let Some(entry) = self.watched.get_mut(name_of(&observation)) else {
            return false;
        };
        let held = entry.as_ref().map(|held| &held.observation);
        if held == Some(&observation) {
            return false;
        }
        let is_urgent = held.is_none_or(|held| !shows_same_placement(held, &observation));
        *entry = Some(Observed {
            observation,
            sent: None,
            acknowledged: false,
        });
        is_urgent
    }

    /// Observations that the leader is not known to have, at most `most`, for a report.
    pub fn take_for_report(&mut self, sequence: u64, most: usize) -> Vec<BackendObservation> {
        let entries = self.watched.values_mut().flatten();
        let unacknowledged = entries.filter(|entry| !entry.acknowledged);
        let mut oldest_sent: Vec<_> = unacknowledged.collect();
        // What was not sent at all goes first, then what was sent longest ago.
        oldest_sent.sort_by_key(|entry| entry.sent);
        let mut taken = Vec::new();
        for entry in oldest_sent.into_iter().take(most) {
            entry.sent = Some(sequence);
            taken.push(entry.observation.clone());
        }
        taken
    }

    /// The leader has the report with this number.
    pub fn acknowledge(&mut self, sequence: u64) {
        for entry in self.watched.values_mut().flatten() {
            entry.acknowledged |= entry.sent == Some(sequence);
        }
    }

    /// A new leader knows nothing yet.
    pub fn forget_acknowledged(&mut self) {
        for entry in self.watched.values_mut().flatten() {
            entry.acknowledged = false;
            entry.sent = None;
        }
    }
}

/// Whether two observations of a back end differ in its load only. Requests wait for what differs
/// otherwise: a load or unload that ended, a new run.
fn shows_same_placement(one: &BackendObservation, other: &BackendObservation) -> bool {
    match (one, other) {
        (BackendObservation::Engine(one), BackendObservation::Engine(other)) => {
            one.incarnation == other.incarnation
                && one
                    .slots
                    .iter()
                    .map(placement)
                    .eq(other.slots.iter().map(placement))
        }
        (BackendObservation::Web(one), BackendObservation::Web(other)) => {
            one.incarnation == other.incarnation
        }
        (BackendObservation::Unreachable(_), BackendObservation::Unreachable(_)) => true,
        _ => false,
    }
}

/// What a slot holds, without how much runs in it.
fn placement(slot: &EngineSlotReport) -> (SlotId, &EngineSlotPhase, &[EngineAdapterReport]) {
    (slot.slot, &slot.phase, &slot.adapters)
}

fn name_of(observation: &BackendObservation) -> &BackendName {
    match observation {
        BackendObservation::Engine(report) => &report.backend,
        BackendObservation::Web(report) => &report.backend,
        BackendObservation::Unreachable(backend) => backend,
    }
}
