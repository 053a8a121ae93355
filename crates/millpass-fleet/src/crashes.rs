//! Quarantine of requests and loads that crash instances. Gateways report ended process runs and
//! the requests in flight there, and the leader combines the reports. Quarantined requests are sent
//! to every gateway and, once confirmed, recorded in the log.

use crate::demand::ModelKey;
use crate::fleet::Fleet;
use crate::interface::FleetOutput;
use crate::part_crashes;
use millpass_proto::{
    CrashReport, CrashUpdate, Duration, HeldModel, InstanceId, InstructionOperation,
    QuarantineRecord, QuarantinedRequest, RequestFingerprint, ServiceName, Timestamp,
};
use millpass_quarantine::{PartQuarantine, PartQuarantineSettings, Quarantine, QuarantinedItem};

/// Time after a reported crash from which an announcement proves that the instance is alive.
/// Earlier ones may have been sent before the crash.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(400);

/// Requests and loads to which crashes are attributed.
pub(crate) struct CrashTracker {
    requests: Quarantine<RequestFingerprint>,
    pub(crate) parts: PartQuarantine,
    /// Evidence about parts has been reported since they were last judged.
    pub(crate) are_parts_unjudged: bool,
    pub(crate) parts_judged_at: Timestamp,
    /// Loads of models and adapters.
    loads: Quarantine<ModelKey>,
}

impl CrashTracker {
    pub(crate) fn new(parts: PartQuarantineSettings) -> Self {
        CrashTracker {
            requests: Quarantine::default(),
            parts: PartQuarantine::new(parts),
            are_parts_unjudged: false,
            parts_judged_at: Timestamp::ZERO,
            loads: Quarantine::default(),
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.requests.revision() + self.parts.revision()
    }

    pub(crate) fn is_load_quarantined(&self, now: Timestamp, key: &ModelKey) -> bool {
        self.loads.quarantined_for(now, key).is_some()
    }

    fn update(&self, now: Timestamp, term: u64) -> CrashUpdate {
        let quarantined = self
            .requests
            .quarantined()
            .filter(|(_, item)| !item.expired);
        let quarantined = quarantined.map(|(request, item)| QuarantinedRequest {
            request: request.clone(),
            remaining_millis: item.until.since(now).as_millis().max(1) as u64,
        });
        let suspects = self.requests.suspects().map(|request| QuarantinedRequest {
            request: request.clone(),
            remaining_millis: 0,
        });
        CrashUpdate {
            term,
            requests: quarantined.chain(suspects).collect(),
            refused_parts: part_crashes::in_force(&self.parts, now),
            suspect_parts: self.parts.suspects().iter().cloned().collect(),
            watched_parts: self.parts.watched(),
        }
    }
}

impl Fleet {
    /// Restores quarantined requests recorded in the log.
    pub(crate) fn restore_quarantined(
        &mut self,
        now: Timestamp,
        records: impl Iterator<Item = QuarantineRecord>,
    ) {
        for record in records {
            let requests = &mut self.crashes.requests;
            requests.restore(now, record.request, record.crashes, record.expired);
        }
    }

    /// Applies a gateway's report of ended process runs. The end of a draining instance is expected
    /// and not attributed to its requests.
    pub fn handle_crash_report(&mut self, now: Timestamp, report: &CrashReport) {
        self.handle_part_report(now, report);
        for request in &report.served {
            if self.crashes.requests.release(request) {
                self.log_released(request, "served");
                self.out.push(FleetOutput::LiftQuarantine(request.clone()));
            }
        }
        for crash in &report.crashes {
            let record = self.registry.get(&crash.instance);
            if record.is_some_and(|record| record.draining) {
                continue;
            }
            if self.crashes.requests.crashed_at(&crash.instance).is_none() {
                let pairs = vec![
                    ("instance", crash.instance.0.clone()),
                    ("requests", crash.requests.len().to_string()),
                ];
                self.event("instance-ended", pairs);
                self.attribute_crash_to_load(now, &crash.instance);
            }
            // The requests beside a part that caused the crash did not.
            if self.crashes.parts.is_explained(&crash.instance) {
                continue;
            }
            let requests = &mut self.crashes.requests;
            requests.record_crash(now, &crash.instance, &crash.requests);
            self.log_quarantined(now, &crash.requests);
        }
    }

    /// Withdraws the crash of an instance that announces itself: the gateway's connection was
    /// refused for another reason.
    pub(crate) fn record_survival(&mut self, now: Timestamp, instance: &InstanceId) {
        self.record_survival_for_parts(now, instance);
        let ended_at = self.crashes.requests.crashed_at(instance);
        if ended_at.is_none_or(|at| now.since(at) < SURVIVAL_TIME) {
            return;
        }
        if self.crashes.requests.retract_crash(now, instance) {
            let pairs = vec![("instance", instance.0.clone())];
            self.event("instance-still-there", pairs);
        }
        self.crashes.loads.retract_crash(now, instance);
    }

