//! Initial catalog of a simulated deployment.

use crate::settings::Sizes;
use anyhow::bail;
use millpass_proto::{
    AdapterName, AdapterSpec, BackendGroupSpec, ChangeId, Command, CommandOutcome, LogPosition,
    ModelName, ModelSpec, ObjectChange, ObjectChangeOutcome, ObjectKey, ObjectKind, ObjectSpec,
    PolicySpec, TenantName, TenantSpec, VersionSpec,
};
use millpass_state::State;

/// Number of permanent tenants.
pub const TENANTS: usize = 3;
/// Number of tenants that operators remove during a run.
pub const REMOVED_TENANTS: usize = 2;
/// Path of requests that may be repeated.
pub const RESULTS_PATH: &str = "/results/totals";
/// Path of requests that may not be repeated.
pub const PUBLISH_PATH: &str = "/results/publish";
/// Group of the web back ends.
pub const WEB_GROUP: &str = "results";
/// Index of the model that has adapters.
pub const ADAPTED_MODEL: usize = 0;

const TENANT_CAPACITY_BYTES: u64 = 1_000_000_000;
const MAXIMUM_WAITING: u32 = 64;
const WEIGHTS_BYTES: u64 = 40_000;
const CACHE_BYTES: u64 = 15_000;
const CONCURRENCY: u32 = 4;

/// Returns the name of a permanent tenant.
pub fn tenant(number: usize) -> TenantName {
    TenantName(format!("tenant-{number}"))
}

/// Returns the name of a tenant that operators remove.
pub fn removed_tenant(number: usize) -> TenantName {
    TenantName(format!("removed-{number}"))
}

/// Returns the API key of a tenant.
pub fn api_key(tenant: &TenantName) -> String {
    format!("key-of-{tenant}")
}

/// Returns the name of a model.
pub fn model(number: usize) -> ModelName {
    ModelName(format!("model-{number}"))
}

/// Returns the name of an adapter.
pub fn adapter(number: usize) -> AdapterName {
    AdapterName(format!("adapter-{number}"))
}

/// Returns the key of an object that all operators change.
pub fn contested(number: usize) -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Tenant,
        name: format!("contested-{number}"),
    }
}

/// Returns the specification of a tenant.
pub fn tenant_spec(tenant: &TenantName, share_weight: u32) -> ObjectSpec {
    let key_hash = blake3::hash(api_key(tenant).as_bytes()).to_hex();
    ObjectSpec::Tenant(TenantSpec {
        api_key_hashes: vec![key_hash.to_string()],
        share_weight,
        capacity_bytes: TENANT_CAPACITY_BYTES,
        maximum_waiting: MAXIMUM_WAITING,
    })
}

/// Initial state of a deployment.
pub struct InitialCatalog {
    /// State with the complete catalog.
    pub state: State,
    /// Position of its last change.
    pub at: LogPosition,
    /// The changes with their outcomes.
    pub changes: Vec<(ObjectChange, ObjectChangeOutcome)>,
}

/// Returns the state after applying the changes that create the catalog.
pub fn initial_state(sizes: &Sizes) -> anyhow::Result<InitialCatalog> {
    let mut state = State::default();
    let mut at = LogPosition { term: 1, index: 0 };
    let mut changes = Vec::new();
    for (kind, name, spec) in objects(sizes) {
        at.index += 1;
        let change = ObjectChange {
            key: ObjectKey { kind, name },
            expected_version: 0,
            change_id: ChangeId(format!("initial-{}", at.index)),
            operator: "operator".into(),
            at_unix_millis: 0,
            spec: Some(spec),
        };
        match state.apply(at, &Command::ChangeObject(change.clone())) {
            CommandOutcome::Object(outcome @ ObjectChangeOutcome::Accepted(_)) => {
                changes.push((change, outcome));
            }
            other => bail!(
                "initial catalog was rejected: {other:?}; fix the objects in the simulator's catalog"
            ),
        }
    }
    Ok(InitialCatalog { state, at, changes })
}

fn objects(sizes: &Sizes) -> Vec<(ObjectKind, String, ObjectSpec)> {
    let staying = (0..TENANTS).map(tenant);
    let removed = (0..REMOVED_TENANTS).map(removed_tenant);
    let mut objects: Vec<_> = staying
        .chain(removed)
        .map(|name| (ObjectKind::Tenant, name.0.clone(), tenant_spec(&name, 1)))
        .collect();
    for number in 0..sizes.models {
        objects.extend(model_objects(number, sizes));
    }
    for number in 0..sizes.adapters {
        let name = adapter(number).0;
        let spec = ObjectSpec::Adapter(AdapterSpec {
            model: model(ADAPTED_MODEL),
            bytes: sizes.adapter_bytes,
            checkpoint: name.clone(),
        });
        objects.push((ObjectKind::Adapter, name, spec));
    }
    let group = ObjectSpec::BackendGroup(BackendGroupSpec {
        path_prefix: "/results".to_owned(),
        non_repeatable_paths: vec![PUBLISH_PATH.to_owned()],
    });
    objects.push((ObjectKind::BackendGroup, WEB_GROUP.to_owned(), group));
    let policy = ObjectSpec::Policy(PolicySpec {
        allow: "true".to_owned(),
        deny: None,
        urgency: None,
        capacity_bytes: None,
        examples: Vec::new(),
    });
    objects.push((ObjectKind::Policy, "allow-all".to_owned(), policy));
    objects
}

fn model_objects(number: usize, sizes: &Sizes) -> Vec<(ObjectKind, String, ObjectSpec)> {
    let name = model(number);
    let wide = number + 1 == sizes.models;
    let accelerators = if wide { 2 } else { 1 };
    let model_spec = ObjectSpec::Model(ModelSpec {
        current_version: "v1".into(),
        accelerators_per_replica: accelerators,
        maximum_replicas: 1 + number as u32 % 3,
        minimum_replicas: 0,
        concurrency_per_replica: CONCURRENCY,
    });
    let version = ObjectSpec::Version(VersionSpec {
        model: name.clone(),
        label: "v1".into(),
        weights_bytes: WEIGHTS_BYTES * u64::from(accelerators),
        cache_bytes: CACHE_BYTES * u64::from(accelerators),
        checkpoint: format!("checkpoint-{number}"),
    });
    vec![
        (ObjectKind::Model, name.0.clone(), model_spec),
        (ObjectKind::Version, format!("{name}@v1"), version),
    ]
}
