//! Circuit breaking: a back end that fails several times in a row is left out for a while, then
//! tried with one request at a time.

use millpass_proto::{BackendName, Duration, Incarnation, Timestamp};
use std::collections::BTreeMap;

/// Most back ends with failures remembered.
const MAXIMUM_TRACKED: usize = 4_096;

/// Failures of one run of a back end since its last success.
#[derive(Clone, Copy, Debug, Default)]
struct Circuit {
    failures: u32,
    open_until: Option<Timestamp>,
    trial_running: bool,
}

/// Whether a back end may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitState {
    /// Yes.
    Closed,
    /// Not before this time.
    OpenUntil(Timestamp),
}

/// All circuits. Only back ends that failed since their last success have one.
#[derive(Debug)]
pub(crate) struct Circuits {
    threshold: u32,
    open_time: Duration,
    circuits: BTreeMap<(BackendName, Incarnation), Circuit>,
}

impl Circuits {
    /// Opens after this many failures in a row, for this long.
    pub fn new(threshold: u32, open_time: Duration) -> Self {
        Circuits {
            threshold: threshold.max(1),
            open_time,
            circuits: BTreeMap::new(),
        }
    }

    /// Whether this run of a back end may be tried.
    pub fn state(&self, backend: &BackendName, run: Incarnation, now: Timestamp) -> CircuitState {
        if self.circuits.is_empty() {
            return CircuitState::Closed;
        }
        match self.circuits.get(&(backend.clone(), run)) {
            Some(Circuit {
                open_until: Some(until),
                trial_running,
                ..
            }) => {
                if now < *until {
                    CircuitState::OpenUntil(*until)
                } else if *trial_running {
                    CircuitState::OpenUntil(now + self.open_time)
                } else {
                    CircuitState::Closed
                }
            }
            _ => CircuitState::Closed,
        }
    }

    /// An attempt was dispatched: after an open time it is the one trial.
    pub fn dispatched(&mut self, backend: &BackendName, run: Incarnation) {
        self.set_trial(backend, run, true);
    }

    /// An attempt was given up without a verdict on the back end.
    pub fn abandoned(&mut self, backend: &BackendName, run: Incarnation) {
        self.set_trial(backend, run, false);
    }

    fn set_trial(&mut self, backend: &BackendName, run: Incarnation, running: bool) {
        if self.circuits.is_empty() {
            return;
        }
        if let Some(circuit) = self.circuits.get_mut(&(backend.clone(), run)) {
            circuit.trial_running = running && circuit.open_until.is_some();
        }
    }

    /// An attempt succeeded.
    pub fn succeeded(&mut self, backend: &BackendName, run: Incarnation) {
        if !self.circuits.is_empty() {
            self.circuits.remove(&(backend.clone(), run));
        }
    }

    /// An attempt failed. True if this opened the circuit.
    pub fn failed(&mut self, backend: &BackendName, run: Incarnation, now: Timestamp) -> bool {
        let key = (backend.clone(), run);
        if self.circuits.len() >= MAXIMUM_TRACKED && !self.circuits.contains_key(&key) {
            // Runs that ended leave their circuits behind; start over rather than grow.
            self.circuits.clear();
        }
        let circuit = self.circuits.entry(key).or_default();
        circuit.failures = circuit.failures.saturating_add(1);
        circuit.trial_running = false;
        if circuit.failures < self.threshold {
            return false;
        }
        circuit.open_until = Some(now + self.open_time);
        true
    }

    /// Number of circuits open now.
    pub fn open_count(&self, now: Timestamp) -> usize {
        let circuits = self.circuits.values();
        circuits
            .filter(|circuit| circuit.open_until.is_some_and(|until| now < until))
            .count()
    }
}
