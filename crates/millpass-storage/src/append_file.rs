//! Append-only file of a segment, as a trait so that tests can inject failures.

use std::fs::File;
use std::io::{Seek, SeekFrom, Write};

/// A file opened for appending.
pub trait AppendFile: Send {
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;
    /// Syncs all written data to the disk.
    fn sync(&mut self) -> std::io::Result<()>;
    /// Truncates the file to a length in bytes.
    fn truncate(&mut self, length: u64) -> std::io::Result<()>;
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> std::io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::Start(length))?;
        Ok(())
    }
}
