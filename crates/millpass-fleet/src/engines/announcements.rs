//! Handling of engine announcements.

use super::{
    Engine, REPORT_LAG, adapters, contains_adapter, is_subset_except, lists_adapter,
    update_weight_copies,
};
use millpass_proto::{
    AdapterName, Duration, HeldModel, InstructionOperation, ModelName, Timestamp,
};

/// Expected maximum delay of an announcement. If adapters differ from the recorded ones for longer,
/// the state is read.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(2_500);

impl Engine {
    /// Applies an announcement, which may be seconds old. While the state is known, an announcement
    /// removes only weight copies; a difference in models or adapters makes the leader read the
    /// state.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Timestamp,
        held: &[HeldModel],
        in_memory: &[ModelName],
        on_disk: &[ModelName],
    ) {
        if self.unreachable {
            self.unreachable = false;
            self.next_read_at = now;
        }
        self.unanswered_reads = 0;
        self.expire_late_loads(now);
        if self.revision.is_none() {
            // Used for gateway updates only: no order is sent before the state is read.
            self.held = held.to_vec();
            self.in_memory = in_memory.to_vec();
            self.on_disk = on_disk.to_vec();
            return;
        }
        if !self.matches_models(held) {
            return self.invalidate_state(now);
        }
        self.apply_loaded_adapters(held);
        self.detect_completion(now, held);
        let holds = |model: &ModelName| self.held.iter().any(|held| held.model == *model);
        update_weight_copies(&mut self.in_memory, in_memory, holds);
        update_weight_copies(&mut self.on_disk, on_disk, holds);
        self.check_adapters(now, held);
    }

    /// Returns whether the announced models match the recorded ones, except for the pending
    /// instruction.
    fn matches_models(&self, held: &[HeldModel]) -> bool {
        let changing = self
            .pending
            .as_ref()
            .filter(|pending| pending.accepted && pending.adapter.is_none())
            .map(|pending| &pending.model);
        is_subset_except(changing, held, &self.held) && is_subset_except(changing, &self.held, held)
    }

    /// Moves announced adapters from loading to held.
    fn apply_loaded_adapters(&mut self, announced: &[HeldModel]) {
        let (loaded, loading): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loading_adapters)
            .into_iter()
            .partition(|(model, adapter)| lists_adapter(announced, model, adapter));
        self.loading_adapters = loading;
        for (model, adapter) in loaded {
            self.add_adapter(&model, adapter);
        }
    }

    /// Completes a pending load that is announced as done. The end of an unload must be confirmed.
    fn detect_completion(&mut self, now: Timestamp, announced: &[HeldModel]) {
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
            (InstructionOperation::Unload, None) if !self.unload_announced => {
                self.unload_announced = true;
                self.next_read_at = now + REPORT_LAG;
            }
            _ => {}
        }
    }

    fn check_adapters(&mut self, now: Timestamp, announced: &[HeldModel]) {
        let is_known = |model: &ModelName, adapter: &AdapterName| {
            lists_adapter(&self.held, model, adapter) || self.is_loading_adapter(model, adapter)
        };
        let missing = adapters(&self.held).any(|(model, adapter)| {
            !lists_adapter(announced, model, adapter) && !self.is_unloading_adapter(model, adapter)
        });
        let unexpected = adapters(announced).any(|(model, adapter)| !is_known(model, adapter));
        if !missing && !unexpected {
            self.adapters_differ_since = None;
            return;
        }
        let since = *self.adapters_differ_since.get_or_insert(now);
        let since = since.max(self.adapters_changed_at);
        if now.since(since) > MAX_ANNOUNCEMENT_DELAY {
            self.invalidate_state(now);
        }
    }

    /// Returns whether the adapter is being loaded.
    pub(crate) fn is_loading_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Load
                && pending.targets_adapter(model, adapter)
        });
        pending || contains_adapter(&self.loading_adapters, model, adapter)
    }

    /// Returns whether the adapter is being unloaded.
    pub(super) fn is_unloading_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let pending = self.pending.as_ref();
        let pending = pending.is_some_and(|pending| {
            pending.operation == InstructionOperation::Unload
                && pending.targets_adapter(model, adapter)
        });
        pending || contains_adapter(&self.unloading_adapters, model, adapter)
    }
}
