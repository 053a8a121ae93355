//! Which back end an attempt goes to, and sending it there.
//!
//! Order of choice: back ends not tried yet by this request, then this router's zone, then prefix
//! locality, then the least load. Locality is rendezvous hashing of the prompt's start over the
//! replicas whose load is within [`LOCALITY_SLACK`] of the least, so that a popular prefix stays
//! where its cache is but never piles up on one replica.

use crate::circuit::CircuitState;
use crate::explain::AttemptRecord;
use crate::interface::{Dispatch, RequestNumber, RoutingOutput};
use crate::queues::QueueKey;
use crate::request::{Attempt, Place, Request};
use crate::{Routing, Step};
use millpass_proto::{
    BackendName, EngineRole, GroupName, Incarnation, ReplicaPhase, ReplicaRoute, SlotId, Timestamp,
    VersionLabel, WebRoute, ZoneName,
};

/// How much busier than the least busy replica one may be and still be chosen for locality.
const LOCALITY_SLACK: u32 = 2;
/// Attempts at once that one router sends to one web back end; web routes state no concurrency.
const WEB_CONCURRENCY: u32 = 256;

/// A back end that can take an attempt now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Seat {
    place: Place,
    backend: BackendName,
    incarnation: Incarnation,
    address: String,
    slot: Option<(SlotId, VersionLabel)>,
}

/// What there is for a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// A place.
    Found(Seat),
    /// All back ends are busy.
    Busy,
    /// All back ends are left out until then at the earliest.
    OpenUntil(Timestamp),
    /// There is no back end.
    Absent,
}

/// One back end that serves a queue, as the choice sees it.
struct Candidate<'a> {
    place: Place,
    backend: &'a BackendName,
    incarnation: Incarnation,
    zone: &'a ZoneName,
    concurrency: u32,
    identity: u64,
    route: Route<'a>,
}

/// The route behind a candidate.
enum Route<'a> {
    Replica(&'a ReplicaRoute),
    Web(&'a WebRoute),
}

/// A candidate with room, and what it is ranked by.
struct Ranked<'a> {
    candidate: Candidate<'a>,
    /// Tried before, then other zone; smaller is better.
    class: (bool, bool),
    load: u32,
}

impl Routing {
    /// The best place for a request, if one has room now.
    pub(crate) fn find_seat(&self, request: &Request, now: Timestamp) -> Option<Seat> {
        let affinity = match request.queue {
            QueueKey::Model { .. } => request.prefix_hash,
            QueueKey::Web(_) => request.number.0,
        };
        match self.choose(&request.queue, affinity, &request.attempts, now) {
            Choice::Found(seat) => Some(seat),
            _ => None,
        }
    }

