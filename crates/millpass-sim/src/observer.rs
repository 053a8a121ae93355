//! Observes the control group's log and records commits and decisions.
//!
//! A leader sends its commit index in each append request; the entries in its log up to that index
//! are committed and must be equal for all leaders. The observer applies them to its own state and
//! records the resulting decisions.

use crate::content::hash_text;
use millpass_checkers::Event;
use millpass_consensus::PersistRequest;
use millpass_proto::{
    Command, EntryPayload, LogEntry, LogPosition, MemberId, Membership, ObjectKey, ObjectKind,
    ObjectSpec, SlotId,
};
use millpass_state::State;
use std::collections::{BTreeMap, BTreeSet};

/// Log of one member, and the index up to which it was checked.
#[derive(Default)]
struct MemberLog {
    entries: BTreeMap<u64, LogEntry>,
    checked_index: u64,
}

/// Observer of the control group's log.
pub struct Observer {
    state: State,
    applied: u64,
    committed: BTreeMap<u64, (LogPosition, u64)>,
    logs: BTreeMap<MemberId, MemberLog>,
    slots: BTreeSet<SlotId>,
    membership: Membership,
    leader: Option<(MemberId, u64)>,
}

impl Observer {
    /// Creates an observer with the initial state of every member.
    pub fn new(state: State, at: LogPosition, membership: Membership) -> Self {
        Observer {
            state,
            applied: at.index,
            committed: BTreeMap::new(),
            logs: BTreeMap::new(),
            slots: BTreeSet::new(),
            membership,
            leader: None,
        }
    }

    /// Returns the membership committed last.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the member that last sent append requests in the highest term.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader.map(|(member, _)| member)
    }

    /// Records a write of a member to its disk.
    pub fn record_write(&mut self, member: MemberId, request: &PersistRequest) {
        let log = self.logs.entry(member).or_default();
        if let Some(snapshot) = &request.snapshot {
            log.entries.clear();
            log.checked_index = log.checked_index.max(snapshot.meta.last.index);
        }
        let Some(first) = request.entries.first() else {
            return;
        };
        let cut = first.position.index;
        log.entries.split_off(&cut);
        log.checked_index = log.checked_index.min(cut - 1);
        for entry in &request.entries {
            log.entries.insert(entry.position.index, entry.clone());
        }
    }

    /// Records the start of a member with the entries on its disk.
    pub fn record_restart(&mut self, member: MemberId, entries: &[LogEntry]) {
        let by_index = |entry: &LogEntry| (entry.position.index, entry.clone());
        let log = MemberLog {
            entries: entries.iter().map(by_index).collect(),
            checked_index: 0,
        };
        self.logs.insert(member, log);
    }

    /// Records that a member leads in this term with this commit index, and returns the resulting
    /// events.
    pub fn record_leader(&mut self, member: MemberId, term: u64, commit: u64) -> Vec<Event> {
        if self.leader.is_none_or(|(_, recorded)| term >= recorded) {
            self.leader = Some((member, term));
        }
        let log = self.logs.entry(member).or_default();
        if commit <= log.checked_index {
            return Vec::new();
        }
        let unchecked = log.checked_index + 1..=commit;
        let entries: Vec<LogEntry> = log
            .entries
            .range(unchecked)
            .map(|(_, e)| e.clone())
            .collect();
        log.checked_index = commit;
        let mut events = Vec::new();
        for entry in entries {
            self.commit(member, &entry, &mut events);
        }
        events
    }

    fn commit(&mut self, member: MemberId, entry: &LogEntry, events: &mut Vec<Event>) {
        let index = entry.position.index;
        let hash = hash_text(&format!("{:?}", entry.payload));
        let recorded = self.committed.get(&index).copied();
        if recorded == Some((entry.position, hash)) {
            return;
        }
        if recorded.is_none() {
            self.committed.insert(index, (entry.position, hash));
        }
        events.push(Event::Committed {
            member,
            position: entry.position,
            payload_hash: hash,
        });
        if index == self.applied + 1 {
            self.applied = index;
            self.apply(entry, events);
        }
    }

    fn apply(&mut self, entry: &LogEntry, events: &mut Vec<Event>) {
        match &entry.payload {
            EntryPayload::Noop => {}
            EntryPayload::Membership(membership) => self.membership = membership.clone(),
            EntryPayload::Command(command) => self.apply_command(entry.position, command, events),
        }
    }

    fn apply_command(&mut self, at: LogPosition, command: &Command, events: &mut Vec<Event>) {
        let before = self.state.configuration_revision();
        self.state.apply(at, command);
        let after = self.state.configuration_revision();
        if after != before {
            events.push(Event::RevisionCommitted { revision: after });
        }
        if matches!(
            command,
            Command::BeginClaim(_) | Command::FinishClaim(_) | Command::ExpireClaims(_)
        ) {
            return;
        }
        let slots: BTreeSet<SlotId> = self.state.replicas().iter().map(|r| r.slot).collect();
        for slot in self.slots.difference(&slots) {
            events.push(Event::ReplicaReleased { slot: *slot });
        }
        for slot in slots.difference(&self.slots) {
            events.extend(self.replica_decided(*slot));
        }
        self.slots = slots;
    }

    fn replica_decided(&self, slot: SlotId) -> Option<Event> {
        let replica = self.state.replica(slot)?;
        let key = ObjectKey {
            kind: ObjectKind::Model,
            name: replica.model.0.clone(),
        };
        let maximum = match &self.state.object(&key)?.spec {
            ObjectSpec::Model(model) => model.maximum_replicas,
            _ => 0,
        };
        Some(Event::ReplicaDecided {
            slot,
            model: replica.model.clone(),
            backend: replica.backend.clone(),
            incarnation: replica.incarnation,
            maximum,
        })
    }
}
