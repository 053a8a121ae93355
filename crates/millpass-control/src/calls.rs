//! Calls of the administration API that wait for the core's answer.

use crate::administration::{AdministrationCalls, RefusedAnnouncement};
use crate::inputs::{Inputs, SendError};
use crate::metrics::Metrics;
use crate::priority::Priority;
use crate::throttle::Throttle;
use crossbeam::channel::{Sender, bounded};
use millpass_control_plane::{AdministrationRequest, AdministrationResponse, ControlInput};
use millpass_telemetry::event_line;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longer than the core's own deadline of a call; only a core that hangs reaches it.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Most calls of a class that wait; the API's handler threads bound it further.
const MAXIMUM_CALLS: usize = 1_024;
/// Most announcements and reads that wait, three quarters of the API's handler threads: the others are left
/// to changes and departures, which would else wait behind them for a thread.
const MAXIMUM_ANNOUNCEMENT_CALLS: usize = 192;

/// Time between two log lines about refused announcements: whoever sends them may send many. All are counted.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most characters of the reason in such a line, which may quote what was sent.
const MAXIMUM_REFUSAL_CHARACTERS: usize = 200;

/// A call under way.
struct WaitingCall {
    class: Priority,
    response: Sender<AdministrationResponse>,
}

/// The calls under way. Its lock is held alone, never together with another.
#[derive(Default)]
pub(crate) struct CallTable {
    waiting: Mutex<BTreeMap<u64, WaitingCall>>,
    next: AtomicU64,
}

impl CallTable {
    /// Adds a call and gives it a number; none if too many of its class wait.
    fn admit(&self, class: Priority, response: Sender<AdministrationResponse>) -> Option<u64> {
        let mut waiting = self.lock();
        let same_class = waiting.values().filter(|call| call.class == class).count();
        if same_class >= maximum_calls(class) {
            return None;
        }
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        waiting.insert(call, WaitingCall { class, response });
        Some(call)
    }

    /// Answers a call; nothing happens if nobody waits any more.
    pub(crate) fn respond(&self, call: u64, response: AdministrationResponse) {
        if let Some(waiting) = self.remove(call) {
            let _ = waiting.response.send(response);
        }
    }

    fn remove(&self, call: u64) -> Option<WaitingCall> {
        self.lock().remove(&call)
    }

    /// The core has ended: whoever waits learns that the outcome is unknown.
    pub(crate) fn fail_all(&self) {
        let waiting = std::mem::take(&mut *self.lock());
        for call in waiting.into_values() {
            let _ = call.response.send(AdministrationResponse::Unknown);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, WaitingCall>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn maximum_calls(class: Priority) -> usize {
    match class {
        Priority::Announcements => MAXIMUM_ANNOUNCEMENT_CALLS,
        _ => MAXIMUM_CALLS,
    }
}

/// The administration API's way to the core.
pub(crate) struct CoreCalls {
    pub(crate) inputs: Inputs,
    pub(crate) table: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
    /// For log lines about refused announcements. Its lock is held alone.
    pub(crate) refusal_log: Mutex<Throttle>,
}

/// The error, which may quote what was sent, in a bounded length.
fn truncated(error: &dyn Display) -> String {
    error
        .to_string()
        .chars()
        .take(MAXIMUM_REFUSAL_CHARACTERS)
        .collect()
}

impl AdministrationCalls for CoreCalls {
    fn call(&self, request: AdministrationRequest) -> AdministrationResponse {
        let (sender, receiver) = bounded(1);
        let class = Priority::of_call(&request);
        let Some(call) = self.table.admit(class, sender) else {
            self.metrics.refused_calls.inc();
            return AdministrationResponse::Busy;
        };
        let input = ControlInput::Administration { call, request };
        if let Err(reason) = self.inputs.try_submit(input) {
            self.table.remove(call);
            return refused_response(reason);
        }
        let response = receiver.recv_timeout(CALL_TIMEOUT);
        self.table.remove(call);
        response.unwrap_or(AdministrationResponse::Unknown)
    }

    fn announcement_refused(&self, reason: RefusedAnnouncement, error: &dyn Display) {
        self.metrics.count_refused_announcement(reason.name());
        let mut refusal_log = self
            .refusal_log
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !refusal_log.is_due() {
            return;
        }
        drop(refusal_log);
        let pairs = [
            ("reason", reason.name().to_owned()),
            ("error", truncated(error)),
        ];
        log::warn!("{}", event_line("announcement_refused", &pairs));
    }

    fn metrics_text(&self) -> String {
        self.metrics.exposition()
    }
}

/// Nothing was done in either case.
fn refused_response(reason: SendError) -> AdministrationResponse {
    match reason {
        SendError::Full => AdministrationResponse::Busy,
        SendError::Ended => AdministrationResponse::NotLeader {
            leader_address: None,
        },
    }
}
