//! Deployment description (`examples/NAME/deployment.toml`).

use serde::Deserialize;
use std::path::Path;

/// Parts of a deployment description that affect scheduling; other keys are ignored.
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
    /// Cost weights.
    pub weights: Weights,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Zone {
    /// Name.
    pub name: String,
    /// Number of model engines.
    pub engines: usize,
}

/// Machine of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct EngineMachine {
    /// Number of accelerators.
    pub accelerators: usize,
    /// Memory per accelerator.
    pub accelerator_bytes: u64,
    /// Checkpoint cache in host memory.
    pub checkpoint_memory_bytes: u64,
    /// Checkpoint cache on disk.
    pub checkpoint_disk_bytes: u64,
}

/// Limits of the weight store. For its speed see [`crate::fleet::STORE_BYTES_PER_SECOND`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreLimits {
    /// Loads that may start per second.
    pub loads_per_second: u32,
    /// Concurrent loads at full speed.
    pub concurrent_loads: u32,
}

/// Models of one size.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ModelClass {
    /// Prefix of the models' names.
    pub prefix: String,
    /// Number of models.
    pub count: usize,
    /// Size of the weights over all accelerators of a replica.
    pub weights_bytes: u64,
    /// Size of the caches over all accelerators of a replica.
    pub cache_bytes: u64,
    /// Accelerators per replica.
    pub accelerators: u32,
    /// Concurrent requests per replica.
    pub concurrency: u32,
}

/// Adapters, assigned to the models round-robin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Adapters {
    /// Number of adapters.
    pub count: usize,
    /// Size of each.
    pub bytes: u64,
}

/// Tenants.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Tenants {
    /// Number of tenants.
    pub count: usize,
}

/// Cost weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Weights {
    /// Weight of a second of cold start.
    pub cold_start: u32,
    /// Weight of an idle accelerator second.
    pub idle: u32,
}

/// Error of [`Deployment::read`].
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
        /// Cause, with line and column.
        reason: String,
    },
}

impl Deployment {
    /// Reads a deployment description.
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

    /// Returns models with their classes, the most popular first. Classes are interleaved, so that
    /// popular models have all sizes.
    pub fn models(&self) -> Vec<(String, &ModelClass)> {
        let total: usize = self.model_classes.iter().map(|class| class.count).sum();
        let mut assigned = vec![0; self.model_classes.len()];
        let mut models = Vec::with_capacity(total);
        for number in 0..total {
            // Picks the class furthest below its proportional count.
            let lag = |index: &usize| {
                let count = self.model_classes[*index].count;
                (count * (number + 1)) as i64 - (assigned[*index] * total) as i64
            };
            let next = (0..assigned.len()).max_by_key(lag).unwrap_or(0);
            let class = &self.model_classes[next];
            models.push((format!("{}-{:02}", class.prefix, assigned[next]), class));
            assigned[next] += 1;
        }
        models
    }
}
