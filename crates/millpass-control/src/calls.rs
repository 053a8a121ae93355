//! Calls of the administration API that wait for the core's answer.

use crate::administration::AdministrationCalls;
use crate::inputs::Inputs;
use crate::metrics::Metrics;
use crossbeam::channel::{Sender, bounded};
use millpass_control_plane::{AdministrationAnswer, AdministrationRequest, ControlInput};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longer than the core's own deadline of a call; only a core that hangs reaches it.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Most calls that wait; the API's handler threads bound it further.
const MAXIMUM_CALLS: usize = 1_024;

/// The calls under way. Its lock is held alone, never together with another.
#[derive(Default)]
pub(crate) struct CallTable {
    waiting: Mutex<BTreeMap<u64, Sender<AdministrationAnswer>>>,
    next: AtomicU64,
}

impl CallTable {
    /// Answers a call; nothing happens if nobody waits any more.
    pub(crate) fn answer(&self, call: u64, answer: AdministrationAnswer) {
        let waiting = self.lock().remove(&call);
        if let Some(sender) = waiting {
            let _ = sender.send(answer);
        }
    }

    /// The core has ended: whoever waits learns that the outcome is unknown.
    pub(crate) fn give_up(&self) {
        let waiting = std::mem::take(&mut *self.lock());
        for sender in waiting.into_values() {
            let _ = sender.send(AdministrationAnswer::Unknown);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Sender<AdministrationAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The administration API's way to the core.
pub(crate) struct CoreCalls {
    pub(crate) inputs: Inputs,
    pub(crate) table: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
}

impl AdministrationCalls for CoreCalls {
    fn call(&self, request: AdministrationRequest) -> AdministrationAnswer {
        let call = self.table.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = bounded(1);
        {
            let mut waiting = self.table.lock();
            if waiting.len() >= MAXIMUM_CALLS {
                return AdministrationAnswer::Busy;
            }
            waiting.insert(call, sender);
        }
        if !self
            .inputs
            .send(ControlInput::Administration { call, request })
        {
            self.table.lock().remove(&call);
            return AdministrationAnswer::NotLeader {
                leader_address: None,
            };
        }
        let answered = answer.recv_timeout(CALL_TIMEOUT);
        self.table.lock().remove(&call);
        answered.unwrap_or(AdministrationAnswer::Unknown)
    }

    fn metrics_text(&self) -> String {
        self.metrics.exposition()
    }
}
