//! The gateway's view of one instance: what it announced, this gateway's own sends, and how those
//! ended.

use crate::prompts::PromptIndex;
use millpass_proto::{AdapterName, Duration, InstanceRecord, ModelName, Timestamp};

/// Shortest time an instance is left out after it could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// Longest such time.
const MAXIMUM_PAUSE: Duration = Duration::from_millis(4_000);
/// Time for which an instance is not asked again for what it turned away.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(300);
/// Weight of the newest send in the averaged share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time after which a reported load has lost most of its meaning.
const LOAD_LIFETIME_SECONDS: f64 = 1.0;
/// Time after which what all gateways have in flight there has lost most of its meaning: some intervals of
/// reports and updates.
const FLEET_LIFETIME_SECONDS: f64 = 1.5;
/// Time over which the share of failures is forgotten.
const FAILURE_LIFETIME_SECONDS: f64 = 4.0;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was answered, after this time.
    Responded(Duration),
    /// It was turned away and did not run: no room.
    Full,
    /// It was turned away: what was asked for is not there.
    Misdirected,
    /// It was turned away: another run is at the address.
    Replaced,
    /// The instance could not be connected to: the request did not reach it.
    Unreachable,
    /// Its address refuses connections: the run has ended, and the request did not reach it.
    ConnectionRefused,
    /// It failed: an error of the server or a wrong answer.
    Failed,
    /// The connection broke before the answer was whole.
    Broken,
    /// It was given up: the caller left or its time was over.
    Abandoned,
}

/// The load that an instance tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// One instance.
pub(crate) struct Instance {
    pub(crate) record: InstanceRecord,
    /// Of the record, as the leader digests its own.
    pub(crate) digest: u64,
    /// This gateway's requests in flight there.
    pub(crate) in_flight: u32,
    /// Work of others there when it last told its load: running and waiting, less own.
    others: f64,
    /// Requests that waited there then.
    waiting: f64,
    others_at: Timestamp,
    /// Own requests in flight there in the last report.
    reported: u32,
    /// Requests of other gateways there, as the leader last told, and when.
    of_gateways: u32,
    of_gateways_at: Timestamp,
    /// When the prompts this gateway sent will have been read.
    pub(crate) reading_until: Timestamp,
    pub(crate) prompts: PromptIndex,
    /// What it turned away because it is not there, and until when it is not asked again.
    absent: Vec<(ModelName, Option<AdapterName>, Timestamp)>,
    left_out_until: Timestamp,
    pause: Duration,
    failures: f64,
    failures_at: Timestamp,
    /// Averaged time to the first byte of an answer, in milliseconds; 0 while unknown.
    pub(crate) answer_millis: f64,
}

impl Instance {
    pub(crate) fn new(record: InstanceRecord) -> Self {
        Instance {
            digest: record.digest(),
            record,
            in_flight: 0,
            others: 0.0,
            waiting: 0.0,
            others_at: Timestamp::ZERO,
            reported: 0,
            of_gateways: 0,
            of_gateways_at: Timestamp::ZERO,
            reading_until: Timestamp::ZERO,
            prompts: PromptIndex::default(),
            absent: Vec::new(),
            left_out_until: Timestamp::ZERO,
            pause: UNREACHABLE_PAUSE,
            failures: 0.0,
            failures_at: Timestamp::ZERO,
            answer_millis: 0.0,
        }
    }

    /// Takes a newer record. Draining is never taken back.
    pub(crate) fn update(&mut self, record: InstanceRecord) {
        let draining = self.record.draining || record.draining;
        let lost_model = self
            .record
            .models
            .iter()
            .any(|held| !record.models.iter().any(|new| new.model == held.model));
        if lost_model {
            self.prompts.clear();
        }
        self.record = record;
        self.record.draining = draining;
        self.digest = self.record.digest();
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.record.models.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Notes that it turned a model, or model with adapter, away.
    pub(crate) fn turned_away(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        self.absent.retain(|(_, _, until)| now < *until);
        let until = now + MISDIRECTED_PAUSE;
        self.absent.push((model.clone(), adapter.cloned(), until));
    }

    /// Whether it turned this away a moment ago.
    pub(crate) fn lacks(
        &self,
        now: Timestamp,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        self.absent.iter().any(|(lacked, lacked_adapter, until)| {
            now < *until && lacked == model && lacked_adapter.as_ref() == adapter
        })
    }

    /// Estimated requests there: own ones, and those of others as it told itself or as the leader told,
    /// whichever is more.
    pub(crate) fn load(&self, now: Timestamp) -> f64 {
        let age = now.since(self.others_at).as_secs_f64();
        let told = self.others * (-age / LOAD_LIFETIME_SECONDS).exp();
        let age = now.since(self.of_gateways_at).as_secs_f64();
        let of_gateways = f64::from(self.of_gateways) * (-age / FLEET_LIFETIME_SECONDS).exp();
        f64::from(self.in_flight) + told.max(of_gateways)
    }

    /// What this gateway has in flight there is being reported.
    pub(crate) fn report(&mut self) -> u32 {
        self.reported = self.in_flight;
        self.in_flight
    }

    /// Takes what all gateways have in flight there.
    pub(crate) fn told_in_flight(&mut self, now: Timestamp, requests: u32) {
        self.of_gateways = requests.saturating_sub(self.reported);
        self.of_gateways_at = now;
    }

    /// Estimated requests that wait there, as last told.
    pub(crate) fn waiting(&self, now: Timestamp) -> f64 {
        let age = now.since(self.others_at).as_secs_f64();
        self.waiting * (-age / LOAD_LIFETIME_SECONDS).exp()
    }

    /// Takes the load that the instance told with an answer.
    pub(crate) fn record_load(&mut self, now: Timestamp, load: ReportedLoad) {
        let requests = f64::from(load.running) + f64::from(load.waiting);
        self.others = (requests - f64::from(self.in_flight)).max(0.0);
        self.waiting = f64::from(load.waiting);
        self.others_at = now;
    }

    /// Leaves it out: its address refuses connections.
    pub(crate) fn leave_out(&mut self, now: Timestamp) {
        self.left_out_until = now + MAXIMUM_PAUSE;
    }

    /// Whether it is left out because it could not be reached.
    pub(crate) fn is_left_out(&self, now: Timestamp) -> bool {
        now < self.left_out_until
    }

    /// Averaged share of failed sends, from 0 to 1; forgotten over some seconds.
    pub(crate) fn failures(&self, now: Timestamp) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_LIFETIME_SECONDS).exp()
    }

    /// Notes how a send ended.
    pub(crate) fn ended(&mut self, now: Timestamp, end: SendOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match end {
            SendOutcome::Responded(time) => {
                self.pause = UNREACHABLE_PAUSE;
                let millis = time.as_secs_f64() * 1_000.0;
                self.answer_millis = if self.answer_millis == 0.0 {
                    millis
                } else {
                    self.answer_millis * 0.8 + millis * 0.2
                };
                0.0
            }
            SendOutcome::Full => {
                self.others = f64::from(self.record.slots.max(1)) * 1.2;
                self.others_at = now;
                return;
            }
            SendOutcome::Misdirected | SendOutcome::Replaced | SendOutcome::Abandoned => return,
            SendOutcome::Unreachable | SendOutcome::ConnectionRefused => {
                self.left_out_until = now + self.pause;
                self.pause = (self.pause * 2).min(MAXIMUM_PAUSE);
                1.0
            }
            SendOutcome::Failed | SendOutcome::Broken => 1.0,
        };
        self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        self.failures_at = now;
    }
}
