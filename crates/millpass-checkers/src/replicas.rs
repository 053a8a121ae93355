//! Checks that engines hold only decided replicas.
//!
//! From before an engine allocates memory until after it has freed it, the slot must be decided
//! for that engine, incarnation and model.

use crate::{Breach, Event, History, Limits};
use millpass_proto::{BackendName, Incarnation, ModelName, SlotId};
use std::collections::{BTreeMap, BTreeSet};

/// Name of the checker.
pub const NAME: &str = "replicas";

/// Placement of a decided replica.
struct Decided {
    model: ModelName,
    backend: BackendName,
    incarnation: Incarnation,
}

/// Decided and held replicas.
#[derive(Default)]
struct Ledger {
    decided: BTreeMap<SlotId, Decided>,
    held: BTreeSet<(BackendName, Incarnation, SlotId)>,
}

/// Reports replicas held without a decision, replicas released while still held, and models with
/// more decided replicas than their maximum.
pub fn check(history: &History, _limits: &Limits) -> Vec<Breach> {
    let mut ledger = Ledger::default();
    let mut breaches = Vec::new();
    for record in history.records() {
        if let Some(detail) = ledger.apply(&record.event) {
            breaches.push(Breach {
                checker: NAME,
                at_micros: record.at_micros,
                detail,
            });
        }
    }
    breaches
}

impl Ledger {
    fn apply(&mut self, event: &Event) -> Option<String> {
        match event {
            Event::ReplicaDecided {
                slot,
                model,
                backend,
                incarnation,
                maximum,
            } => {
                self.decided.insert(
                    *slot,
                    Decided {
                        model: model.clone(),
                        backend: backend.clone(),
                        incarnation: *incarnation,
                    },
                );
                self.above_maximum(model, *maximum)
            }
            Event::ReplicaReleased { slot } => self.release(*slot),
            Event::ReplicaHeld {
                backend,
                incarnation,
                slot,
                model,
            } => self.hold(backend, *incarnation, *slot, model),
            Event::ReplicaFreed {
                backend,
                incarnation,
                slot,
            } => {
                self.held.remove(&(backend.clone(), *incarnation, *slot));
                None
            }
            Event::Killed { process } | Event::Stopped { process } => {
                self.held
                    .retain(|(backend, _, _)| backend.as_str() != process.0);
                None
            }
            _ => None,
        }
    }

    fn above_maximum(&self, model: &ModelName, maximum: u32) -> Option<String> {
        let count = self.decided.values().filter(|d| d.model == *model).count();
        (count > maximum as usize)
            .then(|| format!("model {model} has {count} replicas decided, {maximum} allowed"))
    }

    fn release(&mut self, slot: SlotId) -> Option<String> {
        self.decided.remove(&slot);
        let holder = self.held.iter().find(|(_, _, held)| *held == slot)?;
        Some(format!(
            "slot {slot} was released while engine {} still holds it",
            holder.0
        ))
    }

    fn hold(
        &mut self,
        backend: &BackendName,
        incarnation: Incarnation,
        slot: SlotId,
        model: &ModelName,
    ) -> Option<String> {
        self.held.insert((backend.clone(), incarnation, slot));
        match self.decided.get(&slot) {
            None => Some(format!(
                "engine {backend} holds slot {slot} of model {model}, which no command decided"
            )),
            Some(decided)
                if decided.backend != *backend
                    || decided.incarnation != incarnation
                    || decided.model != *model =>
            {
                Some(format!(
                    "engine {backend} run {incarnation} holds slot {slot} of {model}, decided for \
                     {} run {} as {}",
                    decided.backend, decided.incarnation, decided.model
                ))
            }
            Some(_) => None,
        }
    }
}
