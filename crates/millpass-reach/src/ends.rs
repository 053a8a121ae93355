//! Refused connections that may mean the end of a process run.
//!
//! A refused connection proves that nothing listens at an address only if this gateway reaches
//! other instances: a partition can refuse connections too. A run has ended if its address refuses
//! a connection, another instance is then connected to, and the address refuses again.

use millpass_proto::{Duration, InstanceId, ServiceName, Timestamp};
use std::collections::BTreeSet;

/// Time within which the three observations must be made.
const CONFIRMATION_WINDOW: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct RefusedConnection {
    instance: InstanceId,
    /// Service of which another instance must be connected to; none for any.
    scope: Option<ServiceName>,
    at: Timestamp,
    /// Another instance was connected to since.
    has_contact: bool,
}

/// Refused connections that are not known to be of ended runs.
#[derive(Debug, Default)]
pub struct RunEnds {
    refused: Vec<RefusedConnection>,
    /// Runs known to have ended.
    ended: BTreeSet<InstanceId>,
}

/// What a refused connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing yet: another instance must be connected to.
    Unconfirmed,
    /// The process run has ended.
    Ended,
    /// The process run was known to have ended.
    KnownEnded,
}

impl RunEnds {
    /// Records a refused connection. `scope` is the service of which another instance must be
    /// connected to; none for any.
    pub fn record_refused(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        scope: Option<ServiceName>,
    ) -> Refusal {
        self.expire(now);
        if self.ended.contains(instance) {
            return Refusal::KnownEnded;
        }
        let mut refused = self.refused.iter();
        let Some(position) = refused.position(|it| it.instance == *instance) else {
            self.refused.push(RefusedConnection {
                instance: instance.clone(),
                scope,
                at: now,
                has_contact: false,
            });
            return Refusal::Unconfirmed;
        };
        if !self.refused[position].has_contact {
            return Refusal::Unconfirmed;
        }
        self.refused.swap_remove(position);
        self.ended.insert(instance.clone());
        Refusal::Ended
    }

    /// Records a connection that was established now, and returns the instances to connect to once
    /// more.
    pub fn record_connected(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        instance: &InstanceId,
    ) -> Vec<InstanceId> {
        self.expire(now);
        self.refused.retain(|it| it.instance != *instance);
        self.ended.remove(instance);
        let is_compared = |it: &&mut RefusedConnection| {
            !it.has_contact && it.scope.as_ref().is_none_or(|scope| scope == service)
        };
        let compared = self.refused.iter_mut().filter(is_compared);
        let compared = compared.map(|it| {
            it.has_contact = true;
            it.instance.clone()
        });
        compared.collect()
    }

    /// Forgets instances that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.ended.retain(is_known);
    }

    fn expire(&mut self, now: Timestamp) {
        self.refused
            .retain(|it| now.since(it.at) < CONFIRMATION_WINDOW);
    }
}
