//! A writer that never waits: lines go through a bounded queue to a thread of their own.
//!
//! What does not fit the queue is dropped and counted; the count is written as a line of its own once
//! the destination takes lines again.

use crossbeam::channel::{Receiver, Sender, bounded};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Lines that may wait.
const QUEUE_LINES: usize = 2_048;
/// Stack of the writing thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Hands whole lines to a thread that writes them.
pub struct BoundedWriter {
    queue: Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts the writing thread.
    pub fn start(destination: impl Write + Send + 'static) -> io::Result<BoundedWriter> {
        let (queue, lines) = bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = dropped.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(destination, &lines, &lost))?;
        Ok(BoundedWriter {
            queue,
            line: Vec::new(),
            dropped,
        })
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.queue.try_send(line).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes all lines that wait at once; ends when the other end is dropped.
fn write_lines(mut destination: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend_from_slice(format!("event=log_lines_dropped lines={lost}\n").as_bytes());
        }
        // A destination that cannot be written has no other place to say so.
        let _ = destination.write_all(&text);
        let _ = destination.flush();
    }
}
