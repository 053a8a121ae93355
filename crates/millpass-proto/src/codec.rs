//! Message encoding: postcard followed by a CRC-32. Frames on streams have a length prefix.

use crc::{CRC_32_ISCSI, Crc};
use postcard::ser_flavors::Size;
use serde::{Serialize, de::DeserializeOwned};
use std::io::{Read, Write};

/// Maximum frame size on a stream, in bytes. Snapshots are sent in smaller chunks.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Maximum encoded size of a log entry. A frame must fit an entry, as it is never split.
pub const MAXIMUM_ENTRY_BYTES: usize = 12 * 1024 * 1024;

/// Size of the checksum that follows an encoded value.
const CHECKSUM_BYTES: usize = size_of::<u32>();

/// Encoded size up to which members send a message in one frame. Larger ones are sent in parts, and
/// small messages may overtake them.
pub const WHOLE_MESSAGE_BYTES: usize = 512 * 1024;
/// Size of a part of a large message.
pub const PART_BYTES: usize = 64 * 1024;

static CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Failure to encode, decode or transfer a value.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes do not decode as the expected type or are corrupt.
    #[error("message does not decode ({0}); run the same release on both ends")]
    Malformed(#[from] postcard::Error),
    /// The frame exceeds [`MAXIMUM_FRAME_BYTES`].
    #[error("frame of {bytes} bytes exceeds {MAXIMUM_FRAME_BYTES}; split the message")]
    FrameTooLarge {
        /// Size of the frame.
        bytes: usize,
    },
    /// The stream failed or was closed.
    #[error("link failed: {0}; the sender reconnects")]
    Io(#[from] std::io::Error),
}

/// Encodes a value and appends its checksum.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec_crc32(value, CHECKSUM.digest())?)
}

/// Encoded size of a value, including the checksum; `usize::MAX` if it cannot be encoded.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let size = postcard::serialize_with_flavor::<T, Size, usize>(value, Size::default());
    size.map_or(usize::MAX, |bytes| bytes.saturating_add(CHECKSUM_BYTES))
}

/// Decodes a value encoded by [`encode`] and verifies its checksum.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(postcard::from_bytes_crc32(bytes, CHECKSUM.digest())?)
}

/// Size of the length prefix of a frame, in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Decodes a length prefix; fails if the frame exceeds [`MAXIMUM_FRAME_BYTES`].
pub fn body_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, CodecError> {
    let bytes = u32::from_le_bytes(prefix) as usize;
    match bytes > MAXIMUM_FRAME_BYTES {
        true => Err(CodecError::FrameTooLarge { bytes }),
        false => Ok(bytes),
    }
}

/// Writes a frame: the length as four little-endian bytes, then the encoded value. Does not flush
/// the stream.
pub fn write_frame<T: Serialize>(stream: &mut impl Write, value: &T) -> Result<(), CodecError> {
    write_encoded_frame(stream, &encode(value)?)
}

/// Like [`write_frame`], for a value that is already encoded.
pub fn write_encoded_frame(stream: &mut impl Write, body: &[u8]) -> Result<(), CodecError> {
    if body.len() > MAXIMUM_FRAME_BYTES {
        return Err(CodecError::FrameTooLarge { bytes: body.len() });
    }
    stream.write_all(&(body.len() as u32).to_le_bytes())?;
    stream.write_all(body)?;
    Ok(())
}

/// Reads a frame written by [`write_frame`].
pub fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> Result<T, CodecError> {
    let mut prefix = [0_u8; PREFIX_BYTES];
    stream.read_exact(&mut prefix)?;
    let mut body = vec![0_u8; body_length(prefix)?];
    stream.read_exact(&mut body)?;
    decode(&body)
}
