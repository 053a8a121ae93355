//! Headers between a gateway that forwards a request and the gateway that serves it. They are
//! removed from every caller's request and from every response to a caller.

use http::header::InvalidHeaderValue;
use http::{HeaderMap, HeaderName, HeaderValue};
use millpass_dispatch::ForwardTerms;
use millpass_proto::{Duration, InstanceId, ServiceName, SoftwareVersion, TenantName};

const KEY: HeaderName = HeaderName::from_static("millpass-forward-key");
const FROM: HeaderName = HeaderName::from_static("millpass-forward-from");
const VERSION: HeaderName = HeaderName::from_static("millpass-forward-version");
const ELAPSED: HeaderName = HeaderName::from_static("millpass-forward-elapsed-us");
const SERVICE: HeaderName = HeaderName::from_static("millpass-forward-service");
const TENANT: HeaderName = HeaderName::from_static("millpass-forward-tenant");
const TRIED: HeaderName = HeaderName::from_static("millpass-forward-tried");
const ARRIVAL: HeaderName = HeaderName::from_static("millpass-forward-arrival");
const START_WITHIN: HeaderName = HeaderName::from_static("millpass-forward-start-us");
const LAST_EVENT: HeaderName = HeaderName::from_static("millpass-forward-last-event");
const OUTCOME: HeaderName = HeaderName::from_static("millpass-forward-outcome");
const REASON: HeaderName = HeaderName::from_static("millpass-forward-reason");
const SENDS: HeaderName = HeaderName::from_static("millpass-forward-sends");
const INSTANCE: HeaderName = HeaderName::from_static("millpass-forward-instance");
const CONNECTION_AGE: HeaderName = HeaderName::from_static("millpass-forward-connection-us");
const SOFTWARE: HeaderName = HeaderName::from_static("millpass-forward-software");

const ALL: [HeaderName; 16] = [
    KEY,
    FROM,
    VERSION,
    ELAPSED,
    SERVICE,
    TENANT,
    TRIED,
    ARRIVAL,
    START_WITHIN,
    LAST_EVENT,
    OUTCOME,
    REASON,
    SENDS,
    INSTANCE,
    CONNECTION_AGE,
    SOFTWARE,
];

/// Separates instances.
const SEPARATOR: char = ',';

/// Removes all headers between gateways.
pub(crate) fn strip(headers: &mut HeaderMap) {
    for name in &ALL {
        headers.remove(name);
    }
}

/// What a gateway states of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopRequest {
    /// Secret of the gateway that serves the request.
    pub(crate) key: String,
    /// Document version that the serving gateway must have at least.
    pub(crate) version: u64,
    /// Tenant, identified by its key at the gateway that forwards the request.
    pub(crate) tenant: Option<TenantName>,
    pub(crate) terms: ForwardTerms,
    /// Id of the event after which a stream resumes.
    pub(crate) last_event: Option<String>,
    /// Software version that must serve it; none if any may.
    pub(crate) software: Option<SoftwareVersion>,
}

impl HopRequest {
    /// Adds the statement to the headers of a forwarded request.
    pub(crate) fn write(&self, headers: &mut HeaderMap) -> Result<(), InvalidHeaderValue> {
        let terms = &self.terms;
        set(headers, KEY, &self.key)?;
        set(headers, FROM, &terms.from)?;
        set(headers, VERSION, &self.version.to_string())?;
        set(headers, ELAPSED, &terms.elapsed.as_micros().to_string())?;
        set(headers, SERVICE, terms.service.as_str())?;
        let tried: Vec<&str> = terms.tried.iter().map(|it| it.0.as_str()).collect();
        set(headers, TRIED, &tried.join(&SEPARATOR.to_string()))?;
        set(headers, ARRIVAL, &u8::from(terms.is_arrival).to_string())?;
        if let Some(tenant) = &self.tenant {
            set(headers, TENANT, tenant.as_str())?;
        }
        if let Some(time) = terms.start_within {
            set(headers, START_WITHIN, &time.as_micros().to_string())?;
        }
        if let Some(event) = &self.last_event {
            set(headers, LAST_EVENT, event)?;
        }
        if let Some(software) = &self.software {
            set(headers, SOFTWARE, software.as_str())?;
        }
        Ok(())
    }

