//! Runs that end under this gateway's requests, and requests that are held back for it.
//!
//! A broken connection alone proves nothing: an instance may break single answers off. A run has ended when its
//! address refuses connections or another run answers there; the gateway looks after each break. What was in flight
//! at that time is told to the leader, which adds up the words of all gateways. While no leader answers, the
//! gateway goes by the leader's last word and by what it sees itself.

use millpass_proto::{
    CrashReport, CrashUpdate, Duration, InstanceCrash, InstanceId, RequestFingerprint, Timestamp,
};
use millpass_quarantine::Quarantine;
use std::collections::{BTreeMap, BTreeSet};

/// Time between a break and the end of the run that explains it. Connections of one run break together, and an
/// ended run refuses the next connection at once; two round trips and a busy gateway lie between.
const BREAK_TIME: Duration = Duration::from_millis(1_500);
/// Time for which ends are remembered, to be told to the next leader.
const REMEMBERED_TIME: Duration = Duration::from_secs(600);
/// Most ended runs remembered; the oldest is forgotten first.
const MAXIMUM_REMEMBERED: usize = 64;
/// Most requests remembered of one run.
const MAXIMUM_REQUESTS: usize = 512;

#[derive(Default)]
struct Breaks {
    requests: Vec<RequestFingerprint>,
    last_at: Timestamp,
}

struct Ended {
    at: Timestamp,
    requests: Vec<RequestFingerprint>,
    /// Requests of it that were told on this connection.
    told: usize,
    /// Whether its end was told on this connection.
    is_told: bool,
}

impl Ended {
    /// Whether the leader has yet to be told something of it.
    fn has_news(&self) -> bool {
        !self.is_told || self.told < self.requests.len()
    }
}

/// What this gateway knows of ends.
#[derive(Default)]
pub(crate) struct CrashWatch {
    /// Sends that broke lately, by run.
    breaks: BTreeMap<InstanceId, Breaks>,
    /// Runs to look at.
    to_probe: BTreeSet<InstanceId>,
    ended: BTreeMap<InstanceId, Ended>,
    /// Requests answered whole of which something is known, not told yet.
    served: Vec<RequestFingerprint>,
    /// What this gateway saw itself.
    seen: Quarantine<RequestFingerprint>,
    /// The leader's last word: until when each request is held back; none if it is sent apart instead.
    told: BTreeMap<RequestFingerprint, Option<Timestamp>>,
    /// Whether a leader has spoken on the connection there is.
    connected: bool,
    term: u64,
}

impl CrashWatch {
    /// A send broke before its answer was whole.
    pub(crate) fn broke(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        request: &RequestFingerprint,
    ) {
        if *request == RequestFingerprint::UNKNOWN {
            return;
        }
        if self.ended.contains_key(instance) {
            return self.add_to_end(now, instance, vec![request.clone()]);
        }
        self.breaks
            .retain(|_, breaks| now.since(breaks.last_at) < BREAK_TIME);
        let breaks = self.breaks.entry(instance.clone()).or_default();
        breaks.last_at = now;
        if breaks.requests.len() < MAXIMUM_REQUESTS && !breaks.requests.contains(request) {
            breaks.requests.push(request.clone());
        }
        self.to_probe.insert(instance.clone());
    }

