//! Encoding of messages: postcard followed by a CRC-32, and a length prefix on streams.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Serialize, de::DeserializeOwned};
use std::io::{Read, Write};

/// Largest frame accepted from a stream, in bytes. Snapshots travel in smaller pieces.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;

static CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Why a value could not be encoded, decoded or moved.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes are not an encoding of the wanted type, or are damaged.
    #[error("message does not decode ({0}); run the same release on both ends")]
    Malformed(#[from] postcard::Error),
    /// The frame is larger than allowed.
    #[error("frame of {bytes} bytes exceeds {MAXIMUM_FRAME_BYTES}; split the message")]
    FrameTooLarge {
        /// Size announced.
        bytes: usize,
    },
    /// The stream failed or ended.
    #[error("link failed: {0}; the sender reconnects")]
    Io(#[from] std::io::Error),
}

/// Encodes a value, with its checksum at the end.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec_crc32(value, CHECKSUM.digest())?)
}

/// Bytes that [`encode`] gives for a value; what does not encode counts as larger than anything.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    encode(value).map_or(usize::MAX, |bytes| bytes.len())
}

/// Decodes a value that [`encode`] gave; damaged bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(postcard::from_bytes_crc32(bytes, CHECKSUM.digest())?)
}

/// Bytes of the length that stands before each value on a stream.
pub const PREFIX_BYTES: usize = 4;

/// Bytes of the value that follows this prefix on a stream.
pub fn body_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, CodecError> {
    let bytes = u32::from_le_bytes(prefix) as usize;
    match bytes > MAXIMUM_FRAME_BYTES {
        true => Err(CodecError::FrameTooLarge { bytes }),
        false => Ok(bytes),
    }
}

/// Writes one frame: the length as four little-endian bytes, then the encoded value. Does not
/// flush.
pub fn write_frame<T: Serialize>(stream: &mut impl Write, value: &T) -> Result<(), CodecError> {
    let body = encode(value)?;
    if body.len() > MAXIMUM_FRAME_BYTES {
        return Err(CodecError::FrameTooLarge { bytes: body.len() });
    }
    stream.write_all(&(body.len() as u32).to_le_bytes())?;
    stream.write_all(&body)?;
    Ok(())
}

/// Reads one frame that [`write_frame`] wrote.
pub fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> Result<T, CodecError> {
    let mut prefix = [0_u8; PREFIX_BYTES];
    stream.read_exact(&mut prefix)?;
    let mut body = vec![0_u8; body_length(prefix)?];
    stream.read_exact(&mut body)?;
    decode(&body)
}
