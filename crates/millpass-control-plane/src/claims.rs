//! When claims expire, and when those of a dead router are abandoned.
//!
//! An open claim of a router run that is no more stays open until its end is known. It is
//! abandoned (concluded as may-have-run, so it never runs again) when the router comes back under
//! a new run, or when the run has been silent for [`CLAIM_ABANDON_TIMEOUT`] under one leader. The open
//! claims are in the replicated state, so a new leader knows them too; it counts the silence anew.

use millpass_proto::{Duration, Incarnation, RouterName, Timestamp};
use std::collections::BTreeMap;

/// Silence after which a router's open claims are abandoned. Far longer than a freeze or a cut
/// from which a router may wake and still finish its requests.
pub const CLAIM_ABANDON_TIMEOUT: Duration = Duration::from_secs(600);
/// Time between two proposals to forget old claims.
pub(crate) const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two looks for silent runs.
pub(crate) const SILENCE_INTERVAL: Duration = Duration::from_secs(5);

/// One run of a router.
pub(crate) type RouterRun = (RouterName, Incarnation);

/// Runs of routers that hold open claims and do not report, bounded by the state's open claims.
#[derive(Default)]
pub(crate) struct SilentRuns {
    since: BTreeMap<RouterRun, Timestamp>,
}

impl SilentRuns {
    /// Takes the runs that hold open claims without reporting; gives those that have been silent
    /// for [`CLAIM_ABANDON_TIMEOUT`].
    pub(crate) fn refresh(&mut self, now: Timestamp, silent: Vec<RouterRun>) -> Vec<RouterRun> {
        let mut since = BTreeMap::new();
        let mut dead = Vec::new();
        for run in silent {
            let start = self.since.get(&run).copied().unwrap_or(now);
            if now.since(start) >= CLAIM_ABANDON_TIMEOUT {
                dead.push(run.clone());
            }
            since.insert(run, start);
        }
        self.since = since;
        dead
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }
}
