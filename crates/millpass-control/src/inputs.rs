//! The way into the core: one bounded queue that its thread empties.

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use millpass_control_plane::ControlInput;
use millpass_storage::StorageError;

/// Inputs that may wait for the core.
const QUEUE: usize = 16_384;

/// What the core's thread takes from the queue.
pub(crate) enum HostInput {
    /// An input of the core.
    Core(Box<ControlInput>),
    /// A write failed: the member must not go on.
    DiskFailed(StorageError),
    /// End without draining.
    Halt,
}

/// Sends inputs to the core's thread.
#[derive(Clone)]
pub(crate) struct Inputs {
    sender: Sender<HostInput>,
}

impl Inputs {
    /// The queue's two ends.
    pub(crate) fn new() -> (Inputs, Receiver<HostInput>) {
        let (sender, receiver) = bounded(QUEUE);
        (Inputs { sender }, receiver)
    }

    /// Waits for room. False once the core has ended.
    pub(crate) fn send(&self, input: ControlInput) -> bool {
        let input = HostInput::Core(Box::new(input));
        self.sender.send(input).is_ok()
    }

    /// Drops the input when the queue is full: for what its sender repeats. False once the core
    /// has ended.
    pub(crate) fn offer(&self, input: ControlInput) -> bool {
        let sent = self.sender.try_send(HostInput::Core(Box::new(input)));
        !matches!(sent, Err(TrySendError::Disconnected(_)))
    }

    /// Tells that a write failed.
    pub(crate) fn disk_failed(&self, error: StorageError) {
        // Without a core nobody needs to know.
        let _ = self.sender.send(HostInput::DiskFailed(error));
    }

    /// Ends the core without draining.
    pub(crate) fn halt(&self) {
        let _ = self.sender.send(HostInput::Halt);
    }
}
