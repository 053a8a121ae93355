//! Refused connections that may mean the end of a process run.
//!
//! A refused connection proves that nothing listens at an address only if this gateway reaches
//! other instances at that time: a partition can refuse connections too.

use millpass_proto::{Duration, InstanceId, Timestamp};

/// Time within which another instance must be reached after a refused connection.
const CONFIRMATION_WINDOW: Duration = Duration::from_millis(1_000);

#[derive(Debug)]
struct RefusedConnection {
    instance: InstanceId,
    at: Timestamp,
}

/// Refused connections that no connection to another instance has confirmed yet.
#[derive(Debug, Default)]
pub struct RunEnds {
    refused: Vec<RefusedConnection>,
}

impl RunEnds {
    /// Records a refused connection.
    pub fn record_refused(&mut self, now: Timestamp, instance: &InstanceId) {
        self.expire(now);
        if !self.refused.iter().any(|it| it.instance == *instance) {
            self.refused.push(RefusedConnection {
                instance: instance.clone(),
                at: now,
            });
        }
    }

    /// Records a connection that was established now, and returns the instances whose runs it shows
    /// to have ended.
    pub fn record_connected(&mut self, now: Timestamp, instance: &InstanceId) -> Vec<InstanceId> {
        self.expire(now);
        self.refused.retain(|it| it.instance != *instance);
        let confirmed = std::mem::take(&mut self.refused);
        confirmed.into_iter().map(|it| it.instance).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.refused
            .retain(|it| now.since(it.at) < CONFIRMATION_WINDOW);
    }
}
