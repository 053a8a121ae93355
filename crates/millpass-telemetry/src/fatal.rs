//! Reporting of fatal errors and panics without blocking on the reader.

use crate::event_line;
use std::io::Write;
use std::panic::{self, PanicHookInfo};
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

/// Limit of a write to standard error, so that a full pipe cannot keep a process from exiting.
const STDERR_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes a line to standard error, blocking for a bounded time only.
pub fn write_stderr_with_timeout(line: &str) {
    let line = format!("{line}\n");
    let (done, completion) = sync_channel(1);
    let writer = thread::Builder::new()
        .name("stderr-writer".to_owned())
        .spawn(move || {
            // There is no other place to report a failure.
            let _ = std::io::stderr().write_all(line.as_bytes());
            let _ = done.send(());
        });
    if writer.is_ok() {
        // On timeout the line is lost.
        let _ = completion.recv_timeout(STDERR_TIMEOUT);
    }
}

/// Installs a panic hook that logs panics instead of writing them to standard error, on which the
/// panicking thread could block.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        log::error!("{}", event_line("panicked", &panic_pairs(info)));
    }));
}

fn panic_pairs(info: &PanicHookInfo<'_>) -> [(&'static str, String); 3] {
    let thread = thread::current().name().unwrap_or("unnamed").to_owned();
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let message = info.payload_as_str().unwrap_or_default().to_owned();
    [("thread", thread), ("place", place), ("message", message)]
}
