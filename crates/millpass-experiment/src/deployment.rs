//! What the experiment reads of a deployment description (`examples/NAME/deployment.toml`).

use serde::Deserialize;
use std::path::Path;

/// The parts of a deployment description that scheduling depends on; the rest is the fleet's.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Deployment {
    /// Name.
    pub name: String,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Model engines.
    pub engine: EngineMachine,
    /// Weight store.
    pub store: StoreLimits,
    /// Models by size.
    pub model_classes: Vec<ModelClass>,
    /// Adapters.
    pub adapters: Adapters,
    /// Tenants.
    pub tenants: Tenants,
    /// What the operators weigh.
    pub weights: Weights,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Zone {
    /// Name.
    pub name: String,
    /// Model engines in it.
    pub engines: usize,
}

/// A machine that runs a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
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

/// What the weight store allows. Its speed is not taken from here: see
/// [`crate::fleet::STORE_BYTES_PER_SECOND`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreLimits {
    /// Loads that may start a second.
    pub loads_per_second: u32,
    /// Loads at once at full speed.
    pub concurrent_loads: u32,
}

/// A number of models of one size.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Adapters {
    /// How many.
    pub count: usize,
    /// Size of each.
    pub bytes: u64,
}

/// Tenants.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Tenants {
    /// How many.
    pub count: usize,
}

/// What the operators weigh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Weights {
    /// A second of cold start.
    pub cold_start: u32,
    /// An idle accelerator second.
    pub idle: u32,
}

/// Why a description was not taken.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error(
        "{file}: {source}; give a deployment description, such as examples/pnw/deployment.toml"
    )]
    Unreadable {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Not TOML, or a key is missing or of the wrong type.
    #[error("{file}: {reason}")]
    Malformed {
        /// File.
        file: String,
        /// What is wrong, with line and column.
        reason: String,
    },
}

impl Deployment {
    /// Reads a description.
    pub fn read(path: &Path) -> Result<Self, DeploymentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| DeploymentError::Unreadable {
            file: file.clone(),
            source,
        })?;
        toml::from_str(&text).map_err(|error| DeploymentError::Malformed {
            file,
            reason: error.to_string(),
        })
    }

    /// Classes of the models, the most popular model first. Classes alternate, so that popular
    /// models come in all sizes.
    pub fn models(&self) -> Vec<(String, &ModelClass)> {
        let total: usize = self.model_classes.iter().map(|class| class.count).sum();
        let mut taken = vec![0; self.model_classes.len()];
        let mut models = Vec::with_capacity(total);
        for number in 0..total {
            // The class that lags most behind its even spread over the numbers so far.
            let lag = |index: &usize| {
                let count = self.model_classes[*index].count;
                (count * (number + 1)) as i64 - (taken[*index] * total) as i64
            };
            let next = (0..taken.len()).max_by_key(lag).unwrap_or(0);
            let class = &self.model_classes[next];
            models.push((format!("{}-{:02}", class.prefix, taken[next]), class));
            taken[next] += 1;
        }
        models
    }
}
