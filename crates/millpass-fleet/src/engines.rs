//! Engines as the leader steers them: one instruction at a time for each, under the number of orders
//! that the engine has taken.

use crate::belief::Word;
use millpass_proto::{
    AdapterName, CallId, Duration, EngineState, HeldModel, InstanceId, InstructionOperation,
    ModelName, Timestamp, WeightsSource,
};
use std::collections::BTreeMap;

/// How long an adapter that was just loaded or unloaded outweighs announcements, which may be older.
const ADAPTER_OVERLAY: Duration = Duration::from_millis(2_500);
/// Time added to the expected end of an instruction before the engine's state is read.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// Pause before the state of an engine that did not answer is read.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// How old a state may be that an engine reports.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time from the acceptance of an adapter's instruction to its end.
const ADAPTER_SETTLING: Duration = Duration::from_millis(15);
/// Time without an answer after which a call counts as lost inside this process.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// An instruction under way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) operation: InstructionOperation,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) sent_at: Timestamp,
    pub(crate) accepted: bool,
    /// The call that gives it.
    pub(crate) call: CallId,
    /// The weights come from the weight store.
    pub(crate) from_store: bool,
    /// Expected time at full speed.
    pub(crate) takes: Duration,
    /// When it should be done.
    pub(crate) done_at: Timestamp,
}

#[derive(Clone, Debug)]
struct AdapterChange {
    model: ModelName,
    adapter: AdapterName,
    loaded: bool,
    at: Timestamp,
}

/// One engine.
#[derive(Default)]
pub(crate) struct Engine {
    /// Orders it has taken; none while unknown.
    pub(crate) revision: Option<u64>,
    /// Orders it has surely taken: a report of fewer is older than the last of them.
    least_revision: u64,
    pub(crate) pending: Option<Pending>,
    pub(crate) held: Vec<HeldModel>,
    pub(crate) in_memory: Vec<ModelName>,
    pub(crate) on_disk: Vec<ModelName>,
    /// Adapters on their way when its state was last read, and when that was.
    coming: Vec<HeldModel>,
    coming_at: Timestamp,
    /// When it was last read to be busy with an order that is not known here.
    busy_elsewhere_at: Option<Timestamp>,
    /// Its state could not be read: it serves nothing until it is heard of again.
    pub(crate) unreachable: bool,
    /// Model to load once what is under way makes room.
    pub(crate) reserved: Option<ModelName>,
    pub(crate) reserved_at: Timestamp,
    loaded_at: BTreeMap<ModelName, Timestamp>,
    overlay: Vec<AdapterChange>,
    reading_since: Option<Timestamp>,
    read_after: Timestamp,
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

