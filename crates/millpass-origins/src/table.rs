//! Streams of all gateways, at the leader.

use millpass_proto::{
    Duration, InstanceId, OriginAnswer, OriginFinding, StreamKey, StreamOrigin, StreamReport,
    Timestamp,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Interval at which expired origins are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a replaced process run is remembered; gateways learn of it much sooner.
const REPLACED_RETENTION: Duration = Duration::from_secs(600);

/// Settings of an [`OriginTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableSettings {
    /// Maximum number of streams; further ones are not recorded.
    pub maximum: usize,
    /// Time after the begin of a leadership in which gateways state again what they know.
    pub settle: Duration,
    /// Time before a process run is known to be replaced in which the new run may already have
    /// answered at its address.
    pub run_uncertainty: Duration,
}

impl Default for TableSettings {
    fn default() -> Self {
        TableSettings {
            maximum: 500_000,
            settle: Duration::from_secs(2),
            run_uncertainty: Duration::from_secs(5),
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// None if it is not known: two origins were stated, or another process run may have begun it.
    origin: Option<Arc<StreamOrigin>>,
    begun_at: Timestamp,
    kept_until: Timestamp,
}

/// Origins of the streams of all gateways.
#[derive(Debug)]
pub struct OriginTable {
    settings: TableSettings,
    created_at: Timestamp,
    settled_at: Timestamp,
    streams: HashMap<StreamKey, Entry>,
    /// Process runs that were found to be replaced, and when.
    replaced: BTreeMap<InstanceId, Timestamp>,
    /// Shared by the streams that began there.
    origins: BTreeMap<InstanceId, Arc<StreamOrigin>>,
    swept_at: Timestamp,
    dropped: u64,
}

impl OriginTable {
    /// Creates the table of a leader that begins now.
    pub fn new(now: Timestamp, settings: TableSettings) -> Self {
        OriginTable {
            settings,
            created_at: now,
            settled_at: now + settings.settle,
            replaced: BTreeMap::new(),
            streams: HashMap::new(),
            origins: BTreeMap::new(),
            swept_at: now,
            dropped: 0,
        }
    }

    /// Number of recorded streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Number of streams that were not recorded for lack of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records the streams that a gateway states, and answers its questions. `is_replaced` states whether
    /// a later process run of the same instance is known.
    pub fn handle(
        &mut self,
        now: Timestamp,
        report: StreamReport,
        is_replaced: impl Fn(&InstanceId) -> bool,
    ) -> Vec<OriginAnswer> {
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.sweep(now);
        }
        for group in report.begun {
            let origin = group.origin.map(|origin| self.shared(origin));
            let uncertain_from = origin
                .as_ref()
                .and_then(|origin| self.uncertain_from(&origin.instance, &is_replaced));
            for begun in group.streams {
                let age = Duration::from_millis(begun.age_millis.into());
                let kept = Duration::from_millis(begun.kept_millis.into());
                let begun_at = now.earlier(age);
                let is_certain = uncertain_from.is_none_or(|from| begun_at < from);
                let entry = Entry {
                    origin: origin.clone().filter(|_| is_certain),
                    begun_at,
                    kept_until: now + kept,
                };
                self.record(begun.stream, entry);
            }
        }
        let answer = |stream: StreamKey| OriginAnswer {
            finding: self.finding(now, &stream),
            stream,
        };
        report.lookups.into_iter().map(answer).collect()
    }

    /// Records that a process run of an instance was found to be replaced: which of the two began the
    /// streams shortly before is not known.
    pub fn run_replaced(&mut self, now: Timestamp, earlier: &InstanceId) {
        self.replaced.entry(earlier.clone()).or_insert(now);
        let uncertain_from = now.earlier(self.settings.run_uncertainty);
        for entry in self.streams.values_mut() {
            let began_there = |origin: &Arc<StreamOrigin>| origin.instance == *earlier;
            if entry.begun_at >= uncertain_from && entry.origin.as_ref().is_some_and(began_there) {
                entry.origin = None;
            }
        }
    }

    /// Returns from when on another process run than this one may have begun its streams.
    fn uncertain_from(
        &mut self,
        instance: &InstanceId,
        is_replaced: impl Fn(&InstanceId) -> bool,
    ) -> Option<Timestamp> {
        if !self.replaced.contains_key(instance) && is_replaced(instance) {
            // It was replaced under an earlier leader, or announced itself to nobody since.
            self.replaced.insert(instance.clone(), self.created_at);
        }
        let replaced_at = self.replaced.get(instance)?;
        Some(replaced_at.earlier(self.settings.run_uncertainty))
    }

    fn record(&mut self, stream: StreamKey, entry: Entry) {
        if let Some(known) = self.streams.get_mut(&stream) {
            if known.origin != entry.origin {
                known.origin = None;
            }
            known.begun_at = known.begun_at.max(entry.begun_at);
            known.kept_until = known.kept_until.max(entry.kept_until);
            return;
        }
        if self.streams.len() >= self.settings.maximum {
            self.dropped += 1;
            return;
        }
        self.streams.insert(stream, entry);
    }

    fn finding(&self, now: Timestamp, stream: &StreamKey) -> OriginFinding {
        let known = self.streams.get(stream);
        match known.filter(|entry| now < entry.kept_until) {
            Some(Entry {
                origin: Some(origin),
                ..
            }) => OriginFinding::Known(StreamOrigin::clone(origin)),
            Some(Entry { origin: None, .. }) => OriginFinding::Contradicted,
            None if now < self.settled_at => {
                let left = self.settled_at.since(now).as_millis();
                OriginFinding::Unsettled(u64::try_from(left).unwrap_or(u64::MAX))
            }
            None => OriginFinding::Unknown,
        }
    }

    fn shared(&mut self, origin: StreamOrigin) -> Arc<StreamOrigin> {
        match self.origins.get(&origin.instance) {
            Some(shared) if **shared == origin => shared.clone(),
            _ => {
                let shared = Arc::new(origin);
                self.origins.insert(shared.instance.clone(), shared.clone());
                shared
            }
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        self.swept_at = now;
        self.streams.retain(|_, entry| now < entry.kept_until);
        self.origins
            .retain(|_, origin| Arc::strong_count(origin) > 1);
        self.replaced
            .retain(|_, at| now.since(*at) < REPLACED_RETENTION);
    }
}
