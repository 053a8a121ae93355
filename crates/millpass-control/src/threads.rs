//! Critical threads, and joining threads with a timeout.

use crate::inputs::Inputs;
use millpass_proto::Duration;
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// Maximum wait for threads at shutdown. A thread that hangs in a disk write or a call must not keep the process alive.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

pub(crate) fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> std::io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(body)
}

/// Starts a critical thread: when it ends, also by a panic, the core stops. Otherwise a member without its disk or
/// listening thread would still count as a voter.
pub(crate) fn spawn_critical(
    name: &'static str,
    inputs: &Inputs,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    let guard = CriticalThread {
        name,
        inputs: inputs.clone(),
    };
    spawn(name, move || {
        let _guard = guard;
        body();
    })
}

/// Reports the end of its thread to the core on drop.
struct CriticalThread {
    name: &'static str,
    inputs: Inputs,
}

impl Drop for CriticalThread {
    fn drop(&mut self) {
        self.inputs.thread_ended(self.name);
    }
}

/// Waits for threads to end, for a bounded time. Remaining threads end with the process.
pub(crate) fn join_all(threads: Vec<JoinHandle<()>>) {
    let until = Instant::now() + JOIN_TIMEOUT;
    for thread in threads {
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(JOIN_POLL_INTERVAL);
        }
        let name = thread.thread().name().unwrap_or("unnamed").to_owned();
        if !thread.is_finished() {
            log::error!("event=control_thread_left thread={name}");
        } else if thread.join().is_err() {
            log::error!("event=control_thread_panicked thread={name}");
        }
    }
}
