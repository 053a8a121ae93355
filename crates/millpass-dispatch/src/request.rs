//! Description and progress of a request.

use crate::admission::WaiterNumber;
use crate::waiting::QueueFacts;
use millpass_proto::{
    AdapterName, Duration, InstanceId, ModelName, RequestFingerprint, RouteKind, RouteSpec,
    ServiceName, SoftwareStatement, SoftwareVersion, StreamOrigin, TenantAccess, Timestamp,
};
use millpass_tenancy::{CreditUse, PresentedKey};
use std::sync::Arc;

/// Fraction of the objective for which a request waits for a missing resource, as its inverse.
const WAIT_LIMIT_DIVISOR: u32 = 5;

/// One part of a prompt. Engines reuse the parts that requests share from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the part.
    pub identity: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Request data extracted from the headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDescription {
    /// Attempt identifier set by the caller.
    pub attempt: String,
    /// Caller's timeout, from the arrival of the request; none if not stated.
    pub timeout: Option<Duration>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Requested adapter.
    pub adapter: Option<AdapterName>,
    /// Parts of the prompt, in order.
    pub prompt: Arc<[PromptPart]>,
    /// Key presented by the caller.
    pub key: PresentedKey,
    /// Tokens of the prompt and the maximum to generate.
    pub tokens: StatedTokens,
    /// Fingerprint shared by all attempts.
    pub fingerprint: RequestFingerprint,
    /// Stream that the caller takes up again; none for a new request.
    pub continuation: Option<Continuation>,
}

/// A stream that a caller takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Attempt that brought its first event, if stated.
    pub attempt: Option<String>,
    /// Last event that the caller has.
    pub last_event: String,
}

/// Token counts that a request states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedTokens {
    /// Not stated.
    #[default]
    Missing,
    /// Prompt and output tokens together.
    Sum(u64),
    /// Malformed, or stated twice.
    Malformed,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Request data extracted from the headers.
    pub description: RequestDescription,
    /// Route in force when it arrived.
    pub route: Arc<RouteSpec>,
    /// Target service.
    pub service: ServiceName,
    /// Arrival time.
    pub arrived: Timestamp,
    /// When the caller's deadline or the route's timeout expires, whichever is first.
    pub expires_at: Timestamp,
    /// The caller's deadline, forwarded to engines.
    pub deadline: Timestamp,
    /// Instances that it was sent to.
    pub tried: Vec<InstanceId>,
    /// Sends that may have reached an instance.
    pub sends: u32,
    /// When its demand for a model was last recorded.
    pub demand_recorded_at: Option<Timestamp>,
    /// Its tenant; none where callers need no key.
    pub tenant: Option<Arc<TenantAccess>>,
    /// Its rank among all requests, first by tenant, then by route; 0 is the most urgent.
    pub rank: u32,
    /// Units that it uses from its tenant's quota, once they are granted.
    pub credit: Option<CreditUse>,
    /// Times of its sends, also of those that an instance rejected.
    pub send_times: Vec<Timestamp>,
    /// When it was last sent.
    pub sent_at: Option<Timestamp>,
    /// Software of the instance that it was last sent to, as known then.
    pub software: SoftwareStatement,
    /// When the connection was opened that it was last sent on; none if it has not been sent.
    pub connection_opened_at: Option<Timestamp>,
    /// Events that its caller has.
    pub progress: StreamProgress,
    /// Whether instances believed to be slow are selected as if they were typical.
    pub(crate) explores: bool,
    /// Time to the first byte of its last send at a typical engine, in milliseconds; 0 if not
    /// sent to an engine.
    pub(crate) typical_millis: f64,
    /// Instance for which it last requested a permit, and when.
    pub(crate) permit_requested: Option<(InstanceId, Timestamp)>,
    /// Since when it has been waiting for a freshness confirmation.
    pub(crate) unconfirmed_since: Option<Timestamp>,
    /// Its number in the queues of this gateway, once it has waited.
    pub(crate) waiter: Option<WaiterNumber>,
    /// It is in the queue of its resource.
    pub(crate) waiting: bool,
    /// It waits although it cannot be served within its objective.
    pub(crate) late: bool,
    /// It was last sent into the queue of an instance.
    pub(crate) queued_at_instance: bool,
    /// Its place in the queue when it was last evaluated; none if it never waited.
    pub queue: Option<QueueFacts>,
    /// Set if it is served for another gateway.
    pub forwarded: Option<Forwarded>,
    /// Gateways that it was forwarded to.
    pub forwarded_to: Vec<String>,
    /// Since when it has been waiting for a list of gateways to forward it to.
    pub(crate) peers_awaited_since: Option<Timestamp>,
    /// Its arrival has been recorded as demand, here or at the gateway that forwarded it.
    pub is_arrival_recorded: bool,
}

