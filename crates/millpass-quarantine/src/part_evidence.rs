//! Evidence about the parts of prompts: crashes at which a prompt with the part had only begun to be
//! responded to, and responses to prompts with it that crashed nothing.
//!
//! Both kinds carry the time at which they were observed, so that they may arrive in any order.

use millpass_proto::{
    CrashedPrompt, Duration, InstanceId, PromptPartKey, ServiceName, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of parts with evidence. An engine runs some hundred prompts of up to
/// [`MAXIMUM_PARTS_PER_PROMPT`] parts, so that a flood at one crash does not evict the parts of the
/// crashes before it.
pub const MAXIMUM_PARTS: usize = 16_384;
/// Maximum number of parts of a prompt that are considered.
pub const MAXIMUM_PARTS_PER_PROMPT: usize = 32;
/// Maximum number of prompts considered per crash.
pub const MAXIMUM_PROMPTS: usize = 256;
/// Maximum number of recorded crashes.
const MAXIMUM_CRASHES: usize = 256;
/// Time for which a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Crashes within this window of each other may share a cause, such as the loss of a rack; covers
/// network delay and scheduling delay at the gateways that report them.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(250);
/// Crashes within this window of the first of them are one moment: a rack is lost within it.
const MOMENT: Duration = Duration::from_millis(150);
/// Coincident crashes without the part that indicate another cause.
const COINCIDENCE_THRESHOLD: usize = 3;
/// Crashes from which a part that no instance responded to explains them better than one that is known to
/// be harmless.
const SUSPECT_CRASHES: usize = 2;
/// Time for which responses to a part are observed after its last crash.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// A crash at which a part was in flight.
#[derive(Clone, Debug)]
struct PartCrash {
    at: Timestamp,
    /// Prompts that had the part.
    prompts: BTreeSet<u64>,
}

/// What is known about a part.
#[derive(Clone, Debug, Default)]
struct PartEvidence {
    crashes: BTreeMap<InstanceId, PartCrash>,
    watched_since: Timestamp,
    last_crash_at: Timestamp,
    /// Newest moment at which a response shows that it does not crash instances.
    served_at: Option<Timestamp>,
}

/// A part that may explain crashes, over all tenants.
#[derive(Default)]
struct SuspectPart<'a> {
    crashes: BTreeSet<&'a InstanceId>,
    prompts: BTreeSet<u64>,
    is_served: bool,
}

impl<'a> SuspectPart<'a> {
    fn add(&mut self, evidence: &'a PartEvidence) {
        self.is_served |= evidence.served_at.is_some();
        self.crashes.extend(evidence.crashes.keys());
        let prompts = evidence.crashes.values().flat_map(|crash| &crash.prompts);
        self.prompts.extend(prompts);
    }

    /// Returns true if some of these prompts had the part, and no others.
    fn is_within(&self, prompts: &BTreeSet<u64>) -> bool {
        self.prompts.len() < prompts.len() && self.prompts.is_subset(prompts)
    }
}

/// An instance that crashed.
#[derive(Clone, Debug)]
struct Crash {
    service: ServiceName,
    at: Timestamp,
    /// Parts that are known to have caused it.
    cause: Option<BTreeSet<u64>>,
}

/// Crashes that are attributed to a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Attribution {
    /// When each instance crashed.
    pub(crate) crashes: BTreeMap<InstanceId, Timestamp>,
    /// Prompts that had the part at these crashes.
    pub(crate) prompts: BTreeSet<u64>,
}

impl Attribution {
    /// Adds the crashes of the same part in prompts of another tenant.
    pub(crate) fn merge(&mut self, other: Attribution) {
        self.crashes.extend(other.crashes);
        self.prompts.extend(other.prompts);
    }

    /// Number of separate moments, each with one crash or several coincident ones.
    pub(crate) fn moments(&self) -> u32 {
        let mut times: Vec<Timestamp> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut begun: Option<Timestamp> = None;
        for at in times {
            if begun.is_none_or(|begun| at.since(begun) > MOMENT) {
                begun = Some(at);
                moments += 1;
            }
        }
        moments
    }

