//! Records the outcomes of sends that no response follows from.

use crate::exchange::{ReceivedResponse, SendFailure};
use crate::interface::ResponseFacts;
use crate::request_log::log_send_failure;
use crate::shared::{ActiveSend, Shared};
use millpass_dispatch::{SendOutcome, Ticket};
use millpass_proto::InstanceId;

/// Records a send without a response. One that did not reach the instance does not count as an
/// attempt.
pub(crate) fn record_failure(
    shared: &Shared,
    ticket: &mut Ticket,
    active: ActiveSend,
    failure: &SendFailure,
) {
    let (outcome, detail, end) = match failure {
        SendFailure::Unreachable(reason) => {
            ("unreachable", reason.as_str(), SendOutcome::Unreachable)
        }
        SendFailure::Unsent(reason) | SendFailure::Uncertain(reason) => {
            ("unsent", reason.as_str(), SendOutcome::Unsent)
        }
        SendFailure::ConnectionRefused(reason) => (
            "unreachable",
            reason.as_str(),
            SendOutcome::ConnectionRefused,
        ),
        SendFailure::Broken(reason) => ("broken", reason.as_str(), SendOutcome::Broken),
        SendFailure::TimedOut => ("timed-out", "", SendOutcome::Abandoned),
        SendFailure::Quarantined(reason) => ("cancelled", reason.as_str(), SendOutcome::Abandoned),
    };
    log_send_failure(shared, ticket, &active.record().instance.0, outcome, detail);
    active.end(end);
    if !failure.may_have_run() {
        ticket.sends = ticket.sends.saturating_sub(1);
    }
}

/// Records a send that the instance rejected without running it.
pub(crate) fn record_rejection(
    shared: &Shared,
    ticket: &Ticket,
    active: ActiveSend,
    received: &ReceivedResponse,
) {
    let instance = &active.record().instance;
    let status = received.head.status.as_str();
    let end = rejection_outcome(&received.facts, instance);
    log_send_failure(shared, ticket, &instance.0, "not-executed", status);
    active.end(end);
}

/// Returns the outcome of a send that the instance rejected.
fn rejection_outcome(facts: &ResponseFacts, instance: &InstanceId) -> SendOutcome {
    let other_instance = facts
        .instance
        .as_ref()
        .is_some_and(|found| found.name() != instance.name());
    match (facts.misdirected, other_instance) {
        (true, true) => SendOutcome::Replaced,
        (true, false) => SendOutcome::Misdirected,
        (false, _) => SendOutcome::Full,
    }
}
