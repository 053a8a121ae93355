//! An instruction to an engine that is under way.

use crate::engines::LostLoad;
use millpass_proto::{AdapterName, CallId, Duration, InstructionOperation, ModelName, Timestamp};

/// An instruction under way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) operation: InstructionOperation,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    /// The call that gives it.
    pub(crate) call: CallId,
    /// Orders that the engine has taken before it.
    pub(crate) expected_revision: u64,
    pub(crate) sent_at: Timestamp,
    pub(crate) accepted: bool,
    /// An unload that was ordered once more, to be sure that it is done.
    pub(crate) was_confirmed: bool,
    /// The weights come from the weight store.
    pub(crate) from_store: bool,
    /// Expected time at full speed.
    pub(crate) takes: Duration,
    /// When it should be done.
    pub(crate) done_at: Timestamp,
}

impl Pending {
    /// What may be carried out of it late, if it is a load.
    pub(crate) fn lost(&self, now: Timestamp) -> Option<LostLoad> {
        let loads = self.operation == InstructionOperation::Load;
        loads.then(|| LostLoad::new(now, &self.model, self.adapter.as_ref()))
    }

    /// Whether it loads or unloads this adapter.
    pub(crate) fn concerns(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        self.model == *model && self.adapter.as_ref() == Some(adapter)
    }
}
