//! What the callers' and instances' wire format says. A translation fills these types; it decides
//! nothing.

use http::{HeaderMap, Method, StatusCode, Uri};
use millpass_dispatch::{ReportedLoad, RequestDescription, Statement};
use millpass_proto::{Duration, InstanceId, TenantName};

/// What a send to an instance states beside the caller's own words.
#[derive(Clone, Debug)]
pub struct SendFacts<'a> {
    /// Time the caller still waits.
    pub remaining: Duration,
    /// Run that the request is for; any other turns it away.
    pub instance: &'a InstanceId,
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// Tenant it belongs to; none where callers need no key.
    pub tenant: Option<&'a TenantName>,
    /// Event after which a stream goes on.
    pub last_event: Option<&'a str>,
}

/// What an instance's answer says beside its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Attempt that it answers.
    pub attempt: Option<String>,
    /// The instance states that the request did not run.
    pub not_executed: bool,
    /// Another run is at the address, or what was asked for is not there; it did not run.
    pub misdirected: bool,
    /// Instance that answers, where it says so; which of its runs is not said.
    pub instance: Option<InstanceId>,
    /// Requests running and waiting there.
    pub load: Option<ReportedLoad>,
    /// What it states of itself beside its load.
    pub statement: Statement,
    /// Time an idle connection is kept open there.
    pub keep_alive: Option<Duration>,
}

/// A wire format between callers, gateway and instances, over HTTP/1.1.
pub trait Interface: Send + Sync + 'static {
    /// Whether a request to the readiness address asks for readiness.
    fn is_readiness(&self, method: &Method, uri: &Uri) -> bool;

    /// Describes a request.
    fn describe(&self, headers: &HeaderMap) -> RequestDescription;

    /// Removes from a caller's head what only the system may set, and what no instance may see.
    fn strip_reserved(&self, headers: &mut HeaderMap);

    /// States the facts of a send in the headers that go to the instance.
    fn state_send(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);

    /// Reads what an answer's head says.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Marks an answer of the gateway's own with the attempt it is for.
    fn mark_answer(&self, headers: &mut HeaderMap, attempt: &str);
}
