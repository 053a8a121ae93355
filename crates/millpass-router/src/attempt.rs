//! State of one attempt at a backend: the final check before writing, whether bytes may have been
//! sent, and cancellation from another thread.

use millpass_proto::Timestamp;
use millpass_telemetry::ProcessClock;
use std::cell::RefCell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

static NEXT_IDENTITY: AtomicU64 = AtomicU64::new(1);

thread_local! {
    /// The attempt of this thread. The HTTP library cannot pass it to a pooled connection, but runs
    /// each request entirely on the calling thread.
    static CURRENT: RefCell<Option<Arc<AttemptControl>>> = const { RefCell::new(None) };
}

/// A connection and the attempt that owns it.
#[derive(Debug)]
pub(crate) struct SharedStream {
    pub(crate) stream: TcpStream,
    /// Identity of the attempt that last wrote a request.
    owner: Mutex<u64>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        SharedStream {
            stream,
            owner: Mutex::new(0),
        }
    }

    fn set_owner(&self, identity: u64) {
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = identity;
    }

    /// Shuts the connection down if the attempt still owns it. A pooled connection may already
    /// serve another attempt.
    fn shut_down_for(&self, identity: u64) {
        let owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        if *owner == identity {
            // Fails only if the connection is already closed.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Reason why an attempt did not write its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotSent {
    #[error("cancelled before the request was sent")]
    Cancelled,
    /// The lease or the deadline expired.
    #[error("lease or deadline expired before the request was sent")]
    Expired,
}

/// State of one attempt, shared by its thread and the threads that may cancel it.
#[derive(Debug)]
pub(crate) struct AttemptControl {
    identity: u64,
    clock: ProcessClock,
    send_before: Timestamp,
    progress: Mutex<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    cancelled: bool,
    may_have_sent: bool,
    stream: Option<Arc<SharedStream>>,
}

impl AttemptControl {
    pub(crate) fn new(clock: ProcessClock, send_before: Timestamp) -> Self {
        AttemptControl {
            identity: NEXT_IDENTITY.fetch_add(1, Ordering::Relaxed),
            clock,
            send_before,
            progress: Mutex::new(Progress::default()),
        }
    }

    /// Cancels the attempt: prevents the first write, or closes the connection if it has happened.
    pub(crate) fn cancel(&self) {
        let stream = {
            let mut progress = self.lock();
            progress.cancelled = true;
            progress.stream.clone()
        };
        if let Some(stream) = stream {
            stream.shut_down_for(self.identity);
        }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Returns true if any byte of the request may have reached the backend.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.lock().may_have_sent
    }

    /// Permits or rejects the next write on `stream`. Must be called immediately before the write;
    /// the clock is read last.
    fn before_write(&self, stream: &Arc<SharedStream>) -> Result<(), NotSent> {
        let mut progress = self.lock();
        if progress.cancelled {
            return Err(NotSent::Cancelled);
        }
        if progress.may_have_sent {
            return Ok(());
        }
        stream.set_owner(self.identity);
        progress.stream = Some(stream.clone());
        if self.clock.now() > self.send_before {
            return Err(NotSent::Expired);
        }
        progress.may_have_sent = true;
        Ok(())
    }

    /// Records that the first write sent no byte.
    fn mark_unsent(&self) {
        self.lock().may_have_sent = false;
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that makes an attempt the current one of this thread.
pub(crate) struct CurrentAttempt(());

impl CurrentAttempt {
    pub(crate) fn enter(control: Arc<AttemptControl>) -> Self {
        CURRENT.with(|current| *current.borrow_mut() = Some(control));
        CurrentAttempt(())
    }
}

impl Drop for CurrentAttempt {
    fn drop(&mut self) {
        CURRENT.with(|current| *current.borrow_mut() = None);
    }
}

/// Writes all of `output`, subject to the checks of the current attempt, if there is one.
pub(crate) fn write_for_current_attempt(
    stream: &Arc<SharedStream>,
    output: &[u8],
) -> io::Result<()> {
    let control = CURRENT.with(|current| current.borrow().clone());
    let Some(control) = control else {
        return io::Write::write_all(&mut &stream.stream, output);
    };
    let is_first = !control.may_have_sent();
    control.before_write(stream).map_err(io::Error::other)?;
    let mut rest = output;
    while !rest.is_empty() {
        match io::Write::write(&mut &stream.stream, rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => {
                if is_first && rest.len() == output.len() {
                    control.mark_unsent();
                }
                return Err(error);
            }
        }
    }
    Ok(())
}
