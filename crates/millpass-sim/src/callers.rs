//! Callers: an open loop with bursts, deadlines, streams and hang-ups. Requests that may not be
//! repeated are resent with the same claim key.

use crate::catalog::{self, ADAPTED_MODEL, PUBLISH_PATH, RESULTS_PATH};
use crate::clock::START_UNIX_MILLIS;
use crate::content::RunningDigest;
use crate::event::{AnswerPart, CallerEvent, CallerRequest, RouterEvent, SimEvent};
use crate::router_host::CALLER_MICROS;
use crate::settings::{MILLIS, SECONDS};
use crate::world::World;
use millpass_checkers::{AnswerOutcome, Event, RequestId, ScopedKey};
use millpass_proto::{AdapterName, ClaimKey, TenantName};
use millpass_routing::Target;
use std::collections::BTreeMap;

const SHORTEST_DEADLINE: u64 = 300 * MILLIS;
const LONGEST_DEADLINE: u64 = 5 * SECONDS;
const WEB_PERMILLE: u64 = 250;
const KEYED_PERMILLE: u64 = 150;
const ADAPTER_PERMILLE: u64 = 400;
const STREAM_PERMILLE: u64 = 600;
const HANG_UP_PERMILLE: u64 = 40;
const DUPLICATE_PERMILLE: u64 = 300;
const REMOVED_TENANT_PERMILLE: u64 = 120;
const HANG_UP_MICROS: u64 = 400 * MILLIS;
const MAXIMUM_RESENDS: u32 = 3;
const RESEND_PAUSE: u64 = 500 * MILLIS;
const LONGEST_ANSWER: u64 = 48;
const BURST_SPREAD: u64 = 30 * MILLIS;

/// A request accepted by a router and not ended.
struct InFlight {
    request: CallerRequest,
    router: usize,
    received: u64,
    digest: RunningDigest,
}

/// State of all callers.
#[derive(Default)]
pub struct Callers {
    in_flight: BTreeMap<RequestId, InFlight>,
    next_request: u64,
    next_key: u64,
    sent: BTreeMap<RequestId, CallerRequest>,
}

impl Callers {
    /// Records the router that accepted a request.
    pub fn record_accepted(&mut self, request: RequestId, router: usize) {
        if let Some(sent) = self.sent.remove(&request) {
            let in_flight = InFlight {
                request: sent,
                router,
                received: 0,
                digest: RunningDigest::default(),
            };
            self.in_flight.insert(request, in_flight);
        }
    }

    fn next_request_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    fn new_key(&mut self, tenant: &TenantName) -> ScopedKey {
        self.next_key += 1;
        ScopedKey {
            tenant: tenant.clone(),
            key: ClaimKey(format!("key-{}", self.next_key)),
        }
    }
}

