//! The deployment as commands of the replicated state: catalog objects and registered engines.

use crate::deployment::{Deployment, ModelClass};
use crate::workload::Population;
use millpass_proto::{
    AdapterName, AdapterSpec, BackendKind, BackendName, BackendRegistration, Command, Incarnation,
    LogPosition, ModelName, ModelSpec, ObjectChange, ObjectKey, ObjectKind, ObjectSpec,
    VersionSpec, ZoneName,
};
use std::collections::BTreeMap;

/// Label of the one version of each model.
const VERSION: &str = "v1";
/// Incarnation of every engine.
pub const INCARNATION: Incarnation = Incarnation(1);
const MAXIMUM_REPLICAS: u32 = 4;

/// A model with its adapters.
#[derive(Clone, Debug)]
pub struct CatalogModel {
    /// Name.
    pub name: ModelName,
    /// Adapters.
    pub adapters: Vec<AdapterName>,
    /// Concurrent requests per replica.
    pub concurrency: u32,
}

/// Catalog of a deployment; traces refer to its entries by index.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Models, the most popular first.
    pub models: Vec<CatalogModel>,
    /// Engines with their zones.
    pub engines: Vec<(BackendName, ZoneName)>,
    /// Zones.
    pub zones: Vec<ZoneName>,
    commands: Vec<Command>,
    model_indices: BTreeMap<ModelName, usize>,
    engine_indices: BTreeMap<BackendName, usize>,
}

impl Catalog {
    /// Creates the catalog of a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let mut commands = Vec::new();
        let mut models = Vec::new();
        for (name, class) in deployment.models() {
            commands.extend(model_commands(&name, class));
            models.push(CatalogModel {
                name: ModelName(name),
                adapters: Vec::new(),
                concurrency: class.concurrency,
            });
        }
        for number in 0..deployment.adapters.count {
            let index = number % models.len().max(1);
            let model = &mut models[index];
            let name = AdapterName(format!("{}-adapter-{number:02}", model.name));
            commands.push(adapter_command(
                &name,
                &model.name,
                deployment.adapters.bytes,
            ));
            model.adapters.push(name);
        }
        let engines = engines(deployment);
        for (name, zone) in &engines {
            commands.push(registration(deployment, name, zone));
        }
        let zones = deployment.zones.iter();
        let indexed = models.iter().enumerate();
        let model_indices = indexed.map(|(number, model)| (model.name.clone(), number));
        let indexed = engines.iter().enumerate();
        let engine_indices = indexed.map(|(number, (name, _))| (name.clone(), number));
        Catalog {
            model_indices: model_indices.collect(),
            engine_indices: engine_indices.collect(),
            models,
            engines,
            zones: zones.map(|zone| ZoneName(zone.name.clone())).collect(),
            commands,
        }
    }

    /// Returns the commands that create the deployment in an empty state.
    pub fn commands(&self) -> &[Command] {
        &self.commands
    }

    /// Returns the index of a model.
    pub fn model_number(&self, name: &ModelName) -> Option<usize> {
        self.model_indices.get(name).copied()
    }

    /// Returns the index of an engine.
    pub fn engine_number(&self, name: &BackendName) -> Option<usize> {
        self.engine_indices.get(name).copied()
    }

    /// Returns the population for trace generation.
    pub fn population(&self, tenants: usize) -> Population {
        let adapters = self.models.iter().map(|model| model.adapters.len());
        Population {
            models: self.models.len(),
            adapters: adapters.collect(),
            tenants,
            zones: self.zones.len(),
        }
    }
}

/// Returns the log position of a command; the term is always 1.
pub fn position(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

fn engines(deployment: &Deployment) -> Vec<(BackendName, ZoneName)> {
    let mut engines = Vec::new();
    for zone in &deployment.zones {
        for number in 0..zone.engines {
            let name = BackendName(format!("{}-engine-{number}", zone.name));
            engines.push((name, ZoneName(zone.name.clone())));
        }
    }
    engines
}

fn registration(deployment: &Deployment, name: &BackendName, zone: &ZoneName) -> Command {
    let machine = deployment.engine;
    Command::RegisterBackend(BackendRegistration {
        backend: name.clone(),
        kind: BackendKind::Engine,
        group: None,
        zone: zone.clone(),
        address: format!("{name}:1"),
        incarnation: INCARNATION,
        accelerator_bytes: vec![machine.accelerator_bytes; machine.accelerators],
    })
}

fn model_commands(name: &str, class: &ModelClass) -> [Command; 2] {
    let model = ModelSpec {
        current_version: VERSION.into(),
        accelerators_per_replica: class.accelerators,
        maximum_replicas: MAXIMUM_REPLICAS,
        minimum_replicas: 0,
        concurrency_per_replica: class.concurrency,
    };
    let version = VersionSpec {
        model: name.into(),
        label: VERSION.into(),
        weights_bytes: class.weights_bytes,
        cache_bytes: class.cache_bytes,
        checkpoint: format!("{name}/{VERSION}"),
    };
    let version_name = format!("{name}@{VERSION}");
    [
        create(ObjectKind::Model, name, ObjectSpec::Model(model)),
        create(
            ObjectKind::Version,
            &version_name,
            ObjectSpec::Version(version),
        ),
    ]
}

fn adapter_command(name: &AdapterName, model: &ModelName, bytes: u64) -> Command {
    let adapter = AdapterSpec {
        model: model.clone(),
        bytes,
        checkpoint: format!("adapters/{name}"),
    };
    create(
        ObjectKind::Adapter,
        name.as_str(),
        ObjectSpec::Adapter(adapter),
    )
}

fn create(kind: ObjectKind, name: &str, spec: ObjectSpec) -> Command {
    Command::ChangeObject(ObjectChange {
        key: ObjectKey {
            kind,
            name: name.to_owned(),
        },
        expected_version: 0,
        change_id: format!("create-{kind:?}-{name}").into(),
        operator: "experiment".into(),
        at_unix_millis: 0,
        spec: Some(spec),
    })
}
