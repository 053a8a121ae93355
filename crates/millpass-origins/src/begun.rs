//! Streams that one gateway relays, and its questions to the leader.

use millpass_proto::{
    BegunStream, Duration, InstanceId, OriginAnswer, OriginFinding, OriginGroup, StreamDemand,
    StreamKey, StreamOrigin, StreamReport, Timestamp,
};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of streams in one report.
const MAX_REPORTED: usize = 256;
/// Least time between two reports for each gateway, so that the leader receives at most 4,000 a
/// second from all of them.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_micros(250);

/// Interval at which the leader is asked again for a stream that has not been stated yet.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a statement takes to the leader besides its interval: transit and processing.
const STATEMENT_DELAY: Duration = Duration::from_millis(60);

/// Settings of [`BegunStreams`].
#[derive(Clone, Copy, Debug)]
pub struct BegunSettings {
    /// Time after its caller's deadline for which an origin is kept.
    pub retention: Duration,
    /// Time for which a request waits for the leader's answer.
    pub lookup_timeout: Duration,
    /// Time for which a request waits until it is certain which process run began its stream, or is behind
    /// a connection.
    pub proof_timeout: Duration,
    /// Least time between two reports of begun streams.
    pub report_interval: Duration,
    /// Maximum number of origins; the oldest are forgotten first.
    pub maximum: usize,
}

