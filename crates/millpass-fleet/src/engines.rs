//! Engines as the leader steers them: one call at a time for each, and what each holds, as far as that is proven.
//!
//! An engine carries out an order only at the count of orders that the order names. So what is believed to fill its memory
//! and its places may never be less than what the engine holds at that count. Anything may add to it. Only these take away:
//! a report of the engine's state that covers all orders which it has surely taken, in answer to the read that is awaited;
//! and the engine's word that an unload, the order that is awaited, is done already. Announcements carry no count and may
//! be seconds old: one that differs makes the state be read.

use crate::belief::Word;
use crate::pending::Pending;
use millpass_proto::{
    AdapterName, CallId, Duration, EngineState, HeldModel, InstanceId, InstructionAnswer,
    InstructionOperation, ModelName, Timestamp, WeightsSource,
};
use std::collections::BTreeMap;

/// How late an announcement may be on an ordinary day. One that differs in adapters from what is known, for longer than
/// that after the last of them changed, makes the state be read.
const ANNOUNCEMENT_LATENESS: Duration = Duration::from_millis(2_500);
/// Time added to the expected end of an instruction before the engine's state is read.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// Pause before the state of an engine that did not answer is read.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Longest such pause: it doubles with each read that is not answered. Engines out of reach then take a quarter of the
/// calls that they would.
const LONGEST_READ_PAUSE: Duration = Duration::from_millis(1_600);
/// How old a state may be that an engine reports.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// How old a reported state may be at the very most ("some hundred milliseconds", docs/interfaces/platform.md). A report of
/// fewer orders than the engine has accepted, in answer to a read sent later than that after the last of them, is newer
/// all the same: an acceptance that counted for nothing would else keep the engine from use for good.
const LONGEST_REPORT_LAG: Duration = Duration::from_millis(2_000);
/// Pause between two reads of a state that is awaited: the engine has said that it is done.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Time from the acceptance of an adapter's instruction to its end.
const ADAPTER_SETTLING: Duration = Duration::from_millis(15);
/// Time without an answer after which a call counts as lost inside this process: above the time that it may wait to leave
/// and then to be answered.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Whether an answer was awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// It was the answer to the call under way.
    Awaited,
    /// No such call is under way: the state is read before the next order.
    NotAwaited,
}

/// A read of the state under way.
#[derive(Clone, Copy, Debug)]
struct Reading {
    call: CallId,
    since: Timestamp,
}

/// One engine.
#[derive(Default)]
pub(crate) struct Engine {
    /// Orders it has taken; none while unknown.
    pub(crate) revision: Option<u64>,
    /// Orders it has surely taken: a report of fewer is older than the last of them.
    least_revision: u64,
    /// When it accepted the last of them.
    accepted_at: Timestamp,
    pub(crate) pending: Option<Pending>,
    pub(crate) held: Vec<HeldModel>,
    pub(crate) in_memory: Vec<ModelName>,
    pub(crate) on_disk: Vec<ModelName>,
    /// Adapters on their way; no announcement lists them.
    coming: Vec<(ModelName, AdapterName)>,
    /// Adapters among those held whose unload was accepted: they go once their runs are done.
    leaving: Vec<(ModelName, AdapterName)>,
    /// When adapters last came, or began to leave.
    adapters_changed_at: Timestamp,
    /// Since when announcements differ from what is known in adapters.
    differs_since: Option<Timestamp>,
    /// An announcement says that the unload under way is done.
    says_done: bool,
    /// The same unload again, as a question: an engine answers one that is done with 200, at the count that it names, and
    /// a report would show it a few hundred milliseconds later.
    confirming: Option<CallId>,
    /// When it was last read to be busy with an order that is not known here.
    busy_elsewhere_at: Option<Timestamp>,
    /// Its state could not be read: it serves nothing until it is heard of again.
    pub(crate) unreachable: bool,
    /// Model to load once what is under way makes room.
    pub(crate) reserved: Option<ModelName>,
    pub(crate) reserved_at: Timestamp,
    loaded_at: BTreeMap<ModelName, Timestamp>,
    reading: Option<Reading>,
    read_after: Timestamp,
    /// Reads that were not answered since it was last heard of.
    silent_reads: u32,
    /// Word that last set what it is believed to hold, and when that came.
    basis: Option<(Word, Timestamp)>,
}

impl Engine {
    /// The word that what it is believed to hold rests on, and when that came.
    pub(crate) fn basis(&self) -> (Word, Timestamp) {
        self.basis.unwrap_or((Word::Announcement, Timestamp::ZERO))
    }