    /// What there is for a queue. `affinity` draws equal requests to the same place.
    pub(crate) fn choose(
        &self,
        queue: &QueueKey,
        affinity: u64,
        earlier: &[AttemptRecord],
        now: Timestamp,
    ) -> Choice {
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
            let load = self.load.at(&candidate.place, now);
            if load >= candidate.concurrency.max(1) {
                busy = true;
                continue;
            }
            let class = (
                has_tried(earlier, candidate.backend),
                *candidate.zone != self.settings.zone,
            );
            ranked.push(Ranked {
                candidate,
                class,
                load,
            });
        }
        match (best(ranked, affinity), busy, open_until) {
            (Some(candidate), _, _) => Choice::Found(seat(candidate)),
            (None, true, _) => Choice::Busy,
            (None, false, Some(until)) => Choice::OpenUntil(until),
            (None, false, None) => Choice::Absent,
        }
    }

    /// Back ends that may serve a queue, whatever their load.
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
        let staying = self.routes.web_of(group).filter(|web| !web.leaving);
        staying.enumerate().map(|(index, web)| Candidate {
            place: Place::Web(web.backend.clone()),
            backend: &web.backend,
            incarnation: web.incarnation,
            zone: &web.zone,
            concurrency: WEB_CONCURRENCY,
            identity: index as u64,
            route: Route::Web(web),
        })
    }

    /// Serves the queues of a model or group until its places or its waiting requests run out.
    pub(crate) fn serve(&mut self, queue: &QueueKey, step: &mut Step) {
        if !self.lease.is_fresh(step.now) {
            return;
        }
        let mut blocked = Vec::new();
        while let Some((key, number)) = self.queues.next_of_service(queue, &blocked) {
            if !self.serve_one(number, step) {
                blocked.push(key);
            }
        }
    }

    /// Dispatches a waiting request if there is a place. False if there is none.
    fn serve_one(&mut self, number: RequestNumber, step: &mut Step) -> bool {
        let Some(request) = self.table.get(number) else {
            return false;
        };
        let Some(seat) = self.find_seat(request, step.now) else {
            return false;
        };
        self.queues.remove(request, true);
        self.dispatch(number, seat, step);
        true
    }

    /// Sends an attempt of a request that is in no queue. The caller checked lease and deadline
    /// in this step; the host checks `send_before` once more before it writes.
    pub(crate) fn dispatch(&mut self, number: RequestNumber, seat: Seat, step: &mut Step) {
        let attempt = Attempt {
            place: seat.place.clone(),
            backend: seat.backend.clone(),
            incarnation: seat.incarnation,
            version: seat.slot.as_ref().map(|(_, version)| version.clone()),
            first_byte: false,
        };
        self.load.started(&seat.place);
        self.circuits.dispatched(&seat.backend, seat.incarnation);
        self.table.update(number, |request| {
            request.attempt_started(attempt, step.now);
        });
        let Some(request) = self.table.get(number) else {
            return;
        };
        self.demand.dispatched(&request.queue);
        self.decisions.counters.dispatches += 1;
        let attempt = request.attempts.len() as u32;
        if attempt == 1 {
            self.budget.first_attempt();
        } else {
            self.decisions.counters.retries += 1;
        }
        step.outputs
            .push(RoutingOutput::Dispatch(Box::new(Dispatch {
                request: number,
                attempt,
                tenant: request.tenant.clone(),
                urgency: request.urgency,
                backend: seat.backend,
                incarnation: seat.incarnation,
                address: seat.address,
                slot: seat.slot,
                resume_from: request.tokens,
                send_before: self.lease.end().min(request.deadline),
                deadline: request.deadline,
                record: request.claim.is_some(),
            })));
    }

    /// An attempt no longer holds its place.
    pub(crate) fn release(&mut self, queue: &QueueKey, attempt: &Attempt) {
        self.load.ended(&attempt.place);
        self.demand.ended(queue);
    }
}

/// Whether a replica may serve a queue.
fn serves(replica: &ReplicaRoute, queue: &QueueKey) -> bool {
    let QueueKey::Model {
        adapter, version, ..
    } = queue
    else {
        return false;
    };
    replica.phase == ReplicaPhase::Loaded
        && !replica.leaving
        // A prefill engine only fills caches for others; it gives no answers.
        && replica.role != EngineRole::Prefill
        && adapter.as_ref().is_none_or(|adapter| replica.adapters.contains(adapter))
        && version.as_ref().is_none_or(|version| replica.version == *version)
}

fn replica_candidate(replica: &ReplicaRoute) -> Candidate<'_> {
    Candidate {
        place: Place::Slot(replica.slot),
        backend: &replica.backend,
        incarnation: replica.incarnation,
        zone: &replica.zone,
        concurrency: replica.concurrency,
        identity: replica.slot.0,
        route: Route::Replica(replica),
    }
}

fn has_tried(earlier: &[AttemptRecord], backend: &BackendName) -> bool {
    earlier.iter().any(|attempt| attempt.backend == *backend)
}

/// The best of the candidates with room.
fn best(ranked: Vec<Ranked<'_>>, affinity: u64) -> Option<Candidate<'_>> {
    let class = ranked.iter().map(|entry| entry.class).min()?;
    let in_class = || ranked.iter().filter(|entry| entry.class == class);
    let least = in_class().map(|entry| entry.load).min()?;
    let slack = match in_class().next()?.candidate.route {
        Route::Replica(_) => LOCALITY_SLACK,
        Route::Web(_) => 0,
    };
    ranked
        .into_iter()
        .filter(|entry| entry.class == class && entry.load <= least.saturating_add(slack))
        .map(|entry| entry.candidate)
        .max_by_key(|candidate| rendezvous(affinity, candidate.identity))
}

/// Weight of a place for an affinity: the finalizer of the SplitMix64 generator.
fn rendezvous(affinity: u64, identity: u64) -> u64 {
    let mut mixed = affinity ^ identity.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn seat(candidate: Candidate<'_>) -> Seat {
    let (address, slot) = match candidate.route {
        Route::Replica(replica) => (
            replica.address.clone(),
            Some((replica.slot, replica.version.clone())),
        ),
        Route::Web(web) => (web.address.clone(), None),
    };
    Seat {
        place: candidate.place,
        backend: candidate.backend.clone(),
        incarnation: candidate.incarnation,
        address,
        slot,
    }
}
