//! Whether what waits in a queue can be served in time, judged on each tick and update.

use crate::dispatch::Choice;
use crate::interface::RequestNumber;
use crate::outlook::UNPLACEABLE_GRACE;
use crate::queues::QueueKey;
use crate::refusals::Refused;
use crate::{Routing, Step};
use millpass_proto::{Duration, ReplicaPhase, Timestamp};

/// How long a request waits for the first back end of its web group to appear.
pub(crate) const NO_BACKEND_GRACE: Duration = Duration::from_secs(1);

/// How a queue stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// Something serves it, if perhaps all of it is busy.
    Serving,
    /// Something will serve it from then on.
    ReadyAt(Timestamp),
    /// No replica can be placed as things stand.
    Unplaceable {
        /// Whether that has lasted beyond the grace.
        given_up: bool,
        /// When a replica might serve if one could be placed.
        ready: Timestamp,
    },
    /// The web group has no back end.
    NoBackend,
    /// A stream cannot go on: no replica of its version is left.
    VersionGone,
    /// The leader has not said yet.
    Unknown,
}

impl Routing {
    /// How a queue stands.
    pub(crate) fn readiness(&self, queue: &QueueKey, now: Timestamp) -> Readiness {
        match self.choose(queue, 0, &[], now) {
            Choice::Found(_) | Choice::Busy => Readiness::Serving,
            Choice::OpenUntil(until) => Readiness::ReadyAt(until),
            Choice::Absent => self.readiness_of_absent(queue, now),
        }
    }

    fn readiness_of_absent(&self, queue: &QueueKey, now: Timestamp) -> Readiness {
        let QueueKey::Model { model, version, .. } = queue else {
            return Readiness::NoBackend;
        };
        if let Some(version) = version {
            let mut replicas = self.routes.replicas_of(model);
            let kept = replicas.any(|replica| {
                replica.version == *version && replica.phase != ReplicaPhase::Unloading
            });
            if !kept {
                return Readiness::VersionGone;
            }
        }
        match self.outlooks.of(model) {
            None => Readiness::Unknown,
            Some(expectation) => match expectation.unplaceable_since {
                None => Readiness::ReadyAt(expectation.ready),
                Some(since) => Readiness::Unplaceable {
                    given_up: since + UNPLACEABLE_GRACE <= now,
                    ready: expectation.ready,
                },
            },
        }
    }

    /// Refuses what can no longer be met in every queue, then serves what can be served. The
    /// work is bounded by the number of queues and of requests that end here.
    pub(crate) fn judge_and_serve_all(&mut self, step: &mut Step) {
        let queues: Vec<QueueKey> = self.queues.keys().cloned().collect();
        for queue in &queues {
            self.judge_queue(queue, step);
        }
        for queue in &queues {
            self.serve(queue, step);
        }
    }

    fn judge_queue(&mut self, queue: &QueueKey, step: &mut Step) {
        for number in self.doubtful(queue, step.now) {
            let Some(request) = self.table.get(number) else {
                continue;
            };
            if let Some(refused) = self.hopeless(request, step.now) {
                self.give_up(number, refused, step);
            }
        }
    }

    /// Requests of a queue that may have become hopeless.
    fn doubtful(&self, queue: &QueueKey, now: Timestamp) -> Vec<RequestNumber> {
        match self.readiness(queue, now) {
            Readiness::Serving | Readiness::Unknown => Vec::new(),
            Readiness::ReadyAt(ready)
            | Readiness::Unplaceable {
                given_up: false,
                ready,
            } => self.queues.due_before(queue, ready),
            Readiness::Unplaceable { given_up: true, .. } | Readiness::VersionGone => {
                self.queues.members(queue).collect()
            }
            Readiness::NoBackend => {
                // Members are in order of arrival, so the grace ends for a prefix of them.
                let members = self.queues.members(queue);
                let arrived = |number| self.table.get(number).map(|request| request.arrived);
                members
                    .take_while(|number| {
                        arrived(*number).is_some_and(|at| at + NO_BACKEND_GRACE <= now)
                    })
                    .collect()
            }
        }
    }

    /// Refuses everything that waits; called when the lease ends.
    pub(crate) fn refuse_all_waiting(&mut self, refused: &Refused, step: &mut Step) {
        for number in self.table.all_waiting() {
            self.give_up(number, refused.clone(), step);
        }
    }
}
