//! Tests of the non-blocking log writer.

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use millpass_telemetry::BoundedWriter;
use std::io::{self, Write};

/// More lines than the queue can hold.
const MANY_LINES: usize = 5_000;

/// A destination that blocks until it is released.
struct BlockingDestination {
    allowed: Receiver<()>,
    taken: Sender<Vec<u8>>,
}

impl Write for BlockingDestination {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.allowed.recv();
        let _ = self.taken.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against writes that block on the destination, and against uncounted lost lines.
#[test]
fn a_blocked_destination_does_not_block_writes_and_lost_lines_are_counted() {
    let (allow, allowed) = bounded::<()>(0);
    let (taken, lines) = unbounded();
    let mut writer = BoundedWriter::start(BlockingDestination { allowed, taken }).expect("thread");
    for line in 0..MANY_LINES {
        writeln!(writer, "event=test line={line}").expect("never fails");
    }
    // The destination accepts everything from here on.
    drop(allow);
    drop(writer);
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    let written = text
        .lines()
        .filter(|line| line.starts_with("event=test"))
        .count();
    let lost: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("event=log_lines_dropped lines="))
        .map(|count| count.parse::<usize>().expect("number"))
        .sum();
    assert!(written < MANY_LINES, "the queue is bounded");
    assert_eq!(written + lost, MANY_LINES, "every lost line is counted");
}

/// Guards against an exit that loses log lines, or that hangs on a blocked destination.
#[test]
fn a_flush_waits_for_pending_lines_and_times_out_on_a_blocked_destination() {
    let (allow, allowed) = bounded::<()>(0);
    let (taken, lines) = unbounded();
    let mut writer = BoundedWriter::start(BlockingDestination { allowed, taken }).expect("thread");
    writeln!(writer, "event=test").expect("never fails");
    writer.flush().expect_err("nobody takes it");
    drop(allow);
    writer.flush().expect("taken");
    assert_eq!(lines.try_iter().count(), 1);
}

/// A destination that fails at first, as a full disk does, and accepts lines later.
struct FailingDestination {
    failures: usize,
    taken: Sender<Vec<u8>>,
}

impl Write for FailingDestination {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        let _ = self.taken.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_lost_to_a_failed_write_are_counted() {
    let (taken, lines) = unbounded();
    let destination = FailingDestination { failures: 1, taken };
    let mut writer = BoundedWriter::start(destination).expect("thread");
    writeln!(writer, "event=refused").expect("never fails");
    writer.flush().expect("done with");
    writeln!(writer, "event=taken").expect("never fails");
    writer.flush().expect("done with");
    let text: Vec<u8> = lines.try_iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    assert_eq!(text, "event=taken\nevent=log_lines_dropped lines=1\n");
}
