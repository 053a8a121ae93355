//! The way into the core: one bounded queue that its thread empties.

use crate::urgency::Urgency;
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use millpass_control_plane::ControlInput;
use millpass_storage::StorageError;
use std::time::Instant;

/// Inputs that may wait for the core.
const QUEUE: usize = 16_384;

/// What the core's thread takes from the queue.
pub(crate) enum HostInput {
    /// An input of the core.
    Core(Box<WaitingInput>),
    /// A write failed: the member must not go on.
    DiskFailed(StorageError),
    /// End without draining.
    Halt,
}

/// An input of the core, and since when it waits.
pub(crate) struct WaitingInput {
    pub(crate) class: Urgency,
    pub(crate) since: Instant,
    pub(crate) input: ControlInput,
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
        self.sender.send(waiting(input)).is_ok()
    }

    /// Drops the input when the queue is full: for what its sender repeats. False once the core
    /// has ended.
    pub(crate) fn offer(&self, input: ControlInput) -> bool {
        let sent = self.sender.try_send(waiting(input));
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

fn waiting(input: ControlInput) -> HostInput {
    HostInput::Core(Box::new(WaitingInput {
        class: Urgency::of(&input),
        since: Instant::now(),
        input,
    }))
}
