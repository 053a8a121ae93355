//! A member whose disk fails must end, or it would still count as a voter and respond to callers.

mod common;

use common::wait_for;
use millpass_control::{ControlProcessSettings, start};
use millpass_storage::{AppendFile, FileSystem, open_cut};
use rstest::rstest;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Failure mode of the disk.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The writing thread panics.
    Panics,
    /// A sync returns an error.
    Refuses,
    /// A sync never returns.
    Hangs,
}

#[derive(Debug)]
struct FailingFiles {
    failure: Failure,
    /// Whether syncs fail now.
    fails: Arc<AtomicBool>,
}

impl FileSystem for FailingFiles {
    fn open_append(&self, path: &Path, length: u64) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(FailingAppend {
            file: open_cut(path, length)?,
            failure: self.failure,
            fails: self.fails.clone(),
        }))
    }
}

struct FailingAppend {
    file: File,
    failure: Failure,
    fails: Arc<AtomicBool>,
}

impl AppendFile for FailingAppend {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        AppendFile::append(&mut self.file, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if !self.fails.load(Ordering::Acquire) {
            return AppendFile::sync(&mut self.file);
        }
        match self.failure {
            Failure::Panics => panic!("the disk's thread"),
            Failure::Refuses => Err(io::ErrorKind::StorageFull.into()),
            Failure::Hangs => loop {
                thread::park();
            },
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        AppendFile::truncate(&mut self.file, length)
    }
}

fn settings(folder: &Path, failure: Failure, fails: &Arc<AtomicBool>) -> ControlProcessSettings {
    let mut settings = ControlProcessSettings::single(folder);
    settings.storage.files = Arc::new(FailingFiles {
        failure,
        fails: fails.clone(),
    });
    settings
}

#[rstest]
#[case::panics(Failure::Panics)]
#[case::refuses(Failure::Refuses)]
fn a_member_without_its_disk_ends(#[case] failure: Failure) {
    let folder = tempfile::tempdir().expect("folder");
    let fails = Arc::new(AtomicBool::new(false));
    let handle = start(settings(folder.path(), failure, &fails)).expect("start");
    // The next write fails; a new leader writes to expire claims.
    fails.store(true, Ordering::Release);
    wait_for("end of the member", || handle.is_finished().then_some(()));
    handle.join().expect_err("it did not end by a planned stop");
}

/// Joining the hung disk thread has a timeout.
#[test]
fn a_member_whose_disk_hangs_can_be_halted() {
    let folder = tempfile::tempdir().expect("folder");
    let fails = Arc::new(AtomicBool::new(false));
    let handle = start(settings(folder.path(), Failure::Hangs, &fails)).expect("start");
    fails.store(true, Ordering::Release);
    handle.halt();
    handle.join().expect("halted");
}