    /// Notes the word that set what it is believed to hold.
    pub(crate) fn rests_on(&mut self, now: Timestamp, word: Word) {
        self.basis = Some((word, now));
    }

    /// Takes what the engine announced. It may be seconds old: while the state is known, it takes away nothing but copies of
    /// weights, and where it differs from what is known, the state is read.
    pub(crate) fn announced(
        &mut self,
        now: Timestamp,
        held: &[HeldModel],
        in_memory: &[ModelName],
        on_disk: &[ModelName],
    ) {
        if self.unreachable {
            self.unreachable = false;
            self.read_after = now;
        }
        self.silent_reads = 0;
        if self.revision.is_none() {
            // For gateways alone: nothing is ordered before the state is read.
            self.held = held.to_vec();
            self.in_memory = in_memory.to_vec();
            self.on_disk = on_disk.to_vec();
            return;
        }
        if !self.explains(held) {
            return self.doubt(now);
        }
        self.take_additions(held);
        self.look_for_ends(now, held);
        let holds = |model: &ModelName| self.held.iter().any(|held| held.model == *model);
        take_copies(&mut self.in_memory, in_memory, holds);
        take_copies(&mut self.on_disk, on_disk, holds);
        self.compare_adapters(now, held);
    }

    /// Whether these models are those known, but for what is under way.
    fn explains(&self, held: &[HeldModel]) -> bool {
        let changing = self
            .pending
            .as_ref()
            .filter(|pending| pending.accepted && pending.adapter.is_none())
            .map(|pending| &pending.model);
        all_within(changing, held, &self.held) && all_within(changing, &self.held, held)
    }

