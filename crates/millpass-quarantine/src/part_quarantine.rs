//! Parts of prompts that are refused or suspected because instances crashed when they began to respond
//! to prompts with them.

use crate::part_evidence::{Attribution, PartLedger};
use millpass_proto::{
    Duration, InstanceId, PartSet, PromptCrash, PromptPartKey, ServiceName, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time within which all gateways have reported a crash with what they had in flight there.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Different prompts that must have had a part at its crashes; one prompt alone is quarantined by its
/// fingerprint.
const MINIMUM_PROMPTS: usize = 2;
/// Crashes from which a part is refused although others that no instance responded to explain its crashes
/// as well.
const AMBIGUOUS_CRASHES: u32 = 10;
/// Fraction of the crashes during its series at which a part must have been that instances responded to
/// before.
const KNOWN_SERVED_SHARE: f64 = 0.9;
/// Moments from which a part is suspected.
const SUSPICION_MOMENTS: u32 = 2;
/// Tenants whose prompts with a part crashed instances, from which it is refused for all tenants.
const TENANTS_FOR_ALL: usize = 3;
/// Maximum number of parts that are refused only together.
const MAXIMUM_SET: usize = 4;
/// Maximum number of refused sets.
pub const MAXIMUM_REFUSED_PARTS: usize = 64;
/// Maximum number of suspected parts.
const MAXIMUM_SUSPECTS: usize = 64;
/// Maximum number of parts whose responses gateways state.
const MAXIMUM_WATCHED: usize = 128;
const MAXIMUM_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Crashes, and separate moments at which they occurred, from which a part is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartThreshold {
    /// Crashes of instances.
    pub crashes: u32,
    /// Moments: coincident crashes count as one.
    pub moments: u32,
}

impl PartThreshold {
    fn is_met(self, attribution: &Attribution) -> bool {
        attribution.count() >= self.crashes
            && attribution.prompts.len() >= MINIMUM_PROMPTS
            && attribution.moments() >= self.moments
    }
}

/// When and for how long parts are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantineSettings {
    /// Threshold of a part that no instance is known to have responded to.
    pub unknown: PartThreshold,
    /// Threshold of a part that instances have responded to before. A part that all requests share is
    /// at every crash, until responses to it clear it.
    pub known_served: PartThreshold,
    /// Time for which a part is refused at first; doubled with each further crash.
    pub initial_time: Duration,
}

impl Default for PartQuarantineSettings {
    fn default() -> Self {
        PartQuarantineSettings {
            unknown: PartThreshold {
                crashes: 4,
                moments: 3,
            },
            known_served: PartThreshold {
                crashes: 8,
                moments: 5,
            },
            initial_time: Duration::from_secs(600),
        }
    }
}

impl PartQuarantineSettings {
    /// Returns how long parts with this many attributed crashes are refused.
    pub fn time(&self, crashes: u32) -> Duration {
        let doublings = crashes.saturating_sub(self.unknown.crashes).min(16);
        (self.initial_time * (1 << doublings)).min(MAXIMUM_QUARANTINE_TIME)
    }
}

/// A set of parts that is refused, or was until its quarantine expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedSet {
    /// Crashes attributed to the parts.
    pub crashes: u32,
    /// End of the quarantine.
    pub until: Timestamp,
    /// When the last of these crashes occurred; after a change of leader, when it was restored.
    pub last_crash_at: Timestamp,
    /// The quarantine has ended: prompts with the parts are served again, and one more crash renews it.
    pub expired: bool,
    recorded: bool,
}

/// Why parts are no longer refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// An instance has responded to a prompt with them.
    Served,
    /// A crash that was attributed to them did not occur.
    Retracted,
    /// Another set explains the crashes better.
    Replaced,
    /// There are too many refused parts.
    Evicted,
}

impl ReleaseReason {
    /// Returns the reason code used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleaseReason::Served => "served",
            ReleaseReason::Retracted => "retracted",
            ReleaseReason::Replaced => "replaced",
            ReleaseReason::Evicted => "evicted",
        }
    }
}

/// A change of the refused parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// The parts are refused, or again, or their quarantine has expired.
    Refused(PartSet, RefusedSet),
    /// The parts are no longer refused.
    Released(PartSet, ReleaseReason),
}

/// A part to which enough crashes are attributed.
struct Candidate {
    set: PartSet,
    attribution: Attribution,
}

