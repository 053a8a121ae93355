//! Log lines through a bounded queue.

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use millpass_telemetry::BoundedWriter;
use std::io::{self, Write};

/// More lines than the queue holds.
const MANY_LINES: usize = 5_000;

/// A destination that takes nothing until it is allowed to.
struct Gate {
    allowed: Receiver<()>,
    taken: Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.allowed.recv();
        let _ = self.taken.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Were a write to wait for the destination, this test would never end.
#[test]
fn a_reader_that_stops_reading_stops_no_writer_and_learns_what_was_lost() {
    let (allow, allowed) = bounded::<()>(0);
    let (taken, lines) = unbounded();
    let mut writer = BoundedWriter::start(Gate { allowed, taken }).expect("thread");
    for line in 0..MANY_LINES {
        writeln!(writer, "event=test line={line}").expect("never fails");
    }
    // From now on the destination takes everything.
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

/// The end of a process waits for its log: for a reader that takes it, and not for one that does not.
#[test]
fn a_flush_waits_for_what_is_taken_and_not_for_what_is_not() {
    let (allow, allowed) = bounded::<()>(0);
    let (taken, lines) = unbounded();
    let mut writer = BoundedWriter::start(Gate { allowed, taken }).expect("thread");
    writeln!(writer, "event=test").expect("never fails");
    writer.flush().expect_err("nobody takes it");
    drop(allow);
    writer.flush().expect("taken");
    assert_eq!(lines.try_iter().count(), 1);
}

/// A destination that refuses lines, as a full disk does, and takes them later.
struct Refusing {
    refused: usize,
    taken: Sender<Vec<u8>>,
}

impl Write for Refusing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.refused > 0 {
            self.refused -= 1;
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
fn lines_that_a_destination_refuses_are_counted() {
    let (taken, lines) = unbounded();
    let destination = Refusing { refused: 1, taken };
    let mut writer = BoundedWriter::start(destination).expect("thread");
    writeln!(writer, "event=refused").expect("never fails");
    writer.flush().expect("done with");
    writeln!(writer, "event=taken").expect("never fails");
    writer.flush().expect("done with");
    let text: Vec<u8> = lines.try_iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    assert_eq!(text, "event=taken\nevent=log_lines_dropped lines=1\n");
}
