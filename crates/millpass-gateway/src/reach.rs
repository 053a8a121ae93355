//! Observes the paths to instances: established and failed connections, and silence. Logs changes of
//! what is reached.

use crate::metrics::millis;
use crate::shared::Shared;
use millpass_dispatch::{PathChange, Ticket};
use millpass_proto::{Duration, InstanceId};
use millpass_telemetry::event_line;
use std::future;

/// Least time without a byte of a response after which its path is probed.
const MINIMUM_SILENCE: Duration = Duration::from_millis(100);

/// Interval at which the path is checked again after that time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How the path of a request is watched while it waits for its instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathWatch {
    /// Time without a byte after which the path is probed.
    silence: Duration,
    /// The request may be sent again, and does not wait on a path that is lost.
    ends_when_lost: bool,
}

impl PathWatch {
    /// Watch of a request that has not had a byte of its response.
    pub(crate) fn before_response(shared: &Shared, ticket: &Ticket) -> PathWatch {
        let longest = shared.settings.dispatch.reach.silence;
        PathWatch {
            silence: ticket.objective().clamp(MINIMUM_SILENCE, longest),
            ends_when_lost: ticket.is_repeatable(),
        }
    }

    /// Watch of a response of which some bytes have arrived.
    pub(crate) fn within_response(shared: &Shared, is_resumable: bool) -> PathWatch {
        PathWatch {
            silence: shared.settings.dispatch.reach.silence,
            ends_when_lost: is_resumable,
        }
    }
}

/// Has the path probed after a time of silence, and returns once it is lost if the request may be
/// sent again.
pub(crate) async fn path_lost(shared: &Shared, instance: &InstanceId, watch: PathWatch) {
    let mut pause = watch.silence;
    loop {
        shared.sleep_until(shared.now() + pause).await;
        pause = pause.min(RECHECK_INTERVAL);
        let is_probed = shared.core().record_silence(shared.now(), instance);
        if is_probed {
            shared.probe.notify(1);
        }
        if watch.ends_when_lost && shared.core().is_path_lost(instance) {
            return;
        }
        if !watch.ends_when_lost && !is_probed {
            return future::pending().await;
        }
    }
}

/// Records an established connection.
pub(crate) fn record_connected(shared: &Shared, instance: &InstanceId) {
    shared.core().record_connected(shared.now(), instance);
    log_changes(shared);
}

/// Logs changes of what is reached, updates the metrics, closes idle connections to what was lost
/// and wakes what waits for a change.
pub(crate) fn log_changes(shared: &Shared) {
    let (changes, ended, next_probe, (services, instances)) = {
        let mut core = shared.core();
        let ended = core.take_ended_runs();
        let changes = core.take_path_changes();
        let next_probe = core.next_path_probe_at();
        (changes, ended, next_probe, core.unreachable_counts())
    };
    for instance in &ended {
        shared.metrics.instance_ends.inc();
        let pairs = [("instance", instance.0.clone())];
        log::info!("{}", event_line("instance_ended", &pairs));
    }
    if next_probe.is_some_and(|at| at <= shared.now()) {
        shared.probe.notify(1);
    }
    if changes.is_empty() && ended.is_empty() {
        return;
    }
    shared.metrics.unreachable_services.set(services as i64);
    shared.metrics.unreachable_instances.set(instances as i64);
    for change in changes {
        log_change(shared, &change, instances);
        close_idle_connections(shared, &change);
    }
    shared.report.notify(1);
    shared.changed.notify(usize::MAX);
    shared.notify_called();
}

fn close_idle_connections(shared: &Shared, change: &PathChange) {
    match change {
        PathChange::InstanceLost(_, instance) => shared.pool.close(instance),
        PathChange::ServiceLost(service) => {
            let instances = shared.core().instances_of(service);
            for instance in &instances {
                shared.pool.close(instance);
            }
        }
        PathChange::InstanceReached(..) | PathChange::ServiceReached(..) => {}
    }
}

fn log_change(shared: &Shared, change: &PathChange, instances: usize) {
    let (name, service, detail) = match change {
        PathChange::InstanceLost(service, instance) => (
            "instance_unreachable",
            service,
            ("instance", instance.0.clone()),
        ),
        PathChange::InstanceReached(service, instance) => (
            "instance_reached",
            service,
            ("instance", instance.0.clone()),
        ),
        PathChange::ServiceLost(service) => (
            "service_unreachable",
            service,
            ("failed", instances.to_string()),
        ),
        PathChange::ServiceReached(service, length) => {
            ("service_reached", service, ("after_ms", millis(*length)))
        }
    };
    shared.metrics.path_changes.with_label_values(&[name]).inc();
    let line = event_line(name, &[("service", service.0.clone()), detail]);
    match change {
        PathChange::ServiceLost(_) => log::warn!("{line}"),
        _ => log::info!("{line}"),
    }
}
