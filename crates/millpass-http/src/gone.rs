//! Notice that a caller hung up, as a flag and as callbacks.

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

/// Tells whether the caller of one request hung up before the whole answer was handed over.
///
/// The server sets it when it drops the request because the connection closed. It is never set
/// after the whole answer was handed to the connection.
#[derive(Clone, Default)]
pub struct GoneFlag {
    state: Arc<GoneState>,
}

impl GoneFlag {
    /// Whether the caller hung up.
    pub fn is_gone(&self) -> bool {
        self.state.gone.load(Ordering::Acquire)
    }

    /// Runs `callback` once when the caller hangs up, or at once if it has.
    ///
    /// It runs on a thread that carries connections, so it must not block.
    pub fn on_gone(&self, callback: impl FnOnce() + Send + 'static) {
        let mut callbacks = self.lock_callbacks();
        if self.is_gone() {
            drop(callbacks);
            callback();
            return;
        }
        callbacks.push(Box::new(callback));
    }

    /// Marks the caller as gone and runs the callbacks, the first time.
    pub(crate) fn set(&self) {
        let waiting = {
            let mut callbacks = self.lock_callbacks();
            self.state.gone.store(true, Ordering::Release);
            std::mem::take(&mut *callbacks)
        };
        for callback in waiting {
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

/// Sets a flag when dropped, unless disarmed: the server drops its work on a request when the
/// connection closes.
pub(crate) struct GoneGuard {
    flag: Option<GoneFlag>,
}

impl GoneGuard {
    pub(crate) fn new(flag: GoneFlag) -> Self {
        GoneGuard { flag: Some(flag) }
    }

    /// The answer was handed over whole: a later drop means nothing.
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
