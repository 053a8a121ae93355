//! What an engine announces of itself, and what of that is believed.

use super::{Engine, REPORT_LAG, adapters, all_within, is_among, lists, take_copies};
use millpass_proto::{
    AdapterName, Duration, HeldModel, InstructionOperation, ModelName, Timestamp,
};

/// How late an announcement may be on an ordinary day. One that differs in adapters from what is known, for longer than
/// that after the last of them changed, makes the state be read.
const ANNOUNCEMENT_LATENESS: Duration = Duration::from_millis(2_500);

impl Engine {
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
        self.forget_late_loads(now);
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
    pub(super) fn sends_away(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload && pending.concerns(model, adapter)
        });
        pending || is_among(&self.leaving, model, adapter)
    }
}
