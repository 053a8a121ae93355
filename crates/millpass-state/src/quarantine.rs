//! Quarantined requests and parts of prompts: what crashes the instances that run it.

use millpass_proto::{PartRecord, PartSet, QuarantineRecord, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum quarantined requests; the oldest is evicted first.
pub const MAXIMUM_QUARANTINED_REQUESTS: usize = 256;

/// Quarantined requests, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantinedRequests(VecDeque<QuarantineRecord>);

impl QuarantinedRequests {
    /// Quarantines a request, replacing an earlier record of it.
    pub(crate) fn insert(&mut self, record: &QuarantineRecord) {
        self.lift(&record.request);
        if self.0.len() >= MAXIMUM_QUARANTINED_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back(record.clone());
    }

    /// Lifts the quarantine of a request.
    pub(crate) fn lift(&mut self, request: &RequestFingerprint) {
        self.0.retain(|record| record.request != *request);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.0.iter()
    }
}

/// Maximum sets of refused parts; the oldest is evicted first.
pub const MAXIMUM_RECORDED_PARTS: usize = 64;

/// Refused parts of prompts, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedParts(VecDeque<PartRecord>);

impl RecordedParts {
    /// Records a set of parts, replacing an earlier record of it.
    pub(crate) fn insert(&mut self, record: &PartRecord) {
        self.release(&record.set);
        if self.0.len() >= MAXIMUM_RECORDED_PARTS {
            self.0.pop_front();
        }
        self.0.push_back(record.clone());
    }

    /// Removes a set of parts.
    pub(crate) fn release(&mut self, set: &PartSet) {
        self.0.retain(|record| record.set != *set);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PartRecord> {
        self.0.iter()
    }
}
