//! Deployment descriptions: zones, delays, back ends, models and limits, read from TOML.

use millpass_load::Population;
use millpass_load::population::{ModelChoice, TenantIdentity, WebChoice};
use millpass_proto::{AdapterName, GroupName, ModelName, TenantName, VersionLabel};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Version label of every model that the lab creates.
pub const VERSION: &str = "v1";
/// Maximum number of processes of one deployment.
const MAXIMUM_PROCESSES: usize = 200;
/// Members of the control group; five tolerate two failures.
const CONTROL_MEMBERS: usize = 5;

/// A whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// Named workload of its callers.
    pub workload: String,
    /// Routers in each zone.
    pub router_count_per_zone: usize,
    /// Delays.
    pub delays: Delays,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Model engines.
    pub engine: EngineMachine,
    /// Weight store.
    pub store: StoreLimits,
    /// Models.
    pub model_classes: Vec<ModelClass>,
    /// Adapters.
    pub adapters: Adapters,
    /// Tenants.
    pub tenants: Tenants,
    /// Web back ends.
    pub web: Web,
    /// Weights of the scheduler's cost function.
    pub weights: Weights,
    /// Limits on what a fleet may use of the machine.
    pub bounds: Bounds,
}

/// One-way delays in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Inside a zone.
    pub within_zone_micros: u64,
    /// Between zones.
    pub between_zones_micros: u64,
    /// Between callers and any zone.
    pub to_clients_micros: u64,
    /// Maximum additional delay.
    pub jitter_micros: u64,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name.
    pub name: String,
    /// Members of the control group in it.
    pub control_members: usize,
    /// Model engines in it.
    pub engines: usize,
    /// Web servers in it.
    pub web_servers: usize,
}

/// A machine that runs a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineMachine {
    /// Accelerators.
    pub accelerators: usize,
    /// Memory of each.
    pub accelerator_bytes: u64,
    /// Capacity for checkpoints in host memory.
    pub checkpoint_memory_bytes: u64,
    /// Capacity for checkpoints on disk.
    pub checkpoint_disk_bytes: u64,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Loads that may start per second.
    pub loads_per_second: u32,
    /// Concurrent loads at full speed.
    pub concurrent_loads: u32,
    /// Throughput of one load, in bytes per second.
    pub bytes_per_second: u64,
}

/// A class of models of the same size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelClass {
    /// Prefix of the names.
    pub prefix: String,
    /// Count.
    pub count: usize,
    /// Size of the weights, summed over all accelerators of a replica.
    pub weights_bytes: u64,
    /// Size of the caches, summed over all accelerators of a replica.
    pub cache_bytes: u64,
    /// Accelerators per replica.
    pub accelerators: u32,
    /// Concurrent requests per replica.
    pub concurrency: u32,
}

/// Adapters, assigned to the models round-robin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapters {
    /// Count.
    pub count: usize,
    /// Size of each.
    pub bytes: u64,
}

/// Tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// Count.
    pub count: usize,
    /// Prefix of the names.
    pub prefix: String,
}

/// The group of web back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Web {
    /// Name of the group.
    pub group: String,
    /// Path prefix of pages.
    pub read_path: String,
    /// Path prefix of non-idempotent requests.
    pub write_path: String,
}

/// Weights of the scheduler's cost function.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Cost of one second of cold start.
    pub cold_start: u32,
    /// Cost of one idle accelerator second.
    pub idle: u32,
}

/// Limits on what a fleet may use of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum number of processes.
    pub processes: usize,
    /// Maximum total resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reason why a description is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error("{file}: {source}; use pnw, sicilia or a file such as examples/pnw/deployment.toml")]
    Unreadable {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{file}: {reason}")]
    Malformed {
        /// File.
        file: String,
        /// What is wrong, with line and column.
        reason: String,
    },
    /// A value is out of range or inconsistent.
    #[error("{key}: {reason}")]
    Invalid {
        /// Key.
        key: &'static str,
        /// What is wrong and how to fix it.
        reason: String,
    },
}

/// Built-in deployments.
const NAMED: [(&str, &str); 2] = [
    ("pnw", include_str!("../../../examples/pnw/deployment.toml")),
    (
        "sicilia",
        include_str!("../../../examples/sicilia/deployment.toml"),
    ),
];

impl Deployment {
    /// Returns the built-in deployment of this name, or reads the file at this path.
    pub fn named(name: &str) -> Result<Self, DeploymentError> {
        match NAMED.iter().find(|(known, _)| *known == name) {
            Some((name, text)) => Self::parse(name, text),
            None => Self::read(Path::new(name)),
        }
    }

