//! A non-blocking line writer: a background thread writes lines from a bounded queue.
//!
//! Lines that do not fit into the queue are dropped. Their number is logged once the destination
//! accepts lines again.

use crossbeam::channel::{Receiver, Sender, bounded};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue.
const QUEUE_LINES: usize = 2_048;
const STACK_BYTES: usize = 64 * 1024;

/// Limit of a flush, so that a blocked destination cannot keep a process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Passes complete lines to a thread that writes them to the destination.
pub struct BoundedWriter {
    queue: Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
    queued: u64,
    /// Lines that the thread has written or dropped.
    done: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts the thread that writes to `destination`.
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

    /// Waits until all queued lines are written; fails with `TimedOut` after a bounded time.
    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.done.load(Ordering::Acquire) < self.queued {
            if Instant::now() >= deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Counters of the writing thread.
struct Counts {
    /// Lines dropped since the last report.
    dropped: Arc<AtomicU64>,
    /// Lines written, or dropped because the destination failed.
    done: Arc<AtomicU64>,
}

/// Writes queued lines in batches until the sender is dropped.
fn write_lines(mut destination: impl Write, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch
                .extend_from_slice(format!("event=log_lines_dropped lines={dropped}\n").as_bytes());
        }
        let written = destination
            .write_all(&batch)
            .and_then(|()| destination.flush());
        if written.is_err() {
            // Reported with the next successful write.
            counts.dropped.fetch_add(dropped + count, Ordering::Relaxed);
        }
        counts.done.fetch_add(count, Ordering::Release);
    }
}
