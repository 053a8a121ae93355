//! Services that have run one software version only, for as long as a gateway knows.

use millpass_proto::{Duration, ServiceName, SoftwareStatement, SoftwareVersion, Timestamp};
use std::collections::BTreeMap;

#[derive(Debug)]
struct Noted {
    software: SoftwareStatement,
    /// Since when no instance with another statement was known, added or removed.
    since: Timestamp,
}

/// Software of each service's instances over time.
#[derive(Debug, Default)]
pub struct SoleVersions {
    services: BTreeMap<ServiceName, Noted>,
}

impl SoleVersions {
    /// Records that an instance with this software was added, changed or removed.
    pub fn note(&mut self, now: Timestamp, service: &ServiceName, software: &SoftwareStatement) {
        let noted = self.services.entry(service.clone());
        let noted = noted.or_insert_with(|| Noted {
            software: software.clone(),
            since: now,
        });
        if noted.software != *software {
            noted.software = software.clone();
            noted.since = now;
        }
    }

    /// Returns the only version that instances of a service have run for at least this time, of which
    /// the known ones state `current`.
    pub fn version<'a>(
        &self,
        now: Timestamp,
        service: &ServiceName,
        time: Duration,
        mut current: impl Iterator<Item = &'a SoftwareStatement>,
    ) -> Option<SoftwareVersion> {
        let noted = self.services.get(service)?;
        let is_sole = current.all(|software| *software == noted.software);
        let version = noted.software.version().filter(|_| is_sole)?;
        (now.since(noted.since) >= time).then(|| version.clone())
    }
}