    /// Adapters on their way that have come.
    fn take_additions(&mut self, announced: &[HeldModel]) {
        let (come, coming): (Vec<_>, Vec<_>) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|(model, adapter)| lists(announced, model, adapter));
        self.coming = coming;
        for (model, adapter) in come {
            self.add_adapter(&model, adapter);
        }
    }

    /// The end of a load shows in what the engine announces; that of an unload is to be read.
    fn look_for_ends(&mut self, now: Timestamp, announced: &[HeldModel]) {
        let Some(pending) = &self.pending else {
            return;
        };
        if pending.adapter.is_some() || !pending.accepted {
            return;
        }
        let listed = announced.iter().find(|held| held.model == pending.model);
        match (pending.operation, listed) {
            (InstructionOperation::Load, Some(found)) => {
                if !self.holds(&found.model, None) {
                    self.held.push(found.clone());
                }
                self.pending = None;
            }
            (InstructionOperation::Unload, None) if !self.says_done => {
                self.says_done = true;
                self.read_after = now + REPORT_LAG;
            }
            _ => {}
        }
    }

    fn compare_adapters(&mut self, now: Timestamp, announced: &[HeldModel]) {
        let known = |model: &ModelName, adapter: &AdapterName| {
            lists(&self.held, model, adapter) || self.brings_adapter(model, adapter)
        };
        let missing = adapters(&self.held).any(|(model, adapter)| {
            !lists(announced, model, adapter) && !self.sends_away(model, adapter)
        });
        let surplus = adapters(announced).any(|(model, adapter)| !known(model, adapter));
        if !missing && !surplus {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        let since = since.max(self.adapters_changed_at);
        if now.since(since) > ANNOUNCEMENT_LATENESS {
            self.doubt(now);
        }
    }

    /// Whether an adapter is on its way to the engine.
    pub(crate) fn brings_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Load && pending.concerns(model, adapter)
        });
        pending || is_among(&self.coming, model, adapter)
    }

    /// Whether an adapter is being unloaded.
    fn sends_away(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload && pending.concerns(model, adapter)
        });
        pending || is_among(&self.leaving, model, adapter)
    }

    fn add_adapter(&mut self, model: &ModelName, adapter: AdapterName) {
        let held = self.held.iter_mut().find(|held| held.model == *model);
        if let Some(held) = held
            && !held.adapters.contains(&adapter)
        {
            held.adapters.push(adapter);
        }
    }

    fn drop_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        for held in self.held.iter_mut().filter(|held| held.model == *model) {
            held.adapters.retain(|name| name != adapter);
        }
    }

    /// Takes the answer to a call. One to none that is awaited changes nothing but that the state is read: it may be of an
    /// order that was given up, and carried out all the same.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        call: CallId,
        answer: &InstructionAnswer,
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
        if *answer != InstructionAnswer::NotSent {
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
    fn confirmed(&mut self, now: Timestamp, answer: &InstructionAnswer) {
        match answer {
            InstructionAnswer::AlreadySo => {
                // What is done already is no order taken. If the engine counts it, it refuses the next one.
                let Some(pending) = self.pending.take() else {
                    return;
                };
                self.held.retain(|held| held.model != pending.model);
                self.forget_moving(&pending.model);
            }
            InstructionAnswer::Accepted => {
                // The model was there all the same, and goes by this order.
                if let Some(pending) = &mut self.pending {
                    pending.expected_revision += 1;
                }
                self.accepted(now);
            }
            InstructionAnswer::Conflict | InstructionAnswer::NotSent => self.read_after = now,
            InstructionAnswer::Refused(_) => self.give_up(now),
            _ => {
                self.give_up(now);
                self.read_after = now + READ_PAUSE;
            }
        }
    }

    /// Adapters of a model that is gone are neither on their way nor leaving.
    fn forget_moving(&mut self, model: &ModelName) {
        self.coming.retain(|(of, _)| of != model);
        self.leaving.retain(|(of, _)| of != model);
    }

    /// Whether this call is under way.
    pub(crate) fn awaits(&self, call: CallId) -> bool {
        let reading = self.reading.is_some_and(|reading| reading.call == call);
        reading || self.awaits_order(call)
    }

    fn read_answered(&mut self, now: Timestamp, asked_at: Timestamp, answer: &InstructionAnswer) {
        match answer {
            InstructionAnswer::State(state) => self.read(now, asked_at, state),
            InstructionAnswer::NotSent => self.read_after = now + READ_PAUSE,
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

    fn order_answered(&mut self, now: Timestamp, answer: &InstructionAnswer) {
        match answer {
            InstructionAnswer::Accepted => self.accepted(now),
            InstructionAnswer::AlreadySo => self.already_so(now),
            InstructionAnswer::NotSent => {
                // Nothing has left: what is known holds.
                self.pending = None;
                self.reserved = None;
            }
            InstructionAnswer::Conflict | InstructionAnswer::Refused(_) => self.give_up(now),
            _ => {
                // It may have been taken, or be taken later.
                self.give_up(now);
                self.read_after = now + READ_PAUSE;
            }
        }
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
        let coming =
            adapters(&state.coming).filter(|(model, name)| !lists(&state.models, model, name));
        self.coming = coming
            .map(|(model, name)| (model.clone(), name.clone()))
            .collect();
        self.leaving
            .retain(|(model, name)| lists(&state.models, model, name));
        self.differs_since = None;
    }

    /// The load from the weight store that it carries out, as far as it is known to have begun.
    pub(crate) fn store_load(&self) -> Option<&Pending> {
        self.pending
            .as_ref()
            .filter(|pending| pending.from_store && pending.accepted)
    }

    /// Whether it may carry out a load from the weight store: one that was sent, is about to follow
    /// the room made for it, or is of an earlier leader.
    pub(crate) fn may_load_from_store(&self, now: Timestamp) -> bool {
        let sent = self.pending.as_ref().is_some_and(|it| it.from_store);
        let follows = self.reserved.as_ref();
        let follows = follows.is_some_and(|model| self.source_of(model) == WeightsSource::Store);
        sent || follows || self.is_busy_elsewhere(now)
    }

    /// Whether it carries out an order that is not known here.
    pub(crate) fn is_busy_elsewhere(&self, now: Timestamp) -> bool {
        self.busy_elsewhere_at
            .is_some_and(|at| now.since(at) < CALL_LIMIT)
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// What it serves new requests with: all that it holds, but for what is on its way out.
    pub(crate) fn serving(&self) -> Vec<HeldModel> {
        let mut serving = self.held.clone();
        for held in &mut serving {
            let HeldModel { model, adapters } = held;
            adapters.retain(|name| !is_among(&self.leaving, model, name));
        }
        let pending = self.pending.as_ref();
        let Some(leaving) = pending.filter(|it| it.operation == InstructionOperation::Unload)
        else {
            return serving;
        };
        match &leaving.adapter {
            None => serving.retain(|held| held.model != leaving.model),
            Some(adapter) => serving
                .iter_mut()
                .filter(|held| held.model == leaving.model)
                .for_each(|held| held.adapters.retain(|name| name != adapter)),
        }
        serving
    }

    /// Where a model's weights would come from.
    pub(crate) fn source_of(&self, model: &ModelName) -> WeightsSource {
        if self.in_memory.contains(model) {
            WeightsSource::Memory
        } else if self.on_disk.contains(model) {
            WeightsSource::Disk
        } else {
            WeightsSource::Store
        }
    }

    /// Places that adapters take, over all models: those loaded, on their way, and not proven to have left.
    pub(crate) fn adapter_count(&self) -> usize {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        held + self.coming.len()
    }

    /// Adapters on their way.
    pub(crate) fn coming(&self) -> &[(ModelName, AdapterName)] {
        &self.coming
    }

    /// Whether an instruction may be given now.
    pub(crate) fn is_free(&self) -> bool {
        self.pending.is_none() && self.reading.is_none() && self.revision.is_some()
    }

    /// Models whose load is under way or about to begin.
    pub(crate) fn brought(&self) -> impl Iterator<Item = &ModelName> {
        let load = InstructionOperation::Load;
        let pending = self.pending.as_ref();
        let loading = pending.filter(|it| it.operation == load && it.adapter.is_none());
        let loading = loading.map(|pending| &pending.model);
        loading.into_iter().chain(&self.reserved)
    }

    /// Time until a model that is being brought, whose load takes `load`, is there. What is overdue is
    /// expected to take as long again.
    pub(crate) fn ready_in(&self, now: Timestamp, model: &ModelName, load: Duration) -> Duration {
        let Some(pending) = &self.pending else {
            return load;
        };
        let left = if now < pending.done_at {
            pending.done_at.since(now)
        } else {
            now.since(pending.done_at)
        };
        if pending.operation == InstructionOperation::Load && pending.model == *model {
            return left;
        }
        left + load
    }

    /// Whether the model is on its way out.
    pub(crate) fn unloading(&self, model: &ModelName) -> bool {
        self.pending.as_ref().is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload
                && pending.adapter.is_none()
                && pending.model == *model
        })
    }

    /// Whether the model came in less than `age` ago.
    pub(crate) fn is_fresh(&self, now: Timestamp, model: &ModelName, age: Duration) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|at| now.since(*at) < age)
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

    /// The engine did it at once, or it held already. An adapter that was there and that no request used is unloaded at
    /// once, which counts as an order taken; whether anything else does is to be read.
    fn already_so(&mut self, now: Timestamp) {
        let Some(done) = self.pending.take() else {
            return;
        };
        let expected = done.expected_revision;
        let Some(adapter) = done.adapter else {
            return self.doubt(now);
        };
        self.adapters_changed_at = now;
        if done.operation == InstructionOperation::Load {
            self.add_adapter(&done.model, adapter);
            return self.doubt(now);
        }
        let was_there = self.revision == Some(expected) && lists(&self.held, &done.model, &adapter);
        self.drop_adapter(&done.model, &adapter);
        if was_there {
            self.counted(now, expected + 1);
        } else {
            self.doubt(now);
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
            self.give_up(now);
        }
        self.confirming = None;
        self.reading = Some(Reading { call, since: now });
        self.read_after = now + READ_PAUSE;
    }
}

