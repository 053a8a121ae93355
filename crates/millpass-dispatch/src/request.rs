//! A request as the front door describes it, and its progress.

use millpass_proto::{
    AdapterName, Duration, InstanceId, ModelName, RequestFingerprint, RouteKind, RouteSpec,
    ServiceName, TenantAccess, Timestamp,
};
use millpass_tenancy::PresentedKey;
use std::sync::Arc;

/// Part of the objective for which a request waits for what is not there, as its inverse.
const PATIENCE_PARTS: u32 = 5;

/// One part of a prompt; requests that begin with the same parts share what an engine has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part, as a hash.
    pub identity: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request says of itself; filled by the front door.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDescription {
    /// The caller's name for this attempt.
    pub attempt: String,
    /// How long the caller waits, from its arrival here.
    pub timeout: Option<Duration>,
    /// Model asked for.
    pub model: Option<ModelName>,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The caller's key.
    pub key: PresentedKey,
    /// Tokens of the prompt and the most that may be made.
    pub tokens: StatedTokens,
    /// What its tries share.
    pub fingerprint: RequestFingerprint,
}

/// The tokens that a request states it may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedTokens {
    /// None are stated.
    #[default]
    Missing,
    /// Prompt and answer together.
    Sum(u64),
    /// What stands there are no figures, or stands there twice.
    Malformed,
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// What it says of itself.
    pub description: RequestDescription,
    /// Its route, as in force when it arrived.
    pub route: Arc<RouteSpec>,
    /// The service it goes to.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the caller gives up, or the route's time is over.
    pub expires_at: Timestamp,
    /// When the caller gives up; engines are told.
    pub deadline: Timestamp,
    /// Instances it was offered to.
    pub tried: Vec<InstanceId>,
    /// Times it may have reached an instance.
    pub sends: u32,
    /// Whether its need for a model was noted.
    pub need_noted: Option<Timestamp>,
    /// The tenant it belongs to; none where callers need no key.
    pub tenant: Option<Arc<TenantAccess>>,
    /// Its rank among all requests: the tenant's first, then the route's; 0 is the most urgent.
    pub rank: u32,
    /// When it was last sent.
    pub sent_at: Option<Timestamp>,
    /// For which instance it last looked for a permit, and when.
    pub(crate) permit_wanted: Option<(InstanceId, Timestamp)>,
    /// Since when it waits for what the gateway knows to be confirmed.
    pub(crate) unconfirmed_since: Option<Timestamp>,
}

/// A send under way: whom it counts for when it ends.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// Instance.
    pub instance: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Model asked for.
    pub model: Option<ModelName>,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// What its tries share.
    pub fingerprint: RequestFingerprint,
}

impl Ticket {
    /// The record of a send to an instance.
    pub fn send_record(&self, instance: &InstanceId) -> SendRecord {
        SendRecord {
            instance: instance.clone(),
            service: self.service.clone(),
            model: self.description.model.clone(),
            adapter: self.description.adapter.clone(),
            fingerprint: self.description.fingerprint.clone(),
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.route.resumable,
        }
    }

    /// When the caller leaves if nothing has come.
    pub fn leaves_at(&self) -> Timestamp {
        match self.route.first_event_millis {
            0 => self.expires_at,
            millis => self
                .expires_at
                .min(self.arrived + Duration::from_millis(millis)),
        }
    }

    /// Until when it waits for something that it needs and that is not there: a fifth of its objective. A caller that is
    /// refused by then can still be served in time elsewhere.
    pub(crate) fn patient_until(&self) -> Timestamp {
        self.arrived + self.objective() / PATIENCE_PARTS
    }

    /// Time within which an answer is on time.
    pub fn objective(&self) -> Duration {
        let patience = self.expires_at.since(self.arrived);
        match self.route.objective_millis {
            0 => patience,
            millis => Duration::from_millis(millis).min(patience),
        }
    }
}
