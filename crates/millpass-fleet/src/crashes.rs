//! Requests, and loads, that end the instances that run them.
//!
//! Gateways say which runs ended and what of theirs was in flight there; the leader adds up the words of all of
//! them. What it holds back is told to every gateway and, once certain, kept in the log.

use crate::demand::ModelKey;
use crate::fleet::Fleet;
use crate::interface::FleetOutput;
use millpass_proto::{
    CrashReport, CrashUpdate, Duration, HeldModel, InstanceId, InstructionOperation,
    QuarantineRecord, QuarantinedRequest, RequestFingerprint, ServiceName, Timestamp,
};
use millpass_quarantine::{HeldItem, Quarantine};

/// Time from which an announcement shows that a run said to have ended is there. One that was under way when
/// the run ended arrives before.
const SURVIVAL_TIME: Duration = Duration::from_millis(400);

/// What ends instances, as the leader knows it.
#[derive(Default)]
pub(crate) struct Crashes {
    /// Requests, over all gateways.
    requests: Quarantine<RequestFingerprint>,
    /// Loads of models and adapters.
    loads: Quarantine<ModelKey>,
}

impl Crashes {
    pub(crate) fn revision(&self) -> u64 {
        self.requests.revision()
    }

    /// Whether loads of this are held back.
    pub(crate) fn holds_load(&self, now: Timestamp, key: &ModelKey) -> bool {
        self.loads.held_for(now, key).is_some()
    }

    /// What gateways are told.
    fn update(&self, now: Timestamp, term: u64) -> CrashUpdate {
        let held = self.requests.held().filter(|(_, held)| !held.lapsed);
        let held = held.map(|(request, held)| QuarantinedRequest {
            request: request.clone(),
            remaining_millis: held.until.since(now).as_millis().max(1) as u64,
        });
        let suspects = self.requests.suspects().map(|request| QuarantinedRequest {
            request: request.clone(),
            remaining_millis: 0,
        });
        CrashUpdate {
            term,
            requests: held.chain(suspects).collect(),
        }
    }
}

impl Fleet {
    /// Begins with the requests that the log holds back.
    pub(crate) fn restore_held(
        &mut self,
        now: Timestamp,
        held: impl Iterator<Item = QuarantineRecord>,
    ) {
        for note in held {
            let requests = &mut self.crashes.requests;
            requests.restore(now, note.request, note.crashes, note.expired);
        }
    }

    /// Takes what a gateway saw of runs that ended. An instance that leaves ends as planned: that says nothing.
    pub fn crashes_reported(&mut self, now: Timestamp, report: &CrashReport) {
        for request in &report.served {
            if self.crashes.requests.release(request) {
                self.log_lifted(request, "served");
                self.out.push(FleetOutput::LiftRequest(request.clone()));
            }
        }
        for ended in &report.crashes {
            let leaves = self.registry.get(&ended.instance);
            if leaves.is_some_and(|record| record.draining) {
                continue;
            }
            if self.crashes.requests.ended_at(&ended.instance).is_none() {
                let pairs = vec![
                    ("instance", ended.instance.0.clone()),
                    ("requests", ended.requests.len().to_string()),
                ];
                self.event("instance-ended", pairs);
                self.load_ended(now, &ended.instance);
            }
            let requests = &mut self.crashes.requests;
            requests.ended(now, &ended.instance, &ended.requests);
            self.log_held(now, &ended.requests);
        }
    }

    /// An instance announces itself: it has not ended, whatever gateways took a refused connection for.
    pub(crate) fn survived(&mut self, now: Timestamp, instance: &InstanceId) {
        let ended_at = self.crashes.requests.ended_at(instance);
        if ended_at.is_none_or(|at| now.since(at) < SURVIVAL_TIME) {
            return;
        }
        if self.crashes.requests.survived(now, instance) {
            let pairs = vec![("instance", instance.0.clone())];
            self.event("instance-still-there", pairs);
        }
        self.crashes.loads.survived(now, instance);
    }

