//! Messages waiting to be sent to one address, bounded in number and bytes, without superseded
//! heartbeats.
//!
//! After a stall or reconnect, queued entries are still sent, as lost ones would have to be resent.
//! A heartbeat is dropped once a later append request to the same member follows: a stale one would
//! only prolong the lease of a leader that may have been deposed.
//!
//! An address can belong to two members: a process that lost its disk is a learner beside its old
//! identity. A message to one never supersedes a message to the other.

use millpass_proto::{Command, EntryPayload, LinkMessage, LogEntry, MemberId, PeerMessage};
use std::collections::{BTreeMap, VecDeque};

/// Maximum bytes in one queue: fits the 32 requests that a leader has in flight, with a large
/// document each (256 KiB as sent, twice that in memory).
const MAXIMUM_BYTES: usize = 16 * 1024 * 1024;
/// Assumed size of a message or entry without documents and snapshots.
const BASE_BYTES: usize = 512;

/// Messages to one member, in order.
#[derive(Debug)]
pub struct PeerQueue {
    waiting: VecDeque<LinkMessage>,
    maximum_messages: usize,
    bytes: usize,
    /// Number of waiting append requests, by target member.
    requests: BTreeMap<MemberId, usize>,
}

impl PeerQueue {
    /// Creates an empty queue for this many messages.
    pub fn new(maximum_messages: usize) -> Self {
        PeerQueue {
            waiting: VecDeque::new(),
            maximum_messages,
            bytes: 0,
            requests: BTreeMap::new(),
        }
    }

    /// Adds a message; returns false if the queue is full and the message is dropped. An empty
    /// queue accepts any message.
    pub fn push(&mut self, message: LinkMessage) -> bool {
        let bytes = message_bytes(&message);
        let has_capacity = self.waiting.len() < self.maximum_messages
            && self.bytes.saturating_add(bytes) <= MAXIMUM_BYTES;
        if !has_capacity && !self.waiting.is_empty() {
            return false;
        }
        self.bytes += bytes;
        if let Some(member) = append_target(&message) {
            *self.requests.entry(member).or_default() += 1;
        }
        self.waiting.push_back(message);
        true
    }

    /// Returns the next message to send, skipping superseded heartbeats.
    pub fn pop(&mut self) -> Option<LinkMessage> {
        loop {
            let message = self.waiting.pop_front()?;
            self.bytes = self.bytes.saturating_sub(message_bytes(&message));
            let is_followed = self.remove_request(&message);
            let is_superseded = is_heartbeat(&message) && is_followed;
            if !is_superseded {
                return Some(message);
            }
        }
    }

    /// Returns the next message that may overtake a large one in transfer: none with entries or
    /// snapshots. Heartbeats superseded by a later one are skipped.
    pub fn pop_overtaking(&mut self) -> Option<LinkMessage> {
        loop {
            let position = self.waiting.iter().position(may_overtake)?;
            let message = self.waiting.remove(position)?;
            self.bytes = self.bytes.saturating_sub(message_bytes(&message));
            self.remove_request(&message);
            let target = append_target(&message);
            let mut later = self.waiting.iter().filter(|later| is_heartbeat(later));
            let is_superseded =
                is_heartbeat(&message) && later.any(|later| append_target(later) == target);
            if !is_superseded {
                return Some(message);
            }
        }
    }

    /// Removes an append request from the count; returns whether another one to the same member
    /// follows.
    fn remove_request(&mut self, message: &LinkMessage) -> bool {
        let Some(member) = append_target(message) else {
            return false;
        };
        let left = self.requests.get(&member).map_or(0, |count| count - 1);
        if left == 0 {
            self.requests.remove(&member);
        } else {
            self.requests.insert(member, left);
        }
        left > 0
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        *self = PeerQueue::new(self.maximum_messages);
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns the target member of an append request.
fn append_target(message: &LinkMessage) -> Option<MemberId> {
    let LinkMessage::Peer(envelope) = message else {
        return None;
    };
    matches!(envelope.message, PeerMessage::AppendRequest(_)).then_some(envelope.to)
}

fn is_heartbeat(message: &LinkMessage) -> bool {
    let LinkMessage::Peer(envelope) = message else {
        return false;
    };
    matches!(&envelope.message, PeerMessage::AppendRequest(request) if request.entries.is_empty())
}

/// Returns whether a message may overtake a large one. The leader's heartbeats test no position while
/// a large request is in flight.
fn may_overtake(message: &LinkMessage) -> bool {
    let LinkMessage::Peer(envelope) = message else {
        return true;
    };
    match &envelope.message {
        PeerMessage::AppendRequest(request) => request.entries.is_empty(),
        PeerMessage::SnapshotChunk(_) => false,
        _ => true,
    }
}

/// Returns the approximate size of a message.
fn message_bytes(message: &LinkMessage) -> usize {
    let envelope = match message {
        LinkMessage::Peer(envelope) => envelope,
        LinkMessage::Share(report) => return BASE_BYTES * (1 + report.instances.len()),
        _ => return BASE_BYTES,
    };
    let content = match &envelope.message {
        PeerMessage::AppendRequest(request) => request.entries.iter().map(entry_bytes).sum(),
        PeerMessage::SnapshotChunk(chunk) => chunk.data.len(),
        _ => 0,
    };
    BASE_BYTES + content
}

/// Counts a document twice, as it is held as sent and in derived form.
fn entry_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(Command::PutDocument(put)) => BASE_BYTES + 2 * put.source.len(),
        _ => BASE_BYTES,
    }
}