/// Evidence about parts of prompts, and the parts refused or suspected because of it.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    settings: PartQuarantineSettings,
    ledger: PartLedger,
    refused: BTreeMap<PartSet, RefusedSet>,
    suspects: BTreeSet<PromptPartKey>,
    changes: Vec<PartChange>,
    /// Instances whose crashes have been explained by a refused part.
    explained: Vec<InstanceId>,
    revision: u64,
}

impl PartQuarantine {
    /// Creates it without evidence.
    pub fn new(settings: PartQuarantineSettings) -> Self {
        PartQuarantine {
            settings,
            ..PartQuarantine::default()
        }
    }

    /// Restores parts that were refused before a change of leader or a restart.
    pub fn restore(&mut self, now: Timestamp, set: PartSet, crashes: u32, expired: bool) {
        let entry = RefusedSet {
            crashes,
            until: now + self.settings.time(crashes),
            last_crash_at: now,
            expired,
            recorded: true,
        };
        self.refused.insert(set, entry);
        self.revision += 1;
    }

    /// Adopts parts that an earlier leader refused for this much longer, unless they are known.
    pub fn adopt(&mut self, now: Timestamp, set: &PartSet, crashes: u32, remaining: Duration) {
        if self.refused.contains_key(set) || remaining.is_zero() {
            return;
        }
        self.make_room();
        let entry = RefusedSet {
            crashes,
            until: now + remaining,
            last_crash_at: now,
            expired: false,
            recorded: false,
        };
        self.refused.insert(set.clone(), entry);
        self.revision += 1;
    }

    /// Records that an instance crashed before it had responded for long to these prompts.
    pub fn record_crash(&mut self, now: Timestamp, crash: &PromptCrash) {
        let at = now.earlier(Duration::from_millis(crash.age_millis));
        let at = self
            .ledger
            .record_crash(now, at, &crash.instance, &crash.service, &crash.prompts);
        for (set, entry) in &mut self.refused {
            let mut prompts = crash.prompts.iter();
            let is_cause = prompts.any(|prompt| {
                is_covered_by(set, &crash.service, prompt.tenant.as_ref(), &prompt.parts)
            });
            if !is_cause {
                continue;
            }
            let cause = set.parts.iter().copied().collect();
            self.ledger.record_cause(&crash.instance, &cause);
            self.explained.push(crash.instance.clone());
            if at > entry.last_crash_at {
                entry.crashes += 1;
                entry.until = now + self.settings.time(entry.crashes);
                entry.last_crash_at = at;
                entry.expired = false;
                entry.recorded = false;
                self.revision += 1;
            }
        }
    }

    /// Removes the crash of an instance that turned out to be running.
    pub fn retract_crash(&mut self, now: Timestamp, instance: &InstanceId) {
        let mut released = Vec::new();
        for (set, entry) in &mut self.refused {
            let mut keys = keys_of(&self.ledger, set).into_iter();
            let is_counted = keys.any(|key| {
                let attribution = self.ledger.attribution(now, &key);
                attribution.crashes.contains_key(instance)
            });
            if is_counted {
                entry.crashes = entry.crashes.saturating_sub(1);
                entry.recorded = false;
            }
            if is_counted && entry.crashes < self.settings.unknown.crashes {
                released.push(set.clone());
            }
        }
        self.ledger.retract_crash(instance);
        for set in released {
            self.remove(&set, ReleaseReason::Retracted);
        }
    }

    /// Records that an instance responded to a prompt with a part, which crashed nothing up to `at`.
    pub fn record_served(&mut self, key: &PromptPartKey, at: Timestamp) {
        self.ledger.record_served(key, at);
        let concerns = |set: &PartSet, entry: &RefusedSet| {
            set.service == key.service
                && (set.all_tenants || set.tenant == key.tenant)
                && set.parts.contains(&key.part)
                && at >= entry.last_crash_at
        };
        let cleared: Vec<(PartSet, RefusedSet)> = self
            .refused
            .iter()
            .filter(|(set, entry)| concerns(set, entry))
            .map(|(set, entry)| (set.clone(), *entry))
            .collect();
        for (set, mut entry) in cleared {
            self.remove(&set, ReleaseReason::Served);
            let mut rest = set;
            rest.parts.retain(|part| *part != key.part);
            if !rest.parts.is_empty() {
                entry.recorded = false;
                self.refused.insert(rest, entry);
            }
        }
    }

