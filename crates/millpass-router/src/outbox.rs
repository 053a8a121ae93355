//! Frames queued for the control group.

use crossbeam::channel::{Receiver, Sender, bounded};
use millpass_proto::{LinkMessage, RouterToControl};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Frames queued for the link. A link with a longer queue is closed and re-established.
const MAXIMUM_WAITING_FRAMES: usize = 8_192;

/// Queue of outgoing frames. Frames are dropped without a link, because the core resends what is
/// required after a reconnect.
#[derive(Default)]
pub(crate) struct Outbox {
    link: Mutex<Option<Sender<LinkMessage>>>,
}

impl Outbox {
    /// Opens the outbox for a new link and returns the receiver for its writer.
    pub(crate) fn open(&self) -> Receiver<LinkMessage> {
        let (sender, frames) = bounded(MAXIMUM_WAITING_FRAMES);
        *self.lock() = Some(sender);
        frames
    }

    /// Closes the outbox: the writer stops, and later frames are dropped.
    pub(crate) fn close(&self) {
        *self.lock() = None;
    }

    /// Queues a frame. Closes the link if the queue is full.
    pub(crate) fn send(&self, message: RouterToControl) {
        let mut link = self.lock();
        let Some(sender) = link.as_ref() else {
            return;
        };
        if sender.try_send(LinkMessage::Router(message)).is_err() {
            *link = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Sender<LinkMessage>>> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
