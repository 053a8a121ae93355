//! A writer that never waits: lines go through a bounded queue to a thread of their own.
//!
//! What does not fit the queue is dropped and counted; the count is written as a line of its own once
//! the destination takes lines again.

use crossbeam::channel::{Receiver, Sender, bounded};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait.
const QUEUE_LINES: usize = 2_048;
/// Stack of the writing thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Longest wait of a flush for lines to be written. A destination that takes none must not keep a process that is about
/// to end: whoever starts ended processes again sees none.
const FLUSH_WAIT: Duration = Duration::from_millis(200);
/// Pause between two looks at what is written.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Hands whole lines to a thread that writes them.
pub struct BoundedWriter {
    queue: Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
    queued: u64,
    /// Lines that the thread is done with.
    done: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts the writing thread.
    pub fn start(destination: impl Write + Send + 'static) -> io::Result<BoundedWriter> {
        let (queue, lines) = bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let done = Arc::new(AtomicU64::new(0));
        let counts = Counts {
            dropped: dropped.clone(),
            done: done.clone(),
        };
        thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(destination, &lines, &counts))?;
        Ok(BoundedWriter {
            queue,
            line: Vec::new(),
            dropped,
            queued: 0,
            done,
        })
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            match self.queue.try_send(line) {
                Ok(()) => self.queued += 1,
                Err(_) => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        Ok(bytes.len())
    }

    /// Waits until what was queued is written, for a bounded time.
    fn flush(&mut self) -> io::Result<()> {
        let until = Instant::now() + FLUSH_WAIT;
        while self.done.load(Ordering::Acquire) < self.queued {
            if Instant::now() >= until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(FLUSH_LOOK);
        }
        Ok(())
    }
}

/// What the writing thread counts.
struct Counts {
    /// Lines lost since the last line that said so.
    dropped: Arc<AtomicU64>,
    /// Lines written, or lost by a destination that refused them.
    done: Arc<AtomicU64>,
}

/// Writes all lines that wait at once; ends when the other end is dropped.
fn write_lines(mut destination: impl Write, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
            count += 1;
        }
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend_from_slice(format!("event=log_lines_dropped lines={lost}\n").as_bytes());
        }
        let written = destination
            .write_all(&text)
            .and_then(|()| destination.flush());
        if written.is_err() {
            // Said once it takes lines again: there is no other place for it.
            counts.dropped.fetch_add(lost + count, Ordering::Relaxed);
        }
        counts.done.fetch_add(count, Ordering::Release);
    }
}
