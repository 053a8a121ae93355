//! The file a segment is appended to, behind a trait so that tests can fill the disk.

use std::fs::File;
use std::io::{Seek, SeekFrom, Write};

/// A file that grows at its end.
pub trait AppendFile: Send {
    /// Writes bytes at the end.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;
    /// Returns once everything written is on the disk.
    fn sync(&mut self) -> std::io::Result<()>;
    /// Cuts the file to a length.
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
