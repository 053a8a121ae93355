//! The gateway's view of one instance: its announced state, and this gateway's sends to it.

use crate::pace::EngineSpeed;
use crate::prompts::PromptIndex;
use crate::statements::Stated;
use millpass_proto::{AdapterName, Duration, InstanceRecord, ModelName, Timestamp};

/// Ejection time after the first failed connection; doubles with each further one.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(700);
/// Longest ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(4_000);
/// Time for which a model or adapter that an instance rejected is not requested there again.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(300);
/// Weight of the latest send in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Decay time of a reported load.
const LOAD_DECAY_SECONDS: f64 = 1.0;
/// Decay time of other gateways' requests in flight; several intervals of reports and updates.
const PEER_LOAD_DECAY_SECONDS: f64 = 1.5;
/// Decay time of the failure average.
const FAILURE_DECAY_SECONDS: f64 = 4.0;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A response was received; the duration is the time to its head.
    Responded(Duration),
    /// It was rejected for lack of free slots and did not run.
    Full,
    /// It was rejected because the model or adapter is not loaded there.
    Misdirected,
    /// It was rejected because another process run is at the address.
    Replaced,
    /// The instance could not be reached; the request did not arrive.
    Unreachable,
    /// The address refuses connections: the process run has ended, and the request did not arrive.
    ConnectionRefused,
    /// It could not be sent for a reason of this gateway; the request did not arrive.
    Unsent,
    /// It failed with a server error or an invalid response.
    Failed,
    /// The connection broke before the response was complete.
    Broken,
    /// It was abandoned: the caller disconnected or the time ran out.
    Abandoned,
}

/// The load that an instance reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Time that work currently takes on its machine, in hundredths of the usual time.
    pub machine_time: Stated<u32>,
}

pub(crate) struct Instance {
    pub(crate) record: InstanceRecord,
    /// Digest of the record, computed as by the leader.
    pub(crate) digest: u64,
    /// Requests of this gateway in flight.
    pub(crate) in_flight: u32,
    /// Requests of other senders in the last reported load, running and queued.
    external_load: f64,
    /// Queued requests in the last reported load.
    queued: f64,
    external_load_at: Timestamp,
    /// Requests of this gateway in flight at the time of the last report.
    reported_in_flight: u32,
    /// Requests of other gateways in flight, as last received from the leader.
    peer_in_flight: u32,
    peer_in_flight_at: Timestamp,
    /// When the prompts sent by this gateway will have been read.
    pub(crate) prefill_until: Timestamp,
    pub(crate) prompts: PromptIndex,
    pub(crate) speed: EngineSpeed,
    /// Models and adapters that it rejected as not loaded, and until when they are not requested
    /// again.
    misdirected: Vec<(ModelName, Option<AdapterName>, Timestamp)>,
    ejected_until: Timestamp,
    ejection_time: Duration,
    failures: f64,
    failures_at: Timestamp,
    /// Average time to the first byte in milliseconds; 0 while unknown.
    pub(crate) response_millis: f64,
}

impl Instance {
    pub(crate) fn new(record: InstanceRecord) -> Self {
        Instance {
            digest: record.digest(),
            record,
            in_flight: 0,
            external_load: 0.0,
            queued: 0.0,
            external_load_at: Timestamp::ZERO,
            reported_in_flight: 0,
            peer_in_flight: 0,
            peer_in_flight_at: Timestamp::ZERO,
            prefill_until: Timestamp::ZERO,
            prompts: PromptIndex::default(),
            speed: EngineSpeed::default(),
            misdirected: Vec::new(),
            ejected_until: Timestamp::ZERO,
            ejection_time: MIN_EJECTION_TIME,
            failures: 0.0,
            failures_at: Timestamp::ZERO,
            response_millis: 0.0,
        }
    }

    /// Applies a newer record. Draining is never revoked.
    pub(crate) fn update(&mut self, mut record: InstanceRecord) {
        record.retain_from(&self.record);
        let lost_model = self
            .record
            .models
            .iter()
            .any(|held| !record.models.iter().any(|new| new.model == held.model));
        if lost_model {
            self.prompts.clear();
        }
        self.record = record;
        self.digest = self.record.digest();
    }

