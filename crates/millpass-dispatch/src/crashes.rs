//! Crashes attributed to this gateway's requests, and requests quarantined for them.
//!
//! A broken connection is no proof of a crash: a process run has ended when its address refuses
//! connections or another run responds there, so the gateway probes after each broken connection.

use crate::parts::{PartSettings, PartTracker};
use crate::request::SendRecord;
use millpass_proto::{
    CrashReport, CrashUpdate, CrashedPrompt, Duration, InstanceCrash, InstanceId, PromptCrash,
    RequestFingerprint, ServiceName, Timestamp,
};
use millpass_quarantine::Quarantine;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time between a broken send and the end of the run that explains it. Connections of one run
/// break together, and an ended run refuses the next connection at once; covers two round trips and a
/// busy gateway.
const BREAK_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which ended runs are kept, to be reported to the next leader.
const RETENTION: Duration = Duration::from_secs(600);
/// Most ended runs kept; the oldest is evicted first.
const MAX_ENDED_RUNS: usize = 64;
/// Most requests kept of one run.
const MAX_REQUESTS_PER_RUN: usize = 512;

#[derive(Default)]
struct BrokenSends {
    requests: Vec<RequestFingerprint>,
    /// Prompts whose responses had not begun, or only shortly before.
    prompts: Vec<CrashedPrompt>,
    last_at: Timestamp,
}

impl BrokenSends {
    fn add(&mut self, request: RequestFingerprint, prompt: Option<CrashedPrompt>) {
        let has_room = self.requests.len() < MAX_REQUESTS_PER_RUN;
        if has_room && !self.requests.contains(&request) {
            self.requests.push(request);
        }
        if self.prompts.len() < MAX_REQUESTS_PER_RUN {
            self.prompts.extend(prompt);
        }
    }
}

struct EndedRun {
    at: Timestamp,
    service: ServiceName,
    requests: Vec<RequestFingerprint>,
    prompts: Vec<CrashedPrompt>,
    /// Number of its requests, and of its prompts, reported on this connection.
    reported: usize,
    reported_prompts: usize,
    /// Set once the end has been reported on this connection.
    is_reported: bool,
}

impl EndedRun {
    /// Returns true if something has not been reported to the leader.
    fn has_unreported(&self) -> bool {
        !self.is_reported
            || self.reported < self.requests.len()
            || self.reported_prompts < self.prompts.len()
    }

    /// Returns the prompts that have not been reported to the leader, if any.
    fn take_prompts(&mut self, now: Timestamp, instance: &InstanceId) -> Option<PromptCrash> {
        let prompts = self.prompts[self.reported_prompts..].to_vec();
        self.reported_prompts = self.prompts.len();
        // A crash without such prompts shows that it coincided with others.
        let is_due = !prompts.is_empty() || !self.is_reported;
        is_due.then(|| PromptCrash {
            instance: instance.clone(),
            service: self.service.clone(),
            age_millis: now.since(self.at).as_millis() as u64,
            prompts,
        })
    }
}

/// Crashes observed by this gateway, and quarantine decisions of the leader.
pub(crate) struct CrashTracker {
    pub(crate) parts: PartTracker,
    /// Recently broken sends of each run.
    broken_sends: BTreeMap<InstanceId, BrokenSends>,
    to_probe: BTreeSet<InstanceId>,
    ended: BTreeMap<InstanceId, EndedRun>,
    /// Completed requests that were suspect, not reported yet.
    served: Vec<RequestFingerprint>,
    /// Observations of this gateway.
    local: Quarantine<RequestFingerprint>,
    /// Last decision of the leader: end of quarantine by request; none if the request is only
    /// suspect.
    by_leader: BTreeMap<RequestFingerprint, Option<Timestamp>>,
    /// Set once a leader has sent an update on the current connection.
    connected: bool,
    term: u64,
}

impl CrashTracker {
    pub(crate) fn new(parts: PartSettings) -> Self {
        CrashTracker {
            parts: PartTracker::new(parts),
            broken_sends: BTreeMap::new(),
            to_probe: BTreeSet::new(),
            ended: BTreeMap::new(),
            served: Vec::new(),
            local: Quarantine::default(),
            by_leader: BTreeMap::new(),
            connected: false,
            term: 0,
        }
    }

    /// Records a send whose connection broke before the response was complete.
    pub(crate) fn record_broken_send(&mut self, now: Timestamp, record: &SendRecord) {
        let instance = &record.instance;
        if record.fingerprint == RequestFingerprint::UNKNOWN {
            return;
        }
        let prompt = self.parts.crashed_prompt(now, record);
        if self.ended.contains_key(instance) {
            let mut broken = BrokenSends {
                last_at: now,
                ..BrokenSends::default()
            };
            broken.add(record.fingerprint.clone(), prompt);
            return self.attribute_crash(now, instance, &record.service, broken);
        }
        self.broken_sends
            .retain(|_, broken| now.since(broken.last_at) < BREAK_WINDOW);
        let broken = self.broken_sends.entry(instance.clone()).or_default();
        broken.last_at = now;
        broken.add(record.fingerprint.clone(), prompt);
        self.to_probe.insert(instance.clone());
    }

