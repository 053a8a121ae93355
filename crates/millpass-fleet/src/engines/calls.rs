//! Calls to an engine, one at a time, and the handling of their responses.

use super::{CALL_LIMIT, Engine, REPORT_LAG, Reading, adapters, lists};
use crate::pending::Pending;
use millpass_proto::{
    CallId, Duration, EngineState, InstructionOperation, InstructionResult, ModelName, Timestamp,
};

/// Time beyond the expected end of an instruction after which the engine's state is read.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// Delay before the state is read again after an unanswered read.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Upper bound of the delay, which doubles with each unanswered read.
const LONGEST_READ_PAUSE: Duration = Duration::from_millis(1_600);
/// Maximum age of a reported state. A lower revision reported in response to a read sent later than
/// this after the last accepted order is taken as current; otherwise an acceptance that the engine
/// did not count would block it forever.
const LONGEST_REPORT_LAG: Duration = Duration::from_millis(2_000);
/// Interval between reads while the completion of an order is expected.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Time from acceptance to completion of an adapter instruction.
const ADAPTER_SETTLING: Duration = Duration::from_millis(15);

/// Whether a response belongs to the pending call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    Awaited,
    /// No such call is pending: the state must be read before the next order.
    NotAwaited,
}

impl Engine {
    /// Applies the response to a call. A response to a call that is not pending may belong to an
    /// abandoned order that the engine carried out, so it only invalidates the recorded state.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        call: CallId,
        answer: &InstructionResult,
    ) -> Heard {
        if let Some(reading) = self.reading.take_if(|reading| reading.call == call) {
            self.read_answered(now, reading.since, answer);
            return Heard::Awaited;
        }
        if self.confirming.take_if(|asked| *asked == call).is_some() {
            self.confirmed(now, answer);
            return Heard::Awaited;
        }
        if self.awaits_order(call) {
            self.order_answered(now, answer);
            return Heard::Awaited;
        }
        if *answer != InstructionResult::NotSent {
            self.doubt(now);
        }
        Heard::NotAwaited
    }

    /// Returns whether this order is pending and has no response yet.
    pub(crate) fn awaits_order(&self, call: CallId) -> bool {
        let pending = self.pending.as_ref();
        let ordered = pending.is_some_and(|pending| pending.call == call && !pending.accepted);
        ordered || self.confirming == Some(call)
    }

    /// Returns the model whose accepted unload is announced as done and must be confirmed by
    /// repeating the order.
    pub(crate) fn to_confirm(&self) -> Option<&ModelName> {
        let pending = self.pending.as_ref()?;
        let is_unload =
            pending.operation == InstructionOperation::Unload && pending.adapter.is_none();
        let asks = self.says_done && self.confirming.is_none() && self.reading.is_none();
        let due = is_unload && asks && pending.accepted && !pending.was_confirmed;
        (due && self.revision.is_some()).then_some(&pending.model)
    }

    /// Records that the pending unload is being repeated.
    pub(crate) fn confirms(&mut self, now: Timestamp, call: CallId) {
        self.confirming = Some(call);
        self.read_after = now + CALL_LIMIT;
        if let Some(pending) = &mut self.pending {
            pending.was_confirmed = true;
        }
    }

    /// Applies the response to a repeated unload.
    fn confirmed(&mut self, now: Timestamp, answer: &InstructionResult) {
        match answer {
            InstructionResult::AlreadySo => {
                // The repeated order does not count as accepted. If the engine counts it, it
                // refuses the next order.
                let Some(pending) = self.pending.take() else {
                    return;
                };
                self.held.retain(|held| held.model != pending.model);
                self.forget_moving(&pending.model);
            }
            InstructionResult::Accepted => {
                // The model was still loaded and is unloaded by the repeated order.
                if let Some(pending) = &mut self.pending {
                    pending.expected_revision += 1;
                }
                self.accepted(now);
            }
            InstructionResult::Conflict | InstructionResult::NotSent => self.read_after = now,
            InstructionResult::Refused(_) => self.give_up(now),
            _ => {
                self.give_up(now);
                self.read_after = now + READ_PAUSE;
            }
        }
    }

    /// Returns whether this call is pending.
    pub(crate) fn awaits(&self, call: CallId) -> bool {
        let reading = self.reading.is_some_and(|reading| reading.call == call);
        reading || self.awaits_order(call)
    }

    fn read_answered(&mut self, now: Timestamp, asked_at: Timestamp, answer: &InstructionResult) {
        match answer {
            InstructionResult::State(state) => self.read(now, asked_at, state),
            InstructionResult::NotSent => self.read_after = now + READ_PAUSE,
            _ => {
                self.unreachable = true;
                self.give_up(now);
                self.read_after = now + self.silent_pause();
                self.silent_reads += 1;
            }
        }
    }

    fn silent_pause(&self) -> Duration {
        let doublings = self.silent_reads.min(8);
        (READ_PAUSE * 2_u32.pow(doublings)).min(LONGEST_READ_PAUSE)
    }

    fn order_answered(&mut self, now: Timestamp, answer: &InstructionResult) {
        match answer {
            InstructionResult::Accepted => self.accepted(now),
            InstructionResult::AlreadySo => self.already_so(now),
            InstructionResult::NotSent => {
                // The order was not sent: the recorded state remains valid.
                self.pending = None;
                self.reserved = None;
            }
            InstructionResult::Conflict | InstructionResult::Refused(_) => self.give_up(now),
            _ => {
                // The order may have been accepted, or may be accepted later.
                self.note_lost(now);
                self.give_up(now);
                self.read_after = now + READ_PAUSE;
            }
        }
    }

    fn note_lost(&mut self, now: Timestamp) {
        let pending = self.pending.as_ref();
        self.lost
            .extend(pending.and_then(|pending| pending.lost(now)));
    }

    fn give_up(&mut self, now: Timestamp) {
        self.pending = None;
        self.reserved = None;
        self.doubt(now);
    }

    /// Applies a state read from the engine. Reports lag behind: one with a lower revision than
    /// already confirmed is read again.
    fn read(&mut self, now: Timestamp, asked_at: Timestamp, state: &EngineState) {
        self.unreachable = false;
        self.silent_reads = 0;
        let may_be_older = asked_at.since(self.accepted_at) < LONGEST_REPORT_LAG;
        if state.revision < self.least_revision && may_be_older {
            self.read_after = now + CHANGE_PAUSE;
            return;
        }
        self.revision = Some(state.revision);
        self.least_revision = state.revision;
        self.take(state);
        self.busy_elsewhere_at = None;
        if !state.busy {
            self.pending = None;
            return;
        }
        let own = self.pending.as_mut().filter(|pending| {
            pending.adapter.is_none() && pending.expected_revision + 1 == state.revision
        });
        if let Some(pending) = own {
            pending.done_at = pending.done_at.max(now);
            self.read_after = now
                + if self.says_done {
                    CHANGE_PAUSE
                } else {
                    READ_PAUSE
                };
        } else {
            // The engine carries out an unknown or late order: read again.
            self.pending = None;
            self.busy_elsewhere_at = Some(now);
            self.revision = None;
            self.read_after = now + READ_PAUSE;
        }
    }

    fn take(&mut self, state: &EngineState) {
        self.held.clone_from(&state.models);
        self.in_memory.clone_from(&state.in_memory);
        self.on_disk.clone_from(&state.on_disk);
        let coming = adapters(&state.loading_adapters)
            .filter(|(model, name)| !lists(&state.models, model, name));
        self.coming = coming
            .map(|(model, name)| (model.clone(), name.clone()))
            .collect();
        self.leaving
            .retain(|(model, name)| lists(&state.models, model, name));
        self.differs_since = None;
    }

    /// Records an instruction that is being sent.
    pub(crate) fn sent(&mut self, now: Timestamp, pending: Pending) {
        if pending.operation == InstructionOperation::Load && pending.adapter.is_none() {
            self.loaded_at.insert(pending.model.clone(), now);
            self.reserved = None;
        }
        self.says_done = false;
        self.pending = Some(pending);
    }

    /// Records the acceptance of the pending instruction, which increments the engine's revision.
    /// Adapter instructions complete shortly afterwards without notification.
    fn accepted(&mut self, now: Timestamp) {
        // Earlier reports would show the state before the instruction.
        self.read_after = self.read_after.max(now + REPORT_LAG);
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.accepted = true;
        let revision = pending.expected_revision + 1;
        let taken = now.since(pending.sent_at);
        pending.done_at = if pending.adapter.is_some() {
            now + ADAPTER_SETTLING
        } else {
            pending.done_at + taken
        };
        self.counted(now, revision);
    }

    /// Completes an adapter instruction whose expected time has elapsed. A loaded adapter is
    /// served; an unloaded one keeps its slot until a report shows it gone. Returns whether
    /// anything changed.
    pub(crate) fn adapter_settled(&mut self, now: Timestamp) -> bool {
        let settled = self.pending.take_if(|pending| {
            pending.accepted && pending.adapter.is_some() && now >= pending.done_at
        });
        let Some(Pending {
            operation,
            model,
            adapter: Some(adapter),
            ..
        }) = settled
        else {
            return false;
        };
        self.adapters_changed_at = now;
        match operation {
            InstructionOperation::Load => self.add_adapter(&model, adapter),
            InstructionOperation::Unload => self.leaving.push((model, adapter)),
        }
        true
    }

    /// Handles an order that was already fulfilled. Whether the engine counted it must be read: a
    /// recorded revision that is too high would let a late order pass at an unknown state.
    fn already_so(&mut self, now: Timestamp) {
        let done = self.pending.take();
        self.doubt(now);
        let Some(Pending {
            operation,
            model,
            adapter: Some(adapter),
            ..
        }) = done
        else {
            return;
        };
        self.adapters_changed_at = now;
        match operation {
            InstructionOperation::Load => self.add_adapter(&model, adapter),
            InstructionOperation::Unload => self.drop_adapter(&model, &adapter),
        }
    }

    /// Records the lowest revision that the engine can have, as of now.
    fn counted(&mut self, now: Timestamp, revision: u64) {
        self.accepted_at = now;
        self.least_revision = self.least_revision.max(revision);
        if self.revision.is_some() {
            self.revision = Some(self.least_revision);
        }
    }

    /// Invalidates the recorded state, which must be read before the next instruction.
    pub(crate) fn doubt(&mut self, now: Timestamp) {
        self.revision = None;
        self.reading = None;
        self.confirming = None;
        self.differs_since = None;
        self.read_after = now + REPORT_LAG;
    }

    /// Returns whether the engine's state should be read now.
    pub(crate) fn read_due(&self, now: Timestamp) -> bool {
        let lost = |at: Timestamp| now.since(at) > CALL_LIMIT;
        if self.reading.is_some_and(|reading| !lost(reading.since)) || now < self.read_after {
            return false;
        }
        let Some(pending) = &self.pending else {
            return self.revision.is_none() || !self.leaving.is_empty();
        };
        if !pending.accepted {
            return lost(pending.sent_at);
        }
        let overdue = now > pending.done_at + OVERDUE_MARGIN;
        overdue || self.says_done || self.revision.is_none()
    }

    /// Records that the state is being read.
    pub(crate) fn reads(&mut self, now: Timestamp, call: CallId) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.accepted)
        {
            // The response was lost within this process.
            self.note_lost(now);
            self.give_up(now);
        }
        self.confirming = None;
        self.reading = Some(Reading { call, since: now });
        self.read_after = now + READ_PAUSE;
    }
}
