//! Backend selection and dispatch of attempts.
//!
//! Backends that the request has not tried yet are preferred, then those in the same zone. Among
//! the replicas whose load is within [`LOCALITY_SLACK`] of the least load, rendezvous hashing of
//! the prompt's start selects one, so that a popular prefix uses a warm cache without overloading
//! one replica.

use crate::circuit::CircuitState;
use crate::explain::AttemptRecord;
use crate::interface::{Dispatch, RequestNumber, RoutingOutput};
use crate::queues::QueueKey;
use crate::request::{Attempt, Endpoint, Request};
use crate::{Routing, Step};
use millpass_proto::{
    BackendName, EngineRole, GroupName, Incarnation, ReplicaPhase, ReplicaRoute, SlotId, Timestamp,
    VersionLabel, WebRoute, ZoneName,
};

/// Requests by which a replica's load may exceed the least load and still be selected for locality.
const LOCALITY_SLACK: u32 = 2;
/// Maximum concurrent attempts from this router to one web backend; web routes state no
/// concurrency.
const WEB_CONCURRENCY: u32 = 256;

/// A backend selected for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SelectedBackend {
    endpoint: Endpoint,
    backend: BackendName,
    incarnation: Incarnation,
    address: String,
    slot: Option<(SlotId, VersionLabel)>,
}

/// Result of backend selection for a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// A backend with free capacity.
    Backend(SelectedBackend),
    /// All backends are at capacity.
    Busy,
    /// All backends are ejected, at least until this time.
    OpenUntil(Timestamp),
    /// No backend serves the queue.
    NoBackend,
}

/// A backend that serves the queue.
struct Candidate<'a> {
    endpoint: Endpoint,
    backend: &'a BackendName,
    incarnation: Incarnation,
    zone: &'a ZoneName,
    concurrency: u32,
    identity: u64,
    route: Route<'a>,
}

enum Route<'a> {
    Replica(&'a ReplicaRoute),
    Web(&'a WebRoute),
}

/// A candidate with free capacity and its rank.
struct Ranked<'a> {
    candidate: Candidate<'a>,
    /// Already tried, then other zone; smaller is better.
    class: (bool, bool),
    load: u32,
}

impl Routing {
    /// Selects the best backend with free capacity for a request.
    pub(crate) fn select_backend_for(
        &self,
        request: &Request,
        now: Timestamp,
    ) -> Option<SelectedBackend> {
        let affinity = match request.queue {
            QueueKey::Model { .. } => request.prefix_hash,
            QueueKey::Web(_) => request.number.0,
        };
        match self.select_backend(&request.queue, affinity, &request.attempts, now) {
            Selection::Backend(selected) => Some(selected),
            _ => None,
        }
    }

    /// Selects a backend for a queue. Requests with equal `affinity` prefer the same backend.
    pub(crate) fn select_backend(
        &self,
        queue: &QueueKey,
        affinity: u64,
        previous_attempts: &[AttemptRecord],
        now: Timestamp,
    ) -> Selection {
        let mut open_until: Option<Timestamp> = None;
        let mut busy = false;
        let mut ranked: Vec<Ranked<'_>> = Vec::new();
        for candidate in self.candidates(queue) {
            let state = self
                .circuits
                .state(candidate.backend, candidate.incarnation, now);
            if let CircuitState::OpenUntil(until) = state {
                open_until = Some(open_until.map_or(until, |earliest| earliest.min(until)));
                continue;
            }
            let load = self.load.at(&candidate.endpoint, now);
            if load >= candidate.concurrency.max(1) {
                busy = true;
                continue;
            }
            let class = (
                was_tried(previous_attempts, candidate.backend),
                *candidate.zone != self.settings.zone,
            );
            ranked.push(Ranked {
                candidate,
                class,
                load,
            });
        }
        match (best_candidate(ranked, affinity), busy, open_until) {
            (Some(candidate), _, _) => Selection::Backend(select(candidate)),
            (None, true, _) => Selection::Busy,
            (None, false, Some(until)) => Selection::OpenUntil(until),
            (None, false, None) => Selection::NoBackend,
        }
    }

