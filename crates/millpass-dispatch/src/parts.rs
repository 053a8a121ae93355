//! Parts of prompts that crash instances: what this gateway has observed of them, and which of them the
//! leader refuses.

use crate::request::{PromptPart, SendRecord, Ticket};
use millpass_proto::{
    CrashUpdate, CrashedPrompt, Duration, PartSet, PromptCrash, PromptPartKey, RefusedParts,
    ServedPart, ServiceName, TenantName, Timestamp,
};
use millpass_quarantine::{MAXIMUM_PARTS_PER_PROMPT, PartQuarantine, is_covered_by};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most parts for which the last response is remembered.
const MAX_REMEMBERED: usize = 2_048;
/// Time for which it is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// Least time between two statements of responses to the leader. It is the product of the second and the
/// number of gateways where that is longer, which bounds the statements that the leader receives.
const MIN_STATEMENT_INTERVAL: Duration = Duration::from_millis(40);
const STATEMENT_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(1);
/// Time for which the parts that an earlier leader refused are refused after a change of leader.
const INHERITED_TIME: Duration = Duration::from_secs(3);

/// How gateways judge which prompts were in flight at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSettings {
    /// Longest time from the start of a response to the crash that its prompt causes.
    pub onset: Duration,
}

impl Default for PartSettings {
    fn default() -> Self {
        PartSettings {
            onset: Duration::from_millis(500),
        }
    }
}

/// A set of parts that a leader refuses.
#[derive(Clone, Debug)]
struct Refused {
    crashes: u32,
    until: Timestamp,
}

/// Observations of this gateway, and decisions of the leader.
pub(crate) struct PartTracker {
    settings: PartSettings,
    /// When an instance last responded to prompts with a part, by a hash of the part.
    remembered: HashMap<u64, Timestamp>,
    /// Observations of this gateway alone.
    local: PartQuarantine,
    by_leader: BTreeMap<PartSet, Refused>,
    /// What an earlier leader refused.
    inherited: BTreeMap<PartSet, Refused>,
    suspects: BTreeSet<PromptPartKey>,
    watched: BTreeSet<PromptPartKey>,
    /// Newest moment at which a response shows that a part does not crash instances, not stated yet.
    served: BTreeMap<PromptPartKey, Timestamp>,
    next_statement: Timestamp,
    /// Set until the refused parts have been stated on this connection.
    states_refused: bool,
    connected: bool,
    term: u64,
}

impl PartTracker {
    pub(crate) fn new(settings: PartSettings) -> Self {
        PartTracker {
            settings,
            remembered: HashMap::new(),
            local: PartQuarantine::default(),
            by_leader: BTreeMap::new(),
            inherited: BTreeMap::new(),
            suspects: BTreeSet::new(),
            watched: BTreeSet::new(),
            served: BTreeMap::new(),
            next_statement: Timestamp::ZERO,
            states_refused: true,
            connected: false,
            term: 0,
        }
    }

    /// Returns the prompt of a broken send if it may have crashed the instance: the response had not
    /// begun, or only shortly before.
    pub(crate) fn crashed_prompt(
        &self,
        now: Timestamp,
        record: &SendRecord,
    ) -> Option<CrashedPrompt> {
        let begun_at = record.begun_at;
        if begun_at.is_some_and(|begun| now.since(begun) > self.settings.onset) {
            return None;
        }
        let parts = shared_parts(&record.prompt);
        if parts.is_empty() {
            return None;
        }
        let tenant = tenant_of(record);
        let mut hasher = DefaultHasher::new();
        tenant.hash(&mut hasher);
        for part in record.prompt.iter() {
            part.identity.hash(&mut hasher);
        }
        Some(CrashedPrompt {
            identity: hasher.finish(),
            tenant: tenant.cloned(),
            parts,
        })
    }

    /// Records a crash that this gateway observed.
    pub(crate) fn record_crash(&mut self, now: Timestamp, crash: &PromptCrash) {
        self.local.expire(now);
        self.local.record_crash(now, crash);
        self.local.judge(now, Duration::ZERO);
    }

    /// Records that an instance responds to a prompt without a crash. Returns true once that is shown,
    /// by the whole response or because it has lasted long enough.
    pub(crate) fn record_response(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        is_whole: bool,
    ) -> bool {
        let Some(begun_at) = record.begun_at else {
            return false;
        };
        let shown_at = begun_at + self.settings.onset;
        if !is_whole && now < shown_at {
            return false;
        }
        let at = now.min(shown_at);
        let tenant = tenant_of(record);
        let is_of_interest = !self.watched.is_empty() || !self.local.is_empty();
        for part in shared_parts(&record.prompt) {
            let hash = hash_of(&record.service, part, tenant);
            self.remembered.insert(hash, at);
            if is_of_interest {
                let key = PromptPartKey {
                    service: record.service.clone(),
                    part,
                    tenant: tenant.cloned(),
                };
                self.record_served(key, at);
            }
        }
        self.forget_oldest();
        true
    }

    fn record_served(&mut self, key: PromptPartKey, at: Timestamp) {
        self.local.record_served(&key, at);
        if self.watched.contains(&key) {
            let newest = self.served.entry(key).or_insert(at);
            *newest = at.max(*newest);
        }
    }

