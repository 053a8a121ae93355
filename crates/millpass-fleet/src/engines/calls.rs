//! Calls to an engine, one at a time, and the handling of their responses.

use super::{CALL_TIMEOUT, Engine, LoadTimes, PendingRead, REPORT_LAG, adapters, lists_adapter};
use crate::pending::PendingInstruction;
use millpass_proto::{
    CallId, Duration, EngineState, InstructionOperation, InstructionResult, ModelName, Timestamp,
};

/// Time beyond the expected end of an instruction after which the engine's state is read.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// Delay before the state is read again after an unanswered read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Upper bound of the delay, which doubles with each unanswered read. Unreachable engines then take a
/// quarter of the calls that they would.
const MAX_READ_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Maximum age of a reported state. A lower revision reported in response to a read sent later than
/// this after the last accepted order is taken as current; otherwise an acceptance that the engine
/// did not count would block it forever.
const MAX_REPORT_LAG: Duration = Duration::from_millis(2_000);
/// Interval between reads while the completion of an order is expected.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time from acceptance to completion of an adapter instruction.
const ADAPTER_COMPLETION_TIME: Duration = Duration::from_millis(15);

/// Whether a response belongs to the pending call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseMatch {
    Pending,
    /// No such call is pending: the state must be read before the next order.
    NotPending,
}

impl Engine {
    /// Applies the response to a call. A response to a call that is not pending may belong to an
    /// abandoned order that the engine carried out, so it only invalidates the recorded state.
    pub(crate) fn handle_response(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &InstructionResult,
    ) -> ResponseMatch {
        if let Some(read) = self.pending_read.take_if(|read| read.call == call) {
            self.handle_read_response(now, read.sent_at, result);
            return ResponseMatch::Pending;
        }
        if self
            .confirmation
            .take_if(|expected| *expected == call)
            .is_some()
        {
            self.handle_confirmation(now, result);
            return ResponseMatch::Pending;
        }
        if self.awaits_order_response(call) {
            self.handle_order_response(now, result);
            return ResponseMatch::Pending;
        }
        if *result != InstructionResult::NotSent {
            self.invalidate_state(now);
        }
        ResponseMatch::NotPending
    }

    /// Returns whether this order is pending and has no response yet.
    pub(crate) fn awaits_order_response(&self, call: CallId) -> bool {
        let pending = self.pending.as_ref();
        let ordered = pending.is_some_and(|pending| pending.call == call && !pending.accepted);
        ordered || self.confirmation == Some(call)
    }

    /// Returns the model whose accepted unload is announced as done and must be confirmed by
    /// repeating the order.
    pub(crate) fn unload_to_confirm(&self) -> Option<&ModelName> {
        let pending = self.pending.as_ref()?;
        let is_unload =
            pending.operation == InstructionOperation::Unload && pending.adapter.is_none();
        let is_unconfirmed =
            self.unload_announced && self.confirmation.is_none() && self.pending_read.is_none();
        let is_due = is_unload && is_unconfirmed && pending.accepted && !pending.confirmation_sent;
        (is_due && self.revision.is_some()).then_some(&pending.model)
    }

    /// Records that the pending unload is being repeated.
    pub(crate) fn record_confirmation(&mut self, now: Timestamp, call: CallId) {
        self.confirmation = Some(call);
        self.next_read_at = now + CALL_TIMEOUT;
        if let Some(pending) = &mut self.pending {
            pending.confirmation_sent = true;
        }
    }

    /// Applies the response to a repeated unload.
    fn handle_confirmation(&mut self, now: Timestamp, result: &InstructionResult) {
        match result {
            InstructionResult::AlreadySo => {
                // The repeated order does not count as accepted. If the engine counts it, it
                // refuses the next order.
                let Some(pending) = self.pending.take() else {
                    return;
                };
                self.held.retain(|held| held.model != pending.model);
                self.discard_adapter_transitions(&pending.model);
            }
            InstructionResult::Accepted => {
                // The model was still loaded and is unloaded by the repeated order.
                if let Some(pending) = &mut self.pending {
                    pending.expected_revision += 1;
                }
                self.record_accepted(now);
            }
            InstructionResult::Conflict | InstructionResult::NotSent => self.next_read_at = now,
            InstructionResult::Refused(_) => self.abandon_pending(now),
            _ => {
                self.abandon_pending(now);
                self.next_read_at = now + READ_RETRY_DELAY;
            }
        }
    }

