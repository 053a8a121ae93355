//! The pending instruction of an engine.

use crate::engines::LostLoad;
use millpass_proto::{AdapterName, CallId, Duration, InstructionOperation, ModelName, Timestamp};

#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) operation: InstructionOperation,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) call: CallId,
    /// Revision of the engine before this instruction.
    pub(crate) expected_revision: u64,
    pub(crate) sent_at: Timestamp,
    pub(crate) accepted: bool,
    /// Whether the unload was repeated to confirm that it is done.
    pub(crate) was_confirmed: bool,
    /// Whether the weights come from the weight store.
    pub(crate) from_store: bool,
    /// Expected duration at full speed.
    pub(crate) takes: Duration,
    /// Expected time of completion.
    pub(crate) done_at: Timestamp,
}

impl Pending {
    /// Returns what the engine may still carry out if there is no response; none for an unload.
    pub(crate) fn lost(&self, now: Timestamp) -> Option<LostLoad> {
        let loads = self.operation == InstructionOperation::Load;
        loads.then(|| LostLoad::new(now, &self.model, self.adapter.as_ref()))
    }

    /// Returns whether it loads or unloads this adapter.
    pub(crate) fn concerns(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        self.model == *model && self.adapter.as_ref() == Some(adapter)
    }
}
