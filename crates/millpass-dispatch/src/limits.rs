//! Limits that instances state, and messages to the leader about them.

use crate::dispatcher::Dispatcher;
use crate::statements::{Stated, Statement, StatementChange};
use millpass_limits::{LimitChange, ObservedLimit};
use millpass_proto::{InstanceId, LimitUpdate, PermitRequest, PermitResponse, Timestamp};

impl Dispatcher {
    /// Records what an instance stated in its response to a request sent at `sent_at`.
    pub fn record_statement(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        instance: &InstanceId,
        statement: &Statement,
    ) -> Vec<StatementChange> {
        let mut changes = self.statements.record(now, instance, statement);
        let rate = match statement.limit {
            Stated::Value(rate) => Some(rate),
            Stated::Missing => None,
            Stated::Malformed => return changes,
        };
        let received_at = now;
        let observed = ObservedLimit {
            rate,
            sent_at,
            received_at,
        };
        let change = self.permits.record_statement(now, instance, observed);
        changes.extend(change.as_ref().map(StatementChange::of_limit));
        changes
    }

    /// Applies the leader's limits, and returns those that changed.
    pub fn apply_limits(
        &mut self,
        now: Timestamp,
        update: &LimitUpdate,
    ) -> Vec<(InstanceId, StatementChange)> {
        let changes = self.permits.apply_update(now, update).into_iter();
        let by_instance = |change: LimitChange| {
            let stated = StatementChange::of_limit(&change);
            (change.instance, stated)
        };
        changes.map(by_instance).collect()
    }

    /// Returns true if a limit should be reported, or permits requested, at once.
    pub fn is_permit_request_due(&self, now: Timestamp) -> bool {
        self.permits.is_request_due(now)
    }

    /// Returns the next message about limits, if one is due.
    pub fn permit_request(&mut self, now: Timestamp) -> Option<PermitRequest> {
        self.permits.next_request(now)
    }

    /// Applies the permits that the leader granted.
    pub fn apply_permits(&mut self, now: Timestamp, response: &PermitResponse) {
        self.permits.apply_response(now, response);
    }

    /// Number of instances with a limit in force.
    pub fn limited_instances(&self) -> usize {
        self.permits.limited_count()
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
