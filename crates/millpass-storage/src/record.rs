//! Records of the write-ahead log; distinguishes a torn tail from corruption of synced data.
//!
//! Layout: length of the body (4 bytes, little-endian), CRC-32 of those 4 bytes, body. The body is a
//! postcard value followed by its CRC-32. The length has its own checksum so that a corrupt length
//! is not mistaken for a torn record.

use crate::error::StorageError;
use crc::{CRC_32_ISO_HDLC, Crc};
use millpass_proto::codec;
use millpass_proto::{HardState, LogEntry, LogPosition};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Checksum algorithm of the length.
static LENGTH_CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISO_HDLC);

/// Size of the length and its checksum.
const PREFIX_BYTES: usize = 8;
/// Size of the checksum at the end of a body.
const CHECKSUM_BYTES: usize = 4;
/// Unit of atomic disk writes. A file may be extended by zeros in such units before its content is
/// written.
const SECTOR_BYTES: usize = 512;

/// A log record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// First record of each segment: the state at its start, so that earlier segments can be removed.
    Start {
        /// Hard state at the start of the segment.
        hard_state: HardState,
        /// Last log position at the start of the segment.
        last: LogPosition,
    },
    /// A new hard state.
    HardState(HardState),
    /// An entry; the log is first truncated before its index.
    Entry(LogEntry),
    /// The whole log was replaced with the snapshot at this position.
    Replaced(LogPosition),
}

/// Appends an encoded record to a buffer.
pub(crate) fn encode_into(buffer: &mut Vec<u8>, record: &Record) -> Result<(), StorageError> {
    let body = codec::encode(record)?;
    let Ok(length) = u32::try_from(body.len()) else {
        return Err(codec::CodecError::FrameTooLarge { bytes: body.len() }.into());
    };
    let length = length.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&LENGTH_CHECKSUM.checksum(&length).to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Records of a segment.
#[derive(Debug)]
pub(crate) struct Scanned {
    /// Records, in order.
    pub(crate) records: Vec<Record>,
    /// Offset of the end of the last complete record.
    pub(crate) valid_length: usize,
}

/// Reads the records from an offset on. A torn tail is ignored; corruption is an error.
pub(crate) fn scan(path: &Path, bytes: &[u8], start: usize) -> Result<Scanned, StorageError> {
    let mut scanned = Scanned {
        records: Vec::new(),
        valid_length: start,
    };
    while scanned.valid_length < bytes.len() {
        let offset = scanned.valid_length;
        let found = read_record(bytes, offset)
            .map_err(|reason| StorageError::corrupt(path, offset as u64, reason))?;
        let Some((record, end)) = found else {
            break;
        };
        scanned.records.push(record);
        scanned.valid_length = end;
    }
    Ok(scanned)
}

/// Returns the record at an offset and its end, or `None` if it is torn, that is, was being written
/// when the process or machine died. Returns the reason if the record is corrupt.
fn read_record(bytes: &[u8], start: usize) -> Result<Option<(Record, usize)>, &'static str> {
    let Some((prefix, after)) = bytes[start..].split_at_checked(PREFIX_BYTES) else {
        return Ok(None);
    };
    let Some(length) = checked_length(prefix) else {
        return match zero_filled(bytes, start, start + PREFIX_BYTES) {
            true => Ok(None),
            false => Err("the length of a record does not match its checksum"),
        };
    };
    let Some(body) = after.get(..length) else {
        return Ok(None);
    };
    let end = start + PREFIX_BYTES + length;
    match codec::decode(body) {
        Ok(record) => Ok(Some((record, end))),
        Err(_) if zero_filled(bytes, start, end) => Ok(None),
        Err(_) => Err("a complete record does not match its checksum"),
    }
}

fn checked_length(prefix: &[u8]) -> Option<usize> {
    let length: [u8; 4] = prefix[..4].try_into().ok()?;
    let checksum: [u8; 4] = prefix[4..].try_into().ok()?;
    let intact = LENGTH_CHECKSUM.checksum(&length) == u32::from_le_bytes(checksum);
    intact.then(|| u32::from_le_bytes(length) as usize)
}

/// Returns whether the range from `start` to `end` is zero-filled, wholly or from a sector boundary
/// on, up to the end of the file. The checksum must be zero as well, which rules out synced data.
fn zero_filled(bytes: &[u8], start: usize, end: usize) -> bool {
    let zeros_start = bytes
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    if zeros_start <= start {
        return true;
    }
    let boundary = zeros_start.next_multiple_of(SECTOR_BYTES);
    zeros_start + CHECKSUM_BYTES <= end && boundary < end
}
