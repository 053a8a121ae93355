//! Records what instances state about themselves in response heads.

use crate::interface::ResponseFacts;
use crate::metrics::millis;
use crate::shared::Shared;
use millpass_dispatch::{StatementChange, Ticket};
use millpass_proto::{InstanceId, LimitUpdate, Timestamp};
use millpass_telemetry::event_line;

/// Records the statement in a response, unless another instance at the same address sent it.
pub(crate) fn record_statement(
    shared: &Shared,
    ticket: &Ticket,
    instance: &InstanceId,
    sent_at: Timestamp,
    facts: &ResponseFacts,
) {
    let responder = facts.instance.as_ref();
    if responder.is_some_and(|responder| responder.name() != instance.name()) {
        return;
    }
    let now = shared.now();
    let statement = &facts.statement;
    let changes = shared
        .core()
        .record_statement(now, sent_at, instance, statement);
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log_change(shared, Some(ticket), instance, change);
    }
    record_limited_count(shared);
    shared.report.notify(1);
}

/// Applies the limits received from the leader.
pub(crate) fn apply_limits(shared: &Shared, update: &LimitUpdate) {
    let changes = shared.core().apply_limits(shared.now(), update);
    for (instance, change) in changes {
        log_change(shared, None, &instance, change);
    }
    record_limited_count(shared);
}

fn record_limited_count(shared: &Shared) {
    let limited = shared.core().limited_instances();
    shared.metrics.limited.set(limited as i64);
    shared.changed.notify(usize::MAX);
}

/// Logs a change stated by an instance; without a ticket it was received from the leader.
fn log_change(
    shared: &Shared,
    ticket: Option<&Ticket>,
    instance: &InstanceId,
    change: StatementChange,
) {
    let (name, value) = match change {
        StatementChange::Limited(rate) => ("limited", rate.milli_per_second.to_string()),
        StatementChange::Unlimited => ("unlimited", String::new()),
        StatementChange::Backoff(time) => ("resting", millis(time)),
        StatementChange::Leaving => ("leaving", String::new()),
        StatementChange::Malformed => ("unreadable", String::new()),
    };
    shared.metrics.statements.with_label_values(&[name]).inc();
    let request = ticket.map(|ticket| ticket.description.attempt.clone());
    let pairs = [
        ("instance", instance.0.clone()),
        ("change", name.to_owned()),
        ("value", value),
        ("request", request.unwrap_or_default()),
    ];
    let line = event_line("instance_stated", &pairs);
    match change {
        StatementChange::Malformed => {
            log::warn!("{line} remedy=\"have the server state an unsigned decimal number\"");
        }
        _ => log::info!("{line}"),
    }
}