    /// Returns the backends that serve a queue, regardless of load.
    fn candidates<'a>(
        &'a self,
        queue: &'a QueueKey,
    ) -> Box<dyn Iterator<Item = Candidate<'a>> + 'a> {
        match queue {
            QueueKey::Model { model, .. } => Box::new(
                self.routes
                    .replicas_of(model)
                    .filter(move |replica| serves(replica, queue))
                    .map(replica_candidate),
            ),
            QueueKey::Web(group) => Box::new(self.web_candidates(group)),
        }
    }

    fn web_candidates<'a>(
        &'a self,
        group: &'a GroupName,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let remaining = self.routes.web_of(group).filter(|web| !web.leaving);
        remaining.enumerate().map(|(index, web)| Candidate {
            endpoint: Endpoint::Web(web.backend.clone()),
            backend: &web.backend,
            incarnation: web.incarnation,
            zone: &web.zone,
            concurrency: WEB_CONCURRENCY,
            identity: index as u64,
            route: Route::Web(web),
        })
    }

    /// Dispatches the waiting requests of a model or group until no backend is free or no request
    /// is left.
    pub(crate) fn dispatch_waiting(&mut self, queue: &QueueKey, step: &mut Step) {
        if !self.lease.is_valid(step.now) {
            return;
        }
        let mut exhausted = Vec::new();
        while let Some((key, number)) = self.queues.next_of_service(queue, &exhausted) {
            if !self.try_dispatch(number, step) {
                exhausted.push(key);
            }
        }
    }

    /// Dispatches a waiting request. Returns false if no backend is free.
    fn try_dispatch(&mut self, number: RequestNumber, step: &mut Step) -> bool {
        let Some(request) = self.table.get(number) else {
            return false;
        };
        let Some(selected) = self.select_backend_for(request, step.now) else {
            return false;
        };
        self.queues.remove(request, true);
        self.dispatch(number, selected, step);
        true
    }

    /// Dispatches an attempt of a request that is not queued. The caller has checked lease and
    /// deadline in this step; the host checks `send_before` again right before it writes.
    pub(crate) fn dispatch(
        &mut self,
        number: RequestNumber,
        selected: SelectedBackend,
        step: &mut Step,
    ) {
        let attempt = Attempt {
            endpoint: selected.endpoint.clone(),
            backend: selected.backend.clone(),
            incarnation: selected.incarnation,
            version: selected.slot.as_ref().map(|(_, version)| version.clone()),
            first_byte: false,
        };
        self.load.record_start(&selected.endpoint);
        self.circuits
            .record_dispatch(&selected.backend, selected.incarnation);
        self.table.update(number, |request| {
            request.record_attempt_start(attempt, step.now);
        });
        let Some(request) = self.table.get(number) else {
            return;
        };
        self.demand.record_dispatch(&request.queue);
        self.decisions.counters.dispatches += 1;
        let attempt = request.attempts.len() as u32;
        if attempt == 1 {
            self.budget.record_first_attempt();
        } else {
            self.decisions.counters.retries += 1;
        }
        step.outputs
            .push(RoutingOutput::Dispatch(Box::new(Dispatch {
                request: number,
                attempt,
                tenant: request.tenant.clone(),
                urgency: request.urgency,
                backend: selected.backend,
                incarnation: selected.incarnation,
                address: selected.address,
                slot: selected.slot,
                resume_from: request.tokens,
                send_before: self.lease.expires_at().min(request.deadline),
                deadline: request.deadline,
                record: request.claim.is_some(),
            })));
    }

    /// Releases the capacity that an attempt used.
    pub(crate) fn release(&mut self, queue: &QueueKey, attempt: &Attempt) {
        self.load.record_end(&attempt.endpoint);
        self.demand.record_end(queue);
    }
}

/// Returns true if the replica serves the queue.
fn serves(replica: &ReplicaRoute, queue: &QueueKey) -> bool {
    let QueueKey::Model {
        adapter, version, ..
    } = queue
    else {
        return false;
    };
    replica.phase == ReplicaPhase::Loaded
        && !replica.leaving
        // Prefill engines only fill caches for other engines.
        && replica.role != EngineRole::Prefill
        && adapter.as_ref().is_none_or(|adapter| replica.adapters.contains(adapter))
        && version.as_ref().is_none_or(|version| replica.version == *version)
}

fn replica_candidate(replica: &ReplicaRoute) -> Candidate<'_> {
    Candidate {
        endpoint: Endpoint::Slot(replica.slot),
        backend: &replica.backend,
        incarnation: replica.incarnation,
        zone: &replica.zone,
        concurrency: replica.concurrency,
        identity: replica.slot.0,
        route: Route::Replica(replica),
    }
}

fn was_tried(previous_attempts: &[AttemptRecord], backend: &BackendName) -> bool {
    previous_attempts
        .iter()
        .any(|attempt| attempt.backend == *backend)
}

/// Returns the best-ranked candidate.
fn best_candidate(ranked: Vec<Ranked<'_>>, affinity: u64) -> Option<Candidate<'_>> {
    let class = ranked.iter().map(|entry| entry.class).min()?;
    let in_class = || ranked.iter().filter(|entry| entry.class == class);
    let least_load = in_class().map(|entry| entry.load).min()?;
    let slack = match in_class().next()?.candidate.route {
        Route::Replica(_) => LOCALITY_SLACK,
        Route::Web(_) => 0,
    };
    ranked
        .into_iter()
        .filter(|entry| entry.class == class && entry.load <= least_load.saturating_add(slack))
        .map(|entry| entry.candidate)
        .max_by_key(|candidate| rendezvous(affinity, candidate.identity))
}

/// Rendezvous hash of an affinity and a backend: the SplitMix64 finalizer.
fn rendezvous(affinity: u64, identity: u64) -> u64 {
    let mut mixed = affinity ^ identity.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn select(candidate: Candidate<'_>) -> SelectedBackend {
    let (address, slot) = match candidate.route {
        Route::Replica(replica) => (
            replica.address.clone(),
            Some((replica.slot, replica.version.clone())),
        ),
        Route::Web(web) => (web.address.clone(), None),
    };
    SelectedBackend {
        endpoint: candidate.endpoint,
        backend: candidate.backend.clone(),
        incarnation: candidate.incarnation,
        address,
        slot,
    }
}
