//! Assembles large messages of a member from their parts.

use millpass_proto::codec::{self, CodecError, MAXIMUM_FRAME_BYTES};
use millpass_proto::{LinkMessage, MessagePart};

/// The parts received of the message in transfer on one connection.
#[derive(Debug, Default)]
pub(crate) struct MessageAssembly {
    bytes: Vec<u8>,
}

impl MessageAssembly {
    /// Adds a part; returns the message if it is complete. Fails if it exceeds
    /// [`MAXIMUM_FRAME_BYTES`] or does not decode.
    pub(crate) fn add(&mut self, part: MessagePart) -> Result<Option<LinkMessage>, CodecError> {
        let bytes = self.bytes.len() + part.data.len();
        if bytes > MAXIMUM_FRAME_BYTES {
            return Err(CodecError::FrameTooLarge { bytes });
        }
        self.bytes.extend_from_slice(&part.data);
        if !part.is_last {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes);
        codec::decode(&bytes).map(Some)
    }
}
