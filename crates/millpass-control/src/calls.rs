//! Calls of the administration API that wait for the core's response.

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

/// Call timeout. Exceeds the core's own deadline, so only a hung core reaches it.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of waiting calls per class; the API's handler threads bound it further.
const MAXIMUM_CALLS: usize = 1_024;
/// Maximum number of waiting announcements and reads: three quarters of the API's handler threads, so that changes
/// and departures always find a thread.
const MAXIMUM_ANNOUNCEMENT_CALLS: usize = 192;

/// Time between two log lines about refused announcements. All are counted in metrics.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of the logged error, which may quote what was sent.
const MAXIMUM_REFUSAL_CHARACTERS: usize = 200;

struct WaitingCall {
    class: Priority,
    response: Sender<AdministrationResponse>,
}

/// Calls in progress. Its lock is never held together with another.
#[derive(Default)]
pub(crate) struct CallTable {
    waiting: Mutex<BTreeMap<u64, WaitingCall>>,
    next: AtomicU64,
}

impl CallTable {
    /// Adds a call and returns its number; `None` if too many of its class wait.
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

    /// Completes a call. Does nothing if the call has timed out.
    pub(crate) fn respond(&self, call: u64, response: AdministrationResponse) {
        if let Some(waiting) = self.remove(call) {
            let _ = waiting.response.send(response);
        }
    }

    fn remove(&self, call: u64) -> Option<WaitingCall> {
        self.lock().remove(&call)
    }

    /// Completes all waiting calls with an unknown outcome, after the core has ended.
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

/// Connects the administration API to the core.
pub(crate) struct CoreCalls {
    pub(crate) inputs: Inputs,
    pub(crate) table: Arc<CallTable>,
    pub(crate) metrics: Arc<Metrics>,
    /// Throttles log lines about refused announcements. Its lock is never held together with another.
    pub(crate) refusal_log: Mutex<Throttle>,
}

/// Formats an error, truncated as it may quote what was sent.
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

/// Response to a call that was not accepted; nothing was done.
fn refused_response(reason: SendError) -> AdministrationResponse {
    match reason {
        SendError::Full => AdministrationResponse::Busy,
        SendError::Ended => AdministrationResponse::NotLeader {
            leader_address: None,
        },
    }
}
