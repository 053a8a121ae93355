//! Creates and changes catalog objects through the administration API.

use crate::member::OPERATOR_KEY;
use anyhow::Result;
use millpass_control::api::{ChangeBody, spec_to_json};
use millpass_control::client::AdministrationClient;
use millpass_proto::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration as StdDuration, Instant};

/// Concurrent callers that create objects.
const CALLERS: usize = 8;
/// Tenants created.
const TENANTS: usize = 200;
/// Version label of every model.
const LABEL: &str = "v1";

/// An object to create.
pub type NewObject = (ObjectKind, String, ObjectSpec);

/// Returns a client of the members at these administration addresses.
pub fn client(addresses: &[String]) -> AdministrationClient {
    AdministrationClient::new(addresses.to_vec(), OPERATOR_KEY)
}

/// Returns the name of a model.
pub fn model_name(number: usize) -> String {
    format!("model-{number:03}")
}

/// Returns tenants and models, then the objects that refer to models.
pub fn objects(models: usize, adapters: usize, replicas: u32) -> [Vec<NewObject>; 2] {
    let mut first = Vec::new();
    let mut second = Vec::new();
    for number in 0..TENANTS {
        first.push(tenant(number));
    }
    for number in 0..models {
        first.push(model(number, replicas));
        second.push(version(number));
    }
    for number in 0..adapters {
        second.push(adapter(number, number % models.max(1)));
    }
    [first, second]
}

fn tenant(number: usize) -> NewObject {
    let spec = TenantSpec {
        api_key_hashes: vec![blake3::hash(&number.to_le_bytes()).to_hex().to_string()],
        share_weight: 1,
        capacity_bytes: 0,
        maximum_waiting: 1_000,
    };
    let name = format!("tenant-{number:03}");
    (ObjectKind::Tenant, name, ObjectSpec::Tenant(spec))
}

fn model(number: usize, replicas: u32) -> NewObject {
    let spec = ModelSpec {
        current_version: LABEL.into(),
        accelerators_per_replica: 1,
        maximum_replicas: replicas + 4,
        minimum_replicas: replicas,
        concurrency_per_replica: 64,
    };
    (
        ObjectKind::Model,
        model_name(number),
        ObjectSpec::Model(spec),
    )
}

fn version(number: usize) -> NewObject {
    let model = model_name(number);
    let name = format!("{model}@{LABEL}");
    let spec = VersionSpec {
        checkpoint: format!("{model}/{LABEL}"),
        model: model.into(),
        label: LABEL.into(),
        weights_bytes: 16 << 30,
        cache_bytes: 1 << 30,
    };
    (ObjectKind::Version, name, ObjectSpec::Version(spec))
}

fn adapter(number: usize, model: usize) -> NewObject {
    let name = format!("adapter-{number:04}");
    let spec = AdapterSpec {
        model: model_name(model).into(),
        bytes: 1 << 28,
        checkpoint: format!("adapters/{name}"),
    };
    (ObjectKind::Adapter, name, ObjectSpec::Adapter(spec))
}

/// Creates objects with concurrent callers; returns the duration of each change.
pub fn create(addresses: &[String], objects: &[NewObject]) -> Result<Vec<StdDuration>> {
    let next = AtomicUsize::new(0);
    let times = Mutex::new(Vec::new());
    let caller = || -> Result<()> {
        let mut client = client(addresses);
        while let Some((kind, name, spec)) = objects.get(next.fetch_add(1, Ordering::Relaxed)) {
            let started = Instant::now();
            put(&mut client, *kind, name, 0, spec)?;
            if let Ok(mut times) = times.lock() {
                times.push(started.elapsed());
            }
        }
        Ok(())
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(caller)).collect();
        callers.into_iter().try_for_each(|caller| {
            let ended = caller.join();
            ended.unwrap_or_else(|_| Err(anyhow::anyhow!("a caller panicked")))
        })
    })?;
    Ok(times.into_inner().unwrap_or_default())
}

/// Changes one tenant; returns the new revision of the catalog.
pub fn change_tenant(client: &mut AdministrationClient, version: u64) -> Result<u64> {
    let (kind, name, spec) = tenant(0);
    put(client, kind, &name, version, &spec)
}

fn put(
    client: &mut AdministrationClient,
    kind: ObjectKind,
    name: &str,
    expected_version: u64,
    spec: &ObjectSpec,
) -> Result<u64> {
    let change = ChangeBody {
        expected_version,
        change_id: format!("{name}-{expected_version}"),
        spec: spec_to_json(spec)?,
    };
    Ok(client.put(kind, name, &change)?.revision)
}