    /// Number of crashes.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX)
    }

    /// When the newest of the crashes occurred.
    pub(crate) fn last_at(&self) -> Timestamp {
        let newest = self.crashes.values().max();
        newest.copied().unwrap_or_default()
    }
}

/// Evidence about all parts at recent crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartLedger {
    parts: BTreeMap<PromptPartKey, PartEvidence>,
    crashes: BTreeMap<InstanceId, Crash>,
    /// Instances by the time of their crash.
    by_time: BTreeSet<(Timestamp, InstanceId)>,
    revision: u64,
}

impl PartLedger {
    /// Records that an instance crashed with these prompts in flight; reports of the same crash are
    /// merged. Returns the time of the crash as first reported.
    pub(crate) fn record_crash(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        instance: &InstanceId,
        service: &ServiceName,
        prompts: &[CrashedPrompt],
    ) -> Timestamp {
        let at = self.add_crash(at, instance, service);
        for prompt in prompts.iter().take(MAXIMUM_PROMPTS) {
            for part in prompt.parts.iter().take(MAXIMUM_PARTS_PER_PROMPT) {
                let key = PromptPartKey {
                    service: service.clone(),
                    part: *part,
                    tenant: prompt.tenant.clone(),
                };
                self.add_part(now, at, instance, key, prompt.identity);
            }
        }
        at
    }

