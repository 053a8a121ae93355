//! Audit counters of the stand-ins, read at the end of a run.

use super::deployed::Fleet;
use millpass_proto::{EngineAudit, StoreAudit, WebAudit};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Request timeout per stand-in.
const TIMEOUT: Duration = Duration::from_secs(3);

/// All audits. A killed back end loses its counters.
#[derive(Clone, Debug, Default)]
pub struct Audits {
    /// Engines.
    pub engines: Vec<EngineAudit>,
    /// Web back ends.
    pub web: Vec<WebAudit>,
    /// Weight store.
    pub store: Option<StoreAudit>,
    /// Stand-ins that did not respond.
    pub missing: Vec<String>,
}

impl Audits {
    /// Reads all audits.
    pub fn read(fleet: &Fleet) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        let agent = config.new_agent();
        let mut audits = Audits::default();
        for place in &fleet.layout.engines {
            match fetch(&agent, place.listen, "engine/audit") {
                Some(audit) => audits.engines.push(audit),
                None => audits.missing.push(place.name.clone()),
            }
        }
        for place in &fleet.layout.web {
            match fetch(&agent, place.listen, "web/audit") {
                Some(audit) => audits.web.push(audit),
                None => audits.missing.push(place.name.clone()),
            }
        }
        audits.store = fetch(&agent, fleet.layout.store.listen, "audit");
        if audits.store.is_none() {
            audits.missing.push(fleet.layout.store.name.clone());
        }
        audits
    }

    /// Returns a message for each violated invariant.
    pub fn breaches(&self) -> Vec<String> {
        let engines = self.engines.iter().flat_map(engine_breaches);
        let web = self.web.iter().flat_map(|audit| {
            let repeated = audit.repeated_keys.iter();
            let backend = &audit.backend;
            repeated.map(move |run| format!("{backend}: key {} ran {} times", run.key, run.runs))
        });
        let missing = self.missing.iter();
        let missing = missing.map(|name| format!("{name} did not return its audit"));
        engines.chain(web).chain(missing).collect()
    }

    /// Returns the sum of a counter over the engines.
    pub fn sum(&self, count: impl Fn(&EngineAudit) -> u64) -> u64 {
        self.engines.iter().map(count).sum()
    }
}

fn engine_breaches(audit: &EngineAudit) -> Vec<String> {
    let backend = &audit.backend;
    let mut breaches = Vec::new();
    if audit.memory_overcommits > 0 {
        let count = audit.memory_overcommits;
        breaches.push(format!("{backend}: {count} orders would overcommit memory"));
    }
    if audit.conflicting_fences > 0 {
        let count = audit.conflicting_fences;
        breaches.push(format!(
            "{backend}: {count} fences were used for two orders"
        ));
    }
    for run in &audit.repeated_keys {
        breaches.push(format!("{backend}: key {} ran {} times", run.key, run.runs));
    }
    breaches
}

fn fetch<T: DeserializeOwned>(agent: &ureq::Agent, address: SocketAddr, path: &str) -> Option<T> {
    let url = format!("http://{address}/{path}");
    agent.get(&url).call().ok()?.body_mut().read_json().ok()
}
