//! Writes under way, and the messages that must not leave before them.
//!
//! Each step that changes durable state ends in one numbered write. A message that promises
//! something durable waits until the write it rests on is reported as synced.

use crate::interface::PersistRequest;
use crate::log::Log;
use millpass_proto::{HardState, PeerEnvelope, PeerMessage, Snapshot};
use std::collections::VecDeque;

/// What must be synced before a message may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// Nothing.
    Nothing,
    /// The term and vote of now.
    HardState,
    /// The term and vote, and the log, of now.
    Log,
}

/// A write that was handed out and not yet reported as synced.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    /// Last log index that this write makes durable; lowered when the log is cut below it.
    durable_index: Option<u64>,
    snapshot: Option<Snapshot>,
}

#[derive(Debug)]
struct HeldMessage {
    after_write: u64,
    envelope: PeerEnvelope,
}

/// Numbered writes, their completion, and held messages.
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
    held: VecDeque<HeldMessage>,
}

/// What the completion of writes brings.
#[derive(Debug, Default)]
pub(crate) struct Completion {
    /// Snapshots now durable, to be restored, in order.
    pub(crate) restored: Vec<Snapshot>,
}

impl WriteQueue {
    /// A queue for a disk that holds the log up to `durable_index`.
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
            held: VecDeque::new(),
        }
    }

    /// Last log index known to be synced.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Number of the newest write that is synced.
    pub(crate) fn completed(&self) -> u64 {
        self.completed
    }

    /// Whether no write is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the newest term and vote are synced.
    pub(crate) fn hard_state_is_durable(&self) -> bool {
        !self.hard_state_changed && self.hard_state_write <= self.completed
    }

    /// Notes that term or vote changed in this step.
    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Notes that entries from this index on are new in this step.
    pub(crate) fn entries_changed(&mut self, first: u64) {
        let earliest = self
            .entries_changed_from
            .map_or(first, |old| old.min(first));
        self.entries_changed_from = Some(earliest);
    }

    /// Notes that the log was cut before `first`: what writes under way hold from there on no
    /// longer counts as durable, even if the same entry comes back later.
    pub(crate) fn log_cut(&mut self, first: u64) {
        let kept = first.saturating_sub(1);
        self.durable_index = self.durable_index.min(kept);
        for write in &mut self.pending {
            write.durable_index = write.durable_index.map(|index| index.min(kept));
        }
    }

    /// Notes that a received snapshot replaces the whole log in this step.
    pub(crate) fn log_replaced(&mut self, snapshot: Snapshot) {
        self.log_cut(0);
        self.entries_changed_from = None;
        self.received_snapshot = Some(snapshot);
    }

    /// Queues a message of this step.
    pub(crate) fn send(&mut self, requirement: Requirement, envelope: PeerEnvelope) {
        self.outbox.push((requirement, envelope));
    }

    /// Ends a step: the write it needs, if any.
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

    /// Ends a step: the messages that may leave now. The others are held.
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
                self.held.push_back(HeldMessage {
                    after_write,
                    envelope,
                });
            }
        }
        ready
    }

    /// Takes the report that a write, and so every earlier one, is synced. Messages that waited
    /// for it leave with this step, unless the term moved on meanwhile.
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
        self.release_held(term);
        completion
    }

    fn release_held(&mut self, term: u64) {
        let completed = self.completed;
        let (ready, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .filter(|held| held.envelope.term == term)
            .partition(|held| held.after_write <= completed);
        self.held = waiting;
        for held in ready {
            self.outbox.push((Requirement::Nothing, held.envelope));
        }
    }

    /// An acknowledgement never names an index beyond what is synced.
    fn limit_to_durable(&self, mut envelope: PeerEnvelope) -> PeerEnvelope {
        if let PeerMessage::AppendResponse(response) = &mut envelope.message
            && response.accepted
        {
            response.match_index = response.match_index.min(self.durable_index);
        }
        envelope
    }
}
