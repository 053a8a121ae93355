//! Settings files of the product's processes and the file of catalog objects.

use super::layout::{Layout, Place};
use crate::deployment::{Deployment, VERSION};
use anyhow::Result;
use serde::Serialize;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Key that counts as administrator while no operator account exists; worth nothing elsewhere.
pub const BOOTSTRAP_KEY: &str = "lab-bootstrap-key";
/// Waiting requests that one tenant may have at one router.
const MAXIMUM_WAITING_PER_TENANT: i64 = 1_000;

/// Hash under which a key is stored.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Where the files of a fleet are.
#[derive(Clone, Debug)]
pub struct WorkFolder {
    /// The folder.
    pub root: PathBuf,
}

impl WorkFolder {
    /// Makes the folder; it must not hold an earlier run.
    pub fn create(root: &Path) -> Result<Self> {
        let settings = root.join("settings");
        anyhow::ensure!(
            !settings.exists(),
            "{} holds an earlier run; give a new folder or remove it",
            root.display()
        );
        std::fs::create_dir_all(settings)?;
        Ok(WorkFolder {
            root: root.to_owned(),
        })
    }

    /// Settings file of a process.
    pub fn settings(&self, name: &str) -> PathBuf {
        self.root.join("settings").join(format!("{name}.toml"))
    }

    /// Data folder of a control member.
    pub fn data(&self, name: &str) -> PathBuf {
        self.root.join("data").join(name)
    }

    /// Folder of logs.
    pub fn logs(&self) -> PathBuf {
        self.root.join("logs")
    }

    /// File of catalog objects.
    pub fn objects(&self) -> PathBuf {
        self.root.join("settings").join("objects.toml")
    }

    /// Settings of the relay.
    pub fn relay(&self) -> PathBuf {
        self.root.join("settings").join("relay.json")
    }
}

/// Keep-alive strategy of a fleet's control members, as in their settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepAlive {
    /// Word of the setting `scheduling.keep_alive`.
    pub word: String,
}

/// Writes all files.
pub fn write_all(
    folder: &WorkFolder,
    deployment: &Deployment,
    layout: &Layout,
    keep_alive: &KeepAlive,
) -> Result<()> {
    for place in &layout.control {
        let data = folder.data(&place.name);
        let table = control_settings(deployment, layout, place, &data, keep_alive);
        std::fs::write(folder.settings(&place.name), table.to_string())?;
    }
    for place in &layout.routers {
        let table = router_settings(layout, place);
        std::fs::write(folder.settings(&place.name), table.to_string())?;
    }
    std::fs::write(folder.objects(), objects(deployment)?)?;
    let relay = serde_json::to_vec_pretty(&layout.relay_settings(deployment))?;
    std::fs::write(folder.relay(), relay)?;
    Ok(())
}

fn table<const COUNT: usize>(entries: [(&str, Value); COUNT]) -> Value {
    let pairs = entries.map(|(key, value)| (key.to_owned(), value));
    Value::Table(Table::from_iter(pairs))
}

fn text(value: impl ToString) -> Value {
    Value::String(value.to_string())
}

fn control_settings(
    deployment: &Deployment,
    layout: &Layout,
    place: &Place,
    data: &Path,
    keep_alive: &KeepAlive,
) -> Table {
    let member = table([
        ("zone", text(&place.zone)),
        ("peer_listen", text(place.listen)),
        ("peer_address", text(place.reached_at)),
        ("administration_listen", text(place.second)),
        ("data_folder", text(data.display())),
        ("bootstrap_key_hash", text(key_hash(BOOTSTRAP_KEY))),
    ]);
    let members = layout.control.iter().map(|place| {
        table([
            ("zone", text(&place.zone)),
            ("peer_address", text(place.reached_at)),
            ("administration_address", text(place.second)),
        ])
    });
    let weights = deployment.weights;
    let scheduling = table([
        (
            "cold_start_weight",
            Value::Integer(weights.cold_start.into()),
        ),
        ("idle_weight", Value::Integer(weights.idle.into())),
        ("keep_alive", text(&keep_alive.word)),
    ]);
    let limits = deployment.store;
    let store = table([
        (
            "loads_per_second",
            Value::Integer(limits.loads_per_second.into()),
        ),
        (
            "concurrent_loads",
            Value::Integer(limits.concurrent_loads.into()),
        ),
        (
            "bytes_per_second",
            Value::Integer(i64::try_from(limits.bytes_per_second).unwrap_or(i64::MAX)),
        ),
    ]);
    let platform = table([("address", text(layout.platform.reached_at))]);
    Table::from_iter([
        ("member".to_owned(), member),
        ("members".to_owned(), Value::Array(members.collect())),
        ("scheduling".to_owned(), scheduling),
        ("store".to_owned(), store),
        ("platform".to_owned(), platform),
    ])
}

