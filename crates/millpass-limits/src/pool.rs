//! A gateway's permits, and the requests that look for one.

use crate::ledger::LONGEST_WAIT;
use crate::rate::RequestRate;
use crate::slots::Slots;
use crate::word::{HeardLimit, LimitChange, Words};
use millpass_proto::{
    Duration, InstanceId, InstancePermitRequest, LimitObservation, LimitUpdate, PermitGrant,
    PermitRequest, PermitResponse, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a permit holds, from when the gateway asked for it.
const PERMIT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a request counts as looking for a permit.
const WANT_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which requests wait for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Time without an answer after which the leader counts as silent, and a message as lost.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Time for whose requests permits are wished for ahead.
const AHEAD: Duration = Duration::from_millis(500);
/// Shortest time for which the leader is not asked anew after it said that it has none.
const SHORTEST_DENIAL: Duration = Duration::from_millis(100);
/// Longest such time.
const LONGEST_DENIAL: Duration = Duration::from_millis(1_000);
/// Part of the time for which the leader expects to have none after which it is asked anew, as its inverse: permits that
/// others leave over are found.
const DENIAL_PARTS: u32 = 8;

/// When a request may go to a limited instance that has no permit now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The leader is asked; it answers by then, or is silent.
    Unanswered(Timestamp),
    /// Not before.
    At(Timestamp),
}

impl Opening {
    /// The time by which it is known whether a request may go.
    pub fn latest(&self) -> Timestamp {
        match self {
            Opening::Unanswered(until) | Opening::At(until) => *until,
        }
    }
}

/// One limited instance, as this gateway uses it.
#[derive(Debug, Default)]
struct Account {
    /// When each permit lapses.
    permits: VecDeque<Timestamp>,
    /// When each request that looks for a permit was last heard of.
    wants: VecDeque<Timestamp>,
    /// Whether the leader was not asked since one of them came.
    is_asked_for: bool,
    /// The leader expects to have none before.
    none_until: Timestamp,
    /// Until when that is taken as true without asking anew.
    denied_until: Timestamp,
    /// Requests refused since the leader was last told.
    refused: u32,
    /// Since when an ask goes unanswered.
    unanswered_since: Option<Timestamp>,
    /// Requests sent lately.
    sent: VecDeque<Timestamp>,
    /// The last slot that was used.
    slot_used: Option<u64>,
}

impl Account {
    fn expire(&mut self, now: Timestamp) {
        while self.permits.pop_front_if(|until| *until <= now).is_some() {}
        let lapsed = |at: &mut Timestamp| now.since(*at) >= WANT_LIFETIME;
        while self.wants.pop_front_if(lapsed).is_some() {}
        let old = |at: &mut Timestamp| now.since(*at) >= AHEAD;
        while self.sent.pop_front_if(old).is_some() {}
    }

    fn is_leader_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= SILENCE)
    }

    /// The slot that is open and not used yet.
    fn free_slot(&self, now: Timestamp, slots: &Slots) -> Option<u64> {
        let open = slots.open(now).filter(|_| self.is_leader_silent(now));
        open.filter(|slot| self.slot_used != Some(*slot))
    }

    fn has_permit(&self, now: Timestamp) -> bool {
        self.permits.iter().any(|until| now < *until)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let lives = |at: &Timestamp| now.since(*at) < WANT_LIFETIME;
        !self.is_asked_for && now >= self.denied_until && self.wants.iter().any(lives)
    }
}

/// A message that is not answered yet.
#[derive(Debug)]
struct Asked {
    sequence: u64,
    at: Timestamp,
}

/// One gateway's permits.
#[derive(Debug)]
pub struct PermitPool {
    gateway: String,
    words: Words,
    /// Instances of which the leader has not been told the last word heard here.
    untold: BTreeSet<InstanceId>,
    /// Instances of which the leader told another limit than the one that holds here.
    disputed: BTreeSet<InstanceId>,
    accounts: BTreeMap<InstanceId, Account>,
    sequence: u64,
    asked: Option<Asked>,
}

