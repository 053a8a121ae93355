//! Checks on each tick and update whether waiting requests can still be served in time.

use crate::dispatch::Selection;
use crate::interface::RequestNumber;
use crate::queues::QueueKey;
use crate::ready_estimates::UNPLACEABLE_GRACE;
use crate::refusals::Rejection;
use crate::{Routing, Step};
use millpass_proto::{Duration, ReplicaPhase, Timestamp};

/// How long a request waits for its web group to get a backend.
pub(crate) const NO_BACKEND_GRACE: Duration = Duration::from_secs(1);

/// State of the backends of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// At least one backend serves the queue, even if all are at capacity.
    Serving,
    /// A backend is expected to serve from this time.
    ReadyAt(Timestamp),
    /// No replica can be placed at present.
    Unplaceable {
        /// Whether the grace period has elapsed.
        grace_elapsed: bool,
        /// Earliest time at which a replica could serve if one could be placed.
        ready: Timestamp,
    },
    /// The web group has no backend.
    NoBackend,
    /// No replica is left of the version on which a stream must resume.
    VersionUnavailable,
    /// The leader has sent no estimate yet.
    Unknown,
}

impl Routing {
    /// Returns the state of the backends of a queue.
    pub(crate) fn readiness(&self, queue: &QueueKey, now: Timestamp) -> Readiness {
        match self.select_backend(queue, 0, &[], now) {
            Selection::Backend(_) | Selection::Busy => Readiness::Serving,
            Selection::OpenUntil(until) => Readiness::ReadyAt(until),
            Selection::NoBackend => self.readiness_without_backend(queue, now),
        }
    }

    fn readiness_without_backend(&self, queue: &QueueKey, now: Timestamp) -> Readiness {
        let QueueKey::Model { model, version, .. } = queue else {
            return Readiness::NoBackend;
        };
        if let Some(version) = version {
            let mut replicas = self.routes.replicas_of(model);
            let is_available = replicas.any(|replica| {
                replica.version == *version && replica.phase != ReplicaPhase::Unloading
            });
            if !is_available {
                return Readiness::VersionUnavailable;
            }
        }
        match self.ready_estimates.of(model) {
            None => Readiness::Unknown,
            Some(estimate) => match estimate.unplaceable_since {
                None => Readiness::ReadyAt(estimate.ready),
                Some(since) => Readiness::Unplaceable {
                    grace_elapsed: since + UNPLACEABLE_GRACE <= now,
                    ready: estimate.ready,
                },
            },
        }
    }

    /// Refuses waiting requests that cannot be served in time, then dispatches the others. The work
    /// is bounded by the number of queues and of refused requests.
    pub(crate) fn refresh_queues(&mut self, step: &mut Step) {
        let queues: Vec<QueueKey> = self.queues.keys().cloned().collect();
        for queue in &queues {
            self.check_queue_deadlines(queue, step);
        }
        for queue in &queues {
            self.dispatch_waiting(queue, step);
        }
    }

    fn check_queue_deadlines(&mut self, queue: &QueueKey, step: &mut Step) {
        for number in self.requests_at_risk(queue, step.now) {
            let Some(request) = self.table.get(number) else {
                continue;
            };
            if let Some(rejection) = self.check_deadline(request, step.now) {
                self.end_request(number, rejection, step);
            }
        }
    }

    /// Returns the requests of a queue whose deadline may have become unreachable.
    fn requests_at_risk(&self, queue: &QueueKey, now: Timestamp) -> Vec<RequestNumber> {
        match self.readiness(queue, now) {
            Readiness::Serving | Readiness::Unknown => Vec::new(),
            Readiness::ReadyAt(ready)
            | Readiness::Unplaceable {
                grace_elapsed: false,
                ready,
            } => self.queues.due_before(queue, ready),
            Readiness::Unplaceable {
                grace_elapsed: true,
                ..
            }
            | Readiness::VersionUnavailable => self.queues.members(queue).collect(),
            Readiness::NoBackend => {
                // Requests are in arrival order, so those past the grace period form a prefix.
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

    /// Refuses all waiting requests, when the lease expires.
    pub(crate) fn refuse_all_waiting(&mut self, rejection: &Rejection, step: &mut Step) {
        for number in self.table.all_waiting() {
            self.end_request(number, rejection.clone(), step);
        }
    }
}
