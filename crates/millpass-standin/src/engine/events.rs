//! Log of cache events, which are numbered, published with a lag, and sometimes lost.

use super::settings::{EngineLimits, PublishingSettings};
use crate::content::mix;
use millpass_proto::{CacheChange, CacheEvent, SlotId, Timestamp};
use std::collections::VecDeque;

/// Bounded log of cache events; evicts the oldest.
#[derive(Clone, Debug)]
pub struct EventLog {
    publishing: PublishingSettings,
    capacity: usize,
    per_response: usize,
    next_number: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl EventLog {
    pub fn new(publishing: &PublishingSettings, limits: &EngineLimits) -> Self {
        EventLog {
            publishing: publishing.clone(),
            capacity: limits.retained_events,
            per_response: limits.events_per_response,
            next_number: 1,
            events: VecDeque::new(),
        }
    }

    /// Assigns the next number to an event and schedules its publication, unless it is lost.
    pub fn record(&mut self, now: Timestamp, slot: SlotId, prefix_hash: u64, change: CacheChange) {
        let number = self.next_number;
        self.next_number += 1;
        if self.is_lost(number) {
            return;
        }
        let event = CacheEvent {
            number,
            slot,
            prefix_hash,
            change,
        };
        self.events
            .push_back((now + self.publishing.event_lag, event));
        if self.events.len() > self.capacity {
            self.events.pop_front();
        }
    }

    /// Returns the published events with numbers above `after`, up to the limit per response.
    pub fn published_after(&self, now: Timestamp, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .take_while(|(published, _)| *published <= now)
            .filter(|(_, event)| event.number > after)
            .take(self.per_response)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Returns the oldest retained number, or the next number if the log is empty.
    pub fn oldest(&self) -> u64 {
        self.events
            .front()
            .map_or(self.next_number, |(_, event)| event.number)
    }

    fn is_lost(&self, number: u64) -> bool {
        mix(self.publishing.seed ^ mix(number)) % 1_000 < self.publishing.lost_events_per_thousand
    }
}