    /// Returns whether this call is pending.
    pub(crate) fn awaits_response(&self, call: CallId) -> bool {
        let is_read = self.pending_read.is_some_and(|read| read.call == call);
        is_read || self.awaits_order_response(call)
    }

    fn handle_read_response(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        result: &InstructionResult,
    ) {
        match result {
            InstructionResult::State(state) => self.apply_report(now, requested_at, state),
            InstructionResult::NotSent => self.next_read_at = now + READ_RETRY_DELAY,
            _ => {
                self.unreachable = true;
                self.abandon_pending(now);
                self.next_read_at = now + self.read_retry_delay();
                self.unanswered_reads += 1;
            }
        }
    }

    fn read_retry_delay(&self) -> Duration {
        let doublings = self.unanswered_reads.min(8);
        (READ_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_READ_RETRY_DELAY)
    }

    fn handle_order_response(&mut self, now: Timestamp, result: &InstructionResult) {
        match result {
            InstructionResult::Accepted => self.record_accepted(now),
            InstructionResult::AlreadySo => self.handle_already_done(now),
            InstructionResult::NotSent => {
                // The order was not sent: the recorded state remains valid.
                self.pending = None;
                self.reserved_model = None;
            }
            InstructionResult::Conflict | InstructionResult::Refused(_) => {
                self.abandon_pending(now)
            }
            _ => {
                // The order may have been accepted, or may be accepted later.
                self.record_unanswered_load(now);
                self.abandon_pending(now);
                self.next_read_at = now + READ_RETRY_DELAY;
            }
        }
    }

    fn record_unanswered_load(&mut self, now: Timestamp) {
        let pending = self.pending.as_ref();
        self.unanswered_loads
            .extend(pending.and_then(|pending| pending.unanswered_load(now)));
    }

    fn abandon_pending(&mut self, now: Timestamp) {
        self.pending = None;
        self.reserved_model = None;
        self.invalidate_state(now);
    }

    /// Applies a state read from the engine. Reports lag behind: one with a lower revision than
    /// already confirmed is read again.
    fn apply_report(&mut self, now: Timestamp, requested_at: Timestamp, state: &EngineState) {
        self.unreachable = false;
        self.unanswered_reads = 0;
        let may_be_stale = requested_at.since(self.accepted_at) < MAX_REPORT_LAG;
        if state.revision < self.min_revision && may_be_stale {
            self.next_read_at = now + COMPLETION_POLL_INTERVAL;
            return;
        }
        self.revision = Some(state.revision);
        self.min_revision = state.revision;
        self.replace_state(state);
        self.unknown_order_seen_at = None;
        if !state.busy {
            self.pending = None;
            return;
        }
        let expected = self.pending.as_mut().filter(|pending| {
            pending.adapter.is_none() && pending.expected_revision + 1 == state.revision
        });
        if let Some(pending) = expected {
            pending.expected_end = pending.expected_end.max(now);
            self.next_read_at = now
                + if self.unload_announced {
                    COMPLETION_POLL_INTERVAL
                } else {
                    READ_RETRY_DELAY
                };
        } else {
            // The engine carries out an unknown or late order: read again.
            self.pending = None;
            self.unknown_order_seen_at = Some(now);
            self.revision = None;
            self.next_read_at = now + READ_RETRY_DELAY;
        }
    }

    fn replace_state(&mut self, state: &EngineState) {
        self.held.clone_from(&state.models);
        self.in_memory.clone_from(&state.in_memory);
        self.on_disk.clone_from(&state.on_disk);
        let loading = adapters(&state.loading_adapters)
            .filter(|(model, name)| !lists_adapter(&state.models, model, name));
        self.loading_adapters = loading
            .map(|(model, name)| (model.clone(), name.clone()))
            .collect();
        self.unloading_adapters
            .retain(|(model, name)| lists_adapter(&state.models, model, name));
        self.adapters_differ_since = None;
    }