    pub(crate) fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.record.models.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Records that a model, or a model with adapter, was rejected as not loaded.
    pub(crate) fn record_misdirected(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        self.misdirected.retain(|(_, _, until)| now < *until);
        let until = now + MISDIRECTED_BACKOFF;
        self.misdirected
            .push((model.clone(), adapter.cloned(), until));
    }

    /// Returns true if this model or adapter was rejected recently.
    pub(crate) fn has_recently_rejected(
        &self,
        now: Timestamp,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        self.misdirected
            .iter()
            .any(|(rejected, rejected_adapter, until)| {
                now < *until && rejected == model && rejected_adapter.as_ref() == adapter
            })
    }

    /// Estimates the requests there: those of this gateway, and those of others as reported by the
    /// instance or by the leader, whichever is more.
    pub(crate) fn load(&self, now: Timestamp) -> f64 {
        let age = now.since(self.external_load_at).as_secs_f64();
        let by_instance = self.external_load * (-age / LOAD_DECAY_SECONDS).exp();
        let age = now.since(self.peer_in_flight_at).as_secs_f64();
        let by_leader = f64::from(self.peer_in_flight) * (-age / PEER_LOAD_DECAY_SECONDS).exp();
        f64::from(self.in_flight) + by_instance.max(by_leader)
    }

    /// Returns the requests of this gateway in flight, which are being reported.
    pub(crate) fn report_in_flight(&mut self) -> u32 {
        self.reported_in_flight = self.in_flight;
        self.in_flight
    }

    /// Records the requests of all gateways in flight.
    pub(crate) fn record_fleet_in_flight(&mut self, now: Timestamp, requests: u32) {
        self.peer_in_flight = requests.saturating_sub(self.reported_in_flight);
        self.peer_in_flight_at = now;
    }

    /// Estimates the queued requests.
    pub(crate) fn queued(&self, now: Timestamp) -> f64 {
        let age = now.since(self.external_load_at).as_secs_f64();
        self.queued * (-age / LOAD_DECAY_SECONDS).exp()
    }

    /// Records the load reported in a response.
    pub(crate) fn record_load(&mut self, now: Timestamp, load: ReportedLoad) {
        let requests = f64::from(load.running) + f64::from(load.waiting);
        self.external_load = (requests - f64::from(self.in_flight)).max(0.0);
        self.queued = f64::from(load.waiting);
        self.external_load_at = now;
    }

    /// Ejects an instance that refuses connections.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.ejected_until = now + MAX_EJECTION_TIME;
    }

    /// Forgets failed connections: the path to the instance works again.
    pub(crate) fn clear_failures(&mut self) {
        self.ejected_until = Timestamp::ZERO;
        self.ejection_time = MIN_EJECTION_TIME;
        self.failures = 0.0;
    }

    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns the moving average of failed sends, from 0 to 1; decays over time.
    pub(crate) fn failures(&self, now: Timestamp) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * (-age / FAILURE_DECAY_SECONDS).exp()
    }

    pub(crate) fn record_send_outcome(&mut self, now: Timestamp, outcome: SendOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match outcome {
            SendOutcome::Responded(time) => {
                self.ejection_time = MIN_EJECTION_TIME;
                let millis = time.as_secs_f64() * 1_000.0;
                self.response_millis = if self.response_millis == 0.0 {
                    millis
                } else {
                    self.response_millis * 0.8 + millis * 0.2
                };
                0.0
            }
            SendOutcome::Full => {
                self.external_load = f64::from(self.record.slots.max(1)) * 1.2;
                self.external_load_at = now;
                return;
            }
            SendOutcome::Misdirected
            | SendOutcome::Replaced
            | SendOutcome::Unsent
            | SendOutcome::Abandoned => return,
            SendOutcome::Unreachable | SendOutcome::ConnectionRefused => {
                self.ejected_until = now + self.ejection_time;
                self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
                1.0
            }
            SendOutcome::Failed | SendOutcome::Broken => 1.0,
        };
        self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        self.failures_at = now;
    }
}