    /// Runs to look at now.
    pub(crate) fn take_probes(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.to_probe).into_iter().collect()
    }

    /// The run has ended. What broke there shortly before was in flight.
    pub(crate) fn ended(&mut self, now: Timestamp, instance: &InstanceId) {
        self.to_probe.remove(instance);
        let breaks = self.breaks.remove(instance).unwrap_or_default();
        let in_time = now.since(breaks.last_at) < BREAK_TIME;
        if in_time && !breaks.requests.is_empty() {
            self.add_to_end(now, instance, breaks.requests);
        }
    }

    fn add_to_end(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        requests: Vec<RequestFingerprint>,
    ) {
        self.forget_old(now);
        let ended = self.ended.entry(instance.clone()).or_insert_with(|| Ended {
            at: now,
            requests: Vec::new(),
            told: 0,
            is_told: false,
        });
        for request in &requests {
            if ended.requests.len() < MAXIMUM_REQUESTS && !ended.requests.contains(request) {
                ended.requests.push(request.clone());
            }
        }
        self.seen.ended(now, instance, &requests);
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.ended
            .retain(|_, ended| now.since(ended.at) < REMEMBERED_TIME);
        if self.ended.len() < MAXIMUM_REMEMBERED {
            return;
        }
        let oldest = self.ended.iter().min_by_key(|(_, ended)| ended.at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.ended.remove(&instance);
        }
    }

    /// A request was answered whole: it does not end what runs it.
    pub(crate) fn served(&mut self, request: &RequestFingerprint) {
        let known = self.told.contains_key(request) || self.seen.knows(request);
        if !known {
            return;
        }
        self.forget(request);
        if !self.served.contains(request) {
            self.served.push(request.clone());
        }
    }

    fn forget(&mut self, request: &RequestFingerprint) {
        self.seen.release(request);
        for ended in self.ended.values_mut() {
            ended.requests.retain(|found| found != request);
            ended.told = ended.told.min(ended.requests.len());
        }
    }

    /// Whether there is something to tell the leader.
    pub(crate) fn is_report_due(&self) -> bool {
        !self.served.is_empty() || self.ended.values().any(Ended::has_news)
    }

    /// What to tell the leader, if anything.
    pub(crate) fn report(&mut self) -> Option<CrashReport> {
        if !self.is_report_due() {
            return None;
        }
        let mut runs = Vec::new();
        for (instance, ended) in &mut self.ended {
            if !ended.has_news() {
                continue;
            }
            runs.push(InstanceCrash {
                instance: instance.clone(),
                requests: ended.requests[ended.told..].to_vec(),
            });
            ended.told = ended.requests.len();
            ended.is_told = true;
        }
        Some(CrashReport {
            crashes: runs,
            served: std::mem::take(&mut self.served),
        })
    }

    /// The connection to the leader ended: the next leader is told everything anew.
    pub(crate) fn disconnected(&mut self) {
        self.connected = false;
        for ended in self.ended.values_mut() {
            ended.told = 0;
            ended.is_told = false;
        }
    }

    /// Takes the leader's word. A request that it let go is not held back by what this gateway saw either.
    pub(crate) fn update(&mut self, now: Timestamp, update: &CrashUpdate) {
        if update.term < self.term {
            return;
        }
        // A new leader's first word may come before it has heard what gateways saw.
        let same_leader = self.connected && update.term == self.term;
        self.term = update.term;
        let before = std::mem::take(&mut self.told);
        for held in &update.requests {
            let until = now + Duration::from_millis(held.remaining_millis);
            let until = (held.remaining_millis > 0).then_some(until);
            self.told.insert(held.request.clone(), until);
        }
        for (request, until) in before {
            if same_leader && until.is_some() && !self.told.contains_key(&request) {
                self.forget(&request);
            }
        }
        self.connected = true;
    }

    /// How much longer a request is held back.
    pub(crate) fn held_for(
        &self,
        now: Timestamp,
        request: &RequestFingerprint,
    ) -> Option<Duration> {
        let told = self.told.get(request).copied().flatten();
        let told = told.filter(|until| now < *until);
        if let Some(until) = told {
            return Some(until.since(now));
        }
        // With a leader at hand its word counts: it knows more than one gateway sees.
        if self.connected {
            return None;
        }
        self.seen.held_for(now, request)
    }

    /// Whether a request is to be sent apart from others.
    pub(crate) fn is_suspect(&self, request: &RequestFingerprint) -> bool {
        self.told.contains_key(request) || self.seen.is_suspect(request)
    }

    /// Requests held back by the leader's word.
    pub(crate) fn held_count(&self) -> usize {
        self.told.values().flatten().count()
    }
}
