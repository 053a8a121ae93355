//! Threads of a member: those that it cannot do without, and how long its end waits for them.

use crate::inputs::Inputs;
use millpass_proto::Duration;
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// Longest wait of a member's end for its threads. One that hangs in a write to a stalled disk, or in a call, must not
/// keep the process: it has no core any more, and whoever starts ended processes again sees none.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause between two looks at them.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts a thread.
pub(crate) fn spawn<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> std::io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(body)
}

/// Starts a thread that the member cannot do without: when it ends, by a panic too, so does the core. A member without
/// its disk or its listening thread would count as a voter and take no part.
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

/// Tells the core when it is dropped, which is at the end of its thread.
struct CriticalThread {
    name: &'static str,
    inputs: Inputs,
}

impl Drop for CriticalThread {
    fn drop(&mut self) {
        self.inputs.thread_ended(self.name);
    }
}

/// Waits for threads to end, for a bounded time; those that do not are left to the end of the process.
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
