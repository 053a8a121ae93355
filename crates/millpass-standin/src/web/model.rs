//! State machine of the web back end.

use crate::lagged::Lagged;
use crate::run_counts::RunCounts;
use millpass_proto::{
    BackendName, Duration, GroupName, Incarnation, TenantName, Timestamp, WebAudit, WebReport,
    ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of a web back end, in simulated time.
#[derive(Clone, Debug)]
pub struct WebSettings {
    /// Name in the deployment.
    pub backend: BackendName,
    /// Incarnation of this run, chosen by the caller.
    pub incarnation: Incarnation,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Group of interchangeable back ends.
    pub group: GroupName,
    /// Path prefixes that accept non-idempotent POST requests.
    pub once_prefixes: Vec<String>,
    /// Time between a request and its response.
    pub think_time: Duration,
    /// Maximum number of concurrent requests; more are refused.
    pub maximum_running: usize,
    /// Delay with which reports show the state.
    pub report_lag: Duration,
    /// Minimum time between two states recorded for reports.
    pub report_interval: Duration,
    /// Maximum number of keys whose runs are counted.
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

/// Request id assigned by the driver; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WebRequestId(pub u64);

/// A request to a web back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WebRequest {
    /// Id assigned by the driver.
    pub id: WebRequestId,
    /// Whether it is a POST.
    pub is_post: bool,
    /// Path, without query.
    pub path: String,
    /// Tenant; empty if the request names none.
    pub tenant: TenantName,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Incarnation that the request is addressed to, if the caller names one.
    pub incarnation: Option<Incarnation>,
}

/// Input of a web back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebInput {
    /// Time advanced.
    Tick,
    /// A request arrived.
    Request(WebRequest),
}

/// Response of a web back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WebResponse {
    /// The page of the path, see [`crate::content::page`].
    Page(String),
    /// A non-idempotent endpoint ran; holds the number of runs of its key, 0 without a key.
    Ran(u64),
    /// The path accepts no POST; the request did not run.
    NotFound,
    /// Too many concurrent requests; the request did not run.
    Busy,
    /// Addressed to another incarnation than this one; the request did not run.
    WrongIncarnation(Incarnation),
}

/// Output of a web back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WebOutput {
    /// Id of the request.
    pub id: WebRequestId,
    /// Response to the request.
    pub response: WebResponse,
}

/// Deterministic model of a web back end.
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
    /// Creates an idle back end.
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

    /// Advances the back end to `now`, then applies the input.
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

    /// Time at which the back end must be advanced next without an input.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Settings of the back end.
    pub fn settings(&self) -> &WebSettings {
        &self.settings
    }

    /// Returns the load report that a reader sees at `now`.
    pub fn report(&self, now: Timestamp) -> WebReport {
        WebReport {
            backend: self.settings.backend.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            sequence: self.counts.shown_time(now).as_micros(),
            running: self.counts.read(now, || self.running_count()),
        }
    }

    /// Returns the counters.
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

    /// Runs a request. Its effect, the run count, takes place here, not when the response is sent.
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