    fn forget_oldest(&mut self) {
        if self.remembered.len() <= MAX_REMEMBERED {
            return;
        }
        let mut times: Vec<Timestamp> = self.remembered.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() / 4];
        self.remembered.retain(|_, at| *at > oldest_kept);
    }

    /// Returns true if responses to some parts are of interest before they are whole: to the leader, or
    /// to this gateway without one.
    pub(crate) fn is_watching(&self) -> bool {
        !self.watched.is_empty() || (!self.connected && !self.local.is_empty())
    }

    /// Returns when responses are to be stated to the leader; none if there is nothing to state.
    pub(crate) fn statement_at(&self) -> Option<Timestamp> {
        let has_refused = self.states_refused && !self.by_leader.is_empty();
        match self.served.is_empty() && !has_refused {
            true => None,
            false => Some(self.next_statement),
        }
    }

    /// Returns the responses to state to the leader, if due.
    pub(crate) fn take_served(&mut self, now: Timestamp, gateways: u32) -> Vec<ServedPart> {
        if self.served.is_empty() || now < self.next_statement {
            return Vec::new();
        }
        let interval = STATEMENT_INTERVAL_PER_GATEWAY * gateways;
        self.next_statement = now + interval.max(MIN_STATEMENT_INTERVAL);
        let served = std::mem::take(&mut self.served).into_iter();
        let stated = served.map(|(key, at)| ServedPart {
            key,
            age_millis: now.since(at).as_millis() as u64,
        });
        stated.collect()
    }

    /// Returns the parts that the last leader refused, once per connection.
    pub(crate) fn take_refused(&mut self, now: Timestamp) -> Vec<RefusedParts> {
        if !std::mem::replace(&mut self.states_refused, false) {
            return Vec::new();
        }
        let in_force = self
            .by_leader
            .iter()
            .filter(|(_, refused)| now < refused.until);
        let stated = in_force.map(|(set, refused)| RefusedParts {
            set: set.clone(),
            crashes: refused.crashes,
            remaining_millis: refused.until.since(now).as_millis() as u64,
        });
        stated.collect()
    }

    /// Handles the end of the connection to the leader.
    pub(crate) fn disconnected(&mut self) {
        self.connected = false;
        self.states_refused = true;
    }

    /// Applies the leader's decisions, of the newest term seen.
    pub(crate) fn update(&mut self, now: Timestamp, update: &CrashUpdate) {
        if update.term > self.term || !self.connected {
            // A new leader may decide before it knows what the last one did.
            self.inherited = std::mem::take(&mut self.by_leader);
            for refused in self.inherited.values_mut() {
                refused.until = refused.until.min(now + INHERITED_TIME);
            }
        }
        self.inherited.retain(|_, refused| now < refused.until);
        self.connected = true;
        self.term = update.term;
        self.by_leader = update
            .refused_parts
            .iter()
            .map(|refused| {
                let entry = Refused {
                    crashes: refused.crashes,
                    until: now + Duration::from_millis(refused.remaining_millis),
                };
                (refused.set.clone(), entry)
            })
            .collect();
        self.suspects = update.suspect_parts.iter().cloned().collect();
        let before = std::mem::take(&mut self.watched);
        self.watched = update.watched_parts.iter().cloned().collect();
        let added: Vec<PromptPartKey> = self.watched.difference(&before).cloned().collect();
        for key in added {
            let hash = hash_of(&key.service, key.part, key.tenant.as_ref());
            let remembered = self.remembered.get(&hash).copied();
            if let Some(at) = remembered.filter(|at| now.since(*at) < MEMORY_TIME) {
                self.record_served(key, at);
            }
        }
    }

    /// Returns for how much longer a request is refused because of its prompt.
    pub(crate) fn refused_for(&self, now: Timestamp, ticket: &Ticket) -> Option<Duration> {
        let is_idle = self.by_leader.is_empty() && self.inherited.is_empty();
        if is_idle && (self.connected || self.local.is_empty()) {
            return None;
        }
        let parts = shared_parts(&ticket.description.prompt);
        let tenant = ticket.tenant.as_ref().map(|tenant| &tenant.name);
        let by_leader = self.by_leader.iter().chain(&self.inherited);
        let by_leader = by_leader.filter(|(set, refused)| {
            now < refused.until && is_covered_by(set, &ticket.service, tenant, &parts)
        });
        let by_leader = by_leader.map(|(_, refused)| refused.until.since(now)).max();
        // A connected leader decides, as it combines the observations of all gateways.
        if by_leader.is_some() || self.connected {
            return by_leader;
        }
        self.local.refused_for(now, &ticket.service, tenant, &parts)
    }

    /// Returns the first suspected part of a request's prompt.
    pub(crate) fn suspect_part(&self, ticket: &Ticket) -> Option<u64> {
        let suspects = match self.connected {
            true => &self.suspects,
            false => self.local.suspects(),
        };
        if suspects.is_empty() {
            return None;
        }
        let tenant = ticket.tenant.as_ref().map(|tenant| &tenant.name);
        let parts = shared_parts(&ticket.description.prompt).into_iter();
        let mut suspected = parts.filter(|part| {
            suspects.contains(&PromptPartKey {
                service: ticket.service.clone(),
                part: *part,
                tenant: tenant.cloned(),
            })
        });
        suspected.next()
    }

    /// Number of sets of parts refused by the leader.
    pub(crate) fn refused_count(&self) -> usize {
        self.by_leader.len()
    }
}

/// Returns the parts of a prompt that other requests may share: all but the last one.
fn shared_parts(prompt: &[PromptPart]) -> Vec<u64> {
    let shared = &prompt[..prompt.len().saturating_sub(1)];
    let parts = shared.iter().take(MAXIMUM_PARTS_PER_PROMPT);
    parts.map(|part| part.identity).collect()
}

fn tenant_of(record: &SendRecord) -> Option<&TenantName> {
    record.tenant.as_ref().map(|tenant| &tenant.name)
}

fn hash_of(service: &ServiceName, part: u64, tenant: Option<&TenantName>) -> u64 {
    let mut hasher = DefaultHasher::new();
    (service, part, tenant).hash(&mut hasher);
    hasher.finish()
}
