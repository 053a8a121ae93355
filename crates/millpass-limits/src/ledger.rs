//! The leader's book: what it lends of each limit.
//!
//! A permit is lent out of one bucket for each instance and lapses a second after the gateway asked for it, so that
//! what all gateways send in a window stays within what flows in during the window and one second more. A new leader
//! begins with empty buckets: what the one before it lent lapses while they fill.

use crate::rate::RequestRate;
use crate::word::{HeardLimit, LimitChange, Words};
use millpass_proto::{
    Duration, InstanceId, InstancePermitRequest, LimitObservation, LimitUpdate, PermitGrant,
    PermitRequest, PermitResponse, Timestamp,
};
use std::collections::BTreeMap;

/// What a bucket holds: what flows into it in this time, and one request at least.
const BUCKET_SECONDS: f64 = 0.25;
/// Longest time for which a caller is told to stay away: the limit may have ended by then.
pub(crate) const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Shortest time between two events of one instance.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests found no permit for an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsExhausted {
    /// Instance.
    pub instance: InstanceId,
    /// Its limit.
    pub rate: RequestRate,
    /// Requests that found none since the last event.
    pub denied: u64,
}

#[derive(Debug)]
struct Account {
    /// Requests that may go now.
    level: f64,
    filled_at: Timestamp,
    /// Until when permits to come are awaited by callers that were told to come back.
    promised_until: Timestamp,
    denied: u64,
    event_at: Option<Timestamp>,
}

impl Account {
    fn new(now: Timestamp) -> Self {
        Account {
            level: 0.0,
            filled_at: now,
            promised_until: now,
            denied: 0,
            event_at: None,
        }
    }

    fn fill(&mut self, now: Timestamp, rate: RequestRate) {
        let gone_by = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + gone_by * rate.per_second();
        self.level = filled.min(capacity(rate));
    }

    /// Takes up to this many whole requests.
    fn take(&mut self, requests: u32) -> u32 {
        let taken = (self.level.max(0.0) as u32).min(requests);
        self.level -= f64::from(taken);
        taken
    }

    /// Callers were told to come back, one after the other at the limit's pace.
    fn promise(&mut self, now: Timestamp, rate: RequestRate, callers: u32) {
        let promised = self.promised_until.max(now) + rate.interval().saturating_mul(callers);
        self.promised_until = promised.min(now + LONGEST_WAIT);
    }

    /// Time until a request that comes now may go.
    fn wait(&self, now: Timestamp, rate: RequestRate) -> Duration {
        let lacking = (1.0 - self.level).max(0.0) / rate.per_second();
        let next = now + Duration::from_secs_f64(lacking);
        next.max(self.promised_until).since(now)
    }
}

fn capacity(rate: RequestRate) -> f64 {
    (rate.per_second() * BUCKET_SECONDS).max(1.0)
}

/// The leader's book of limits.
#[derive(Debug, Default)]
pub struct PermitLedger {
    words: Words,
    accounts: BTreeMap<InstanceId, Account>,
    revision: u64,
}

impl PermitLedger {
    /// Grows when a limit in force changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a limit of the instance is in force.
    pub fn is_limited(&self, instance: &InstanceId) -> bool {
        self.words.rate(instance).is_some()
    }

    /// Limits in force.
    pub fn limited(&self) -> usize {
        self.words.limited()
    }

    /// Takes what gateways heard; gives the limits in force that changed by it.
    pub fn take_words(&mut self, now: Timestamp, words: &[LimitObservation]) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for word in words {
            let heard = HeardLimit::received(now, word);
            let before = self.words.rate(&word.instance);
            let Some(change) = self.words.take(now, &word.instance, heard) else {
                continue;
            };
            self.revision += 1;
            self.put_in_force(now, &change, before);
            changes.push(change);
        }
        changes
    }

    fn put_in_force(&mut self, now: Timestamp, change: &LimitChange, before: Option<RequestRate>) {
        let Some(rate) = change.rate else {
            self.accounts.remove(&change.instance);
            return;
        };
        let account = self.accounts.entry(change.instance.clone());
        let account = account.or_insert_with(|| Account::new(now));
        account.fill(now, before.unwrap_or(rate));
        account.level = account.level.min(capacity(rate));
    }

    /// Answers a gateway whose words were taken.
    pub fn answer(
        &mut self,
        now: Timestamp,
        term: u64,
        request: &PermitRequest,
    ) -> (PermitResponse, Vec<PermitsExhausted>) {
        let mut events = Vec::new();
        let asks = request.instances.iter();
        let grants = asks.map(|ask| self.grant(now, ask, &mut events));
        let answer = PermitResponse {
            term,
            sequence: request.sequence,
            grants: grants.collect(),
        };
        (answer, events)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        ask: &InstancePermitRequest,
        events: &mut Vec<PermitsExhausted>,
    ) -> PermitGrant {
        let mut grant = PermitGrant {
            instance: ask.instance.clone(),
            permits: ask.waiting,
            wait_millis: 0,
        };
        let Some(rate) = self.words.rate(&ask.instance) else {
            return grant;
        };
        let account = self.accounts.entry(ask.instance.clone());
        let account = account.or_insert_with(|| Account::new(now));
        account.fill(now, rate);
        account.promise(now, rate, ask.refused);
        grant.permits = account.take(ask.waiting);
        let lacking = ask.waiting - grant.permits;
        if lacking == 0 {
            let plenty = (account.level - capacity(rate) / 2.0).max(0.0) as u32;
            grant.permits += account.take(ask.prefetch.min(plenty));
            return grant;
        }
        let wait = account.wait(now, rate);
        grant.wait_millis = (wait.as_millis() as u64).max(1);
        account.denied += u64::from(lacking);
        let is_due = |at: Timestamp| now.since(at) >= EVENT_INTERVAL;
        if account.event_at.is_none_or(is_due) {
            account.event_at = Some(now);
            events.push(PermitsExhausted {
                instance: ask.instance.clone(),
                rate,
                denied: std::mem::take(&mut account.denied),
            });
        }
        grant
    }

    /// What gateways are told.
    pub fn update(&self, now: Timestamp, term: u64) -> LimitUpdate {
        let words = self.words.iter();
        LimitUpdate {
            term,
            limits: words
                .map(|(instance, word)| word.message(now, instance))
                .collect(),
        }
    }
}