impl Default for BegunSettings {
    fn default() -> Self {
        BegunSettings {
            retention: Duration::from_secs(15),
            lookup_timeout: Duration::from_millis(400),
            proof_timeout: Duration::from_millis(3_000),
            report_interval: Duration::from_millis(20),
            maximum: 20_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Begun {
    /// None if two streams under the key began at different origins.
    origin: Option<StreamOrigin>,
    /// When the connection was opened that brought its first event; none if it is certain that the
    /// process run of the origin was behind it.
    opened_at: Option<Timestamp>,
    begun_at: Timestamp,
    kept_until: Timestamp,
}

/// A question to the leader.
#[derive(Debug)]
struct Lookup {
    asked_at: Option<Timestamp>,
    /// Requests that wait for the answer.
    waiting: u32,
    finding: Option<OriginFinding>,
}

impl Lookup {
    /// Returns when to ask the leader; none while its answer is awaited or known.
    fn due_at(&self, now: Timestamp) -> Option<Timestamp> {
        match (self.asked_at, &self.finding) {
            (None, _) => Some(now),
            (
                Some(at),
                Some(
                    OriginFinding::Unknown | OriginFinding::Unsettled(_) | OriginFinding::Unproven,
                ),
            ) => Some(at + REPEAT_INTERVAL),
            (Some(_), _) => None,
        }
    }
}

/// Streams that a gateway relays or relayed.
#[derive(Debug)]
pub struct BegunStreams {
    settings: BegunSettings,
    streams: HashMap<StreamKey, Begun>,
    by_expiry: BTreeMap<(Timestamp, u64), StreamKey>,
    number: u64,
    /// Streams to be stated, in the order in which they began.
    unstated: Vec<StreamKey>,
    stated_at: Option<Timestamp>,
    lookups: HashMap<StreamKey, Lookup>,
    /// Demand to be stated.
    waiting: Vec<StreamDemand>,
    is_connected: bool,
}

impl BegunStreams {
    /// Creates an empty set.
    pub fn new(settings: BegunSettings) -> Self {
        BegunStreams {
            settings,
            streams: HashMap::new(),
            by_expiry: BTreeMap::new(),
            number: 0,
            unstated: Vec::new(),
            stated_at: None,
            lookups: HashMap::new(),
            waiting: Vec::new(),
            is_connected: false,
        }
    }

    /// Number of known origins.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Records that the first event of a stream was relayed, and its origin if that is known. Its caller
    /// leaves at `deadline`. `opened_at` is when the connection to the origin was opened; none if it is
    /// certain that its process run was behind it.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        origin: Option<StreamOrigin>,
        opened_at: Option<Timestamp>,
        deadline: Timestamp,
    ) {
        self.expire(now);
        let kept_until = deadline.max(now) + self.settings.retention;
        let begun = match self.streams.get(&key) {
            Some(known) => Begun {
                origin: known
                    .origin
                    .clone()
                    .filter(|known| Some(known) == origin.as_ref()),
                opened_at: known.opened_at.max(opened_at),
                begun_at: now,
                kept_until: known.kept_until.max(kept_until),
            },
            None => Begun {
                origin,
                opened_at,
                begun_at: now,
                kept_until,
            },
        };
        self.number += 1;
        let position = (begun.kept_until, self.number);
        self.by_expiry.insert(position, key.clone());
        self.streams.insert(key.clone(), begun);
        self.unstated.push(key);
        while self.streams.len() > self.settings.maximum {
            self.forget_oldest();
        }
    }

    /// Records that a process run of an instance has announced itself: it may have begun the streams
    /// recorded for earlier runs.
    pub fn run_began(&mut self, run: &InstanceId) {
        for (key, begun) in &mut self.streams {
            let origin = begun.origin.as_ref();
            if origin.is_some_and(|origin| origin.instance.is_before(run)) {
                begun.origin = None;
                self.unstated.push(key.clone());
            }
        }
    }

    /// Returns whether the recorded origin of a stream turned out not to be certain.
    pub fn is_uncertain(&self, key: &StreamKey) -> bool {
        let begun = self.streams.get(key);
        begun.is_some_and(|begun| begun.origin.is_none())
    }

    /// Marks the origins as certain whose process run was behind the connection that was opened then.
    pub fn confirm(&mut self, is_behind: impl Fn(&InstanceId, Timestamp) -> bool) {
        for begun in self.streams.values_mut() {
            if let (Some(origin), Some(opened)) = (&begun.origin, begun.opened_at)
                && is_behind(&origin.instance, opened)
            {
                begun.opened_at = None;
            }
        }
    }

    /// Returns the process run that is to be confirmed for a stream; none if its origin is certain or not
    /// known.
    pub fn unconfirmed_run(&self, key: &StreamKey) -> Option<&InstanceId> {
        let begun = self.streams.get(key)?;
        begun.opened_at?;
        begun.origin.as_ref().map(|origin| &origin.instance)
    }

    /// Records that a report arrived at a new leader: it is stated all origins, and asked again.
    pub fn connected(&mut self) {
        self.is_connected = true;
        self.stated_at = None;
        let mut begun: Vec<(&StreamKey, Timestamp)> = self
            .streams
            .iter()
            .map(|(key, begun)| (key, begun.begun_at))
            .collect();
        begun.sort_by_key(|(_, at)| *at);
        self.unstated = begun.into_iter().map(|(key, _)| key.clone()).collect();
        for lookup in self.lookups.values_mut() {
            lookup.asked_at = None;
        }
    }

    /// Records the end of the connection to the leader.
    pub fn disconnected(&mut self) {
        self.is_connected = false;
    }

    /// Returns when the next report is due; none if there is nothing to state or ask.
    pub fn report_at(&self, now: Timestamp, gateways: u32) -> Option<Timestamp> {
        if !self.is_connected {
            return None;
        }
        let stated_at = self
            .stated_at
            .map_or(now, |at| at + self.interval(gateways));
        let statement = (!self.unstated.is_empty()).then_some(stated_at);
        let lookups = self.lookups.values().filter_map(|it| it.due_at(now));
        let demand = (!self.waiting.is_empty()).then_some(now);
        lookups.chain(statement).chain(demand).min()
    }

    fn interval(&self, gateways: u32) -> Duration {
        let least = INTERVAL_PER_GATEWAY * gateways;
        self.settings.report_interval.max(least)
    }

    /// Returns what to state to the leader and ask it now, if anything is due.
    pub fn report(&mut self, now: Timestamp, gateways: u32) -> Option<StreamReport> {
        let due = self.report_at(now, gateways)?;
        if now < due {
            return None;
        }
        let mut lookups = Vec::new();
        for (key, lookup) in &mut self.lookups {
            if lookup.due_at(now).is_some_and(|at| at <= now) {
                lookup.asked_at = Some(now);
                lookups.push(key.clone());
            }
        }
        Some(StreamReport {
            begun: self.take_unstated(now, gateways),
            lookups,
            waiting: std::mem::take(&mut self.waiting),
        })
    }

    /// Takes the streams to state now. Questions do not make statements more frequent.
    fn take_unstated(&mut self, now: Timestamp, gateways: u32) -> Vec<OriginGroup> {
        let interval = self.interval(gateways);
        if self.stated_at.is_some_and(|at| now < at + interval) {
            return Vec::new();
        }
        self.stated_at = Some(now);
        let taken = self.unstated.len().min(MAX_REPORTED);
        let mut groups: Vec<OriginGroup> = Vec::new();
        for key in self.unstated.drain(..taken) {
            if let Some(begun) = self.streams.get(&key) {
                add_to_group(&mut groups, now, key, begun);
            }
        }
        groups
    }

    /// Records a request that waits for a model at the software version of its stream.
    pub fn record_waiting(&mut self, demand: StreamDemand) {
        let is_same = |it: &&mut StreamDemand| {
            (&it.service, &it.model, &it.adapter, &it.software)
                == (
                    &demand.service,
                    &demand.model,
                    &demand.adapter,
                    &demand.software,
                )
        };
        match self.waiting.iter_mut().find(is_same) {
            Some(known) => known.requests = known.requests.saturating_add(demand.requests),
            None => self.waiting.push(demand),
        }
    }

    /// Begins to ask for the origin of a stream. [`BegunStreams::end_lookup`] must follow.
    pub fn begin_lookup(&mut self, key: &StreamKey) {
        let lookup = self.lookups.entry(key.clone()).or_insert(Lookup {
            asked_at: None,
            waiting: 0,
            finding: None,
        });
        lookup.waiting += 1;
        if lookup.finding.is_some() {
            // An earlier answer may be out of date.
            lookup.finding = None;
            lookup.asked_at = None;
        }
    }

    /// Ends a question.
    pub fn end_lookup(&mut self, key: &StreamKey) {
        if let Some(lookup) = self.lookups.get_mut(key) {
            lookup.waiting = lookup.waiting.saturating_sub(1);
            if lookup.waiting == 0 {
                self.lookups.remove(key);
            }
        }
    }

    /// Applies the leader's answers.
    pub fn apply(&mut self, answers: Vec<OriginAnswer>) {
        for answer in answers {
            if let Some(lookup) = self.lookups.get_mut(&answer.stream) {
                lookup.finding = Some(answer.finding);
            }
        }
    }

    /// Returns what is known of a stream at `now`, which was asked for at `since`; none to wait for
    /// the leader. Without an answer in time this gateway's own knowledge counts. A stream is unknown
    /// only once a gateway that began it just before would have stated it.
    pub fn finding(
        &self,
        now: Timestamp,
        since: Timestamp,
        key: &StreamKey,
        gateways: u32,
    ) -> Option<OriginFinding> {
        let own = self.own_finding(now, key);
        let lookup = self.lookups.get(key);
        let stated = lookup.and_then(|lookup| lookup.finding.clone());
        match (own, stated) {
            (Some(OriginFinding::Known(own)), Some(OriginFinding::Known(stated))) => {
                Some(match own == stated {
                    true => OriginFinding::Known(own),
                    false => OriginFinding::Contradicted,
                })
            }
            (Some(OriginFinding::Contradicted), _) => Some(OriginFinding::Contradicted),
            (Some(own), Some(OriginFinding::Unknown | OriginFinding::Unsettled(_))) => Some(own),
            (None, Some(OriginFinding::Unknown)) if now < self.stated_until(since, gateways) => {
                None
            }
            (None, Some(OriginFinding::Unsettled(_)))
                if now < since + self.settings.lookup_timeout =>
            {
                None
            }
            (_, Some(OriginFinding::Unproven)) if now < since + self.settings.proof_timeout => None,
            (_, Some(stated)) => Some(stated),
            (own, None) if now >= since + self.settings.lookup_timeout => {
                let millis = self.settings.lookup_timeout.as_millis();
                let retry_after = u64::try_from(millis).unwrap_or(u64::MAX);
                Some(own.unwrap_or(OriginFinding::Unsettled(retry_after)))
            }
            (_, None) => None,
        }
    }

    /// Returns when to check again for an answer to a question asked at `since`.
    pub fn check_at(&self, now: Timestamp, since: Timestamp, gateways: u32) -> Timestamp {
        let checks = [
            since + self.settings.lookup_timeout,
            since + self.settings.proof_timeout,
            self.stated_until(since, gateways),
        ];
        let next = checks.into_iter().filter(|at| now < *at).min();
        next.unwrap_or(now + REPEAT_INTERVAL)
    }

    /// Returns when a stream that began before `since` has been stated to the leader.
    fn stated_until(&self, since: Timestamp, gateways: u32) -> Timestamp {
        let delay = self.interval(gateways) + STATEMENT_DELAY;
        since + delay.min(self.settings.lookup_timeout)
    }

    fn own_finding(&self, now: Timestamp, key: &StreamKey) -> Option<OriginFinding> {
        let begun = self.streams.get(key)?;
        let finding = match &begun.origin {
            Some(_) if begun.opened_at.is_some() => return None,
            Some(origin) => OriginFinding::Known(origin.clone()),
            None => OriginFinding::Contradicted,
        };
        (now < begun.kept_until).then_some(finding)
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((&(kept_until, _), _)) = self.by_expiry.first_key_value()
            && kept_until <= now
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(((kept_until, _), key)) = self.by_expiry.pop_first() else {
            return;
        };
        // A stream whose time was extended has a later entry.
        if self
            .streams
            .get(&key)
            .is_some_and(|it| it.kept_until <= kept_until)
        {
            self.streams.remove(&key);
        }
    }
}

fn add_to_group(groups: &mut Vec<OriginGroup>, now: Timestamp, key: StreamKey, begun: &Begun) {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let stream = BegunStream {
        stream: key,
        kept_millis: millis(begun.kept_until.since(now)),
        opened_millis: begun.opened_at.map(|at| millis(now.since(at))),
    };
    match groups.iter_mut().find(|group| group.origin == begun.origin) {
        Some(group) => group.streams.push(stream),
        None => groups.push(OriginGroup {
            origin: begun.origin.clone(),
            streams: vec![stream],
        }),
    }
}
