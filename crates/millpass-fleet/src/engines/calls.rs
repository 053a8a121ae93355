//! Calls to an engine, one at a time, and what their answers change.

use super::{CALL_LIMIT, Engine, REPORT_LAG, Reading, adapters, lists};
use crate::pending::Pending;
use millpass_proto::{
    CallId, Duration, EngineState, InstructionOperation, InstructionResult, ModelName, Timestamp,
};

/// Time added to the expected end of an instruction before the engine's state is read.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// Pause before the state of an engine that did not answer is read.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest such pause: it doubles with each read that is not answered. Engines out of reach then take a quarter of the
/// calls that they would.
const LONGEST_READ_PAUSE: Duration = Duration::from_millis(1_600);
/// How old a reported state may be at the very most ("some hundred milliseconds", docs/PLATFORM.md). A report of
/// fewer orders than the engine has accepted, in answer to a read sent later than that after the last of them, is newer
/// all the same: an acceptance that counted for nothing would else keep the engine from use for good.
const LONGEST_REPORT_LAG: Duration = Duration::from_millis(2_000);
/// Pause between two reads of a state that is awaited: the engine has said that it is done.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Time from the acceptance of an adapter's instruction to its end.
const ADAPTER_SETTLING: Duration = Duration::from_millis(15);

/// Whether an answer was awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It was the answer to the call under way.
    Awaited,
    /// No such call is under way: the state is read before the next order.
    NotAwaited,
}

impl Engine {
    /// Takes the answer to a call. One to none that is awaited changes nothing but that the state is read: it may be of an
    /// order that was given up, and carried out all the same.
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

    /// Whether this call, an order, is under way and not answered.
    pub(crate) fn awaits_order(&self, call: CallId) -> bool {
        let pending = self.pending.as_ref();
        let ordered = pending.is_some_and(|pending| pending.call == call && !pending.accepted);
        ordered || self.confirming == Some(call)
    }

    /// The model whose unload, taken and by an announcement done, is to be ordered once more to be sure of it.
    pub(crate) fn to_confirm(&self) -> Option<&ModelName> {
        let pending = self.pending.as_ref()?;
        let is_unload =
            pending.operation == InstructionOperation::Unload && pending.adapter.is_none();
        let asks = self.says_done && self.confirming.is_none() && self.reading.is_none();
        let due = is_unload && asks && pending.accepted && !pending.was_confirmed;
        (due && self.revision.is_some()).then_some(&pending.model)
    }

    /// Notes that the unload under way is ordered once more.
    pub(crate) fn confirms(&mut self, now: Timestamp, call: CallId) {
        self.confirming = Some(call);
        self.read_after = now + CALL_LIMIT;
        if let Some(pending) = &mut self.pending {
            pending.was_confirmed = true;
        }
    }

    /// Takes the answer to an unload that was ordered once more.
    fn confirmed(&mut self, now: Timestamp, answer: &InstructionResult) {
        match answer {
            InstructionResult::AlreadySo => {
                // What is done already is no order taken. If the engine counts it, it refuses the next one.
                let Some(pending) = self.pending.take() else {
                    return;
                };
                self.held.retain(|held| held.model != pending.model);
                self.forget_moving(&pending.model);
            }
            InstructionResult::Accepted => {
                // The model was there all the same, and goes by this order.
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

    /// Whether this call is under way.
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
                // Nothing has left: what is known holds.
                self.pending = None;
                self.reserved = None;
            }
            InstructionResult::Conflict | InstructionResult::Refused(_) => self.give_up(now),
            _ => {
                // It may have been taken, or be taken later.
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

    /// Takes the engine's state as read. A report lags: one of fewer orders than the engine has
    /// surely taken is read again.
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
            // An order of somebody else, or a late one: look again.
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

    /// Notes an instruction that is being sent.
    pub(crate) fn sent(&mut self, now: Timestamp, pending: Pending) {
        if pending.operation == InstructionOperation::Load && pending.adapter.is_none() {
            self.loaded_at.insert(pending.model.clone(), now);
            self.reserved = None;
        }
        self.says_done = false;
        self.pending = Some(pending);
    }

    /// The instruction was taken: the engine has taken one more order than it names. One for an adapter ends
    /// shortly, and the engine does not say when.
    fn accepted(&mut self, now: Timestamp) {
        // Reports of the time before would show an older state.
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

    /// Ends an adapter's instruction whose time has come: one that was loaded serves, one that was unloaded keeps its
    /// place until a report shows it gone. True if something changed.
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

    /// The engine did it at once, or it held already: whether that counts as an order taken is to be read. A count that is
    /// believed too high would let an order that is late pass at a state that nobody has seen: one of 8,000 seeded runs had
    /// an engine ordered over its room so, as an adapter had left by itself before its unload came.
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

    /// The engine has surely taken so many orders, the last of them now.
    fn counted(&mut self, now: Timestamp, revision: u64) {
        self.accepted_at = now;
        self.least_revision = self.least_revision.max(revision);
        if self.revision.is_some() {
            self.revision = Some(self.least_revision);
        }
    }

    /// What the engine did or will do is not known: read its state before the next instruction.
    pub(crate) fn doubt(&mut self, now: Timestamp) {
        self.revision = None;
        self.reading = None;
        self.confirming = None;
        self.differs_since = None;
        self.read_after = now + REPORT_LAG;
    }

    /// Whether the engine's state is to be read now.
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

    /// Notes that the state is being read.
    pub(crate) fn reads(&mut self, now: Timestamp, call: CallId) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| !pending.accepted)
        {
            // Its answer was lost in this process.
            self.note_lost(now);
            self.give_up(now);
        }
        self.confirming = None;
        self.reading = Some(Reading { call, since: now });
        self.read_after = now + READ_PAUSE;
    }
}
