//! Which instances this gateway reaches.

use crate::dispatcher::Dispatcher;
use crate::instances::SendOutcome;
use crate::request::SendRecord;
use millpass_proto::{InstanceId, ServiceName, Timestamp};
use millpass_reach::PathChange;

/// Position at which a gateway begins to sample instances, from its name.
pub(crate) fn sample_offset(gateway: &str) -> usize {
    let bytes = gateway.bytes();
    bytes.fold(0, |sum: usize, byte| {
        sum.wrapping_mul(31).wrapping_add(usize::from(byte)) % 10_007
    })
}

impl Dispatcher {
    /// Records a connection to an instance that was established now.
    pub fn record_connected(&mut self, now: Timestamp, instance: &InstanceId) {
        if let Some(service) = self.service_of(instance) {
            let known = self.usable_instances(&service);
            self.paths.record_connected(now, &service, instance, known);
        }
    }

    /// Returns the changes of what is reached since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Numbers of services and of single instances that are out of reach.
    pub fn unreachable_counts(&self) -> (usize, usize) {
        let services = self.paths.lost_services().count();
        (services, self.paths.lost_instances().count())
    }

    /// Records what the outcome of a send shows of the path to its instance.
    pub(crate) fn record_path_outcome(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        outcome: SendOutcome,
    ) {
        match outcome {
            SendOutcome::Unreachable | SendOutcome::ConnectionRefused => {
                let known = self.usable_instances(&record.service);
                self.paths
                    .record_failed(now, &record.service, &record.instance, known);
            }
            _ => {}
        }
    }

    fn service_of(&self, instance: &InstanceId) -> Option<ServiceName> {
        let found = self.instances.get(instance)?;
        Some(found.record.service.clone())
    }

    /// Number of instances of a service that are not leaving.
    fn usable_instances(&self, service: &ServiceName) -> usize {
        let instances = self.instances.values();
        let usable = instances
            .filter(|instance| instance.record.service == *service && !self.is_leaving(instance));
        usable.count()
    }
}