    /// An engine has ended: what it was loading may be the cause.
    pub(crate) fn load_ended(&mut self, now: Timestamp, instance: &InstanceId) {
        let Some(record) = self.registry.get(instance) else {
            return;
        };
        let engine = self.engines.engines.get(instance);
        let pending = engine.and_then(|engine| engine.pending.as_ref());
        let Some(pending) = pending else {
            return;
        };
        if record.draining || !pending.accepted || pending.operation != InstructionOperation::Load {
            return;
        }
        let key = ModelKey {
            service: record.service.clone(),
            model: pending.model.clone(),
            adapter: pending.adapter.clone(),
        };
        let held = self.crashes.holds_load(now, &key);
        let loads = &mut self.crashes.loads;
        loads.ended(now, instance, std::slice::from_ref(&key));
        if !held && self.crashes.holds_load(now, &key) {
            let adapter = key.adapter.as_ref().map_or("none", |name| name.as_str());
            let pairs = vec![
                ("service", key.service.0.clone()),
                ("model", key.model.0.clone()),
                ("adapter", adapter.to_owned()),
            ];
            self.event("load-held-back", pairs);
        }
    }

    /// An engine holds these models: they can be loaded.
    pub(crate) fn models_held(&mut self, service: &ServiceName, models: &[HeldModel]) {
        if self.crashes.loads.is_empty() {
            return;
        }
        for held in models {
            let adapters = held.adapters.iter().map(|adapter| Some(adapter.clone()));
            for adapter in std::iter::once(None).chain(adapters) {
                let model = held.model.clone();
                let service = service.clone();
                self.crashes.loads.release(&ModelKey {
                    service,
                    model,
                    adapter,
                });
            }
        }
    }

    /// Lets a request go, as an operator asked. False if nothing was held against it.
    pub fn lift(&mut self, request: &RequestFingerprint) -> bool {
        let known = self.crashes.requests.release(request);
        if known {
            self.log_lifted(request, "operator");
        }
        known
    }

    /// Requests that are held back, and how much longer.
    pub fn held_requests(&self, now: Timestamp) -> Vec<(RequestFingerprint, u32, Duration)> {
        let held = self.crashes.requests.held();
        held.map(|(request, held)| (request.clone(), held.ends, held.until.since(now)))
            .collect()
    }

    /// What is due by time: what became certain goes to the log, what has had its time is let go.
    pub(crate) fn sweep_crashes(&mut self, now: Timestamp) {
        let certain = self.settings.announce_interval * 3 / 2;
        for (request, held) in self.crashes.requests.settle(now, certain) {
            self.note_held(request, &held);
        }
        for (request, held) in self.crashes.requests.lapse(now) {
            self.log_lifted(&request, "time");
            self.note_held(request, &held);
        }
        self.crashes.loads.lapse(now);
    }

    fn note_held(&mut self, request: RequestFingerprint, held: &HeldItem) {
        self.out
            .push(FleetOutput::NoteHeldRequest(QuarantineRecord {
                request,
                crashes: held.ends,
                expired: held.lapsed,
            }));
    }

    fn log_lifted(&mut self, request: &RequestFingerprint, reason: &str) {
        let pairs = vec![
            ("fingerprint", request.to_string()),
            ("reason", reason.to_owned()),
        ];
        self.event("request-lifted", pairs);
    }

    fn log_held(&mut self, now: Timestamp, requests: &[RequestFingerprint]) {
        for request in requests {
            let Some(left) = self.crashes.requests.held_for(now, request) else {
                continue;
            };
            let pairs = vec![
                ("fingerprint", request.to_string()),
                ("held_ms", left.as_millis().to_string()),
            ];
            self.event("request-held-back", pairs);
        }
    }

    /// Tells gateways what is held back, when that has changed.
    pub(crate) fn update_crashes(&mut self, now: Timestamp) {
        let revision = self.crashes.revision();
        let interval = self.gateways.update_interval(self.pace);
        let mut update = None;
        for (connection, session) in &mut self.gateways.sessions {
            let behind = session.behind_since.is_some();
            if behind || !session.crashes.send(now, interval, revision) {
                continue;
            }
            let update = update.get_or_insert_with(|| self.crashes.update(now, self.term));
            self.out.push(FleetOutput::Crashes {
                connection: *connection,
                update: update.clone(),
            });
        }
    }
}
