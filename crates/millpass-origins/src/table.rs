//! Streams of all gateways, at the leader.

use millpass_proto::{
    Duration, InstanceId, OriginAnswer, OriginFinding, StreamKey, StreamOrigin, StreamReport,
    Timestamp,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Interval at which expired origins are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of an [`OriginTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableSettings {
    /// Maximum number of streams; further ones are not recorded.
    pub maximum: usize,
    /// Time after the begin of a leadership in which gateways state again what they know.
    pub settle: Duration,
}

impl Default for TableSettings {
    fn default() -> Self {
        TableSettings {
            maximum: 500_000,
            settle: Duration::from_secs(2),
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// None if it is not known: two origins were stated, or another process run may have begun it.
    origin: Option<Arc<StreamOrigin>>,
    /// When the connection was opened that brought its first event; none if its process run is certain.
    opened_at: Option<Timestamp>,
    kept_until: Timestamp,
}

/// Origins of the streams of all gateways.
#[derive(Debug)]
pub struct OriginTable {
    settings: TableSettings,
    settled_at: Timestamp,
    streams: HashMap<StreamKey, Entry>,
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
            settled_at: now + settings.settle,
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
            let origin = group
                .origin
                .filter(|origin| !is_replaced(&origin.instance))
                .map(|origin| self.shared(origin));
            for begun in group.streams {
                let kept = Duration::from_millis(begun.kept_millis.into());
                let opened = begun
                    .opened_millis
                    .map(|age| Duration::from_millis(age.into()));
                let entry = Entry {
                    origin: origin.clone(),
                    opened_at: opened.map(|age| now.earlier(age)),
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

    /// Records that a process run of an instance has announced itself: it may have begun the streams
    /// recorded for earlier runs.
    pub fn run_began(&mut self, run: &InstanceId) {
        let mut known = run.runs_in(&self.origins);
        if !known.any(|known| known.is_before(run)) {
            return;
        }
        for entry in self.streams.values_mut() {
            let origin = entry.origin.as_ref();
            if origin.is_some_and(|origin| origin.instance.is_before(run)) {
                entry.origin = None;
            }
        }
    }

    /// Records that another process announces itself as this run: it may have begun the streams recorded
    /// for it.
    pub fn run_restarted(&mut self, run: &InstanceId) {
        for entry in self.streams.values_mut() {
            let origin = entry.origin.as_ref();
            if origin.is_some_and(|origin| origin.instance == *run) {
                entry.origin = None;
            }
        }
    }

    fn record(&mut self, stream: StreamKey, entry: Entry) {
        if let Some(known) = self.streams.get_mut(&stream) {
            if known.origin != entry.origin {
                known.origin = None;
            }
            known.opened_at = known.opened_at.max(entry.opened_at);
            known.kept_until = known.kept_until.max(entry.kept_until);
            return;
        }
        if self.streams.len() >= self.settings.maximum {
            self.dropped += 1;
            return;
        }
        self.streams.insert(stream, entry);
    }

    /// Returns when the connection was opened that brought the first event of a stream; none if its process
    /// run is certain.
    pub fn opened_at(&self, stream: &StreamKey) -> Option<Timestamp> {
        self.streams.get(stream)?.opened_at
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
    }
}
