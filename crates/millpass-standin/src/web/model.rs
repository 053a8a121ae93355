//! The web back end as a state machine.

use crate::lagged::Lagged;
use crate::run_counts::RunCounts;
use millpass_proto::{
    BackendName, Duration, GroupName, Incarnation, TenantName, Timestamp, WebAudit, WebReport,
    ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Everything that shapes one web back end, in simulated time.
#[derive(Clone, Debug)]
pub struct WebSettings {
    /// Name in the deployment.
    pub backend: BackendName,
    /// This run; the caller draws it.
    pub incarnation: Incarnation,
    /// Zone.
    pub zone: ZoneName,
    /// Group of interchangeable back ends it belongs to.
    pub group: GroupName,
    /// Paths that begin like one of these take POST requests that may not be repeated.
    pub once_prefixes: Vec<String>,
    /// Time from a request to its response.
    pub think_time: Duration,
    /// Most requests at once; one more is refused.
    pub maximum_running: usize,
    /// Age of the state that a report shows.
    pub report_lag: Duration,
    /// Least time between two states kept for reports.
    pub report_interval: Duration,
    /// Keys whose runs are counted.
    pub tracked_runs: usize,
}

impl Default for WebSettings {
    fn default() -> Self {
        WebSettings {
            backend: BackendName::from("web-1"),
            incarnation: Incarnation(1),
            zone: ZoneName::from("zone-1"),
            group: GroupName::from("web"),
            once_prefixes: vec!["/publish".to_owned(), "/charge".to_owned()],
            think_time: Duration::from_millis(2),
            maximum_running: 512,
            report_lag: Duration::from_millis(300),
            report_interval: Duration::from_millis(50),
            tracked_runs: 65_536,
        }
    }
}

/// Number that the driver gives a request; unique within the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WebRequestId(pub u64);

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WebRequest {
    /// The driver's number of it.
    pub id: WebRequestId,
    /// Whether it is a POST.
    pub is_post: bool,
    /// Path, without query.
    pub path: String,
    /// Tenant; empty if none is named.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: Option<String>,
    /// Run of the back end it is for, if the caller names one.
    pub incarnation: Option<Incarnation>,
}

/// What happens to the back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebInput {
    /// Only time went on.
    Tick,
    /// A request arrived.
    Request(WebRequest),
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebResponse {
    /// The page of the path, see [`crate::content::page`].
    Page(String),
    /// An endpoint that may not be repeated ran; this is the number of runs of its key, 0 without.
    Ran(u64),
    /// POST where only pages are; it did not run.
    NotFound,
    /// Too many requests at once; it did not run.
    Busy,
    /// Meant for another run of the back end than this one; it did not run.
    WrongIncarnation(Incarnation),
}

/// What the back end does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WebOutput {
    /// Request.
    pub id: WebRequestId,
    /// Its response.
    pub response: WebResponse,
}

/// One web back end. Same inputs give the same outputs.
#[derive(Clone, Debug)]
pub struct WebModel {
    settings: WebSettings,
    running: BTreeMap<WebRequestId, WebResponse>,
    due: BTreeSet<(Timestamp, WebRequestId)>,
    counts: Lagged<u32>,
    runs: RunCounts,
    requests: u64,
    once_runs: u64,
    once_without_key: u64,
}

impl WebModel {
    /// An idle back end.
    pub fn new(settings: WebSettings, now: Timestamp) -> Self {
        let counts = Lagged::new(settings.report_lag, settings.report_interval, now, 0);
        WebModel {
            running: BTreeMap::new(),
            due: BTreeSet::new(),
            counts,
            runs: RunCounts::new(settings.tracked_runs),
            requests: 0,
            once_runs: 0,
            once_without_key: 0,
            settings,
        }
    }

    /// Brings the back end to `now`, then takes the input.
    pub fn step(&mut self, now: Timestamp, input: WebInput) -> Vec<WebOutput> {
        let mut outputs = Vec::new();
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.record_count(at);
            if let Some(response) = self.running.remove(&id) {
                outputs.push(WebOutput { id, response });
            }
            self.counts.mark_changed(at);
        }
        if let WebInput::Request(request) = input {
            self.handle_request(now, request, &mut outputs);
        }
        outputs
    }

    /// When the back end next does something by itself.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Settings it runs with.
    pub fn settings(&self) -> &WebSettings {
        &self.settings
    }

    /// The load report as read at `now`.
    pub fn report(&self, now: Timestamp) -> WebReport {
        WebReport {
            backend: self.settings.backend.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            sequence: self.counts.shown_time(now).as_micros(),
            running: self.counts.read(now, || self.running_count()),
        }
    }

    /// What was counted.
    pub fn audit(&self) -> WebAudit {
        WebAudit {
            backend: self.settings.backend.clone(),
            incarnation: self.settings.incarnation,
            requests: self.requests,
            once_runs: self.once_runs,
            once_keys: self.runs.keys() as u64 + self.runs.evicted(),
            once_without_key: self.once_without_key,
            forgotten_keys: self.runs.evicted(),
            repeated_keys: self.runs.repeated(),
        }
    }

    fn handle_request(
        &mut self,
        now: Timestamp,
        request: WebRequest,
        outputs: &mut Vec<WebOutput>,
    ) {
        let id = request.id;
        let own = self.settings.incarnation;
        if request.incarnation.is_some_and(|wanted| wanted != own) {
            let response = WebResponse::WrongIncarnation(own);
            outputs.push(WebOutput { id, response });
            return;
        }
        if self.running.len() >= self.settings.maximum_running {
            let response = WebResponse::Busy;
            outputs.push(WebOutput { id, response });
            return;
        }
        self.record_count(now);
        self.requests += 1;
        let response = self.run(&request);
        self.running.insert(id, response);
        self.due.insert((now + self.settings.think_time, id));
        self.counts.mark_changed(now);
    }

    /// Runs a request; its effect, the count, happens here and not when the response is sent.
    fn run(&mut self, request: &WebRequest) -> WebResponse {
        if !request.is_post {
            return WebResponse::Page(crate::content::page(&request.path));
        }
        if !self.is_once_path(&request.path) {
            return WebResponse::NotFound;
        }
        self.once_runs += 1;
        let Some(key) = &request.key else {
            self.once_without_key += 1;
            return WebResponse::Ran(0);
        };
        WebResponse::Ran(self.runs.count(&request.tenant, key))
    }

    fn is_once_path(&self, path: &str) -> bool {
        let mut prefixes = self.settings.once_prefixes.iter();
        prefixes.any(|prefix| path.starts_with(prefix.as_str()))
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn record_count(&mut self, now: Timestamp) {
        if self.counts.should_record(now) {
            let count = self.running_count();
            self.counts.record(now, count);
        }
    }
}
