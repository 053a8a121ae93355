//! Finds out whether a body that nothing but the end of its connection ends is whole.
//!
//! The kernel closes the connections of a process that crashes as it does those of one that has
//! written its response.

use crate::probe::{self, ProbeOutcome};
use crate::shared::{Active, ActiveSend, Shared};
use async_io::Timer;
use millpass_proto::Duration;
use std::sync::Arc;

/// Maximum time to find out whether an address takes connections: a busy server may drop the first
/// packets of some.
const CONNECT_WAIT: Duration = Duration::from_millis(750);
/// Least time between two attempts.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether a body is whole that has ended with its connection. False if that cannot be found
/// out.
pub(crate) async fn is_whole(shared: &Arc<Shared>, active: &Active) -> bool {
    let is_whole = match active {
        Active::Instance(send) => takes_connections(shared, send).await,
        // The other gateway states the end of the body.
        Active::Peer(_) => false,
    };
    if !is_whole {
        shared.metrics.unconfirmed_ends.inc();
    }
    is_whole
}

/// Returns whether the address that responded goes on taking connections. It is that of the send: an
/// instance that has departed serves on for a time.
async fn takes_connections(shared: &Arc<Shared>, send: &ActiveSend) -> bool {
    let instance = &send.record().instance;
    let until = shared.now() + CONNECT_WAIT;
    while shared.now() < until {
        let address = send.address().to_owned();
        match probe::probe(shared.clone(), instance.clone(), address).await {
            ProbeOutcome::Connected => return true,
            ProbeOutcome::Refused => return false,
            ProbeOutcome::Unknown => Timer::after(MINIMUM_INTERVAL).await,
        };
    }
    false
}
