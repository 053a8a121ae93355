//! Process runs behind connections: a stream keeps its software version only if the run is certain.

use crate::dispatcher::Dispatcher;
use crate::request::{StreamProgress, Ticket};
use millpass_proto::{InstanceId, RouteKind, RunQuery, RunUpdate, Timestamp};

impl Dispatcher {
    /// Returns whether the run behind a connection must be certain for this request: its stream goes on,
    /// or may. A model server is excluded, as a run that has not announced itself holds no model.
    pub fn needs_certain_run(&self, ticket: &Ticket) -> bool {
        let is_resumable = ticket.route.kind == RouteKind::Stream && ticket.route.resumable;
        is_resumable && !(ticket.description.model.is_some() && self.is_engine(&ticket.service))
    }

    /// Returns whether a connection that was opened at `opened` leads to a run that was alive at `alive`.
    pub fn is_same_run(&self, run: &InstanceId, opened: Timestamp, alive: Timestamp) -> bool {
        self.runs.is_same(run, opened, alive)
    }

    /// Asks the leader about a run until a point in time.
    pub fn ask_for_run(&mut self, run: &InstanceId, until: Timestamp) {
        self.runs.want(run, until);
    }

    /// Returns when the leader is to be asked about runs; none if there is nothing to ask.
    pub fn run_query_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.runs.query_at(now)
    }

    /// Returns the question to the leader about runs, if one is due.
    pub fn run_query(&mut self, now: Timestamp) -> Option<RunQuery> {
        self.runs.query(now)
    }

    /// Applies the leader's answer.
    pub fn apply_runs(&mut self, now: Timestamp, update: RunUpdate) {
        self.runs.apply(now, update);
        let instances = &self.instances;
        self.runs
            .retain(|instance| instances.contains_key(instance));
        let runs = &self.runs;
        self.origins
            .confirm(|run, opened| runs.is_same(run, opened, opened));
    }

    /// Returns whether the origin of a stream that broke off is certain; none if the leader is being asked.
    pub fn certain_origin(&mut self, now: Timestamp, ticket: &Ticket) -> Option<bool> {
        if !self.may_go_on(ticket) {
            return Some(false);
        }
        let Some(run) = self.unconfirmed_run(ticket) else {
            return Some(true);
        };
        if !self.instances.contains_key(&run) {
            return Some(false);
        }
        let until = now + self.settings.origins.proof_timeout;
        self.runs.want(&run, until);
        None
    }

    /// Returns the run that is to be confirmed to have begun a stream. For another gateway's stream, which
    /// is recorded there, the connection tells.
    fn unconfirmed_run(&self, ticket: &Ticket) -> Option<InstanceId> {
        if ticket.forwarded.is_none() {
            let stream = self.key_of(ticket, &ticket.description.attempt);
            return self.origins.unconfirmed_run(&stream).cloned();
        }
        let StreamProgress::Begun {
            origin: Some(origin),
        } = &ticket.progress
        else {
            return None;
        };
        let (run, opened) = (&origin.instance, ticket.connection_opened_at?);
        let is_unconfirmed = ticket.tried.contains(run)
            && self.needs_certain_run(ticket)
            && !self.runs.is_same(run, opened, opened);
        is_unconfirmed.then(|| run.clone())
    }
}
