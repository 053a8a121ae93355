//! Limits that instances state, and this gateway's words with the leader about them.

use crate::dispatcher::Dispatcher;
use crate::statements::{Stated, Statement, StatementChange};
use millpass_limits::{HeardLimit, LimitChange};
use millpass_proto::{InstanceId, LimitUpdate, PermitRequest, PermitResponse, Timestamp};

impl Dispatcher {
    /// Takes what an instance stated in the head of its answer to a request that was sent at `sent_at`.
    pub fn heard_statement(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        instance: &InstanceId,
        statement: &Statement,
    ) -> Vec<StatementChange> {
        let mut changes = self.statements.heard(now, instance, statement);
        let rate = match statement.limit {
            Stated::Value(rate) => Some(rate),
            Stated::Missing => None,
            Stated::Unreadable => return changes,
        };
        let heard_at = now;
        let word = HeardLimit {
            rate,
            sent_at,
            heard_at,
        };
        let change = self.permits.heard(now, instance, word);
        changes.extend(change.as_ref().map(StatementChange::of_limit));
        changes
    }

    /// Takes the limits that the leader tells; gives those that changed by it.
    pub fn take_limits(
        &mut self,
        now: Timestamp,
        update: &LimitUpdate,
    ) -> Vec<(InstanceId, StatementChange)> {
        let changes = self.permits.told(now, update).into_iter();
        let named = |change: LimitChange| {
            let stated = StatementChange::of_limit(&change);
            (change.instance, stated)
        };
        changes.map(named).collect()
    }

    /// Whether the leader should be asked for permits, or told of a limit, at once.
    pub fn is_permit_request_due(&self, now: Timestamp) -> bool {
        self.permits.is_request_due(now)
    }

    /// The next message about limits, if one is due.
    pub fn permit_request(&mut self, now: Timestamp) -> Option<PermitRequest> {
        self.permits.request(now)
    }

    /// Takes the leader's answer to one.
    pub fn take_permits(&mut self, now: Timestamp, answer: &PermitResponse) {
        self.permits.answer(now, answer);
    }

    /// How many instances have a limit in force.
    pub fn limited_instances(&self) -> usize {
        self.permits.limited()
    }
}

impl StatementChange {
    fn of_limit(change: &LimitChange) -> StatementChange {
        match change.rate {
            Some(rate) => StatementChange::Limited(rate),
            None => StatementChange::Unlimited,
        }
    }
}