    /// Returns the time of the crash as first reported.
    fn add_crash(
        &mut self,
        at: Timestamp,
        instance: &InstanceId,
        service: &ServiceName,
    ) -> Timestamp {
        if let Some(known) = self.crashes.get(instance) {
            return known.at;
        }
        if self.crashes.len() >= MAXIMUM_CRASHES
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.crashes.remove(&oldest);
        }
        self.by_time.insert((at, instance.clone()));
        let crash = Crash {
            service: service.clone(),
            at,
            cause: None,
        };
        self.crashes.insert(instance.clone(), crash);
        at
    }

    fn add_part(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        instance: &InstanceId,
        key: PromptPartKey,
        prompt: u64,
    ) {
        if !self.parts.contains_key(&key) {
            self.evict_if_full();
            self.revision += 1;
        }
        let evidence = self.parts.entry(key).or_insert_with(|| PartEvidence {
            watched_since: now,
            ..PartEvidence::default()
        });
        evidence.last_crash_at = evidence.last_crash_at.max(at);
        let crash = evidence
            .crashes
            .entry(instance.clone())
            .or_insert_with(|| PartCrash {
                at,
                prompts: BTreeSet::new(),
            });
        if crash.prompts.len() < MAXIMUM_PROMPTS {
            crash.prompts.insert(prompt);
        }
    }

    /// Evicts the part with the fewest crashes, of these the one whose last crash is the oldest.
    fn evict_if_full(&mut self) {
        if self.parts.len() < MAXIMUM_PARTS {
            return;
        }
        let rank = |evidence: &PartEvidence| (evidence.crashes.len(), evidence.last_crash_at);
        let least = self
            .parts
            .iter()
            .min_by_key(|(_, evidence)| rank(evidence))
            .map(|(key, _)| key.clone());
        if let Some(key) = least {
            self.parts.remove(&key);
        }
    }

    /// Removes the crash of an instance that turned out to be running.
    pub(crate) fn retract_crash(&mut self, instance: &InstanceId) {
        if let Some(crash) = self.crashes.remove(instance) {
            self.by_time.remove(&(crash.at, instance.clone()));
        }
        for evidence in self.parts.values_mut() {
            evidence.crashes.remove(instance);
        }
    }

    /// Records that an instance responded to a prompt with a part, which crashed nothing up to `at`.
    /// Parts without a crash are not recorded.
    pub(crate) fn record_served(&mut self, key: &PromptPartKey, at: Timestamp) {
        let Some(evidence) = self.parts.get_mut(key) else {
            return;
        };
        evidence.served_at = evidence.served_at.max(Some(at));
    }

    /// Records which parts caused the crash of an instance.
    pub(crate) fn record_cause(&mut self, instance: &InstanceId, cause: &BTreeSet<u64>) {
        if let Some(crash) = self.crashes.get_mut(instance) {
            crash.cause = Some(cause.clone());
        }
    }

    /// Returns when an instance was first reported as crashed.
    pub(crate) fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        let crash = self.crashes.get(instance)?;
        Some(crash.at)
    }

    /// Returns true if the cause of an instance's crash is known.
    pub(crate) fn is_explained(&self, instance: &InstanceId) -> bool {
        let crash = self.crashes.get(instance);
        crash.is_some_and(|crash| crash.cause.is_some())
    }

    /// Returns the crashes attributed to a part: those that are not older than its last response, have
    /// no other known cause, and did not coincide with several others without it.
    pub(crate) fn attribution(&self, now: Timestamp, key: &PromptPartKey) -> Attribution {
        let mut attribution = Attribution::default();
        let Some(evidence) = self.parts.get(key) else {
            return attribution;
        };
        for (instance, crash) in &evidence.crashes {
            let is_served_since = evidence.served_at.is_some_and(|served| crash.at <= served);
            let is_old = now.since(crash.at) >= CRASH_LIFETIME;
            if is_served_since
                || is_old
                || self.has_other_cause(instance, key.part)
                || self.is_coincident(crash.at, key, evidence)
            {
                continue;
            }
            attribution.crashes.insert(instance.clone(), crash.at);
            attribution.prompts.extend(&crash.prompts);
        }
        attribution
    }

    fn has_other_cause(&self, instance: &InstanceId, part: u64) -> bool {
        let crash = self.crashes.get(instance);
        let cause = crash.and_then(|crash| crash.cause.as_ref());
        cause.is_some_and(|cause| !cause.contains(&part))
    }

    /// Returns true if several other instances crashed at about the same time without the part.
    fn is_coincident(&self, at: Timestamp, key: &PromptPartKey, evidence: &PartEvidence) -> bool {
        let none = InstanceId(String::new());
        let from = (at.earlier(COINCIDENCE_WINDOW), none.clone());
        let to = (at + COINCIDENCE_WINDOW + Duration::from_millis(1), none);
        let near = self.by_time.range(from..to).map(|(_, instance)| instance);
        let without = near.filter(|instance| {
            let crash = self.crashes.get(*instance);
            crash.is_some_and(|crash| crash.service == key.service)
                && !evidence.crashes.contains_key(*instance)
        });
        without.take(COINCIDENCE_THRESHOLD).count() >= COINCIDENCE_THRESHOLD
    }

    /// Returns an attribution without the crashes that a part explains better which no instance is known
    /// to have responded to, and which was at several of them. If the part itself is not known to be
    /// harmless either, the other one must have been in some of its prompts only. Parts that are known
    /// not to explain them are `excluded`.
    pub(crate) fn without_suspects(
        &self,
        service: &ServiceName,
        part: u64,
        is_known_served: bool,
        excluded: &BTreeSet<u64>,
        all: &Attribution,
    ) -> Attribution {
        let mut rest = all.clone();
        let others = self.other_suspects(service, part, excluded).into_iter();
        let better = others.filter(|other| is_known_served || other.is_within(&all.prompts));
        for other in better {
            rest.crashes
                .retain(|instance, _| !other.crashes.contains(instance));
        }
        rest
    }

    /// Returns true if a part that no instance is known to have responded to was at all of these crashes
    /// too, in other prompts. Crashes after `settled` may not have been reported by all gateways yet.
    pub(crate) fn has_rival(
        &self,
        service: &ServiceName,
        part: u64,
        settled: Timestamp,
        excluded: &BTreeSet<u64>,
        all: &Attribution,
    ) -> bool {
        let reported = all.crashes.iter().filter(|(_, at)| **at <= settled);
        let reported: Vec<&InstanceId> = reported.map(|(instance, _)| instance).collect();
        let others = self.other_suspects(service, part, excluded);
        others.iter().any(|other| {
            reported
                .iter()
                .all(|instance| other.crashes.contains(instance))
                && !all.prompts.is_subset(&other.prompts)
        })
    }

    /// Returns the other parts at several crashes that no instance is known to have responded to.
    fn other_suspects(
        &self,
        service: &ServiceName,
        part: u64,
        excluded: &BTreeSet<u64>,
    ) -> Vec<SuspectPart<'_>> {
        let mut others: BTreeMap<u64, SuspectPart<'_>> = BTreeMap::new();
        for (key, evidence) in &self.parts {
            if key.service == *service && key.part != part && !excluded.contains(&key.part) {
                others.entry(key.part).or_default().add(evidence);
            }
        }
        let suspects = others
            .into_values()
            .filter(|other| !other.is_served && other.crashes.len() >= SUSPECT_CRASHES);
        suspects.collect()
    }

    /// Returns the fraction of a service's crashes without a known cause, from the first to the last one
    /// of an attribution, that are in it.
    pub(crate) fn share(&self, service: &ServiceName, attribution: &Attribution) -> f64 {
        let first = attribution.crashes.values().min().copied();
        let last = attribution.last_at();
        let within = self.crashes.values().filter(|crash| {
            crash.service == *service
                && crash.cause.is_none()
                && first.is_some_and(|first| first <= crash.at)
                && crash.at <= last
        });
        let total = within.count().max(attribution.crashes.len()).max(1);
        attribution.crashes.len() as f64 / total as f64
    }

    /// Returns true if an instance has responded to prompts with a part.
    pub(crate) fn is_known_served(&self, key: &PromptPartKey) -> bool {
        let evidence = self.parts.get(key);
        evidence.is_some_and(|evidence| evidence.served_at.is_some())
    }

    /// Returns since when responses to a part are observed.
    pub(crate) fn watched_since(&self, key: &PromptPartKey) -> Option<Timestamp> {
        let evidence = self.parts.get(key)?;
        Some(evidence.watched_since)
    }

    /// Returns the tenants whose prompts had a part at crashes.
    pub(crate) fn tenants_of(&self, service: &ServiceName, part: u64) -> Vec<Option<TenantName>> {
        let first = PromptPartKey {
            service: service.clone(),
            part,
            tenant: None,
        };
        let keys = self.parts.range(first..).map(|(key, _)| key);
        let same = keys.take_while(|key| key.service == *service && key.part == part);
        same.map(|key| key.tenant.clone()).collect()
    }

    /// Drops the evidence about a part.
    pub(crate) fn forget(&mut self, key: &PromptPartKey) {
        self.revision += u64::from(self.parts.remove(key).is_some());
    }

    /// Returns the number of crashes of each part, attributed or not.
    pub(crate) fn crash_counts(&self) -> impl Iterator<Item = (&PromptPartKey, usize)> {
        let parts = self.parts.iter();
        parts.map(|(key, evidence)| (key, evidence.crashes.len()))
    }

    /// Returns the parts whose responses gateways are to state, those with the most crashes first.
    pub(crate) fn watched(&self, limit: usize) -> Vec<PromptPartKey> {
        let mut watched: Vec<(&PromptPartKey, &PartEvidence)> = self.parts.iter().collect();
        watched.sort_by_key(|(_, evidence)| {
            let rank = (evidence.crashes.len(), evidence.last_crash_at);
            std::cmp::Reverse(rank)
        });
        let keys = watched.into_iter().map(|(key, _)| key.clone());
        keys.take(limit).collect()
    }

    /// Drops what no longer counts.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_LIFETIME);
        self.by_time
            .retain(|(at, _)| now.since(*at) < CRASH_LIFETIME);
        let before = self.parts.len();
        self.parts.retain(|_, evidence| {
            let served = evidence.served_at;
            evidence
                .crashes
                .retain(|_, crash| served.is_none_or(|served| crash.at > served));
            let is_watched = now.since(evidence.last_crash_at) < WATCH_TIME;
            let counts = now.since(evidence.last_crash_at) < CRASH_LIFETIME;
            counts && (is_watched || !evidence.crashes.is_empty())
        });
        self.revision += u64::from(self.parts.len() != before);
    }

    /// Returns true if nothing is recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.crashes.is_empty()
    }

    /// Increases when the set of parts with evidence changes.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}
