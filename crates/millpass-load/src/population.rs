//! Tenants, models and web groups that a schedule draws from.

use millpass_proto::{AdapterName, GroupName, ModelName, TenantName, VersionLabel};
use serde::{Deserialize, Serialize};

/// A tenant as its callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantIdentity {
    /// Name recorded in the history.
    pub name: TenantName,
    /// API key in plain text, valid only for the run.
    pub api_key: String,
}

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelChoice {
    /// Model.
    pub model: ModelName,
    /// Current version; responses are checked against it.
    pub version: VersionLabel,
    /// Adapters of the model; may be empty.
    pub adapters: Vec<AdapterName>,
}

/// A group of web back ends as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WebChoice {
    /// Group.
    pub group: GroupName,
    /// Path prefix of pages to read.
    pub read_path: String,
    /// Path prefix of non-idempotent requests.
    pub write_path: String,
}

/// Population that a schedule draws from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Population {
    /// Tenants, the most active first.
    pub tenants: Vec<TenantIdentity>,
    /// Models, the most popular first.
    pub models: Vec<ModelChoice>,
    /// Web groups; may be empty.
    pub web: Vec<WebChoice>,
    /// Number of routers.
    pub routers: usize,
}

impl Population {
    /// Returns a population with numbered names.
    pub fn numbered(tenants: usize, models: usize, routers: usize) -> Self {
        let tenants = (0..tenants)
            .map(|number| TenantIdentity {
                name: TenantName(format!("tenant-{number:02}")),
                api_key: format!("key-of-tenant-{number:02}"),
            })
            .collect();
        let models = (0..models)
            .map(|number| ModelChoice {
                model: ModelName(format!("model-{number:02}")),
                version: VersionLabel("v1".to_owned()),
                adapters: vec![AdapterName(format!("adapter-{number:02}"))],
            })
            .collect();
        let web = vec![WebChoice {
            group: GroupName("pages".to_owned()),
            read_path: "/pages/read".to_owned(),
            write_path: "/pages/publish".to_owned(),
        }];
        Population {
            tenants,
            models,
            web,
            routers,
        }
    }
}
