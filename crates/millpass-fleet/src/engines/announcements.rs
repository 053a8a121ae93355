//! Handling of engine announcements.

use super::{Engine, REPORT_LAG, adapters, all_within, is_among, lists, take_copies};
use millpass_proto::{
    AdapterName, Duration, HeldModel, InstructionOperation, ModelName, Timestamp,
};

/// Expected maximum delay of an announcement. If adapters differ from the recorded ones for longer,
/// the state is read.
const ANNOUNCEMENT_LATENESS: Duration = Duration::from_millis(2_500);

impl Engine {
    /// Applies an announcement, which may be seconds old. While the state is known, an announcement
    /// removes only weight copies; a difference in models or adapters makes the leader read the
    /// state.
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
            // Used for gateway updates only: no order is sent before the state is read.
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

    /// Returns whether the announced models match the recorded ones, except for the pending
    /// instruction.
    fn explains(&self, held: &[HeldModel]) -> bool {
        let changing = self
            .pending
            .as_ref()
            .filter(|pending| pending.accepted && pending.adapter.is_none())
            .map(|pending| &pending.model);
        all_within(changing, held, &self.held) && all_within(changing, &self.held, held)
    }

    /// Moves announced adapters from loading to held.
    fn take_additions(&mut self, announced: &[HeldModel]) {
        let (come, coming): (Vec<_>, Vec<_>) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|(model, adapter)| lists(announced, model, adapter));
        self.coming = coming;
        for (model, adapter) in come {
            self.add_adapter(&model, adapter);
        }
    }

    /// Completes a pending load that is announced as done. The end of an unload must be confirmed.
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

    /// Returns whether the adapter is being loaded.
    pub(crate) fn brings_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Load && pending.concerns(model, adapter)
        });
        pending || is_among(&self.coming, model, adapter)
    }

    /// Returns whether the adapter is being unloaded.
    pub(super) fn sends_away(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload && pending.concerns(model, adapter)
        });
        pending || is_among(&self.leaving, model, adapter)
    }
}
