//! What waits to be sent to one address: bounded in messages and bytes, without outdated heartbeats.
//!
//! A member that does not read, or a connection that is made anew, leaves a queue behind. Entries in it are
//! still worth sending: what is lost has to be found missing and sent again, and a slow member that never got
//! old entries would never get any. A heartbeat is not, once a later request follows it: that one says all it
//! said, and the older would only prolong a promise to a leader that may be gone.
//!
//! More than one member may be meant at an address: a process that came back empty is a learner there beside the
//! identity whose place it is to take. What one of them is sent outdates nothing of the other's.

use millpass_proto::{Command, EntryPayload, LinkMessage, LogEntry, MemberId, PeerMessage};
use std::collections::{BTreeMap, VecDeque};

/// Bytes that may wait for one member: the 32 requests that a leader has under way without an answer, with a
/// large document each (256 KiB as sent, twice that with what is derived from it).
const MAXIMUM_BYTES: usize = 16 * 1024 * 1024;
/// Assumed of a message or entry beside documents and snapshots.
const BASE_BYTES: usize = 512;

/// Messages to one member, in order.
#[derive(Debug)]
pub struct PeerQueue {
    waiting: VecDeque<LinkMessage>,
    maximum_messages: usize,
    bytes: usize,
    /// Append requests among those that wait, by the member that each is for.
    requests: BTreeMap<MemberId, usize>,
}

impl PeerQueue {
    /// An empty queue for this many messages.
    pub fn new(maximum_messages: usize) -> Self {
        PeerQueue {
            waiting: VecDeque::new(),
            maximum_messages,
            bytes: 0,
            requests: BTreeMap::new(),
        }
    }

    /// Adds a message; false if there is no room and it is dropped. One alone always fits.
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

    /// The next message to send.
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

    /// Takes a request out of the count; whether one to the same member follows it.
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

    /// Drops all.
    pub fn clear(&mut self) {
        *self = PeerQueue::new(self.maximum_messages);
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The member that an append request is for.
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

/// About as many bytes as the message takes.
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

/// A document is held as it was sent, and as what is derived from it.
fn entry_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(Command::PutDocument(put)) => BASE_BYTES + 2 * put.source.len(),
        _ => BASE_BYTES,
    }
}