    /// Attributes the end of an engine to the load it was carrying out.
    pub(crate) fn attribute_crash_to_load(&mut self, now: Timestamp, instance: &InstanceId) {
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
        let was_quarantined = self.crashes.is_load_quarantined(now, &key);
        let loads = &mut self.crashes.loads;
        loads.record_crash(now, instance, std::slice::from_ref(&key));
        if !was_quarantined && self.crashes.is_load_quarantined(now, &key) {
            let adapter = key.adapter.as_ref().map_or("none", |name| name.as_str());
            let pairs = vec![
                ("service", key.service.0.clone()),
                ("model", key.model.0.clone()),
                ("adapter", adapter.to_owned()),
            ];
            self.event("load-held-back", pairs);
        }
    }

    /// Releases models and adapters that an engine has loaded.
    pub(crate) fn release_held_models(&mut self, service: &ServiceName, models: &[HeldModel]) {
        if self.crashes.loads.is_empty() {
            return;
        }
        for held_model in models {
            let adapters = held_model
                .adapters
                .iter()
                .map(|adapter| Some(adapter.clone()));
            for adapter in std::iter::once(None).chain(adapters) {
                let model = held_model.model.clone();
                let service = service.clone();
                self.crashes.loads.release(&ModelKey {
                    service,
                    model,
                    adapter,
                });
            }
        }
    }

    /// Withdraws the crashes of instances from all requests: a part of a prompt caused them.
    pub(crate) fn retract_request_crashes(
        &mut self,
        now: Timestamp,
        instances: impl Iterator<Item = InstanceId>,
    ) {
        for instance in instances {
            self.crashes.requests.retract_crash(now, &instance);
        }
    }

    /// Releases a request on an operator's behalf. Returns false if it was neither quarantined nor
    /// suspected.
    pub fn lift_quarantine(&mut self, request: &RequestFingerprint) -> bool {
        let was_quarantined = self.crashes.requests.release(request);
        if was_quarantined {
            self.log_released(request, "operator");
        }
        was_quarantined
    }

    /// Returns the quarantined requests with the number of attributed crashes and the remaining
    /// time, which is zero after the quarantine has expired.
    pub fn quarantined_requests(&self, now: Timestamp) -> Vec<(RequestFingerprint, u32, Duration)> {
        let quarantined = self.crashes.requests.quarantined();
        quarantined
            .map(|(request, item)| (request.clone(), item.crashes, item.until.since(now)))
            .collect()
    }

    /// Records confirmed requests in the log and releases those whose quarantine has expired.
    pub(crate) fn expire_quarantine(&mut self, now: Timestamp) {
        let confirmed_after = self.settings.announce_interval * 3 / 2;
        for (request, item) in self.crashes.requests.confirm(now, confirmed_after) {
            self.output_quarantined(request, &item);
        }
        for (request, item) in self.crashes.requests.expire(now) {
            self.log_released(&request, "time");
            self.output_quarantined(request, &item);
        }
        self.crashes.loads.expire(now);
        self.expire_refused_parts(now);
    }

    fn output_quarantined(&mut self, request: RequestFingerprint, item: &QuarantinedItem) {
        self.out
            .push(FleetOutput::QuarantineRequest(QuarantineRecord {
                request,
                crashes: item.crashes,
                expired: item.expired,
            }));
    }

    fn log_released(&mut self, request: &RequestFingerprint, reason: &str) {
        let pairs = vec![
            ("fingerprint", request.to_string()),
            ("reason", reason.to_owned()),
        ];
        self.event("request-lifted", pairs);
    }

    fn log_quarantined(&mut self, now: Timestamp, requests: &[RequestFingerprint]) {
        for request in requests {
            let Some(remaining) = self.crashes.requests.quarantined_for(now, request) else {
                continue;
            };
            let pairs = vec![
                ("fingerprint", request.to_string()),
                ("held_ms", remaining.as_millis().to_string()),
            ];
            self.event("request-held-back", pairs);
        }
    }

    /// Sends the quarantined requests to gateways if they have changed.
    pub(crate) fn send_crash_updates(&mut self, now: Timestamp) {
        let revision = self.crashes.revision();
        let interval = self.gateways.update_interval(self.slowdown);
        let mut update = None;
        for (connection, session) in &mut self.gateways.sessions {
            let is_backlogged = session.backlogged_since.is_some();
            if is_backlogged || !session.crashes.mark_sent_if_due(now, interval, revision) {
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