    /// Releases parts on an operator's behalf. Returns false if they were not refused.
    pub fn release(&mut self, set: &PartSet) -> bool {
        let was_refused = self.refused.remove(set).is_some();
        if was_refused {
            for key in keys_of(&self.ledger, set) {
                self.ledger.forget(&key);
            }
            self.revision += 1;
        }
        was_refused
    }

    /// Decides from the evidence which parts are refused and suspected. Parts are refused once responses
    /// to them have been observed for `evidence_wait`, the time that such an observation takes to
    /// arrive here.
    pub fn judge(&mut self, now: Timestamp, evidence_wait: Duration) {
        // Bounded, as a refusal may evict another that is a candidate again.
        for _ in 0..MAXIMUM_REFUSED_PARTS {
            let Some(candidate) = self.most_specific(now, evidence_wait) else {
                break;
            };
            self.refuse(now, candidate);
        }
        let suspects = self.find_suspects(now);
        self.revision += u64::from(suspects != self.suspects);
        self.suspects = suspects;
    }

    /// Returns the candidate that the fewest prompts had, together with the parts that the same prompts
    /// had: what more prompts share is at their crashes because of it.
    fn most_specific(&self, now: Timestamp, evidence_wait: Duration) -> Option<Candidate> {
        let mut candidates = self.candidates(now, evidence_wait);
        let specificity = |candidate: &Candidate| {
            let attribution = &candidate.attribution;
            let crashes = std::cmp::Reverse(attribution.count());
            (attribution.prompts.len(), crashes, candidate.set.clone())
        };
        candidates.sort_by_key(specificity);
        let mut candidates = candidates.into_iter();
        let mut best = candidates.next()?;
        let same = candidates.filter(|other| {
            other.set.service == best.set.service
                && other.set.tenant == best.set.tenant
                && other.set.all_tenants == best.set.all_tenants
                && other.attribution.prompts == best.attribution.prompts
        });
        let same: Vec<u64> = same.flat_map(|other| other.set.parts).collect();
        best.set.parts.extend(same);
        best.set.parts.truncate(MAXIMUM_SET);
        best.set.parts.sort_unstable();
        Some(best)
    }

    fn candidates(&self, now: Timestamp, evidence_wait: Duration) -> Vec<Candidate> {
        let mut totals: BTreeMap<(&ServiceName, u64), usize> = BTreeMap::new();
        for (key, crashes) in self.ledger.crash_counts() {
            *totals.entry((&key.service, key.part)).or_default() += crashes;
        }
        let least = self.settings.unknown.crashes as usize;
        let frequent = totals.into_iter().filter(|(_, total)| *total >= least);
        frequent
            .flat_map(|((service, part), _)| self.judge_part(now, service, part, evidence_wait))
            .filter(|candidate| !self.is_covered(now, candidate))
            .collect()
    }

    /// Returns for which tenants a part is to be refused. The crashes of all tenants count, but only
    /// tenants that have some are concerned, unless there are several of them.
    fn judge_part(
        &self,
        now: Timestamp,
        service: &ServiceName,
        part: u64,
        evidence_wait: Duration,
    ) -> Vec<Candidate> {
        let key = |tenant: Option<TenantName>| PromptPartKey {
            service: service.clone(),
            part,
            tenant,
        };
        let keys = self.ledger.tenants_of(service, part).into_iter().map(key);
        let keys: Vec<PromptPartKey> = keys.collect();
        let watched_since = keys
            .iter()
            .filter_map(|key| self.ledger.watched_since(key))
            .min();
        if watched_since.is_none_or(|since| now < since + evidence_wait) {
            return Vec::new();
        }
        let is_known_served = keys.iter().any(|key| self.ledger.is_known_served(key));
        let threshold = match is_known_served {
            true => self.settings.known_served,
            false => self.settings.unknown,
        };
        let mut total = Attribution::default();
        let mut tenants = Vec::new();
        for key in keys {
            let attribution = self.ledger.attribution(now, &key);
            if attribution.count() > 0 {
                total.merge(attribution);
                tenants.push(key.tenant);
            }
        }
        let is_met = threshold.is_met(&total);
        if !is_met || !self.is_best_explanation(now, service, part, is_known_served, &total) {
            return Vec::new();
        }
        let candidate = |tenant: Option<TenantName>, all_tenants: bool| Candidate {
            set: PartSet {
                service: service.clone(),
                tenant,
                all_tenants,
                parts: vec![part],
            },
            attribution: total.clone(),
        };
        if tenants.len() >= TENANTS_FOR_ALL && !is_known_served {
            return vec![candidate(None, true)];
        }
        let tenants = tenants.into_iter();
        tenants.map(|tenant| candidate(tenant, false)).collect()
    }

