//! What a process says when something in it ends that should not, without waiting for whoever reads it.

use crate::event_line;
use std::io::Write;
use std::panic::{self, PanicHookInfo};
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

/// Longest wait for standard error. It may be a pipe that nobody reads: a process that waited for it would outlive all
/// that it was started for, and whoever starts ended processes again would see none.
const STANDARD_ERROR_WAIT: Duration = Duration::from_millis(200);

/// Writes a line to standard error, waiting for a bounded time only.
pub fn write_stderr_with_timeout(line: &str) {
    let line = format!("{line}\n");
    let (written, wait) = sync_channel(1);
    let writing = thread::Builder::new()
        .name("last-words".to_owned())
        .spawn(move || {
            // Nothing else is left to say it to.
            let _ = std::io::stderr().write_all(line.as_bytes());
            let _ = written.send(());
        });
    if writing.is_ok() {
        // Written or not, the process ends.
        let _ = wait.recv_timeout(STANDARD_ERROR_WAIT);
    }
}

/// Panics are said in the log from now on, in place of standard error, for which the thread that panics would wait.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        log::error!("{}", event_line("panicked", &pairs_of(info)));
    }));
}

fn pairs_of(info: &PanicHookInfo<'_>) -> [(&'static str, String); 3] {
    let thread = thread::current().name().unwrap_or("unnamed").to_owned();
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let message = info.payload_as_str().unwrap_or_default().to_owned();
    [("thread", thread), ("place", place), ("message", message)]
}
