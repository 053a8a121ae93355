//! Derives registrations and order settlements from reports of back ends.
//!
//! Reports can be delayed and can reach the leader through two routers in turn. Three rules keep
//! stale reports from undoing newer state:
//!
//! - Only the router that currently watches a back end can report its incarnation.
//! - An incarnation other than the registered one is accepted after two reports of it with
//!   increasing sequence numbers and none of the registered one in between, or when the engine
//!   itself rejected an order for the wrong incarnation.
//! - An order is settled only by a report whose highest accepted fence has reached the order's, and
//!   which lists the slot or adapter under exactly that fence.

use crate::platform::Platform;
use crate::proposals::InternalKey;
use millpass_proto::{
    BackendKind, BackendMark, BackendName, BackendRegistration, BackendState, Command,
    EngineReport, Incarnation, WebReport,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Maximum number of back ends with an unconfirmed incarnation; the lowest names are evicted first.
const MAXIMUM_CANDIDATES: usize = 4_096;

/// A command to propose, with its key.
pub(crate) type Proposal = (InternalKey, Command);

struct Candidate {
    incarnation: Incarnation,
    sequence: u64,
}

/// Incarnations of back ends that were reported and are not yet registered.
#[derive(Default)]
pub(crate) struct Observations {
    candidates: BTreeMap<BackendName, Candidate>,
    confirmed: BTreeMap<BackendName, Incarnation>,
    /// Incarnations whose registration was rejected by the state because they have ended.
    rejected: BTreeMap<BackendName, Incarnation>,
}

/// Fields that are common to reports of engines and web back ends.
struct ObservedIncarnation<'a> {
    backend: &'a BackendName,
    kind: BackendKind,
    incarnation: Incarnation,
    sequence: u64,
    accelerator_bytes: &'a [u64],
}

impl Observations {
    /// Returns the proposals for an engine's report: registration of a new incarnation and settled
    /// orders.
    pub(crate) fn engine(
        &mut self,
        report: &EngineReport,
        from_watcher: bool,
        state: &State,
        platform: &Platform,
    ) -> Vec<Proposal> {
        let observed = ObservedIncarnation {
            backend: &report.backend,
            kind: BackendKind::Engine,
            incarnation: report.incarnation,
            sequence: report.sequence,
            accelerator_bytes: &report.accelerator_bytes,
        };
        let mut proposals = Vec::new();
        if from_watcher {
            proposals.extend(self.registration(&observed, state, platform));
        }
        proposals.extend(settlements(report, state));
        proposals
    }

    /// Returns the proposal for a web back end's report: registration of a new incarnation.
    pub(crate) fn web(
        &mut self,
        report: &WebReport,
        from_watcher: bool,
        state: &State,
        platform: &Platform,
    ) -> Option<Proposal> {
        if !from_watcher {
            return None;
        }
        let observed = ObservedIncarnation {
            backend: &report.backend,
            kind: BackendKind::Web,
            incarnation: report.incarnation,
            sequence: report.sequence,
            accelerator_bytes: &[],
        };
        self.registration(&observed, state, platform)
    }

    /// Records the incarnation that an engine stated when it rejected an order.
    pub(crate) fn record_confirmed(&mut self, backend: &BackendName, incarnation: Incarnation) {
        if self.confirmed.len() < MAXIMUM_CANDIDATES {
            self.confirmed.insert(backend.clone(), incarnation);
        }
    }

    /// Records that the state rejected the registration of an incarnation; it is not proposed
    /// again.
    pub(crate) fn record_rejected(&mut self, backend: &BackendName, incarnation: Incarnation) {
        if self.rejected.len() < MAXIMUM_CANDIDATES {
            self.rejected.insert(backend.clone(), incarnation);
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Observations::default();
    }

    fn registration(
        &mut self,
        observed: &ObservedIncarnation<'_>,
        state: &State,
        platform: &Platform,
    ) -> Option<Proposal> {
        let machine = platform.machine(observed.backend)?;
        if machine.kind != observed.kind
            || self.rejected.get(observed.backend) == Some(&observed.incarnation)
        {
            return None;
        }
        if let Some(registered) = state.backend(observed.backend) {
            let is_same = registered.registration.incarnation == observed.incarnation;
            if is_same {
                self.candidates.remove(observed.backend);
                self.confirmed.remove(observed.backend);
            }
            let moved = registered.registration.address != machine.address
                || registered.registration.zone != machine.zone;
            let ended = registered.state == BackendState::Gone;
            let register = if is_same {
                moved && !ended
            } else {
                self.is_confirmed(observed)
            };
            if !register {
                return None;
            }
        }
        if machine.state == BackendState::Leaving {
            return end_of_previous_incarnation(observed, state);
        }
        let registration = BackendRegistration {
            backend: observed.backend.clone(),
            kind: observed.kind,
            group: machine.group.clone(),
            zone: machine.zone.clone(),
            address: machine.address.clone(),
            incarnation: observed.incarnation,
            accelerator_bytes: observed.accelerator_bytes.to_vec(),
        };
        let key = InternalKey::Register(observed.backend.clone(), observed.incarnation);
        Some((key, Command::RegisterBackend(registration)))
    }

    /// Returns true once an incarnation other than the registered one is confirmed.
    fn is_confirmed(&mut self, observed: &ObservedIncarnation<'_>) -> bool {
        if self.confirmed.get(observed.backend) == Some(&observed.incarnation) {
            return true;
        }
        if let Some(candidate) = self.candidates.get(observed.backend)
            && candidate.incarnation == observed.incarnation
            && candidate.sequence < observed.sequence
        {
            return true;
        }
        if self.candidates.len() >= MAXIMUM_CANDIDATES {
            self.candidates.pop_first();
        }
        let candidate = Candidate {
            incarnation: observed.incarnation,
            sequence: observed.sequence,
        };
        self.candidates.insert(observed.backend.clone(), candidate);
        false
    }
}

/// Returns the orders that a report settles.
fn settlements(report: &EngineReport, state: &State) -> Vec<Proposal> {
    let settled = state.settlements(report).into_iter();
    settled
        .map(|(fence, command)| (InternalKey::Settle(report.backend.clone(), fence), command))
        .collect()
}

/// Returns the mark for the previous incarnation of a leaving machine. The new incarnation proves
/// that the previous one has ended, and is not registered itself: it would receive work until it is
/// marked.
fn end_of_previous_incarnation(
    observed: &ObservedIncarnation<'_>,
    state: &State,
) -> Option<Proposal> {
    let registered = state.backend(observed.backend)?;
    let ended = registered.registration.incarnation;
    if ended == observed.incarnation || registered.state == BackendState::Gone {
        return None;
    }
    let mark = BackendMark {
        backend: observed.backend.clone(),
        incarnation: ended,
        state: BackendState::Gone,
    };
    let key = InternalKey::Mark(observed.backend.clone());
    Some((key, Command::MarkBackend(mark)))
}
