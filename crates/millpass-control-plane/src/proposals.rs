//! Pending proposals and who waits for them.
//!
//! A proposal is resolved when its index commits with its term. If another term commits at that
//! index the proposal is lost; after a snapshot beyond it the outcome is unknown here.

use crate::interface::ConnectionId;
use millpass_proto::{
    BackendName, EngineInstruction, Incarnation, LogPosition, PartSet, RequestFingerprint,
    RouterName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of pending proposals; more are rejected.
pub(crate) const MAXIMUM_PROPOSALS: usize = 8_192;

/// Identity of an internal proposal, which prevents proposing it twice concurrently.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum InternalKey {
    /// Registration of an incarnation of a back end.
    Register(BackendName, Incarnation),
    /// Change of a back end's state.
    Mark(BackendName),
    /// Settlement of the order with this fence at this engine.
    Settle(BackendName, LogPosition),
    ExpireClaims,
    /// Abandonment of the claims of a router incarnation.
    AbandonClaims(RouterName, Incarnation),
    /// The leader's record of instances.
    NoteInstances,
    /// The leader's estimate of the weight store's capacity.
    NoteStoreCapacity,
    /// Quarantine or release of a request.
    HeldRequest(RequestFingerprint),
    /// Refusal or release of parts of prompts.
    RefusedParts(PartSet),
    /// A scheduling decision, by number.
    Schedule(u64),
}

/// Who waits for a proposal to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A call of the administration API.
    Call(u64),
    /// A router's claim.
    Claim {
        /// Connection to respond on.
        connection: ConnectionId,
        /// Attempt that the response refers to.
        attempt: u64,
    },
    /// The end of a router's claim.
    ClaimFinish {
        /// Connection to respond on.
        connection: ConnectionId,
        /// Attempt that the response refers to.
        attempt: u64,
    },
    Internal(InternalKey),
    /// Instructions to send after their record is committed.
    Instructions {
        /// When the instructions were decided.
        decided_at: Timestamp,
        instructions: Vec<EngineInstruction>,
    },
    /// A repair of the membership.
    Repair,
}

struct Pending {
    waiter: Waiter,
    since: Timestamp,
    position: Option<LogPosition>,
}

/// Pending proposals, bounded by [`MAXIMUM_PROPOSALS`].
#[derive(Default)]
pub(crate) struct Proposals {
    next_ticket: u64,
    pending: BTreeMap<u64, Pending>,
    by_index: BTreeMap<u64, u64>,
    internal: BTreeSet<InternalKey>,
}

impl Proposals {
    pub(crate) fn has_capacity(&self) -> bool {
        self.pending.len() < MAXIMUM_PROPOSALS
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns true if an internal proposal with this key is pending.
    pub(crate) fn contains(&self, key: &InternalKey) -> bool {
        self.internal.contains(key)
    }

    pub(crate) fn is_repair_pending(&self) -> bool {
        self.pending
            .values()
            .any(|pending| pending.waiter == Waiter::Repair)
    }

    /// Adds a proposal and returns its ticket.
    pub(crate) fn add(&mut self, now: Timestamp, waiter: Waiter) -> u64 {
        self.next_ticket += 1;
        if let Waiter::Internal(key) = &waiter {
            self.internal.insert(key.clone());
        }
        let pending = Pending {
            waiter,
            since: now,
            position: None,
        };
        self.pending.insert(self.next_ticket, pending);
        self.next_ticket
    }

    /// Records the log position of a proposal.
    pub(crate) fn record_position(&mut self, ticket: u64, position: LogPosition) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.position = Some(position);
            self.by_index.insert(position.index, ticket);
        }
    }

    pub(crate) fn remove(&mut self, ticket: u64) -> Option<Waiter> {
        let pending = self.pending.remove(&ticket)?;
        if let Some(position) = pending.position
            && self.by_index.get(&position.index) == Some(&ticket)
        {
            self.by_index.remove(&position.index);
        }
        if let Waiter::Internal(key) = &pending.waiter {
            self.internal.remove(key);
        }
        Some(pending.waiter)
    }

    /// Removes the proposal at a committed index. The flag is true if the committed entry is this
    /// proposal, and false if the proposal was replaced.
    pub(crate) fn take_committed(&mut self, at: LogPosition) -> Option<(Waiter, bool)> {
        let ticket = *self.by_index.get(&at.index)?;
        let is_own = self.pending.get(&ticket)?.position == Some(at);
        let waiter = self.remove(ticket)?;
        Some((waiter, is_own))
    }

    /// Removes the administration calls that have been pending since before `oldest`.
    pub(crate) fn overdue_calls(&mut self, oldest: Timestamp) -> Vec<u64> {
        let overdue: Vec<(u64, u64)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.since < oldest)
            .filter_map(|(ticket, pending)| match pending.waiter {
                Waiter::Call(call) => Some((*ticket, call)),
                _ => None,
            })
            .collect();
        for (ticket, _) in &overdue {
            self.remove(*ticket);
        }
        overdue.into_iter().map(|(_, call)| call).collect()
    }

    /// Removes all proposals, in the order in which they were added.
    pub(crate) fn drain(&mut self) -> Vec<Waiter> {
        self.by_index.clear();
        self.internal.clear();
        std::mem::take(&mut self.pending)
            .into_values()
            .map(|pending| pending.waiter)
            .collect()
    }
}
