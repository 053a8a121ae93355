//! Writes the settings files of the stand-ins and the relay.

use super::folder::WorkFolder;
use super::layout::{Layout, Place};
use crate::deployment::Deployment;
use crate::programs::{EngineFile, PlatformFile, StoreFile, WebFile};
use anyhow::Result;
use serde::Serialize;

/// Writes all files.
pub fn write_lab_files(
    folder: &WorkFolder,
    deployment: &Deployment,
    layout: &Layout,
) -> Result<()> {
    for place in &layout.engines {
        write(
            folder,
            &place.name,
            &engine(folder, deployment, layout, place),
        )?;
    }
    for place in &layout.web {
        write(folder, &place.name, &web(folder, deployment, layout, place))?;
    }
    let limits = deployment.store;
    let store = StoreFile {
        listen: layout.store.listen,
        loads_per_second: limits.loads_per_second,
        full_speed_loads: limits.concurrent_loads,
        bytes_per_second: limits.bytes_per_second,
    };
    write(folder, &layout.store.name, &store)?;
    let platform = PlatformFile {
        listen: layout.platform.listen,
    };
    write(folder, &layout.platform.name, &platform)?;
    write(folder, RELAY, &layout.relay_settings(deployment))
}

/// Name of the relay process.
pub const RELAY: &str = "relay";

fn write<T: Serialize>(folder: &WorkFolder, name: &str, settings: &T) -> Result<()> {
    let text = serde_json::to_vec_pretty(settings)?;
    Ok(std::fs::write(folder.lab_settings(name), text)?)
}

fn engine(
    folder: &WorkFolder,
    deployment: &Deployment,
    layout: &Layout,
    place: &Place,
) -> EngineFile {
    let machine = deployment.engine;
    EngineFile {
        name: place.name.clone(),
        zone: place.zone.clone(),
        listen: place.listen,
        advertise: place.reached_at,
        accelerator_bytes: vec![machine.accelerator_bytes; machine.accelerators],
        checkpoint_memory_bytes: machine.checkpoint_memory_bytes,
        checkpoint_disk_bytes: machine.checkpoint_disk_bytes,
        store: layout.store.reached_at,
        platform: layout.platform.reached_at,
        journal: folder.journal(&place.name),
    }
}

fn web(folder: &WorkFolder, deployment: &Deployment, layout: &Layout, place: &Place) -> WebFile {
    WebFile {
        name: place.name.clone(),
        zone: place.zone.clone(),
        group: deployment.web.group.clone(),
        once_prefixes: vec![deployment.web.write_path.clone()],
        listen: place.listen,
        advertise: place.reached_at,
        platform: layout.platform.reached_at,
        journal: folder.journal(&place.name),
    }
}