    /// Returns and clears the runs to probe.
    pub(crate) fn take_probes(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.to_probe).into_iter().collect()
    }

    /// Records the end of a run, and attributes it to the requests whose connections broke shortly
    /// before.
    pub(crate) fn record_run_end(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        service: &ServiceName,
    ) {
        self.to_probe.remove(instance);
        let broken = self.broken_sends.remove(instance).unwrap_or_default();
        let is_recent = now.since(broken.last_at) < BREAK_WINDOW;
        if is_recent && !broken.requests.is_empty() {
            self.attribute_crash(now, instance, service, broken);
        }
    }

    fn attribute_crash(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        service: &ServiceName,
        broken: BrokenSends,
    ) {
        self.evict_old(now);
        let ended = self
            .ended
            .entry(instance.clone())
            .or_insert_with(|| EndedRun {
                at: broken.last_at,
                service: service.clone(),
                requests: Vec::new(),
                prompts: Vec::new(),
                reported: 0,
                reported_prompts: 0,
                is_reported: false,
            });
        for request in &broken.requests {
            if ended.requests.len() < MAX_REQUESTS_PER_RUN && !ended.requests.contains(request) {
                ended.requests.push(request.clone());
            }
        }
        let room = MAX_REQUESTS_PER_RUN.saturating_sub(ended.prompts.len());
        ended
            .prompts
            .extend(broken.prompts.iter().take(room).cloned());
        let crash = PromptCrash {
            instance: instance.clone(),
            service: service.clone(),
            age_millis: now.since(ended.at).as_millis() as u64,
            prompts: broken.prompts,
        };
        self.local.record_crash(now, instance, &broken.requests);
        self.parts.record_crash(now, &crash);
    }

    fn evict_old(&mut self, now: Timestamp) {
        self.ended
            .retain(|_, ended| now.since(ended.at) < RETENTION);
        if self.ended.len() < MAX_ENDED_RUNS {
            return;
        }
        let oldest = self.ended.iter().min_by_key(|(_, ended)| ended.at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.ended.remove(&instance);
        }
    }

    /// Records a complete response: the request does not crash instances.
    pub(crate) fn record_served(&mut self, request: &RequestFingerprint) {
        let is_suspect = self.by_leader.contains_key(request) || self.local.has_evidence(request);
        if !is_suspect {
            return;
        }
        self.clear_suspicion(request);
        if !self.served.contains(request) {
            self.served.push(request.clone());
        }
    }

    fn clear_suspicion(&mut self, request: &RequestFingerprint) {
        self.local.release(request);
        for ended in self.ended.values_mut() {
            ended.requests.retain(|found| found != request);
            ended.reported = ended.reported.min(ended.requests.len());
        }
    }

    /// Returns true if there is something to report to the leader.
    pub(crate) fn is_report_due(&self) -> bool {
        !self.served.is_empty() || self.ended.values().any(EndedRun::has_unreported)
    }

    /// Returns what to report to the leader, if anything.
    pub(crate) fn report(&mut self, now: Timestamp, gateways: u32) -> Option<CrashReport> {
        let served_parts = self.parts.take_served(now, gateways);
        let refused_parts = self.parts.take_refused(now);
        if !self.is_report_due() && served_parts.is_empty() && refused_parts.is_empty() {
            return None;
        }
        let mut runs = Vec::new();
        let mut prompts = Vec::new();
        for (instance, ended) in &mut self.ended {
            if !ended.has_unreported() {
                continue;
            }
            prompts.extend(ended.take_prompts(now, instance));
            runs.push(InstanceCrash {
                instance: instance.clone(),
                requests: ended.requests[ended.reported..].to_vec(),
            });
            ended.reported = ended.requests.len();
            ended.is_reported = true;
        }
        Some(CrashReport {
            crashes: runs,
            served: std::mem::take(&mut self.served),
            prompts,
            served_parts,
            refused_parts,
        })
    }

    /// Handles the end of the connection: everything is reported again to the next leader.
    pub(crate) fn disconnected(&mut self) {
        self.connected = false;
        self.parts.disconnected();
        for ended in self.ended.values_mut() {
            ended.reported = 0;
            ended.reported_prompts = 0;
            ended.is_reported = false;
        }
    }

    /// Applies the leader's decisions. A request that the leader released is also cleared locally.
    pub(crate) fn update(&mut self, now: Timestamp, update: &CrashUpdate) {
        if update.term < self.term {
            return;
        }
        self.parts.update(now, update);
        // A new leader's first update may precede the reports of the gateways.
        let same_leader = self.connected && update.term == self.term;
        self.term = update.term;
        let before = std::mem::take(&mut self.by_leader);
        for quarantined in &update.requests {
            let until = now + Duration::from_millis(quarantined.remaining_millis);
            let until = (quarantined.remaining_millis > 0).then_some(until);
            self.by_leader.insert(quarantined.request.clone(), until);
        }
        for (request, until) in before {
            if same_leader && until.is_some() && !self.by_leader.contains_key(&request) {
                self.clear_suspicion(&request);
            }
        }
        self.connected = true;
    }

    /// Returns the remaining quarantine of a request.
    pub(crate) fn quarantined_for(
        &self,
        now: Timestamp,
        request: &RequestFingerprint,
    ) -> Option<Duration> {
        let until = self.by_leader.get(request).copied().flatten();
        let until = until.filter(|until| now < *until);
        if let Some(until) = until {
            return Some(until.since(now));
        }
        // A connected leader decides, as it combines the reports of all gateways.
        if self.connected {
            return None;
        }
        self.local.quarantined_for(now, request)
    }

    /// Returns true if a request is to be separated from other suspects.
    pub(crate) fn is_suspect(&self, request: &RequestFingerprint) -> bool {
        self.by_leader.contains_key(request) || self.local.is_suspect(request)
    }

    /// Number of requests quarantined by the leader.
    pub(crate) fn quarantined_count(&self) -> usize {
        self.by_leader.values().flatten().count()
    }
}
