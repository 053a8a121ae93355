//! Requests that end the instances that run them, and are held back.

use millpass_proto::{QuarantineRecord, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Most requests kept; the one that was noted first gives way. As many as a leader holds back.
pub const MAXIMUM_QUARANTINED_REQUESTS: usize = 256;

/// Requests held back, the one noted first in front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantinedRequests(VecDeque<QuarantineRecord>);

impl QuarantinedRequests {
    /// Keeps a request; a later word of it replaces the earlier one.
    pub(crate) fn note(&mut self, note: &QuarantineRecord) {
        self.lift(&note.request);
        if self.0.len() >= MAXIMUM_QUARANTINED_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back(note.clone());
    }

    /// Lets a request go.
    pub(crate) fn lift(&mut self, request: &RequestFingerprint) {
        self.0.retain(|note| note.request != *request);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.0.iter()
    }
}