/// Events of a resumable stream that the caller has, over all its attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamProgress {
    /// None: any instance may begin it.
    #[default]
    NotBegun,
    /// Some: it may go on only at the software version that began it.
    Begun {
        /// Where it began; none if that is not known.
        origin: Option<StreamOrigin>,
    },
}

/// Terms of a request that is served for another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// Gateway that forwarded it.
    pub from: String,
    /// Time after which it must not be sent to an instance; none for its deadline.
    pub start_by: Option<Timestamp>,
}

/// What a gateway states of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTerms {
    /// Gateway that forwards it.
    pub from: String,
    /// Time since its arrival.
    pub elapsed: Duration,
    /// Service chosen by the weights of its route.
    pub service: ServiceName,
    /// Instances that it was sent to.
    pub tried: Vec<InstanceId>,
    /// Its arrival must be recorded as demand.
    pub is_arrival: bool,
    /// Time within which it must be sent to an instance; none for its deadline.
    pub start_within: Option<Duration>,
}

/// Data needed to record the outcome of a send.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// Instance.
    pub instance: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Requested adapter.
    pub adapter: Option<AdapterName>,
    /// Fingerprint shared by all attempts.
    pub fingerprint: RequestFingerprint,
    /// Parts of the prompt, in order.
    pub prompt: Arc<[PromptPart]>,
    /// Tenant; none where callers need no key.
    pub tenant: Option<Arc<TenantAccess>>,
    /// When the instance began a successful response; none before that.
    pub begun_at: Option<Timestamp>,
    /// Time to the first byte at a typical engine, in milliseconds; 0 if not sent to an engine.
    pub(crate) typical_millis: f64,
    /// When it was sent, if its slot was free then.
    pub(crate) slot_taken_at: Option<Timestamp>,
}

impl Ticket {
    /// Returns its number if it is in the queue of its resource: it must decide again when it is
    /// called.
    pub fn waiting(&self) -> Option<WaiterNumber> {
        self.waiter.filter(|_| self.waiting)
    }

    /// Returns the time after which a request of another gateway must not be sent; none for its
    /// deadline.
    pub(crate) fn start_by(&self) -> Option<Timestamp> {
        self.forwarded.as_ref()?.start_by
    }

    /// Returns true if it is served for another gateway and must not be sent any more.
    pub(crate) fn is_past_start(&self, now: Timestamp) -> bool {
        let start_by = self.start_by();
        self.sends == 0 && start_by.is_some_and(|start_by| now >= start_by)
    }

    /// Returns the record of a send to an instance.
    pub fn send_record(&self, instance: &InstanceId) -> SendRecord {
        SendRecord {
            instance: instance.clone(),
            service: self.service.clone(),
            model: self.description.model.clone(),
            adapter: self.description.adapter.clone(),
            fingerprint: self.description.fingerprint.clone(),
            prompt: self.description.prompt.clone(),
            tenant: self.tenant.clone(),
            begun_at: None,
            typical_millis: self.typical_millis,
            slot_taken_at: self.sent_at.filter(|_| !self.queued_at_instance),
        }
    }

    /// Requires a software version, for a gateway that knows where the stream began.
    pub fn require_software(&mut self, software: SoftwareVersion) {
        let origin = StreamOrigin {
            service: self.service.clone(),
            instance: InstanceId::from(""),
            software,
        };
        self.progress = StreamProgress::Begun {
            origin: Some(origin),
        };
    }

    /// Returns the software version that must serve it; none if any may.
    pub fn required_software(&self) -> Option<&SoftwareVersion> {
        match &self.progress {
            StreamProgress::Begun {
                origin: Some(origin),
            } => Some(&origin.software),
            StreamProgress::NotBegun | StreamProgress::Begun { origin: None } => None,
        }
    }

    /// Returns true if it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.route.resumable,
        }
    }

    /// Returns the deadline for the first event of the response.
    pub fn first_event_deadline(&self) -> Timestamp {
        match self.route.first_event_millis {
            0 => self.expires_at,
            millis => self
                .expires_at
                .min(self.arrived + Duration::from_millis(millis)),
        }
    }

    /// Returns when waiting for a missing resource ends: after a fifth of its objective, so that a
    /// refused caller can still be served in time elsewhere.
    pub(crate) fn wait_limit(&self) -> Timestamp {
        self.arrived + self.objective() / WAIT_LIMIT_DIVISOR
    }

    /// Time within which a response is on time.
    pub fn objective(&self) -> Duration {
        let timeout = self.expires_at.since(self.arrived);
        match self.route.objective_millis {
            0 => timeout,
            millis => Duration::from_millis(millis).min(timeout),
        }
    }
}