fn router_settings(layout: &Layout, place: &Place) -> Table {
    let router = table([
        ("name", text(&place.name)),
        ("zone", text(&place.zone)),
        ("listen", text(place.listen)),
        ("metrics_listen", text(place.second)),
    ]);
    let members = layout.control.iter().map(|place| text(place.reached_at));
    let control = table([("members", Value::Array(members.collect()))]);
    Table::from_iter([
        ("router".to_owned(), router),
        ("control".to_owned(), control),
    ])
}

#[derive(Serialize)]
struct TenantObject {
    name: String,
    api_key_hashes: Vec<String>,
    share_weight: u32,
    maximum_waiting: i64,
}

#[derive(Serialize)]
struct ModelObject {
    name: String,
    current_version: String,
    accelerators_per_replica: u32,
    maximum_replicas: u32,
    concurrency_per_replica: u32,
}

#[derive(Serialize)]
struct VersionObject {
    model: String,
    label: String,
    weights_bytes: u64,
    cache_bytes: u64,
    checkpoint: String,
}

#[derive(Serialize)]
struct AdapterObject {
    name: String,
    model: String,
    bytes: u64,
    checkpoint: String,
}

#[derive(Serialize)]
struct GroupObject {
    name: String,
    path_prefix: String,
    non_repeatable_paths: Vec<String>,
}

#[derive(Serialize)]
struct PolicyObject {
    name: String,
    allow: String,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Objects {
    tenant: Vec<TenantObject>,
    model: Vec<ModelObject>,
    version: Vec<VersionObject>,
    adapter: Vec<AdapterObject>,
    backend_group: Vec<GroupObject>,
    policy: Vec<PolicyObject>,
}

/// The catalog of a deployment, as a file for `millpass apply`.
pub fn objects(deployment: &Deployment) -> Result<String> {
    let population = deployment.population();
    let tenants = population.tenants.iter().map(|tenant| TenantObject {
        name: tenant.name.to_string(),
        api_key_hashes: vec![key_hash(&tenant.api_key)],
        share_weight: 1,
        maximum_waiting: MAXIMUM_WAITING_PER_TENANT,
    });
    let models = deployment.models();
    let model_objects = models.iter().map(|(model, class)| ModelObject {
        name: model.to_string(),
        current_version: VERSION.to_owned(),
        accelerators_per_replica: class.accelerators,
        maximum_replicas: MAXIMUM_REPLICAS,
        concurrency_per_replica: class.concurrency,
    });
    let versions = models.iter().map(|(model, class)| VersionObject {
        model: model.to_string(),
        label: VERSION.to_owned(),
        weights_bytes: class.weights_bytes,
        cache_bytes: class.cache_bytes,
        checkpoint: format!("{model}@{VERSION}"),
    });
    let adapters = models.iter().zip(deployment.adapters_by_model());
    let adapters = adapters.flat_map(|((model, _), adapters)| {
        adapters.into_iter().map(|adapter| AdapterObject {
            name: adapter.to_string(),
            model: model.to_string(),
            bytes: deployment.adapters.bytes,
            checkpoint: adapter.to_string(),
        })
    });
    let objects = Objects {
        tenant: tenants.collect(),
        model: model_objects.collect(),
        version: versions.collect(),
        adapter: adapters.collect(),
        backend_group: vec![GroupObject {
            name: deployment.web.group.clone(),
            path_prefix: deployment.web.read_path.clone(),
            non_repeatable_paths: vec![deployment.web.write_path.clone()],
        }],
        policy: vec![PolicyObject {
            name: "everyone".to_owned(),
            allow: "true".to_owned(),
        }],
    };
    Ok(toml::to_string(&objects)?)
}

/// Replicas that one model may have.
pub const MAXIMUM_REPLICAS: u32 = 2;