    /// Returns true if nothing explains the crashes of a part better: no other part and, if instances are
    /// known to have responded to it, no cause that ends instances without it. Other parts are waited
    /// for only so long, as requests with a crashing part may share others that nobody else has.
    fn is_best_explanation(
        &self,
        now: Timestamp,
        service: &ServiceName,
        part: u64,
        is_known_served: bool,
        total: &Attribution,
    ) -> bool {
        let known_served = self.settings.known_served;
        // Parts that were refused together with it have not been at a crash since.
        let together = self.refused.keys().filter(|set| set.parts.contains(&part));
        let together = together.flat_map(|set| set.parts.iter().copied()).collect();
        let rest = self
            .ledger
            .without_suspects(service, part, is_known_served, &together, total);
        match is_known_served {
            true => {
                known_served.is_met(&rest)
                    && self.ledger.share(service, &rest) >= KNOWN_SERVED_SHARE
            }
            false => {
                let settled = now.earlier(REPORT_TIME);
                let has_rival = || {
                    let ledger = &self.ledger;
                    ledger.has_rival(service, part, settled, &together, total)
                };
                total.count() >= AMBIGUOUS_CRASHES
                    || (self.settings.unknown.is_met(&rest) && !has_rival())
            }
        }
    }

    /// Returns true if a refused set explains all crashes of a candidate, or may explain the last one once
    /// all gateways have reported it.
    fn is_covered(&self, now: Timestamp, candidate: &Candidate) -> bool {
        let last_at = candidate.attribution.last_at();
        let is_reported = now.since(last_at) >= REPORT_TIME;
        self.refused.iter().any(|(set, entry)| {
            set.service == candidate.set.service
                && (set.all_tenants || set.tenant == candidate.set.tenant)
                && candidate
                    .set
                    .parts
                    .iter()
                    .all(|part| set.parts.contains(part))
                && (last_at <= entry.last_crash_at || !is_reported)
        })
    }

    fn refuse(&mut self, now: Timestamp, candidate: Candidate) {
        let Candidate { set, attribution } = candidate;
        let replaced: Vec<PartSet> = self
            .refused
            .keys()
            .filter(|other| is_wider(&set, other))
            .cloned()
            .collect();
        for other in replaced {
            self.remove(&other, ReleaseReason::Replaced);
        }
        self.make_room();
        let cause: BTreeSet<u64> = set.parts.iter().copied().collect();
        for instance in attribution.crashes.keys() {
            self.ledger.record_cause(instance, &cause);
            self.explained.push(instance.clone());
        }
        let entry = RefusedSet {
            crashes: attribution.count(),
            until: now + self.settings.time(attribution.count()),
            last_crash_at: attribution.last_at(),
            expired: false,
            recorded: false,
        };
        self.refused.insert(set, entry);
        self.revision += 1;
    }

    /// Evicts the refused set with the fewest crashes if there are too many.
    fn make_room(&mut self) {
        if self.refused.len() < MAXIMUM_REFUSED_PARTS {
            return;
        }
        let least = self.refused.iter().min_by_key(|(_, entry)| entry.crashes);
        if let Some(set) = least.map(|(set, _)| set.clone()) {
            self.remove(&set, ReleaseReason::Evicted);
        }
    }

    fn remove(&mut self, set: &PartSet, reason: ReleaseReason) {
        if self.refused.remove(set).is_some() {
            self.changes.push(PartChange::Released(set.clone(), reason));
            self.revision += 1;
        }
    }

    fn find_suspects(&self, now: Timestamp) -> BTreeSet<PromptPartKey> {
        let expired = self.refused.iter().filter(|(set, entry)| {
            let is_refused_alone = set.parts.len() == 1 && !entry.expired;
            !is_refused_alone && !set.all_tenants
        });
        let expired = expired.flat_map(|(set, _)| {
            set.parts.iter().map(|part| PromptPartKey {
                service: set.service.clone(),
                part: *part,
                tenant: set.tenant.clone(),
            })
        });
        let frequent = self.ledger.crash_counts();
        let frequent = frequent.filter(|(_, crashes)| *crashes >= SUSPICION_MOMENTS as usize);
        let suspected = frequent
            .map(|(key, _)| key)
            .filter(|key| self.ledger.attribution(now, key).moments() >= SUSPICION_MOMENTS);
        expired
            .chain(suspected.cloned())
            .take(MAXIMUM_SUSPECTS)
            .collect()
    }

