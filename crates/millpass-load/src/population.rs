//! Who asks, and what there is to ask for.

use millpass_proto::{AdapterName, GroupName, ModelName, TenantName, VersionLabel};
use serde::{Deserialize, Serialize};

/// A tenant as its callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantIdentity {
    /// Name, for the history.
    pub name: TenantName,
    /// API key in clear; made for the run and worth nothing outside it.
    pub api_key: String,
}

/// A model with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelChoice {
    /// Model.
    pub model: ModelName,
    /// Version in force; answers are checked against it.
    pub version: VersionLabel,
    /// Adapters of it; may be empty.
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
    /// Path prefix of requests that may not be repeated.
    pub write_path: String,
}

/// Everything that a schedule draws from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Population {
    /// Tenants; requests are spread over them unevenly, the first asking most.
    pub tenants: Vec<TenantIdentity>,
    /// Models, the most popular first.
    pub models: Vec<ModelChoice>,
    /// Web groups; may be empty.
    pub web: Vec<WebChoice>,
    /// Routers that callers may reach.
    pub routers: usize,
}

impl Population {
    /// A population of numbered names, for trials and tests.
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