impl World {
    /// Handles an event of the callers.
    pub(crate) fn caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Next => self.send_next_request(),
            CallerEvent::Burst(model) => self.burst(model),
            CallerEvent::Send(request) => self.send_request(*request),
            CallerEvent::Answer(request, part) => self.receive_answer_part(request, &part),
            CallerEvent::Ended(request, outcome) => self.complete_caller_request(request, outcome),
            CallerEvent::HangUp(request) => self.hang_up(request),
        }
    }

    fn send_next_request(&mut self) {
        let pause = self.workload.below(2 * self.settings.load.request_interval) + 1;
        let at = self.now + pause;
        // Stops early enough for the last requests to end before the run does.
        if at + LONGEST_DEADLINE < self.settings.times.run_end {
            self.queue.push(at, SimEvent::Caller(CallerEvent::Next));
        }
        let request = self.random_request();
        self.send_with_duplicate(request);
    }

    /// Sends a request; one with a claim key is sometimes sent twice at once.
    fn send_with_duplicate(&mut self, request: CallerRequest) {
        if request.key.is_some() && self.workload.chance(DUPLICATE_PERMILLE) {
            let copy = CallerRequest {
                id: self.callers.next_request_id(),
                ..request.clone()
            };
            self.send_request(copy);
        }
        self.send_request(request);
    }

    fn burst(&mut self, model: usize) {
        for _ in 0..self.settings.load.burst_requests {
            let target = Target::Model {
                model: catalog::model(model),
                adapter: None,
                kind: "completion",
                prefix_hash: self.workload.number(),
            };
            let request = self.request_for(target, false);
            let at = self.now + self.workload.below(BURST_SPREAD);
            let send = CallerEvent::Send(Box::new(request));
            self.queue.push(at, SimEvent::Caller(send));
        }
    }

    fn random_request(&mut self) -> CallerRequest {
        if self.workload.chance(WEB_PERMILLE) {
            let keyed = self.workload.chance(500);
            let path = if keyed { PUBLISH_PATH } else { RESULTS_PATH };
            let target = Target::Web {
                path: path.to_owned(),
                safe_method: !keyed,
            };
            return self.request_for(target, keyed);
        }
        let model = self.workload.index(self.settings.sizes.models);
        let adapted = model == ADAPTED_MODEL && self.workload.chance(ADAPTER_PERMILLE);
        let adapter = adapted.then(|| self.random_adapter());
        let target = Target::Model {
            model: catalog::model(model),
            adapter,
            kind: "completion",
            prefix_hash: self.workload.below(8),
        };
        let keyed = self.workload.chance(KEYED_PERMILLE);
        self.request_for(target, keyed)
    }

    fn random_adapter(&mut self) -> AdapterName {
        let adapters = self.settings.sizes.adapters;
        let number = if adapters > 1 {
            self.workload.index(adapters)
        } else {
            0
        };
        catalog::adapter(number)
    }

    fn request_for(&mut self, target: Target, keyed: bool) -> CallerRequest {
        let random = &mut self.workload;
        let tenant = if random.chance(REMOVED_TENANT_PERMILLE) {
            catalog::removed_tenant(random.index(catalog::REMOVED_TENANTS))
        } else {
            catalog::tenant(random.index(catalog::TENANTS))
        };
        let key = keyed.then(|| self.callers.new_key(&tenant));
        let web = matches!(target, Target::Web { .. });
        let hangs_up = !keyed && random.chance(HANG_UP_PERMILLE);
        CallerRequest {
            id: self.callers.next_request_id(),
            api_key: catalog::api_key(&tenant),
            tenant,
            target,
            timeout_micros: random.between(SHORTEST_DEADLINE, LONGEST_DEADLINE),
            sent_at: 0,
            stream: !web && !keyed && random.chance(STREAM_PERMILLE),
            length: if web {
                1
            } else {
                random.between(1, LONGEST_ANSWER)
            },
            key,
            key_created_unix_millis: START_UNIX_MILLIS + self.now / MILLIS,
            resends: if keyed { MAXIMUM_RESENDS } else { 0 },
            hang_up_after: hangs_up.then(|| random.between(1, HANG_UP_MICROS)),
        }
    }

    /// Sends a request to a random router that accepts requests.
    fn send_request(&mut self, mut request: CallerRequest) {
        let listening: Vec<usize> = (0..self.routers.len())
            .filter(|router| self.routers[*router].listens())
            .collect();
        let Some(router) = listening.get(self.workload.index(listening.len())).copied() else {
            return;
        };
        request.sent_at = self.now;
        if let Some(after) = request.hang_up_after {
            let hang_up = CallerEvent::HangUp(request.id);
            self.queue.push(self.now + after, SimEvent::Caller(hang_up));
        }
        self.callers.sent.insert(request.id, request.clone());
        let event = RouterEvent::Request(Box::new(request));
        self.router_later(router, CALLER_MICROS, event);
    }

    fn receive_answer_part(&mut self, request: RequestId, part: &AnswerPart) {
        let Some(in_flight) = self.callers.in_flight.get_mut(&request) else {
            return;
        };
        in_flight.digest.extend(&part.tokens);
        in_flight.received += part.tokens.len() as u64;
        if part.last {
            let digest = in_flight.digest.value();
            self.complete_caller_request(request, AnswerOutcome::Whole(digest));
        }
    }

    fn complete_caller_request(&mut self, request: RequestId, outcome: AnswerOutcome) {
        let Some(in_flight) = self.callers.in_flight.remove(&request) else {
            return;
        };
        if matches!(outcome, AnswerOutcome::Whole(_)) {
            self.statistics.whole_answers += 1;
        } else {
            self.resend(in_flight.request);
        }
        self.record(Event::RequestEnded { request, outcome });
    }

    /// Resends a request with a claim key, as a new request with the same key.
    fn resend(&mut self, request: CallerRequest) {
        if request.resends == 0 {
            return;
        }
        let resend = CallerRequest {
            id: self.callers.next_request_id(),
            resends: request.resends - 1,
            ..request
        };
        let at = self.now + 1 + self.workload.below(RESEND_PAUSE);
        if at + LONGEST_DEADLINE < self.settings.times.run_end {
            let send = CallerEvent::Send(Box::new(resend));
            self.queue.push(at, SimEvent::Caller(send));
        }
    }

    fn hang_up(&mut self, request: RequestId) {
        let Some(in_flight) = self.callers.in_flight.remove(&request) else {
            return;
        };
        let outcome = AnswerOutcome::CallerGone;
        self.record(Event::RequestEnded { request, outcome });
        let gone = RouterEvent::CallerGone(request);
        self.router_later(in_flight.router, CALLER_MICROS, gone);
    }
}
