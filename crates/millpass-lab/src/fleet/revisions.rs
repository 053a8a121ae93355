//! Polls the catalog revision that each router has applied.

use super::deployed::Fleet;
use super::events::unix_micros;
use super::layout::Place;
use super::prober::AcceptedChange;
use millpass_checkers::Event;
use millpass_proto::{ConfigurationRevision, Incarnation, RouterName};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Polling interval.
const INTERVAL: Duration = Duration::from_millis(50);
/// Request timeout per router.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Metric with the applied revision.
const REVISION_METRIC: &str = "millpass_router_core{size=\"configuration_revision\"}";

/// By router: time of first observation in Unix microseconds, and revision.
pub type SeenRevisions = BTreeMap<String, Vec<(u64, u64)>>;

/// Polls all routers until `stop` is set.
pub fn watch(fleet: &Fleet, stop: &AtomicBool) -> SeenRevisions {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build();
    let agent = config.new_agent();
    let mut seen = SeenRevisions::new();
    while !stop.load(Ordering::Relaxed) {
        let next = Instant::now() + INTERVAL;
        for place in &fleet.layout.routers {
            poll_router(fleet, &agent, place, &mut seen);
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    seen
}

fn poll_router(fleet: &Fleet, agent: &ureq::Agent, place: &Place, seen: &mut SeenRevisions) {
    let Some(process_id) = fleet.lock().process_id(&place.name) else {
        return;
    };
    let Some(revision) = read_revision(agent, place).filter(|revision| *revision > 0) else {
        return;
    };
    let revisions = seen.entry(place.name.clone()).or_default();
    if revisions.last().is_some_and(|(_, last)| *last == revision) {
        return;
    }
    revisions.push((unix_micros(), revision));
    fleet.events.push(Event::RevisionApplied {
        router: RouterName(place.name.clone()),
        incarnation: Incarnation(process_id.into()),
        revision: ConfigurationRevision(revision),
    });
}

fn read_revision(agent: &ureq::Agent, place: &Place) -> Option<u64> {
    let url = format!("http://{}/metrics", place.second);
    let text = agent
        .get(&url)
        .call()
        .ok()?
        .body_mut()
        .read_to_string()
        .ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_METRIC))?;
    let value: f64 = line.trim().parse().ok()?;
    Some(value as u64)
}

/// Returns the time in microseconds until each accepted change was applied by all these routers,
/// and the number of changes not observed at all of them.
pub fn times_in_force(
    accepted: &[AcceptedChange],
    seen: &SeenRevisions,
    routers: &[String],
) -> (Vec<u64>, u64) {
    let mut times = Vec::new();
    let mut not_seen = 0;
    for change in accepted {
        let first_seen = |router: &String| {
            let revisions = seen.get(router)?;
            let found = revisions
                .iter()
                .find(|(_, revision)| *revision >= change.revision)?;
            Some(found.0)
        };
        let all: Option<Vec<u64>> = routers.iter().map(first_seen).collect();
        match all.and_then(|all| all.into_iter().max()) {
            Some(last) => times.push(last.saturating_sub(change.returned_micros)),
            None => not_seen += 1,
        }
    }
    (times, not_seen)
}
