//! Deployment descriptions: zones, delays, back ends, models, limits; as data in `examples/`.

use millpass_load::Population;
use millpass_load::population::{ModelChoice, TenantIdentity, WebChoice};
use millpass_proto::{AdapterName, GroupName, ModelName, TenantName, VersionLabel};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Version label of every model that the lab creates.
pub const VERSION: &str = "v1";
/// Most back ends, routers and members of one deployment.
const MAXIMUM_PROCESSES: usize = 200;
/// Members of a control group: an odd number that survives two losses.
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
    /// What the operators weigh.
    pub weights: Weights,
    /// What a fleet may take of the machine.
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
    /// Largest extra delay.
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
    /// Room for checkpoints in host memory.
    pub checkpoint_memory_bytes: u64,
    /// Room for checkpoints on disk.
    pub checkpoint_disk_bytes: u64,
}

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Loads that may start a second.
    pub loads_per_second: u32,
    /// Loads at once at full speed.
    pub concurrent_loads: u32,
    /// Speed of one load, in bytes a second.
    pub bytes_per_second: u64,
}

/// A number of models of one size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelClass {
    /// Start of their names.
    pub prefix: String,
    /// How many.
    pub count: usize,
    /// Weights over all accelerators of a replica.
    pub weights_bytes: u64,
    /// Caches over all accelerators of a replica.
    pub cache_bytes: u64,
    /// Accelerators of a replica.
    pub accelerators: u32,
    /// Requests a replica serves at once.
    pub concurrency: u32,
}

/// Adapters, spread over the models in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapters {
    /// How many.
    pub count: usize,
    /// Size of each.
    pub bytes: u64,
}

/// Tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// How many.
    pub count: usize,
    /// Start of their names.
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
    /// Path prefix of requests that may not be repeated.
    pub write_path: String,
}

/// What the operators weigh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// A second of cold start.
    pub cold_start: u32,
    /// An idle accelerator second.
    pub idle: u32,
}

/// What a fleet may take of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Processes.
    pub processes: usize,
    /// Sum of their resident memory.
    pub resident_bytes: u64,
}

/// Why a description was not taken.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error("{file}: {source}; give pnw, sicilia or a file such as examples/pnw/deployment.toml")]
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
    /// A value makes no sense.
    #[error("{key}: {reason}")]
    Invalid {
        /// Key.
        key: &'static str,
        /// What is wrong and what to write.
        reason: String,
    },
}

/// Deployments known by name.
const NAMED: [(&str, &str); 2] = [
    ("pnw", include_str!("../../../examples/pnw/deployment.toml")),
    (
        "sicilia",
        include_str!("../../../examples/sicilia/deployment.toml"),
    ),
];

impl Deployment {
    /// The deployment of this name, or described in the file of this name.
    pub fn named(name: &str) -> Result<Self, DeploymentError> {
        match NAMED.iter().find(|(known, _)| *known == name) {
            Some((name, text)) => Self::parse(name, text),
            None => Self::read(Path::new(name)),
        }
    }

    /// Reads a description and checks it.
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

    /// Checks values that the type system does not.
    pub fn check(&self) -> Result<(), DeploymentError> {
        let invalid = |key, reason: &str| {
            Err(DeploymentError::Invalid {
                key,
                reason: reason.to_owned(),
            })
        };
        let members: usize = self.zones.iter().map(|zone| zone.control_members).sum();
        if members != CONTROL_MEMBERS {
            let reason = format!("{members} in all; spread {CONTROL_MEMBERS} over the zones");
            return invalid("zones.control_members", &reason);
        }
        let mut names: Vec<&str> = self.zones.iter().map(|zone| zone.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        if names.len() != self.zones.len() {
            return invalid("zones.name", "two zones share a name; give each its own");
        }
        if self.router_count_per_zone == 0 {
            return invalid(
                "router_count_per_zone",
                "0 routers serve nobody; write 1 or more",
            );
        }
        if self.process_count() > MAXIMUM_PROCESSES {
            let reason = format!(
                "{} processes; at most {MAXIMUM_PROCESSES}",
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
                let reason = format!("{} fits on no engine; make it smaller", class.prefix);
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

    /// Processes of a fleet: the product's, the back ends, store, platform list and relay.
    pub fn process_count(&self) -> usize {
        const STORE_PLATFORM_AND_RELAY: usize = 3;
        self.engine_count()
            + self.web_count()
            + self.router_count()
            + self.control_count()
            + STORE_PLATFORM_AND_RELAY
    }

    /// Models, each with its class, the most popular first. Classes alternate, so that popular
    /// models come in all sizes.
    pub fn models(&self) -> Vec<(ModelName, &ModelClass)> {
        let largest = self.model_classes.iter().map(|class| class.count).max();
        let mut models = Vec::new();
        for number in 0..largest.unwrap_or(0) {
            for class in &self.model_classes {
                // Spread a class of few models evenly over the numbers of the largest.
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

    /// Adapters of each model, in the order of [`Deployment::models`].
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

    /// Who asks and what there is to ask for.
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