    /// Reads and validates a description.
    pub fn read(path: &Path) -> Result<Self, DeploymentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| DeploymentError::Unreadable {
            file: file.clone(),
            source,
        })?;
        Self::parse(&file, &text)
    }

    fn parse(file: &str, text: &str) -> Result<Self, DeploymentError> {
        let deployment: Deployment =
            toml::from_str(text).map_err(|error| DeploymentError::Malformed {
                file: file.to_owned(),
                reason: error.to_string(),
            })?;
        deployment.check()?;
        Ok(deployment)
    }

    /// Validates values and their consistency.
    pub fn check(&self) -> Result<(), DeploymentError> {
        let invalid = |key, reason: &str| {
            Err(DeploymentError::Invalid {
                key,
                reason: reason.to_owned(),
            })
        };
        let members: usize = self.zones.iter().map(|zone| zone.control_members).sum();
        if members != CONTROL_MEMBERS {
            let reason = format!("{members} in total; distribute {CONTROL_MEMBERS} over the zones");
            return invalid("zones.control_members", &reason);
        }
        let mut names: Vec<&str> = self.zones.iter().map(|zone| zone.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        if names.len() != self.zones.len() {
            return invalid(
                "zones.name",
                "two zones have the same name; make the names unique",
            );
        }
        if self.router_count_per_zone == 0 {
            return invalid("router_count_per_zone", "must be at least 1");
        }
        if self.process_count() > MAXIMUM_PROCESSES {
            let reason = format!(
                "{} processes; the maximum is {MAXIMUM_PROCESSES}",
                self.process_count()
            );
            return invalid("zones", &reason);
        }
        if self.process_count() > self.bounds.processes {
            let reason = format!(
                "{} is below the {} processes that the zones need; raise it or shrink the zones",
                self.bounds.processes,
                self.process_count()
            );
            return invalid("bounds.processes", &reason);
        }
        for class in &self.model_classes {
            let per_accelerator = (class.weights_bytes + class.cache_bytes)
                .div_ceil(u64::from(class.accelerators.max(1)));
            let fits = per_accelerator <= self.engine.accelerator_bytes
                && class.accelerators as usize <= self.engine.accelerators;
            if class.accelerators == 0 || !fits {
                let reason = format!(
                    "{} does not fit on any engine; reduce its size",
                    class.prefix
                );
                return invalid("model_classes", &reason);
            }
        }
        Ok(())
    }

    /// Engines over all zones.
    pub fn engine_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.engines).sum()
    }

    /// Web servers over all zones.
    pub fn web_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.web_servers).sum()
    }

    /// Routers over all zones.
    pub fn router_count(&self) -> usize {
        self.zones.len() * self.router_count_per_zone
    }

    /// Control members over all zones.
    pub fn control_count(&self) -> usize {
        self.zones.iter().map(|zone| zone.control_members).sum()
    }

    /// Processes of a fleet, including the weight store, the platform list and the relay.
    pub fn process_count(&self) -> usize {
        const STORE_PLATFORM_AND_RELAY: usize = 3;
        self.engine_count()
            + self.web_count()
            + self.router_count()
            + self.control_count()
            + STORE_PLATFORM_AND_RELAY
    }

    /// Returns the models with their classes, most popular first. Classes are interleaved, so that
    /// popular models come in all sizes.
    pub fn models(&self) -> Vec<(ModelName, &ModelClass)> {
        let largest = self.model_classes.iter().map(|class| class.count).max();
        let mut models = Vec::new();
        for number in 0..largest.unwrap_or(0) {
            for class in &self.model_classes {
                // Distributes smaller classes evenly over the sequence of the largest class.
                let before = number * class.count / largest.unwrap_or(1);
                let after = (number + 1) * class.count / largest.unwrap_or(1);
                for index in before..after {
                    let name = format!("{}-{index:02}", class.prefix);
                    models.push((ModelName(name), class));
                }
            }
        }
        models
    }

    /// Returns the adapters of each model, in the order of [`Deployment::models`].
    pub fn adapters_by_model(&self) -> Vec<Vec<AdapterName>> {
        let models = self.models();
        let mut adapters = vec![Vec::new(); models.len()];
        for number in 0..self.adapters.count {
            let model = number % models.len().max(1);
            let name = format!("{}-adapter-{number:02}", models[model].0);
            adapters[model].push(AdapterName(name));
        }
        adapters
    }

    /// Returns the tenants, models and paths that the load generator chooses from.
    pub fn population(&self) -> Population {
        let tenant = |number: usize| TenantIdentity {
            name: TenantName(format!("{}-{number:02}", self.tenants.prefix)),
            api_key: format!("{}-{}-key-{number:02}", self.name, self.tenants.prefix),
        };
        let models = self.models().into_iter().zip(self.adapters_by_model());
        let models = models.map(|((model, _), adapters)| ModelChoice {
            model,
            version: VersionLabel(VERSION.to_owned()),
            adapters,
        });
        Population {
            tenants: (0..self.tenants.count).map(tenant).collect(),
            models: models.collect(),
            web: vec![WebChoice {
                group: GroupName(self.web.group.clone()),
                read_path: self.web.read_path.clone(),
                write_path: self.web.write_path.clone(),
            }],
            routers: self.router_count(),
        }
    }
}
