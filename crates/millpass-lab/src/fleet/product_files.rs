//! Writes the settings files of the product processes and the catalog objects file.

use super::folder::WorkFolder;
use super::layout::{Layout, Place};
use crate::deployment::{Deployment, VERSION};
use anyhow::Result;
use serde::Serialize;
use std::path::Path;
use toml::{Table, Value};

/// Administrator key for the bootstrap; valid in lab fleets only.
pub const BOOTSTRAP_KEY: &str = "lab-bootstrap-key";
/// Contact timeout after which a member is replaced; shorter than the default to fit into a run.
const MEMBER_REPLACEMENT_DELAY_MILLIS: i64 = 5_000;
/// Maximum replicas per model.
pub const MAXIMUM_REPLICAS: u32 = 2;
/// Maximum waiting requests per tenant and router.
const MAXIMUM_WAITING_PER_TENANT: i64 = 1_000;

/// Returns the hash under which a key is stored.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Writes all files.
pub fn write_product_files(
    folder: &WorkFolder,
    deployment: &Deployment,
    layout: &Layout,
) -> Result<()> {
    for place in &layout.control {
        let data = folder.data(&place.name);
        let table = control_settings(deployment, layout, place, &data);
        std::fs::write(folder.settings(&place.name), table.to_string())?;
    }
    for place in &layout.routers {
        let table = router_settings(layout, place);
        std::fs::write(folder.settings(&place.name), table.to_string())?;
    }
    Ok(std::fs::write(folder.objects(), objects(deployment)?)?)
}

fn table<const COUNT: usize>(entries: [(&str, Value); COUNT]) -> Value {
    let pairs = entries.map(|(key, value)| (key.to_owned(), value));
    Value::Table(Table::from_iter(pairs))
}

fn text(value: impl ToString) -> Value {
    Value::String(value.to_string())
}

fn control_settings(deployment: &Deployment, layout: &Layout, place: &Place, data: &Path) -> Table {
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
    let repair = table([(
        "member_replacement_delay_ms",
        Value::Integer(MEMBER_REPLACEMENT_DELAY_MILLIS),
    )]);
    let platform = table([("address", text(layout.platform.reached_at))]);
    Table::from_iter([
        ("member".to_owned(), member),
        ("members".to_owned(), Value::Array(members.collect())),
        ("scheduling".to_owned(), scheduling),
        ("store".to_owned(), store),
        ("repair".to_owned(), repair),
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

/// Returns the catalog of a deployment as TOML for `millpass apply`.
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
