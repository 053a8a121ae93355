//! Frames on their way to the control group.

use crossbeam::channel::{Receiver, Sender, bounded};
use millpass_proto::{LinkMessage, RouterToControl};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Most frames that wait for the link. Reports are small and come at a bounded rate; a link that
/// is so far behind is cut and made anew.
const MAXIMUM_WAITING_FRAMES: usize = 8_192;

/// Where frames are put. Without a link they are dropped: the core resends what matters when the
/// link is made anew.
#[derive(Default)]
pub(crate) struct Outbox {
    link: Mutex<Option<Sender<LinkMessage>>>,
}

impl Outbox {
    /// Opens the outbox for a new link and gives its writer the frames.
    pub(crate) fn open(&self) -> Receiver<LinkMessage> {
        let (sender, frames) = bounded(MAXIMUM_WAITING_FRAMES);
        *self.lock() = Some(sender);
        frames
    }

    /// Closes the outbox: the writer ends, and later frames are dropped.
    pub(crate) fn close(&self) {
        *self.lock() = None;
    }

    /// Hands a frame to the link. When too many wait, the link is given up.
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
