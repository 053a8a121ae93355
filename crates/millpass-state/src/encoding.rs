//! Snapshot encoding of the whole state.

use crate::State;
use crate::quarantine::{QuarantinedRequests, RecordedParts};
use millpass_proto::codec;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Version of the encoding; incremented when the layout changes. New fields are appended.
const SNAPSHOT_FORMAT: u32 = 5;
/// Format without refused parts of prompts; only decoded.
const FORMAT_WITHOUT_PARTS: u32 = 4;
/// Format without required and departure indexes; only decoded.
const FORMAT_WITHOUT_REQUIRED_INDEX: u32 = 3;
/// Format without quarantined requests; only decoded.
const FORMAT_WITHOUT_QUARANTINE: u32 = 2;

/// Error of decoding a snapshot, with the reason.
#[derive(Debug, thiserror::Error)]
#[error("cannot decode the snapshot: {0}; restore the member from another snapshot")]
pub struct StateError(pub String);

#[derive(Serialize)]
struct SnapshotOut<'a> {
    format: u32,
    state: &'a State,
    quarantined_requests: &'a QuarantinedRequests,
    required_index: u64,
    departure_indexes: &'a VecDeque<u64>,
    refused_parts: &'a RecordedParts,
}

#[derive(Deserialize)]
struct SnapshotIn {
    format: u32,
    state: State,
    quarantined_requests: QuarantinedRequests,
    required_index: u64,
    departure_indexes: VecDeque<u64>,
    refused_parts: RecordedParts,
}

/// A snapshot of [`FORMAT_WITHOUT_PARTS`].
#[derive(Deserialize)]
struct SnapshotWithoutParts {
    format: u32,
    state: State,
    quarantined_requests: QuarantinedRequests,
    required_index: u64,
    departure_indexes: VecDeque<u64>,
}

/// A snapshot of [`FORMAT_WITHOUT_REQUIRED_INDEX`].
#[derive(Deserialize)]
struct SnapshotWithoutRequiredIndex {
    format: u32,
    state: State,
    quarantined_requests: QuarantinedRequests,
}

/// A snapshot of [`FORMAT_WITHOUT_QUARANTINE`].
#[derive(Deserialize)]
struct SnapshotWithoutQuarantine {
    format: u32,
    state: State,
}

impl State {
    /// Encodes the state for a snapshot. Equal states have equal encodings.
    pub fn encode(&self) -> Vec<u8> {
        let snapshot = SnapshotOut {
            format: SNAPSHOT_FORMAT,
            state: self,
            quarantined_requests: &self.quarantined_requests,
            required_index: self.required_index,
            departure_indexes: self.deployment.departure_indexes(),
            refused_parts: &self.refused_parts,
        };
        // Encoding these types into memory cannot fail.
        codec::encode(&snapshot).unwrap_or_default()
    }

    /// Decodes the output of [`State::encode`], of this or an earlier release.
    pub fn decode(bytes: &[u8]) -> Result<State, StateError> {
        if let Ok(snapshot) = codec::decode::<SnapshotIn>(bytes)
            && snapshot.format == SNAPSHOT_FORMAT
        {
            let state = State {
                quarantined_requests: snapshot.quarantined_requests,
                required_index: snapshot.required_index,
                refused_parts: snapshot.refused_parts,
                ..snapshot.state
            };
            return Ok(state.with_departure_indexes(snapshot.departure_indexes));
        }
        if let Ok(snapshot) = codec::decode::<SnapshotWithoutParts>(bytes)
            && snapshot.format == FORMAT_WITHOUT_PARTS
        {
            let state = State {
                quarantined_requests: snapshot.quarantined_requests,
                required_index: snapshot.required_index,
                ..snapshot.state
            };
            return Ok(state.with_departure_indexes(snapshot.departure_indexes));
        }
        if let Ok(snapshot) = codec::decode::<SnapshotWithoutRequiredIndex>(bytes)
            && snapshot.format == FORMAT_WITHOUT_REQUIRED_INDEX
        {
            let state = State {
                quarantined_requests: snapshot.quarantined_requests,
                ..snapshot.state
            };
            return Ok(state.with_departure_indexes(VecDeque::new()));
        }
        let snapshot = codec::decode::<SnapshotWithoutQuarantine>(bytes)
            .map_err(|error| StateError(error.to_string()))?;
        match snapshot.format {
            FORMAT_WITHOUT_QUARANTINE => Ok(snapshot.state.with_departure_indexes(VecDeque::new())),
            other => Err(StateError(format!("format {other}"))),
        }
    }

    fn with_departure_indexes(mut self, indexes: VecDeque<u64>) -> State {
        self.deployment.restore_departure_indexes(indexes);
        self
    }
}
