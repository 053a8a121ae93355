//! Snapshot encoding of the whole state.

use crate::State;
use millpass_proto::codec;
use serde::{Deserialize, Serialize};

/// Format of the encoding; grows when the layout of the state changes.
const SNAPSHOT_FORMAT: u32 = 2;

/// Why an encoded state could not be read.
#[derive(Debug, thiserror::Error)]
#[error("snapshot does not decode: {0}; restore the member from another one")]
pub struct StateError(pub String);

#[derive(Serialize)]
struct SnapshotOut<'a> {
    format: u32,
    state: &'a State,
}

#[derive(Deserialize)]
struct SnapshotIn {
    format: u32,
    state: State,
}

impl State {
    /// Encodes the state for a snapshot. Equal states give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        let snapshot = SnapshotOut {
            format: SNAPSHOT_FORMAT,
            state: self,
        };
        // Encoding into memory fails for no value of these types.
        codec::encode(&snapshot).unwrap_or_default()
    }

    /// Reads what [`State::encode`] gave.
    pub fn decode(bytes: &[u8]) -> Result<State, StateError> {
        let snapshot: SnapshotIn =
            codec::decode(bytes).map_err(|error| StateError(error.to_string()))?;
        if snapshot.format != SNAPSHOT_FORMAT {
            return Err(StateError(format!("format {}", snapshot.format)));
        }
        Ok(snapshot.state)
    }
}
