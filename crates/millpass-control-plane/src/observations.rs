//! What reports of back ends mean: registrations of new runs and settled orders.
//!
//! Reports lag and may reach the leader through two routers in turn. Three rules keep an old
//! report from undoing newer knowledge:
//!
//! - Only the router that watches a back end now is heard about its run.
//! - A run other than the registered one is believed when two reports of it with growing
//!   sequence numbers arrive with none of the registered run in between, or when the engine
//!   itself refused an order for the wrong run.
//! - An order is settled only by a report whose highest accepted fence has reached the order's,
//!   and which shows the slot or adapter under exactly that fence.

use crate::platform::Platform;
use crate::proposals::InternalKey;
use millpass_proto::{
    BackendKind, BackendMark, BackendName, BackendRegistration, BackendState, Command,
    EngineReport, Incarnation, WebReport,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Most back ends with an unconfirmed run; the lowest names are dropped first.
const MAXIMUM_CANDIDATES: usize = 4_096;

/// A command to propose, with its identity.
pub(crate) type Proposal = (InternalKey, Command);

struct Candidate {
    incarnation: Incarnation,
    sequence: u64,
}

/// Runs of back ends that were seen and are not yet believed.
#[derive(Default)]
pub(crate) struct Observations {
    candidates: BTreeMap<BackendName, Candidate>,
    confirmed: BTreeMap<BackendName, Incarnation>,
    /// Runs whose registration the state refused: they have ended.
    refused: BTreeMap<BackendName, Incarnation>,
}

/// What both kinds of reports say of a run.
struct RunSeen<'a> {
    backend: &'a BackendName,
    kind: BackendKind,
    incarnation: Incarnation,
    sequence: u64,
    accelerator_bytes: &'a [u64],
}

impl Observations {
    /// Takes an engine's report: a registration if its run is new, and settled orders.
    pub(crate) fn engine(
        &mut self,
        report: &EngineReport,
        from_watcher: bool,
        state: &State,
        platform: &Platform,
    ) -> Vec<Proposal> {
        let run = RunSeen {
            backend: &report.backend,
            kind: BackendKind::Engine,
            incarnation: report.incarnation,
            sequence: report.sequence,
            accelerator_bytes: &report.accelerator_bytes,
        };
        let mut proposals = Vec::new();
        if from_watcher {
            proposals.extend(self.registration(&run, state, platform));
        }
        proposals.extend(settlements(report, state));
        proposals
    }

    /// Takes a web back end's report: a registration if its run is new.
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
        let run = RunSeen {
            backend: &report.backend,
            kind: BackendKind::Web,
            incarnation: report.incarnation,
            sequence: report.sequence,
            accelerator_bytes: &[],
        };
        self.registration(&run, state, platform)
    }

    /// The engine itself named its run when it refused an order.
    pub(crate) fn run_confirmed(&mut self, backend: &BackendName, incarnation: Incarnation) {
        if self.confirmed.len() < MAXIMUM_CANDIDATES {
            self.confirmed.insert(backend.clone(), incarnation);
        }
    }

    /// The state refused the registration of a run: it has ended, and is not proposed again.
    pub(crate) fn registration_refused(&mut self, backend: &BackendName, run: Incarnation) {
        if self.refused.len() < MAXIMUM_CANDIDATES {
            self.refused.insert(backend.clone(), run);
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = Observations::default();
    }

    fn registration(
        &mut self,
        run: &RunSeen<'_>,
        state: &State,
        platform: &Platform,
    ) -> Option<Proposal> {
        let machine = platform.machine(run.backend)?;
        if machine.kind != run.kind || self.refused.get(run.backend) == Some(&run.incarnation) {
            return None;
        }
        if let Some(known) = state.backend(run.backend) {
            let known_run = known.registration.incarnation == run.incarnation;
            if known_run {
                self.candidates.remove(run.backend);
                self.confirmed.remove(run.backend);
            }
            let moved = known.registration.address != machine.address
                || known.registration.zone != machine.zone;
            let ended = known.state == BackendState::Gone;
            let register = if known_run {
                moved && !ended
            } else {
                self.believe(run)
            };
            if !register {
                return None;
            }
        }
        if machine.state == BackendState::Leaving {
            return ended_by_leaving_run(run, state);
        }
        let registration = BackendRegistration {
            backend: run.backend.clone(),
            kind: run.kind,
            group: machine.group.clone(),
            zone: machine.zone.clone(),
            address: machine.address.clone(),
            incarnation: run.incarnation,
            accelerator_bytes: run.accelerator_bytes.to_vec(),
        };
        let key = InternalKey::Register(run.backend.clone(), run.incarnation);
        Some((key, Command::RegisterBackend(registration)))
    }

    /// Whether a run that differs from the registered one is believed by now.
    fn believe(&mut self, run: &RunSeen<'_>) -> bool {
        if self.confirmed.get(run.backend) == Some(&run.incarnation) {
            return true;
        }
        if let Some(candidate) = self.candidates.get(run.backend)
            && candidate.incarnation == run.incarnation
            && candidate.sequence < run.sequence
        {
            return true;
        }
        if self.candidates.len() >= MAXIMUM_CANDIDATES {
            self.candidates.pop_first();
        }
        let candidate = Candidate {
            incarnation: run.incarnation,
            sequence: run.sequence,
        };
        self.candidates.insert(run.backend.clone(), candidate);
        false
    }
}

/// The orders that a report settles.
fn settlements(report: &EngineReport, state: &State) -> Vec<Proposal> {
    let settled = state.settlements(report).into_iter();
    settled
        .map(|(fence, command)| (InternalKey::Settle(report.backend.clone(), fence), command))
        .collect()
}

/// A new run on a machine that leaves is not registered: it would take work until it is marked. It
/// proves that the run before it has ended.
fn ended_by_leaving_run(run: &RunSeen<'_>, state: &State) -> Option<Proposal> {
    let known = state.backend(run.backend)?;
    let ended = known.registration.incarnation;
    if ended == run.incarnation || known.state == BackendState::Gone {
        return None;
    }
    let mark = BackendMark {
        backend: run.backend.clone(),
        incarnation: ended,
        state: BackendState::Gone,
    };
    let key = InternalKey::Mark(run.backend.clone());
    Some((key, Command::MarkBackend(mark)))
}
