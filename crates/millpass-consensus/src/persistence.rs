//! Pending writes and the messages that depend on them.
//!
//! Each step that changes durable state emits one numbered write. A message that asserts durable
//! state is deferred until the write it depends on is reported as synced.

use crate::interface::PersistRequest;
use crate::log::Log;
use millpass_proto::{HardState, PeerEnvelope, PeerMessage, Snapshot};
use std::collections::VecDeque;

/// State that must be synced before a message may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    Nothing,
    /// The current term and vote.
    HardState,
    /// The current term, vote and log.
    Log,
}

/// A write that was emitted and not yet reported as synced.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    /// Last log index that this write makes durable; lowered when the log is truncated below it.
    durable_index: Option<u64>,
    snapshot: Option<Snapshot>,
}

#[derive(Debug)]
struct DeferredMessage {
    after_write: u64,
    envelope: PeerEnvelope,
}

/// Numbered writes, their completion, and deferred messages.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    last_number: u64,
    completed: u64,
    hard_state_write: u64,
    log_write: u64,
    durable_index: u64,
    pending: VecDeque<PendingWrite>,
    hard_state_changed: bool,
    entries_changed_from: Option<u64>,
    received_snapshot: Option<Snapshot>,
    outbox: Vec<(Requirement, PeerEnvelope)>,
    deferred: VecDeque<DeferredMessage>,
}

/// Effects of completed writes.
#[derive(Debug, Default)]
pub(crate) struct Completion {
    /// Snapshots that became durable and must be restored, in order.
    pub(crate) restored: Vec<Snapshot>,
}

impl WriteQueue {
    /// Creates a queue for a disk that holds the log up to `durable_index`.
    pub(crate) fn new(durable_index: u64) -> Self {
        WriteQueue {
            last_number: 0,
            completed: 0,
            hard_state_write: 0,
            log_write: 0,
            durable_index,
            pending: VecDeque::new(),
            hard_state_changed: false,
            entries_changed_from: None,
            received_snapshot: None,
            outbox: Vec::new(),
            deferred: VecDeque::new(),
        }
    }

    /// Returns the last log index known to be synced.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the number of the newest synced write.
    pub(crate) fn completed(&self) -> u64 {
        self.completed
    }

    /// Returns whether no write is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether the current term and vote are synced.
    pub(crate) fn hard_state_is_durable(&self) -> bool {
        !self.hard_state_changed && self.hard_state_write <= self.completed
    }

    /// Records that term or vote changed in this step.
    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Records that entries from `first` on are new in this step.
    pub(crate) fn entries_changed(&mut self, first: u64) {
        let earliest = self
            .entries_changed_from
            .map_or(first, |old| old.min(first));
        self.entries_changed_from = Some(earliest);
    }

    /// Records that the log was truncated before `first`. Later entries in pending writes no longer
    /// count as durable, even if the same entry is appended again.
    pub(crate) fn log_truncated(&mut self, first: u64) {
        let kept = first.saturating_sub(1);
        self.durable_index = self.durable_index.min(kept);
        for write in &mut self.pending {
            write.durable_index = write.durable_index.map(|index| index.min(kept));
        }
    }

    /// Records that a received snapshot replaces the whole log in this step.
    pub(crate) fn log_replaced(&mut self, snapshot: Snapshot) {
        self.log_truncated(0);
        self.entries_changed_from = None;
        self.received_snapshot = Some(snapshot);
    }

    /// Queues a message for this step.
    pub(crate) fn send(&mut self, requirement: Requirement, envelope: PeerEnvelope) {
        self.outbox.push((requirement, envelope));
    }

    /// Returns the write that this step requires, if any.
    pub(crate) fn take_write(
        &mut self,
        hard_state: &HardState,
        log: &Log,
    ) -> Option<PersistRequest> {
        let snapshot = self.received_snapshot.take();
        let first = self.entries_changed_from.take();
        let hard_state_changed = std::mem::take(&mut self.hard_state_changed);
        if snapshot.is_none() && first.is_none() && !hard_state_changed {
            return None;
        }
        self.last_number += 1;
        if hard_state_changed {
            self.hard_state_write = self.last_number;
        }
        if snapshot.is_some() || first.is_some() {
            self.log_write = self.last_number;
        }
        let log_changed = snapshot.is_some() || first.is_some();
        self.pending.push_back(PendingWrite {
            number: self.last_number,
            durable_index: log_changed.then(|| log.last().index),
            snapshot: snapshot.clone(),
        });
        Some(PersistRequest {
            write: self.last_number,
            hard_state: hard_state_changed.then(|| hard_state.clone()),
            snapshot,
            entries: first.map_or_else(Vec::new, |first| log.entries_from(first, usize::MAX)),
        })
    }

    /// Returns the messages that may be sent now and defers the others.
    pub(crate) fn take_messages(&mut self) -> Vec<PeerEnvelope> {
        let mut ready = Vec::new();
        for (requirement, envelope) in std::mem::take(&mut self.outbox) {
            let after_write = match requirement {
                Requirement::Nothing => 0,
                Requirement::HardState => self.hard_state_write,
                Requirement::Log => self.hard_state_write.max(self.log_write),
            };
            if after_write <= self.completed {
                ready.push(self.limit_to_durable(envelope));
            } else {
                self.deferred.push_back(DeferredMessage {
                    after_write,
                    envelope,
                });
            }
        }
        ready
    }

    /// Records that a write, and thus every earlier one, is synced. Messages deferred for it are
    /// sent in this step, unless the term has changed since.
    pub(crate) fn complete(&mut self, number: u64, term: u64) -> Completion {
        let mut completion = Completion::default();
        if number > self.last_number {
            return completion;
        }
        self.completed = self.completed.max(number);
        while self
            .pending
            .front()
            .is_some_and(|write| write.number <= number)
        {
            let Some(write) = self.pending.pop_front() else {
                break;
            };
            if let Some(index) = write.durable_index {
                self.durable_index = self.durable_index.max(index);
            }
            completion.restored.extend(write.snapshot);
        }
        self.release_deferred(term);
        completion
    }

    fn release_deferred(&mut self, term: u64) {
        let completed = self.completed;
        let (ready, remaining): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .filter(|message| message.envelope.term == term)
            .partition(|message| message.after_write <= completed);
        self.deferred = remaining;
        for message in ready {
            self.outbox.push((Requirement::Nothing, message.envelope));
        }
    }

    /// Caps the acknowledged index at the last synced one.
    fn limit_to_durable(&self, mut envelope: PeerEnvelope) -> PeerEnvelope {
        if let PeerMessage::AppendResponse(response) = &mut envelope.message
            && response.accepted
        {
            response.match_index = response.match_index.min(self.durable_index);
        }
        envelope
    }
}