    /// Records an instruction that is being sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp, pending: PendingInstruction) {
        if pending.operation == InstructionOperation::Load {
            let load = LoadTimes {
                sent_at: now,
                expected_end: pending.expected_end,
            };
            self.loads.insert(pending.model.clone(), load);
            if pending.adapter.is_none() {
                self.reserved_model = None;
            }
        }
        self.unload_announced = false;
        self.pending = Some(pending);
    }

    /// Records the acceptance of the pending instruction, which increments the engine's revision.
    /// Adapter instructions complete shortly afterwards without notification.
    fn record_accepted(&mut self, now: Timestamp) {
        // Earlier reports would show the state before the instruction.
        self.next_read_at = self.next_read_at.max(now + REPORT_LAG);
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.accepted = true;
        let revision = pending.expected_revision + 1;
        let acceptance_time = now.since(pending.sent_at);
        pending.expected_end = if pending.adapter.is_some() {
            now + ADAPTER_COMPLETION_TIME
        } else {
            pending.expected_end + acceptance_time
        };
        self.record_revision(now, revision);
    }

    /// Completes an adapter instruction whose expected time has elapsed. A loaded adapter is
    /// served; an unloaded one keeps its slot until a report shows it gone. Returns whether
    /// anything changed.
    pub(crate) fn complete_adapter_instruction(&mut self, now: Timestamp) -> bool {
        let completed = self.pending.take_if(|pending| {
            pending.accepted && pending.adapter.is_some() && now >= pending.expected_end
        });
        let Some(PendingInstruction {
            operation,
            model,
            adapter: Some(adapter),
            ..
        }) = completed
        else {
            return false;
        };
        self.adapters_changed_at = now;
        match operation {
            InstructionOperation::Load => self.add_adapter(&model, adapter),
            InstructionOperation::Unload => self.unloading_adapters.push((model, adapter)),
        }
        true
    }

    /// Handles an order that was already fulfilled. Whether the engine counted it must be read: a
    /// recorded revision that is too high would let a late order pass at an unknown state.
    fn handle_already_done(&mut self, now: Timestamp) {
        let completed = self.pending.take();
        self.invalidate_state(now);
        let Some(PendingInstruction {
            operation,
            model,
            adapter: Some(adapter),
            ..
        }) = completed
        else {
            return;
        };
        self.adapters_changed_at = now;
        match operation {
            InstructionOperation::Load => self.add_adapter(&model, adapter),
            InstructionOperation::Unload => self.remove_adapter(&model, &adapter),
        }
    }

    /// Records the lowest revision that the engine can have, as of now.
    fn record_revision(&mut self, now: Timestamp, revision: u64) {
        self.accepted_at = now;
        self.min_revision = self.min_revision.max(revision);
        if self.revision.is_some() {
            self.revision = Some(self.min_revision);
        }
    }

    /// Invalidates the recorded state, which must be read before the next instruction.
    pub(crate) fn invalidate_state(&mut self, now: Timestamp) {
        self.revision = None;
        self.pending_read = None;
        self.confirmation = None;
        self.adapters_differ_since = None;
        self.next_read_at = now + REPORT_LAG;
    }

    /// Returns whether the engine's state should be read now.
    pub(crate) fn is_read_due(&self, now: Timestamp) -> bool {
        let is_timed_out = |at: Timestamp| now.since(at) > CALL_TIMEOUT;
        if self
            .pending_read
            .is_some_and(|read| !is_timed_out(read.sent_at))
            || now < self.next_read_at
        {
            return false;
        }
        let Some(pending) = &self.pending else {
            return self.revision.is_none() || !self.unloading_adapters.is_empty();
        };
        if !pending.accepted {
            return is_timed_out(pending.sent_at);
        }
        let overdue = now > pending.expected_end + OVERDUE_MARGIN;
        overdue || self.unload_announced || self.revision.is_none()
    }

    /// Records that the state is being read.
    pub(crate) fn record_read(&mut self, now: Timestamp, call: CallId) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.accepted)
        {
            // The response was lost within this process.
            self.record_unanswered_load(now);
            self.abandon_pending(now);
        }
        self.confirmation = None;
        self.pending_read = Some(PendingRead { call, sent_at: now });
        self.next_read_at = now + READ_RETRY_DELAY;
    }
}
