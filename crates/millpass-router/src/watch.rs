//! Polls the reports of backends on behalf of the control group.

use crate::driver::Driver;
use crate::settings::WatchSettings;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use millpass_proto::{
    BackendKind, BackendName, BackendObservation, EngineSlotPhase, WatchedBackend,
};
use millpass_routing::RoutingInput;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest sleep of a watcher without a due backend.
const MAXIMUM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a report.
const MAXIMUM_REPORT_BYTES: u64 = 4 * 1024 * 1024;

/// Backends to poll, and when each is due.
#[derive(Default)]
pub(crate) struct WatchList {
    backends: Mutex<BTreeMap<BackendName, WatchEntry>>,
}

struct WatchEntry {
    watched: WatchedBackend,
    due: Instant,
    failures: u32,
    /// True while a thread reads the report.
    reading: bool,
}

impl WatchList {
    /// Replaces the list. Entries of unchanged backends are kept.
    pub(crate) fn replace(&self, backends: Vec<WatchedBackend>) {
        let mut current = self.lock();
        let mut kept = BTreeMap::new();
        for watched in backends {
            let known = current.remove(&watched.backend);
            let entry = known
                .filter(|entry| entry.watched == watched)
                .unwrap_or_else(|| WatchEntry {
                    watched: watched.clone(),
                    due: Instant::now(),
                    failures: 0,
                    reading: false,
                });
            kept.insert(watched.backend, entry);
        }
        *current = kept;
    }

    /// Claims the backend with the earliest due time, if it is due.
    fn take_due(&self, now: Instant) -> Option<WatchedBackend> {
        let mut backends = self.lock();
        let idle = backends.values_mut().filter(|entry| !entry.reading);
        let first = idle.min_by_key(|entry| entry.due)?;
        if first.due > now {
            return None;
        }
        first.reading = true;
        Some(first.watched.clone())
    }

    /// Records the end of a read; returns the number of consecutive failures.
    fn finish_read(&self, backend: &WatchedBackend, due: Instant, failed: bool) -> u32 {
        let mut backends = self.lock();
        let entry = backends
            .get_mut(&backend.backend)
            .filter(|entry| entry.watched == *backend);
        let Some(entry) = entry else {
            return 0;
        };
        entry.reading = false;
        entry.due = due;
        entry.failures = if failed { entry.failures + 1 } else { 0 };
        entry.failures
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<BackendName, WatchEntry>> {
        self.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One polling thread.
pub(crate) struct Watcher {
    driver: Arc<Driver>,
    settings: WatchSettings,
    agent: ureq::Agent,
}

impl Watcher {
    pub(crate) fn new(driver: Arc<Driver>, settings: WatchSettings) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(true)
            .max_redirects(0)
            .timeout_global(Some(settings.timeout))
            .user_agent("millpass-router")
            .build();
        Watcher {
            driver,
            settings,
            agent: config.into(),
        }
    }

    /// Runs the thread until `stopping` is disconnected.
    pub(crate) fn run(self, stopping: &Receiver<()>) {
        loop {
            let delay = match self.driver.watch.take_due(Instant::now()) {
                Some(backend) => {
                    self.read_one(&backend);
                    Duration::ZERO
                }
                None => MAXIMUM_POLL_INTERVAL.min(self.settings.interval),
            };
            if stopping.recv_timeout(delay) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    fn read_one(&self, backend: &WatchedBackend) {
        let started = Instant::now();
        let observation = self.read_report(backend);
        let interval = if observation.as_ref().is_some_and(is_transitioning) {
            self.settings.busy_interval.min(self.settings.interval)
        } else {
            self.settings.interval
        };
        let due = started + interval;
        let failures = self
            .driver
            .watch
            .finish_read(backend, due, observation.is_none());
        let unreachable = || {
            let is_unreachable = failures >= self.settings.unreachable_after_failures.max(1);
            is_unreachable.then(|| BackendObservation::Unreachable(backend.backend.clone()))
        };
        if let Some(observation) = observation.or_else(unreachable) {
            self.driver.step(RoutingInput::Observed(observation));
        }
    }

    fn read_report(&self, backend: &WatchedBackend) -> Option<BackendObservation> {
        let address = &backend.address;
        let read = match backend.kind {
            BackendKind::Engine => self
                .get(&format!("http://{address}/engine/report"))
                .map(BackendObservation::Engine),
            BackendKind::Web => self
                .get(&format!("http://{address}/web/report"))
                .map(BackendObservation::Web),
        };
        match read {
            Ok(observation) => Some(observation),
            Err(error) => {
                let name = &backend.backend;
                log::debug!("event=watch_failed backend={name} error=\"{error}\"");
                None
            }
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T, ureq::Error> {
        let mut response = self.agent.get(url).call()?;
        let body = response.body_mut().with_config();
        body.limit(MAXIMUM_REPORT_BYTES).read_json()
    }
}

/// Returns true if an engine is loading or unloading a model or an adapter.
fn is_transitioning(observation: &BackendObservation) -> bool {
    let BackendObservation::Engine(report) = observation else {
        return false;
    };
    let is_transition = |phase: &EngineSlotPhase| {
        matches!(phase, EngineSlotPhase::Loading | EngineSlotPhase::Unloading)
    };
    report.slots.iter().any(|slot| {
        let mut adapters = slot.adapters.iter();
        is_transition(&slot.phase) || adapters.any(|adapter| is_transition(&adapter.phase))
    })
}