impl PermitPool {
    /// A pool of a gateway that knows no limit.
    pub fn new(gateway: &str) -> Self {
        PermitPool {
            gateway: gateway.to_owned(),
            words: Words::default(),
            untold: BTreeSet::new(),
            disputed: BTreeSet::new(),
            accounts: BTreeMap::new(),
            sequence: 0,
            asked: None,
        }
    }

    /// Takes what an answer stated; gives the limit in force if that changed.
    pub fn heard(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        word: HeardLimit,
    ) -> Option<LimitChange> {
        let change = self.words.take(now, instance, word);
        if change.is_some() || self.disputed.contains(instance) {
            self.untold.insert(instance.clone());
        }
        self.put_in_force(change.as_ref()?);
        change
    }

    /// Takes what the leader tells; gives the limits in force that changed by it.
    pub fn told(&mut self, now: Timestamp, update: &LimitUpdate) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for word in &update.limits {
            let heard = HeardLimit::received(now, word);
            changes.extend(self.words.take(now, &word.instance, heard));
            match self.words.rate(&word.instance) == heard.rate {
                true => self.disputed.remove(&word.instance),
                false => self.dispute(&word.instance),
            };
        }
        for change in &changes {
            self.put_in_force(change);
        }
        changes
    }

    /// What was heard here may be newer than what the leader knows.
    fn dispute(&mut self, instance: &InstanceId) -> bool {
        self.untold.insert(instance.clone());
        self.disputed.insert(instance.clone())
    }

    fn put_in_force(&mut self, change: &LimitChange) {
        if change.rate.is_none() {
            self.accounts.remove(&change.instance);
        }
    }

    /// The limit in force of an instance.
    pub fn rate(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.words.rate(instance)
    }

    /// How many limits are in force.
    pub fn limited(&self) -> usize {
        self.words.limited()
    }

    /// Whether a request may go to an instance now. `gateways` share what may be used without a leader; 0 while their
    /// number is not known.
    pub fn may_send(&self, now: Timestamp, instance: &InstanceId, gateways: u32) -> bool {
        let Some(rate) = self.words.rate(instance) else {
            return true;
        };
        let Some(account) = self.accounts.get(instance) else {
            return false;
        };
        let slots = Slots::new(&self.gateway, instance, rate, gateways);
        account.has_permit(now) || account.free_slot(now, &slots).is_some()
    }

    /// A request goes to an instance that [`PermitPool::may_send`] allows.
    pub fn sent(&mut self, now: Timestamp, instance: &InstanceId, gateways: u32) {
        let Some(rate) = self.words.rate(instance) else {
            return;
        };
        let slots = Slots::new(&self.gateway, instance, rate, gateways);
        let account = self.accounts.entry(instance.clone()).or_default();
        account.expire(now);
        account.sent.push_back(now);
        if account.permits.pop_front().is_none() {
            account.slot_used = account.free_slot(now, &slots);
        }
    }

    /// A request looks for a permit; at an instance without a limit it needs none.
    pub fn want(&mut self, now: Timestamp, instance: &InstanceId) {
        if self.words.rate(instance).is_none() {
            return;
        }
        let account = self.accounts.entry(instance.clone()).or_default();
        account.expire(now);
        account.wants.push_back(now);
        account.is_asked_for = false;
        account.unanswered_since.get_or_insert(now);
    }

    /// A request that looked for a permit looks no more: a permit lent for it would lapse.
    pub fn unwant(&mut self, instance: &InstanceId) {
        if let Some(account) = self.accounts.get_mut(instance) {
            account.wants.pop_front();
        }
    }

    /// When a request may go to a limited instance that it may not go to now.
    pub fn opening(&self, now: Timestamp, instance: &InstanceId, gateways: u32) -> Opening {
        let Some(rate) = self.words.rate(instance) else {
            return Opening::At(now);
        };
        let Some(account) = self.accounts.get(instance) else {
            return Opening::Unanswered(now + ANSWER_TIME);
        };
        if now < account.denied_until {
            let refused = rate.interval() * account.refused;
            let opens = account.none_until.max(account.denied_until);
            let at = (opens + refused).min(now + LONGEST_WAIT);
            return Opening::At(at);
        }
        let since = account.unanswered_since.unwrap_or(now);
        let answered_by = since + ANSWER_TIME;
        if now < answered_by {
            return Opening::Unanswered(answered_by);
        }
        let next = Slots::new(&self.gateway, instance, rate, gateways).next(now);
        Opening::At(next.max(since + SILENCE).min(now + LONGEST_WAIT))
    }

    /// A request is refused by what [`PermitPool::opening`] said: the next one is told a later time.
    pub fn refused(&mut self, instance: &InstanceId) {
        if let Some(account) = self.accounts.get_mut(instance) {
            account.refused = account.refused.saturating_add(1);
        }
    }

    /// Whether the leader should be asked, or told something, now.
    pub fn is_request_due(&self, now: Timestamp) -> bool {
        let lost = |asked: &Asked| now.since(asked.at) >= SILENCE;
        let open = self.asked.as_ref().is_none_or(lost);
        let due = |account: &Account| account.is_due(now);
        open && (!self.untold.is_empty() || self.accounts.values().any(due))
    }

    /// The next message to the leader, if one is due.
    pub fn request(&mut self, now: Timestamp) -> Option<PermitRequest> {
        if !self.is_request_due(now) {
            return None;
        }
        let untold = std::mem::take(&mut self.untold);
        let words = untold.iter().filter_map(|instance| {
            let word = self.words.get(instance)?;
            Some(word.message(now, instance))
        });
        let words: Vec<LimitObservation> = words.collect();
        let mut asks = Vec::new();
        for (instance, account) in &mut self.accounts {
            if !account.is_due(now) {
                continue;
            }
            account.expire(now);
            account.is_asked_for = true;
            account.unanswered_since.get_or_insert(now);
            asks.push(InstancePermitRequest {
                instance: instance.clone(),
                waiting: u32::try_from(account.wants.len()).unwrap_or(u32::MAX),
                prefetch: u32::try_from(account.sent.len()).unwrap_or(u32::MAX),
                refused: std::mem::take(&mut account.refused),
            });
        }
        self.sequence += 1;
        self.asked = Some(Asked {
            sequence: self.sequence,
            at: now,
        });
        Some(PermitRequest {
            gateway: self.gateway.clone(),
            sequence: self.sequence,
            observations: words,
            instances: asks,
        })
    }

    /// Takes the leader's answer. One to an earlier message is too late: its permits count as lost.
    pub fn answer(&mut self, now: Timestamp, answer: &PermitResponse) {
        let asked = self
            .asked
            .take_if(|asked| asked.sequence == answer.sequence);
        let Some(asked) = asked else {
            return;
        };
        for grant in &answer.grants {
            self.take_grant(now, asked.at, grant);
        }
    }

    fn take_grant(&mut self, now: Timestamp, asked_at: Timestamp, grant: &PermitGrant) {
        if self.words.rate(&grant.instance).is_none() {
            return;
        }
        let account = self.accounts.entry(grant.instance.clone()).or_default();
        let until = asked_at + PERMIT_LIFETIME;
        let permits = std::iter::repeat_n(until, grant.permits as usize);
        account.permits.extend(permits);
        account.unanswered_since = None;
        account.denied_until = Timestamp::ZERO;
        if grant.wait_millis > 0 {
            account.none_until = now + Duration::from_millis(grant.wait_millis);
            let denial = account.none_until.since(now) / DENIAL_PARTS;
            account.denied_until = now + denial.clamp(SHORTEST_DENIAL, LONGEST_DENIAL);
            // Those that still wait then ask anew.
            account.is_asked_for = false;
        }
    }

    /// The connection to the leader ended: the next leader is told everything anew.
    pub fn disconnected(&mut self) {
        let words = self.words.iter();
        self.untold = words.map(|(instance, _)| instance.clone()).collect();
        self.disputed.clear();
        self.asked = None;
        for account in self.accounts.values_mut() {
            account.is_asked_for = false;
        }
    }
}
