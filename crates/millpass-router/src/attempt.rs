//! Control of one attempt at a back end: the last check before writing, whether any byte may have
//! left, and cancellation from another thread.

use millpass_proto::Timestamp;
use millpass_telemetry::ProcessClock;
use std::cell::RefCell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Source of attempt identities within the process.
static NEXT_IDENTITY: AtomicU64 = AtomicU64::new(1);

thread_local! {
    /// The attempt that this thread carries. The HTTP library offers no way to hand it to a
    /// pooled connection, and it runs a request on the calling thread throughout.
    static CURRENT: RefCell<Option<Arc<AttemptControl>>> = const { RefCell::new(None) };
}

/// A connection, with the attempt that uses it.
#[derive(Debug)]
pub(crate) struct SharedStream {
    pub(crate) stream: TcpStream,
    /// Identity of the attempt that last wrote a request on it.
    owner: Mutex<u64>,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        SharedStream {
            stream,
            owner: Mutex::new(0),
        }
    }

    fn take_over(&self, identity: u64) {
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = identity;
    }

    /// Shuts the connection down if the attempt still uses it. A pooled connection that serves
    /// another attempt by now is left alone.
    fn shut_down_for(&self, identity: u64) {
        let owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        if *owner == identity {
            // An error means that it is closed already.
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Why an attempt may not write its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotSent {
    /// It was cancelled before.
    #[error("cancelled before the request was sent")]
    Cancelled,
    /// The lease or the deadline ended before.
    #[error("the lease or the deadline ended before the request was sent")]
    TooLate,
}

/// Control of one attempt. Shared by the thread that carries it and those that may cancel it.
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

    /// Ends the attempt: before it wrote, it never will; after, its connection is closed.
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

    /// Whether any byte of the request may have reached the back end.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.lock().may_have_sent
    }

    /// Allows the next write on `stream`, or refuses it. Called right before the write; the
    /// clock is read last.
    fn before_write(&self, stream: &Arc<SharedStream>) -> Result<(), NotSent> {
        let mut progress = self.lock();
        if progress.cancelled {
            return Err(NotSent::Cancelled);
        }
        if progress.may_have_sent {
            return Ok(());
        }
        stream.take_over(self.identity);
        progress.stream = Some(stream.clone());
        if self.clock.now() > self.send_before {
            return Err(NotSent::TooLate);
        }
        progress.may_have_sent = true;
        Ok(())
    }

    /// The kernel took no byte of the first write.
    fn nothing_left(&self) {
        self.lock().may_have_sent = false;
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes an attempt the current one of this thread for as long as it lives.
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

/// Writes all of `output` for the current attempt, if there is one and it may.
pub(crate) fn write_for_current(stream: &Arc<SharedStream>, output: &[u8]) -> io::Result<()> {
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
                    control.nothing_left();
                }
                return Err(error);
            }
        }
    }
    Ok(())
}
