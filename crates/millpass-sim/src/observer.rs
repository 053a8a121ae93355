//! Watches the control group's log from outside: what members treat as committed, and what the
//! committed commands decide.
//!
//! A member that leads states its commit index in each append request. The entries that it then
//! holds up to that index are what it treats as committed; they must be the same for every leader
//! that ever was. The observer applies them to a state of its own and records what they decide.

use crate::content::hash_text;
use millpass_checkers::Event;
use millpass_consensus::PersistRequest;
use millpass_proto::{
    Command, EntryPayload, LogEntry, LogPosition, MemberId, Membership, ObjectKey, ObjectKind,
    ObjectSpec, SlotId,
};
use millpass_state::State;
use std::collections::{BTreeMap, BTreeSet};

/// One member's log as written, and how far it was compared.
#[derive(Default)]
struct MemberLog {
    entries: BTreeMap<u64, LogEntry>,
    compared: u64,
}

/// The observer.
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
    /// Starts from the state that every member starts from.
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

    /// Membership last committed.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The member that last sent append requests in the highest term.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader.map(|(member, _)| member)
    }

    /// A member writes to its disk.
    pub fn wrote(&mut self, member: MemberId, request: &PersistRequest) {
        let log = self.logs.entry(member).or_default();
        if let Some(snapshot) = &request.snapshot {
            log.entries.clear();
            log.compared = log.compared.max(snapshot.meta.last.index);
        }
        let Some(first) = request.entries.first() else {
            return;
        };
        let cut = first.position.index;
        log.entries.split_off(&cut);
        log.compared = log.compared.min(cut - 1);
        for entry in &request.entries {
            log.entries.insert(entry.position.index, entry.clone());
        }
    }

    /// A member starts from its disk.
    pub fn restarted(&mut self, member: MemberId, entries: &[LogEntry]) {
        let by_index = |entry: &LogEntry| (entry.position.index, entry.clone());
        let log = MemberLog {
            entries: entries.iter().map(by_index).collect(),
            compared: 0,
        };
        self.logs.insert(member, log);
    }

    /// A member leads in this term and treats everything up to `commit` as committed. Gives the
    /// events that follow.
    pub fn leads(&mut self, member: MemberId, term: u64, commit: u64) -> Vec<Event> {
        if self.leader.is_none_or(|(_, known)| term >= known) {
            self.leader = Some((member, term));
        }
        let log = self.logs.entry(member).or_default();
        if commit <= log.compared {
            return Vec::new();
        }
        let stretch = log.compared + 1..=commit;
        let entries: Vec<LogEntry> = log.entries.range(stretch).map(|(_, e)| e.clone()).collect();
        log.compared = commit;
        let mut events = Vec::new();
        for entry in entries {
            self.commit(member, &entry, &mut events);
        }
        events
    }

    fn commit(&mut self, member: MemberId, entry: &LogEntry, events: &mut Vec<Event>) {
        let index = entry.position.index;
        let hash = hash_text(&format!("{:?}", entry.payload));
        let known = self.committed.get(&index).copied();
        if known == Some((entry.position, hash)) {
            return;
        }
        if known.is_none() {
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
            events.extend(self.decided(*slot));
        }
        self.slots = slots;
    }

    fn decided(&self, slot: SlotId) -> Option<Event> {
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
