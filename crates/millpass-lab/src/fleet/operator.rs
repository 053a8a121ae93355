//! What an operator of the fleet sees and does.

use super::deployed::{Fleet, wait_until};
use super::product_files::BOOTSTRAP_KEY;
use anyhow::{Context, Result};
use millpass_control::api::StatusBody;
use millpass_control::client::{AdministrationClient, ClientError};
use std::time::Duration;

/// Time for the fleet to have a leader and to know its routers and back ends.
const READY_PATIENCE: Duration = Duration::from_secs(60);
/// Deadline of one call while the fleet is awaited, and in the midst of faults.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// An operator's client with a deadline for each call.
pub fn operator(fleet: &Fleet, deadline: Duration) -> AdministrationClient {
    let addresses = fleet.layout.administration_addresses();
    AdministrationClient::new(addresses, BOOTSTRAP_KEY).with_deadline(deadline)
}

/// State of the deployment, if a leader tells it.
pub fn status(fleet: &Fleet) -> Result<StatusBody, ClientError> {
    operator(fleet, CALL_DEADLINE).status()
}

/// Waits until the leader knows every router and back end.
pub fn wait_until_ready(fleet: &Fleet) -> Result<()> {
    let routers = fleet.layout.routers.len();
    let backends = fleet.layout.engines.len() + fleet.layout.web.len();
    wait_until(
        "a leader knows every router and back end",
        READY_PATIENCE,
        || {
            status(fleet).is_ok_and(|status| {
                status.routers.len() == routers && status.backends.len() == backends
            })
        },
    )
}

/// Waits until every router has applied the newest revision.
pub fn wait_until_in_force(fleet: &Fleet) -> Result<()> {
    wait_until("the catalog is in force everywhere", READY_PATIENCE, || {
        status(fleet).is_ok_and(|status| {
            let wanted = status.configuration;
            let has_it =
                |router: &millpass_control::api::RouterBody| router.configuration >= wanted;
            status.routers.iter().all(has_it)
        })
    })
}

/// Name of the process that leads the control group.
pub fn leader(fleet: &Fleet) -> Result<String> {
    let status = status(fleet)?;
    let leading =
        |member: &&millpass_control::api::MemberBody| Some(member.member) == status.leader;
    let member = status.members.iter().find(leading);
    let member = member.context("the control group has no leader; see the members' logs")?;
    process_at(fleet, &member.peer_address)
}

/// Name of the control member that others reach at this address.
pub fn process_at(fleet: &Fleet, peer_address: &str) -> Result<String> {
    let mut places = fleet.layout.control.iter();
    let place = places.find(|place| place.reached_at.to_string() == peer_address);
    let place = place.with_context(|| format!("{peer_address} is no member of this fleet"))?;
    Ok(place.name.clone())
}