    /// Ends quarantines and drops evidence that no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        self.ledger.expire(now);
        for entry in self.refused.values_mut() {
            if !entry.expired && now >= entry.until {
                entry.expired = true;
                entry.recorded = false;
                self.revision += 1;
            }
        }
    }

    /// Returns the changes since the last call, to be recorded.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        let mut changes = std::mem::take(&mut self.changes);
        for (set, entry) in &mut self.refused {
            if !entry.recorded {
                entry.recorded = true;
                changes.push(PartChange::Refused(set.clone(), *entry));
            }
        }
        changes
    }

    /// Returns the instances whose crashes have been explained since the last call.
    pub fn take_explained(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.explained)
    }

    /// Returns when an instance was first reported as crashed.
    pub fn crashed_at(&self, instance: &InstanceId) -> Option<Timestamp> {
        self.ledger.crashed_at(instance)
    }

    /// Returns for how much longer prompts with these parts are refused; `None` if they may be sent.
    pub fn refused_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        tenant: Option<&TenantName>,
        parts: &[u64],
    ) -> Option<Duration> {
        let concerned = self.refused.iter().filter(|(set, entry)| {
            !entry.expired && now < entry.until && is_covered_by(set, service, tenant, parts)
        });
        concerned.map(|(_, entry)| entry.until.since(now)).max()
    }

    /// Returns true if the crash of an instance is explained by a refused part.
    pub fn is_explained(&self, instance: &InstanceId) -> bool {
        self.ledger.is_explained(instance)
    }

    /// Refused sets, including those whose quarantine has expired.
    pub fn refused(&self) -> impl Iterator<Item = (&PartSet, &RefusedSet)> {
        self.refused.iter()
    }

    /// Suspected parts, of which one instance after the other is risked.
    pub fn suspects(&self) -> &BTreeSet<PromptPartKey> {
        &self.suspects
    }

    /// Returns the parts whose responses gateways are to state.
    pub fn watched(&self) -> Vec<PromptPartKey> {
        let refused = self.refused.keys().flat_map(|set| {
            set.parts.iter().map(|part| PromptPartKey {
                service: set.service.clone(),
                part: *part,
                tenant: set.tenant.clone(),
            })
        });
        let mut watched: Vec<PromptPartKey> = refused.collect();
        watched.extend(self.ledger.watched(MAXIMUM_WATCHED));
        watched.sort_unstable();
        watched.dedup();
        watched
    }

    /// Returns true if nothing is recorded, refused or suspected.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty() && self.refused.is_empty() && self.suspects.is_empty()
    }

    /// Increases with each change of what gateways are told.
    pub fn revision(&self) -> u64 {
        self.revision + self.ledger.revision()
    }
}

/// Returns true if a prompt of a tenant with these parts has all parts of a set.
pub fn is_covered_by(
    set: &PartSet,
    service: &ServiceName,
    tenant: Option<&TenantName>,
    parts: &[u64],
) -> bool {
    set.service == *service
        && (set.all_tenants || set.tenant.as_ref() == tenant)
        && set.parts.iter().all(|part| parts.contains(part))
}

/// Returns true if a set refuses everything that another one does.
fn is_wider(set: &PartSet, other: &PartSet) -> bool {
    set != other
        && set.service == other.service
        && (set.all_tenants || (!other.all_tenants && set.tenant == other.tenant))
        && set.parts.iter().all(|part| other.parts.contains(part))
}

/// Returns the keys of the evidence about a set.
fn keys_of(ledger: &PartLedger, set: &PartSet) -> Vec<PromptPartKey> {
    let mut keys = Vec::new();
    for part in &set.parts {
        let tenants = match set.all_tenants {
            true => ledger.tenants_of(&set.service, *part),
            false => vec![set.tenant.clone()],
        };
        keys.extend(tenants.into_iter().map(|tenant| PromptPartKey {
            service: set.service.clone(),
            part: *part,
            tenant,
        }));
    }
    keys
}