    /// Reads the statement; none if it is incomplete or malformed.
    pub(crate) fn read(headers: &HeaderMap) -> Option<HopRequest> {
        let tried = text(headers, &TRIED).unwrap_or_default();
        let tried = tried.split(SEPARATOR).filter(|name| !name.is_empty());
        Some(HopRequest {
            key: text(headers, &KEY)?.to_owned(),
            version: number(headers, &VERSION)?,
            tenant: text(headers, &TENANT).map(Into::into),
            terms: ForwardTerms {
                from: text(headers, &FROM)?.to_owned(),
                elapsed: Duration::from_micros(number(headers, &ELAPSED)?),
                service: ServiceName::from(text(headers, &SERVICE)?),
                tried: tried.map(InstanceId::from).collect(),
                is_arrival: text(headers, &ARRIVAL)? == "1",
                start_within: number(headers, &START_WITHIN).map(Duration::from_micros),
            },
            last_event: text(headers, &LAST_EVENT).map(str::to_owned),
            software: text(headers, &SOFTWARE).map(Into::into),
        })
    }
}

/// Whose response a forwarded request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HopOutcome {
    /// The response of an instance.
    Answered,
    /// The serving gateway refused the request; it has not run and will not.
    Refused,
    /// The serving gateway got no response of an instance; the request may have run.
    Failed,
    /// The serving gateway did not take the request; it has not run and will not.
    Declined,
}

impl HopOutcome {
    /// Returns the name on the wire and in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            HopOutcome::Answered => "answered",
            HopOutcome::Refused => "refused",
            HopOutcome::Failed => "failed",
            HopOutcome::Declined => "declined",
        }
    }

    fn parse(text: &str) -> Option<HopOutcome> {
        let all = [
            HopOutcome::Answered,
            HopOutcome::Refused,
            HopOutcome::Failed,
            HopOutcome::Declined,
        ];
        all.into_iter().find(|outcome| outcome.as_str() == text)
    }
}

/// What a gateway states of a response to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopResponse {
    pub(crate) outcome: HopOutcome,
    /// Why it was refused, failed or declined.
    pub(crate) reason: String,
    /// Document version by which it was served.
    pub(crate) version: u64,
    /// Sends to instances.
    pub(crate) sends: u32,
    /// Instance that it was last sent to.
    pub(crate) instance: Option<InstanceId>,
    /// Time since the connection to it was opened.
    pub(crate) connection_age: Option<Duration>,
    /// Version of the software of that instance, if known.
    pub(crate) software: Option<SoftwareVersion>,
}

impl HopResponse {
    /// Adds the statement to the headers of a response.
    pub(crate) fn write(&self, headers: &mut HeaderMap) -> Result<(), InvalidHeaderValue> {
        strip(headers);
        set(headers, OUTCOME, self.outcome.as_str())?;
        set(headers, REASON, &self.reason)?;
        set(headers, VERSION, &self.version.to_string())?;
        set(headers, SENDS, &self.sends.to_string())?;
        if let Some(instance) = &self.instance {
            set(headers, INSTANCE, &instance.0)?;
        }
        if let Some(age) = self.connection_age {
            set(headers, CONNECTION_AGE, &age.as_micros().to_string())?;
        }
        if let Some(software) = &self.software {
            set(headers, SOFTWARE, software.as_str())?;
        }
        Ok(())
    }

    /// Reads and removes the statement; none if the response is not of a gateway.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<HopResponse> {
        let response = HopResponse {
            outcome: HopOutcome::parse(text(headers, &OUTCOME)?)?,
            reason: text(headers, &REASON).unwrap_or_default().to_owned(),
            version: number(headers, &VERSION)?,
            sends: u32::try_from(number(headers, &SENDS)?).ok()?,
            instance: text(headers, &INSTANCE).map(InstanceId::from),
            connection_age: number(headers, &CONNECTION_AGE).map(Duration::from_micros),
            software: text(headers, &SOFTWARE).map(Into::into),
        };
        strip(headers);
        Some(response)
    }
}

/// Sets a header to a text, which may be any but control characters.
fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) -> Result<(), InvalidHeaderValue> {
    headers.insert(name, HeaderValue::from_bytes(value.as_bytes())?);
    Ok(())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