/// Takes announced copies of weights: one that is there no more, and those that loads have left, of models that the engine
/// holds. A copy that an older word names would count for a load that the weight store counts as well.
fn take_copies(
    known: &mut Vec<ModelName>,
    announced: &[ModelName],
    holds: impl Fn(&ModelName) -> bool,
) {
    known.retain(|model| announced.contains(model));
    let left = announced.iter().filter(|model| holds(model));
    let new: Vec<ModelName> = left
        .filter(|model| !known.contains(model))
        .cloned()
        .collect();
    known.extend(new);
}

/// Adapters of these models.
fn adapters(held: &[HeldModel]) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
    held.iter().flat_map(|held| {
        let adapters = held.adapters.iter();
        adapters.map(move |adapter| (&held.model, adapter))
    })
}

/// Whether an adapter is listed among these models.
fn lists(held: &[HeldModel], model: &ModelName, adapter: &AdapterName) -> bool {
    let mut held = held.iter();
    held.any(|held| held.model == *model && held.adapters.contains(adapter))
}

fn is_among(list: &[(ModelName, AdapterName)], model: &ModelName, adapter: &AdapterName) -> bool {
    list.iter().any(|(of, name)| of == model && name == adapter)
}

/// Whether all models of `held`, but for one, are among `others`.
fn all_within(but: Option<&ModelName>, held: &[HeldModel], others: &[HeldModel]) -> bool {
    held.iter()
        .map(|held| &held.model)
        .filter(|model| Some(*model) != but)
        .all(|model| others.iter().any(|other| other.model == *model))
}

/// Engines by run.
#[derive(Default)]
pub(crate) struct Engines {
    pub(crate) engines: BTreeMap<InstanceId, Engine>,
}
