//! The pending instruction of an engine.

use crate::engines::UnansweredLoad;
use millpass_proto::{AdapterName, CallId, Duration, InstructionOperation, ModelName, Timestamp};

#[derive(Clone, Debug)]
pub(crate) struct PendingInstruction {
    pub(crate) operation: InstructionOperation,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) call: CallId,
    /// Revision of the engine before this instruction.
    pub(crate) expected_revision: u64,
    pub(crate) sent_at: Timestamp,
    pub(crate) accepted: bool,
    /// Whether the unload was repeated to confirm that it is done.
    pub(crate) confirmation_sent: bool,
    /// Whether the weights come from the weight store.
    pub(crate) from_store: bool,
    /// Expected duration at full speed.
    pub(crate) expected_time: Duration,
    /// Expected time of completion.
    pub(crate) expected_end: Timestamp,
}

impl PendingInstruction {
    /// Returns what the engine may still carry out if there is no response; none for an unload.
    pub(crate) fn unanswered_load(&self, now: Timestamp) -> Option<UnansweredLoad> {
        let loads = self.operation == InstructionOperation::Load;
        loads.then(|| UnansweredLoad::new(now, &self.model, self.adapter.as_ref()))
    }

    /// Returns whether it loads or unloads this adapter.
    pub(crate) fn targets_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        self.model == *model && self.adapter.as_ref() == Some(adapter)
    }
}