    /// Takes what the engine announced. An announcement may be under way for seconds: where it differs
    /// from what is known, the engine's state is read.
    pub(crate) fn announced(
        &mut self,
        now: Timestamp,
        held: &[HeldModel],
        in_memory: &[ModelName],
        on_disk: &[ModelName],
    ) {
        self.unreachable = false;
        if self.revision.is_some() && !self.explains(held) {
            self.doubt(now);
            return;
        }
        self.take(now, held, in_memory, on_disk);
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

    fn take(
        &mut self,
        now: Timestamp,
        held: &[HeldModel],
        in_memory: &[ModelName],
        on_disk: &[ModelName],
    ) {
        self.held = held.to_vec();
        self.in_memory = in_memory.to_vec();
        self.on_disk = on_disk.to_vec();
        self.apply_overlay(now);
        self.settle();
    }

    /// Takes the engine's state as read. A report lags: one of fewer orders than the engine has
    /// surely taken is read again.
    pub(crate) fn read(&mut self, now: Timestamp, state: &EngineState) {
        self.reading_since = None;
        if state.revision < self.least_revision {
            self.read_after = now + REPORT_LAG / 2;
            return;
        }
        self.revision = Some(state.revision);
        self.least_revision = state.revision;
        self.unreachable = false;
        self.coming.clone_from(&state.coming);
        self.coming_at = now;
        self.take(now, &state.models, &state.in_memory, &state.on_disk);
        self.busy_elsewhere_at = None;
        if !state.busy {
            self.pending = None;
        } else if let Some(pending) = &mut self.pending {
            pending.accepted = true;
            pending.done_at = pending.done_at.max(now);
        } else {
            // An order of somebody else, or a late one: look again.
            self.busy_elsewhere_at = Some(now);
            self.revision = None;
            self.read_after = now + READ_PAUSE;
        }
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

    fn apply_overlay(&mut self, now: Timestamp) {
        self.overlay
            .retain(|change| now.since(change.at) < ADAPTER_OVERLAY);
        for change in &self.overlay {
            let Some(model) = self.held.iter_mut().find(|held| held.model == change.model) else {
                continue;
            };
            model.adapters.retain(|adapter| *adapter != change.adapter);
            if change.loaded {
                model.adapters.push(change.adapter.clone());
            }
        }
    }

    /// Ends a model's instruction that the engine's own words show as done.
    fn settle(&mut self) {
        let Some(pending) = &self.pending else {
            return;
        };
        if pending.adapter.is_some() || !pending.accepted {
            return;
        }
        let held = self.holds(&pending.model, None);
        let done = match pending.operation {
            InstructionOperation::Load => held,
            InstructionOperation::Unload => !held,
        };
        if done {
            self.pending = None;
        }
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// What it serves new requests with: all that it holds, but for what is on its way out.
    pub(crate) fn serving(&self) -> Vec<HeldModel> {
        let mut serving = self.held.clone();
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

    /// Adapters loaded or on their way, over all models.
    pub(crate) fn adapter_count(&self, now: Timestamp) -> usize {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        held + self.coming(now).count()
    }

    /// Adapters that were on their way when the state was last read, and are not known to be there.
    pub(crate) fn coming(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&ModelName, &AdapterName)> {
        let lately = now.since(self.coming_at) < ADAPTER_OVERLAY;
        self.coming
            .iter()
            .filter(move |_| lately)
            .flat_map(|coming| coming.adapters.iter().map(|name| (&coming.model, name)))
            .filter(|(model, adapter)| !self.holds(model, Some(adapter)))
    }

    /// Whether an instruction may be given now.
    pub(crate) fn is_free(&self) -> bool {
        self.pending.is_none() && self.revision.is_some()
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
        self.pending = Some(pending);
    }

    /// The instruction was taken: the engine has taken one more order. One for an adapter ends
    /// shortly, and the engine does not say when.
    pub(crate) fn accepted(&mut self, now: Timestamp) {
        if let Some(revision) = &mut self.revision {
            *revision += 1;
            self.least_revision = *revision;
        }
        // Reports of the time before would show an older state.
        self.read_after = self.read_after.max(now + REPORT_LAG);
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.accepted = true;
        let taken = now.since(pending.sent_at);
        pending.done_at = if pending.adapter.is_some() {
            now + ADAPTER_SETTLING
        } else {
            pending.done_at + taken
        };
    }

    /// Ends an adapter's instruction whose time has come. True if the engine holds something else
    /// than before.
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
        self.note_adapter(now, operation, model, adapter);
        true
    }

    fn note_adapter(
        &mut self,
        now: Timestamp,
        operation: InstructionOperation,
        model: ModelName,
        adapter: AdapterName,
    ) {
        self.overlay.push(AdapterChange {
            model,
            adapter,
            loaded: operation == InstructionOperation::Load,
            at: now,
        });
        self.apply_overlay(now);
    }

    /// The engine did it at once, or it held already: whether that counts as an order taken is to be
    /// read.
    pub(crate) fn already_so(&mut self, now: Timestamp) {
        if let Some(Pending {
            operation,
            model,
            adapter: Some(adapter),
            ..
        }) = self.pending.take()
        {
            self.note_adapter(now, operation, model, adapter);
        }
        self.pending = None;
        self.doubt(now);
    }

    /// What the engine did or will do is not known: read its state before the next instruction.
    pub(crate) fn doubt(&mut self, now: Timestamp) {
        self.revision = None;
        self.reading_since = None;
        self.read_after = now + REPORT_LAG;
    }

    /// No answer came. Without one to a read, the engine is not there; an order's may be lost alone.
    pub(crate) fn unanswered(&mut self, now: Timestamp) {
        self.unreachable |= self.reading_since.is_some();
        self.doubt(now);
        self.read_after = now + READ_PAUSE;
        self.pending = None;
        self.reserved = None;
    }

    /// Whether the engine's state is to be read now; if so, notes that it is being read.
    pub(crate) fn read_due(&mut self, now: Timestamp) -> bool {
        let lost = |at: Timestamp| now.since(at) > CALL_LIMIT;
        if self.reading_since.is_some_and(|at| !lost(at)) {
            return false;
        }
        let overdue = self.pending.as_ref().is_some_and(|pending| {
            let late = pending.accepted && now > pending.done_at + OVERDUE_MARGIN;
            late || (!pending.accepted && lost(pending.sent_at))
        });
        let unknown = self.revision.is_none() && self.pending.is_none();
        if !(overdue || unknown) || now < self.read_after {
            return false;
        }
        self.reading_since = Some(now);
        self.read_after = now + READ_PAUSE;
        true
    }
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
