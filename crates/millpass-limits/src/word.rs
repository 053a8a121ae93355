//! What an instance was last heard to state, and which of two words holds.

use crate::rate::RequestRate;
use millpass_proto::{Duration, InstanceId, LimitObservation, Timestamp};
use std::collections::BTreeMap;

/// Time for which it is remembered that an instance states no limit any more: older words may still come.
const WITHDRAWN_MEMORY: Duration = Duration::from_secs(60);
/// Most instances of which something is remembered; what was heard the longest ago is forgotten first.
const MAXIMUM_WORDS: usize = 4_096;

/// What an answer stated of its instance's limit. The instance wrote it at some time between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLimit {
    /// Limit; none where none is stated.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// When its answer came.
    pub heard_at: Timestamp,
}

/// The limit in force of an instance has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Instance.
    pub instance: InstanceId,
    /// Limit in force; none if there is none any more.
    pub rate: Option<RequestRate>,
}

impl HeardLimit {
    /// From a message, with its ages.
    pub(crate) fn received(now: Timestamp, word: &LimitObservation) -> HeardLimit {
        let ago = |millis| now.earlier(Duration::from_millis(millis));
        HeardLimit {
            rate: word
                .milli_per_second
                .map(|milli_per_second| RequestRate { milli_per_second }),
            sent_at: ago(word.request_age_millis),
            heard_at: ago(word.response_age_millis),
        }
    }

    /// For a message.
    pub(crate) fn message(&self, now: Timestamp, instance: &InstanceId) -> LimitObservation {
        LimitObservation {
            instance: instance.clone(),
            milli_per_second: self.rate.map(|rate| rate.milli_per_second),
            request_age_millis: now.since(self.sent_at).as_millis() as u64,
            response_age_millis: now.since(self.heard_at).as_millis() as u64,
        }
    }

    /// Whether it takes the place of what is held. Of two words that may have been written in either order the
    /// stricter holds: answers overtake each other.
    fn outdates(&self, held: &HeardLimit) -> bool {
        if self.heard_at <= held.sent_at {
            return false;
        }
        let is_after = self.sent_at >= held.heard_at;
        match (self.rate, held.rate) {
            (Some(new), Some(old)) if new == old => self.heard_at > held.heard_at,
            (Some(new), Some(old)) => new < old || is_after,
            (Some(_), None) => true,
            (None, _) => is_after,
        }
    }
}

/// The last words of instances.
#[derive(Debug, Default)]
pub(crate) struct Words {
    words: BTreeMap<InstanceId, HeardLimit>,
}

impl Words {
    /// Takes a word. Gives the limit in force if that changed.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        word: HeardLimit,
    ) -> Option<LimitChange> {
        let held = self.words.get(instance);
        let before = held.and_then(|held| held.rate);
        match held {
            Some(held) if !word.outdates(held) => return None,
            None if word.rate.is_none() => return None,
            _ => {}
        }
        self.forget_old(now);
        self.words.insert(instance.clone(), word);
        let change = LimitChange {
            instance: instance.clone(),
            rate: word.rate,
        };
        (before != word.rate).then_some(change)
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.words
            .retain(|_, word| word.rate.is_some() || now.since(word.heard_at) < WITHDRAWN_MEMORY);
        if self.words.len() < MAXIMUM_WORDS {
            return;
        }
        let oldest = self.words.iter().min_by_key(|(_, word)| word.heard_at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.words.remove(&instance);
        }
    }

    /// The limit in force of an instance.
    pub(crate) fn rate(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.words.get(instance)?.rate
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&HeardLimit> {
        self.words.get(instance)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &HeardLimit)> {
        self.words.iter()
    }

    /// How many limits are in force.
    pub(crate) fn limited(&self) -> usize {
        let words = self.words.values();
        words.filter(|word| word.rate.is_some()).count()
    }
}
