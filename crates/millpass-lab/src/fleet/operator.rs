//! Administration client of the fleet.

use super::deployed::{Fleet, wait_until};
use super::product_files::BOOTSTRAP_KEY;
use anyhow::{Context, Result};
use millpass_control::api::StatusBody;
use millpass_control::client::{AdministrationClient, ClientError};
use std::time::Duration;

/// Maximum wait for a leader that lists all routers and back ends.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Deadline of one call during startup and faults.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// Creates an administration client with a deadline for each call.
pub fn operator(fleet: &Fleet, deadline: Duration) -> AdministrationClient {
    let addresses = fleet.layout.administration_addresses();
    AdministrationClient::new(addresses, BOOTSTRAP_KEY).with_deadline(deadline)
}

/// Requests the state of the deployment from the leader.
pub fn status(fleet: &Fleet) -> Result<StatusBody, ClientError> {
    operator(fleet, CALL_DEADLINE).status()
}

/// Waits until the leader lists every router and back end.
pub fn wait_until_ready(fleet: &Fleet) -> Result<()> {
    let routers = fleet.layout.routers.len();
    let backends = fleet.layout.engines.len() + fleet.layout.web.len();
    wait_until(
        "the leader lists every router and back end",
        READY_TIMEOUT,
        || {
            status(fleet).is_ok_and(|status| {
                status.routers.len() == routers && status.backends.len() == backends
            })
        },
    )
}

/// Waits until every router has applied the newest revision.
pub fn wait_until_in_force(fleet: &Fleet) -> Result<()> {
    wait_until(
        "every router has applied the catalog",
        READY_TIMEOUT,
        || {
            status(fleet).is_ok_and(|status| {
                let wanted = status.configuration;
                let is_current =
                    |router: &millpass_control::api::RouterBody| router.configuration >= wanted;
                status.routers.iter().all(is_current)
            })
        },
    )
}

/// Returns the name of the leader process of the control group.
pub fn leader(fleet: &Fleet) -> Result<String> {
    let status = status(fleet)?;
    let leading =
        |member: &&millpass_control::api::MemberBody| Some(member.member) == status.leader;
    let member = status.members.iter().find(leading);
    let member = member.context("the control group has no leader; see the members' logs")?;
    process_at(fleet, &member.peer_address)
}

/// Returns the name of the control member with this peer address.
pub fn process_at(fleet: &Fleet, peer_address: &str) -> Result<String> {
    let mut places = fleet.layout.control.iter();
    let place = places.find(|place| place.reached_at.to_string() == peer_address);
    let place = place.with_context(|| format!("{peer_address} is not a member of this fleet"))?;
    Ok(place.name.clone())
}
