//! Caller disconnect notification, as a flag and as callbacks.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

type Callback = Box<dyn FnOnce() + Send>;

/// State shared by the flags of one request.
#[derive(Default)]
struct GoneState {
    gone: AtomicBool,
    callbacks: Mutex<Vec<Callback>>,
}

/// Set when the caller of a request disconnects before hyper has read the complete response.
///
/// It is never set after that point.
#[derive(Clone, Default)]
pub struct GoneFlag {
    state: Arc<GoneState>,
}

impl GoneFlag {
    /// Returns whether the caller has disconnected.
    pub fn is_gone(&self) -> bool {
        self.state.gone.load(Ordering::Acquire)
    }

    /// Runs `callback` once when the caller disconnects, or at once if it already has.
    ///
    /// The callback runs on an executor thread and must not block.
    pub fn on_gone(&self, callback: impl FnOnce() + Send + 'static) {
        let mut callbacks = self.lock_callbacks();
        if self.is_gone() {
            drop(callbacks);
            callback();
            return;
        }
        callbacks.push(Box::new(callback));
    }

    /// Sets the flag and runs the callbacks.
    pub(crate) fn set(&self) {
        let pending = {
            let mut callbacks = self.lock_callbacks();
            self.state.gone.store(true, Ordering::Release);
            std::mem::take(&mut *callbacks)
        };
        for callback in pending {
            callback();
        }
    }

    fn lock_callbacks(&self) -> std::sync::MutexGuard<'_, Vec<Callback>> {
        let guard = self.state.callbacks.lock();
        guard.unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for GoneFlag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "GoneFlag({})", self.is_gone())
    }
}

/// Sets a flag when dropped, unless disarmed. The server drops it when the connection closes.
pub(crate) struct GoneGuard {
    flag: Option<GoneFlag>,
}

impl GoneGuard {
    pub(crate) fn new(flag: GoneFlag) -> Self {
        GoneGuard { flag: Some(flag) }
    }

    /// Prevents the flag from being set, once the response is complete.
    pub(crate) fn disarm(&mut self) {
        self.flag = None;
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if let Some(flag) = self.flag.take() {
            flag.set();
        }
    }
}
