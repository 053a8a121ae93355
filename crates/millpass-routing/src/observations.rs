//! Latest observations of watched backends, reported until the leader acknowledges them.

use millpass_proto::{
    BackendName, BackendObservation, EngineAdapterReport, EngineSlotPhase, EngineSlotReport,
    SlotId, WatchedBackend,
};
use std::collections::BTreeMap;

/// Maximum number of backends that one router watches.
pub(crate) const MAXIMUM_WATCHED: usize = 1_024;

/// Latest observation of a backend.
#[derive(Debug)]
struct Observed {
    observation: BackendObservation,
    sent: Option<u64>,
    acknowledged: bool,
}

/// Latest observation of each watched backend.
#[derive(Debug, Default)]
pub(crate) struct ObservationTable {
    watched: BTreeMap<BackendName, Option<Observed>>,
}

impl ObservationTable {
    /// Replaces the watch list and returns it, truncated to [`MAXIMUM_WATCHED`].
    pub fn watch(&mut self, backends: &[WatchedBackend]) -> Vec<WatchedBackend> {
        let watch_list: Vec<_> = backends.iter().take(MAXIMUM_WATCHED).cloned().collect();
        let mut watched = BTreeMap::new();
        for entry in &watch_list {
            let observed = self.watched.remove(&entry.backend).flatten();
            watched.insert(entry.backend.clone(), observed);
        }
        self.watched = watched;
        watch_list
    }

    /// Records an observation of a watched backend. Returns true if it must be reported at once.
    pub fn record(&mut self, observation: BackendObservation) -> bool {
        let Some(entry) = self.watched.get_mut(name_of(&observation)) else {
            return false;
        };
        let previous = entry.as_ref().map(|previous| &previous.observation);
        if previous == Some(&observation) {
            return false;
        }
        let is_urgent = previous.is_none_or(|previous| !has_same_placement(previous, &observation));
        *entry = Some(Observed {
            observation,
            sent: None,
            acknowledged: false,
        });
        is_urgent
    }

    /// Returns up to `most` unacknowledged observations for a report.
    pub fn collect_for_report(&mut self, sequence: u64, most: usize) -> Vec<BackendObservation> {
        let entries = self.watched.values_mut().flatten();
        let unacknowledged = entries.filter(|entry| !entry.acknowledged);
        let mut pending: Vec<_> = unacknowledged.collect();
        // Never sent first, then least recently sent.
        pending.sort_by_key(|entry| entry.sent);
        let mut collected = Vec::new();
        for entry in pending.into_iter().take(most) {
            entry.sent = Some(sequence);
            collected.push(entry.observation.clone());
        }
        collected
    }

    /// Records that the leader acknowledged a report.
    pub fn acknowledge(&mut self, sequence: u64) {
        for entry in self.watched.values_mut().flatten() {
            entry.acknowledged |= entry.sent == Some(sequence);
        }
    }

    /// Resets the acknowledged state; a new leader has received nothing yet.
    pub fn reset_acknowledged(&mut self) {
        for entry in self.watched.values_mut().flatten() {
            entry.acknowledged = false;
            entry.sent = None;
        }
    }
}

/// Returns true if two observations of a backend differ in load only. Other differences, such as a
/// finished load or a new incarnation, may unblock waiting requests.
fn has_same_placement(one: &BackendObservation, other: &BackendObservation) -> bool {
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

/// The content of a slot without its load.
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
