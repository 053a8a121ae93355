//! Main function of a member process. Runs until standard input is closed.

use crate::options::MemberOptions;
use anyhow::{Context, Result};
use millpass_control::settings::InitialMember;
use millpass_control::{ControlProcessSettings, initialize, start};
use millpass_scheduler::SchedulerSettings;
use millpass_telemetry::{LogSettings, start_logging};
use std::io::Read;

/// Administrator key.
pub const OPERATOR_KEY: &str = "operator-key";

/// Runs a member until standard input is closed.
pub fn run(options: &MemberOptions) -> Result<()> {
    start_logging(&LogSettings {
        level: "info".to_owned(),
        file: format!("{}.log", options.folder.display()),
    })?;
    let settings = settings(options)?;
    if options.initialize {
        initialize(&settings)?;
    }
    let handle = start(settings)?;
    let mut ignored = Vec::new();
    std::io::stdin().read_to_end(&mut ignored)?;
    handle.halt();
    handle.join()?;
    Ok(())
}

fn settings(options: &MemberOptions) -> Result<ControlProcessSettings> {
    let initial: Result<Vec<InitialMember>> = options
        .initial
        .iter()
        .map(|text| initial_member(text))
        .collect();
    let initial = initial?;
    let own = initial
        .get(options.place)
        .context("--place is not in the list of initial members")?;
    let key_hash = blake3::hash(OPERATOR_KEY.as_bytes());
    Ok(ControlProcessSettings {
        bootstrap: false,
        zone: own.zone.clone(),
        peer_listen: own.peer_address.clone(),
        administration_listen: own.administration_address.clone(),
        initial_members: initial.clone(),
        platform_address: Some(options.platform.clone()),
        bootstrap_key_hash: Some(key_hash.to_hex().to_string()),
        scheduler: SchedulerSettings {
            store_loads_per_second: options.store_loads,
            store_concurrent_loads: options.store_loads,
            ..SchedulerSettings::default()
        },
        ..ControlProcessSettings::single(&options.folder)
    })
}

fn initial_member(text: &str) -> Result<InitialMember> {
    let (peer, administration) = text
        .split_once(',')
        .context("--initial must be PEER,ADMINISTRATION")?;
    Ok(InitialMember {
        zone: "zone-0".into(),
        peer_address: peer.to_owned(),
        administration_address: administration.to_owned(),
    })
}
