//! Circuit breakers: after several consecutive failures a backend is ejected for a while, then
//! probed with a single request.

use millpass_proto::{BackendName, Duration, Incarnation, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of tracked circuits.
const MAXIMUM_TRACKED: usize = 4_096;

/// Consecutive failures of one incarnation of a backend.
#[derive(Clone, Copy, Debug, Default)]
struct Circuit {
    failures: u32,
    open_until: Option<Timestamp>,
    probe_in_flight: bool,
}

/// Whether requests may be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CircuitState {
    /// Requests may be sent.
    Closed,
    /// No requests before this time.
    OpenUntil(Timestamp),
}

/// All circuits. Only backends that failed since their last success have one.
#[derive(Debug)]
pub(crate) struct Circuits {
    threshold: u32,
    open_time: Duration,
    circuits: BTreeMap<(BackendName, Incarnation), Circuit>,
}

impl Circuits {
    /// A circuit opens for `open_time` after `threshold` consecutive failures.
    pub fn new(threshold: u32, open_time: Duration) -> Self {
        Circuits {
            threshold: threshold.max(1),
            open_time,
            circuits: BTreeMap::new(),
        }
    }

    /// Returns the state of the circuit of one incarnation of a backend.
    pub fn state(
        &self,
        backend: &BackendName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> CircuitState {
        if self.circuits.is_empty() {
            return CircuitState::Closed;
        }
        match self.circuits.get(&(backend.clone(), incarnation)) {
            Some(Circuit {
                open_until: Some(until),
                probe_in_flight,
                ..
            }) => {
                if now < *until {
                    CircuitState::OpenUntil(*until)
                } else if *probe_in_flight {
                    CircuitState::OpenUntil(now + self.open_time)
                } else {
                    CircuitState::Closed
                }
            }
            _ => CircuitState::Closed,
        }
    }

    /// Records a dispatched attempt; the first one after the open time is the probe.
    pub fn record_dispatch(&mut self, backend: &BackendName, incarnation: Incarnation) {
        self.set_probe(backend, incarnation, true);
    }

    /// Records an attempt that was cancelled without a result.
    pub fn record_cancelled(&mut self, backend: &BackendName, incarnation: Incarnation) {
        self.set_probe(backend, incarnation, false);
    }

    fn set_probe(&mut self, backend: &BackendName, incarnation: Incarnation, in_flight: bool) {
        if self.circuits.is_empty() {
            return;
        }
        if let Some(circuit) = self.circuits.get_mut(&(backend.clone(), incarnation)) {
            circuit.probe_in_flight = in_flight && circuit.open_until.is_some();
        }
    }

    /// Records a successful attempt and closes the circuit.
    pub fn record_success(&mut self, backend: &BackendName, incarnation: Incarnation) {
        if !self.circuits.is_empty() {
            self.circuits.remove(&(backend.clone(), incarnation));
        }
    }

    /// Records a failed attempt. Returns true if it opened the circuit.
    pub fn record_failure(
        &mut self,
        backend: &BackendName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> bool {
        let key = (backend.clone(), incarnation);
        if self.circuits.len() >= MAXIMUM_TRACKED && !self.circuits.contains_key(&key) {
            // Circuits of ended incarnations are never removed one by one; clear all to stay
            // bounded.
            self.circuits.clear();
        }
        let circuit = self.circuits.entry(key).or_default();
        circuit.failures = circuit.failures.saturating_add(1);
        circuit.probe_in_flight = false;
        if circuit.failures < self.threshold {
            return false;
        }
        circuit.open_until = Some(now + self.open_time);
        true
    }

    /// Number of open circuits.
    pub fn open_count(&self, now: Timestamp) -> usize {
        let circuits = self.circuits.values();
        circuits
            .filter(|circuit| circuit.open_until.is_some_and(|until| now < until))
            .count()
    }
}
